package controller

import (
	"context"
	"net/http"
	"testing"
	"time"

	"dalefront/internal/config"
	"dalefront/internal/sched"
	"dalefront/wire"
)

// A controller that stood still must not answer for its term, nor return machines,
// before it has read the term again: another may have taken it. Found again, it
// goes on; otherwise it stops acting for good.
func TestStandstill(t *testing.T) {
	for _, c := range []struct {
		name string
		term uint64
		acts bool
	}{{"kept", 5, true}, {"taken", 6, false}} {
		f := 1.0
		n := newTestController(t, func(w http.ResponseWriter, r *http.Request) {
			b, _ := wire.Marshal(wire.KeyValue{Key: termKey, Version: c.term, Value: []byte{0x80}})
			_, _ = w.Write(b)
		}, func(set *config.Settings) {
			set.Operator.PreemptionDelayS, set.Operator.CheckpointMBPerS = &f, &f
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		r := newLeadership(ctx, n, 5, &lease{})
		r.core = sched.New(n.settings, 5, n.now(), wire.Catalog{}, func(string, ...any) {})
		n.owner.leadership = r
		n.term.observe("", 5)
		n.term.startLeading(5)
		n.owner.lastRun.Store(n.now() - 25*stallThreshold)
		if n.owner.ranRecently() || r.holdsTerm() {
			t.Errorf("%s: what woke before the owner goroutine may act", c.name)
		}
		n.owner.detectStall()
		rep := wire.Heartbeat{Host: "n-1", Type: "s", Zone: "x", Incarnation: 1, Sequence: 1, FencingToken: 5}
		if _, ok := n.handleHeartbeat(ctx, &rep); ok {
			t.Errorf("%s: a report was answered before the term was read", c.name)
		}
		if r.schedule(); r.launchWaiters.passes > 0 {
			t.Errorf("%s: scheduled before the term was read", c.name)
		}
		(<-n.owner.queue)() // what reading the term leads to
		if leading := n.term.view().leading; (leading == 5) != c.acts || (n.owner.leadership == r) != c.acts {
			t.Errorf("%s: acts under %d", c.name, leading)
		}
	}
}

// What is said to the cloud is not conditional on the term: a leader that the state service
// refuses, or doesn't answer, may have been replaced, and machines that work for the next one
// look silent to it. It returns none, however long that lasts. It once returned any as soon as
// it had been refused for three seconds.
func TestNothingIsReturnedUnderATermInDoubt(t *testing.T) {
	for _, code := range []int{200, 409, 429, 503, 0} {
		n := newTestController(t, func(w http.ResponseWriter, r *http.Request) {
			if code == 0 {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(code)
			_, _ = w.Write([]byte{0x80})
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		r := newLeadership(ctx, n, 5, &lease{})
		n.owner.lastRun.Store(n.now())
		if got := r.holdsTerm(); got != (code == 200) {
			t.Errorf("the service answers %d: may return machines %v", code, got)
		}
	}
}

// A worker whose report nobody can take is sent on to a node that is alive: left to
// try them in turn it may meet two silent ones, and its lease runs out.
func TestSentPastSilentNodes(t *testing.T) {
	n := newTestController(t, func(http.ResponseWriter, *http.Request) {}, func(set *config.Settings) { set.Label = "c" })
	now := time.Now()
	for _, label := range []string{"a", "b", "e"} {
		n.peerTable.recordSeen(label, now)
	}
	n.peerTable.recordSeen("d", now.Add(-time.Minute))
	if to := n.redirectTarget("e"); to != "a" {
		t.Errorf("sent to %q past the silent d and the leader e", to)
	}
	if to := n.redirectTarget("a"); to != "e" {
		t.Errorf("sent to %q, not to the next that is alive", to)
	}
	sent := 0
	for i := 0; i < 1000; i++ {
		if n.redirectTarget("a") != "" {
			sent++
		}
	}
	if sent > 500 {
		t.Errorf("%d of 1000 were sent on at once", sent)
	}
}
