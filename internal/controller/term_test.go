package controller

import "testing"

// A higher token always wins; a controller that acted under a lower one no longer does.
func TestTermTrackerObserve(t *testing.T) {
	for _, test := range []struct {
		name    string
		leader  string
		token   uint64
		deposed bool
		want    termView
	}{
		{"a lower token", "b", 4, false, termView{"a", 5, 5}},
		{"the same token", "", 5, false, termView{"a", 5, 5}},
		{"the same token and a name", "c", 5, false, termView{"c", 5, 5}},
		{"a higher token", "b", 6, true, termView{"b", 6, 0}},
		{"a higher token without a name", "", 6, true, termView{"", 6, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker := termTracker{self: "a"}
			tracker.observe("", 5)
			if !tracker.startLeading(5) {
				t.Fatal("it does not lead under the highest token")
			}
			if deposed := tracker.observe(test.leader, test.token); deposed != test.deposed {
				t.Errorf("deposed %v", deposed)
			}
			if got := tracker.view(); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// Nobody leads under another token than the highest known, and stops only under its own.
func TestTermTrackerLeading(t *testing.T) {
	tracker := termTracker{self: "a"}
	tracker.observe("b", 7)
	if tracker.startLeading(6) || tracker.view().isLeading() {
		t.Error("it leads though a higher token is known")
	}
	if !tracker.startLeading(7) || tracker.view().leader != "a" {
		t.Error("it does not lead under the highest token")
	}
	if tracker.stopLeading(6); tracker.view().leading != 7 {
		t.Error("it stopped under another token")
	}
	if tracker.stopLeading(7); tracker.view().isLeading() {
		t.Error("it did not stop")
	}
	if tracker.hasResigned(7) {
		t.Error("it resigned by losing a term")
	}
	if tracker.resign(7); !tracker.hasResigned(7) || tracker.hasResigned(8) {
		t.Error("it did not resign, or another term")
	}
}

// Leases are renewed without the leader only under the highest term, if its leader allowed it, and
// not for a worker that has seen a higher one.
func TestTermTrackerMayRenew(t *testing.T) {
	for _, test := range []struct {
		name                 string
		known, allowed, seen uint64
		may                  bool
	}{
		{"never allowed", 5, 0, 5, false},
		{"allowed", 5, 5, 5, true},
		{"allowed, and the worker has seen an earlier term", 5, 5, 3, true},
		{"the worker has seen a later term", 5, 5, 6, false},
		{"allowed in an earlier term", 6, 5, 5, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker := termTracker{self: "a"}
			tracker.observe("b", test.known)
			tracker.allowRenewal(test.allowed)
			tracker.allowRenewal(test.allowed / 2) // an earlier one heard later changes nothing
			if token, may := tracker.mayRenew(test.seen); may != test.may || may && token != test.allowed {
				t.Errorf("got %d, %v", token, may)
			}
		})
	}
}
