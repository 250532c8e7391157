package controller

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"dalefront/internal/config"
	"dalefront/internal/sched"
	"dalefront/wire"
)

// A controller that stalled must not answer for its term, nor return machines,
// before it has read the term again: another may have taken it. Found again, it
// goes on; otherwise it stops acting for good.
func TestStalledLeaderReadsTermFirst(t *testing.T) {
	for _, test := range []struct {
		name  string
		term  uint64
		leads bool
	}{{"kept", 5, true}, {"taken", 6, false}} {
		t.Run(test.name, func(t *testing.T) {
			one := 1.0
			c := newTestController(t, func(w http.ResponseWriter, _ *http.Request) {
				body, _ := wire.Marshal(wire.KeyValue{Key: termKey, Version: test.term, Value: []byte{0x80}})
				_, _ = w.Write(body)
			}, func(set *config.Settings) {
				set.Operator.PreemptionDelayS, set.Operator.CheckpointMBPerS = &one, &one
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			l := newLeadership(ctx, c, 5, &lease{})
			l.core = sched.New(c.settings, 5, c.now(), wire.Catalog{}, func(string, ...any) {})
			c.owner.leadership = l
			c.term.observe("", 5)
			c.term.startLeading(5)
			c.owner.lastRun.Store(c.now() - 25*stallThreshold)
			if c.owner.ranRecently() || l.holdsTerm() {
				t.Error("what woke before the owner goroutine may act")
			}
			c.owner.detectStall()
			heartbeat := wire.Heartbeat{Host: "n-1", Type: "s", Zone: "x", Incarnation: 1, Sequence: 1, FencingToken: 5}
			if _, ok := c.handleHeartbeat(ctx, &heartbeat); ok {
				t.Error("a heartbeat was answered before the term was read")
			}
			if l.schedule(); l.launchWaiters.passes > 0 {
				t.Error("scheduled before the term was read")
			}
			(<-c.owner.queue)() // what reading the term leads to
			if leading := c.term.view().leading; (leading == 5) != test.leads || (c.owner.leadership == l) != test.leads {
				t.Errorf("leads under %d", leading)
			}
		})
	}
}

// What is said to the cloud is not conditional on the term: a leader that the key-value store
// refuses, or doesn't answer, may have been replaced, and machines that work for the next one
// look silent to it. It returns none, however long that lasts. It once returned any as soon as
// it had been refused for three seconds.
func TestNoScaleInUnderUnconfirmedTerm(t *testing.T) {
	const noAnswer = 0
	for _, code := range []int{http.StatusOK, http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable, noAnswer} {
		t.Run(fmt.Sprint(code), func(t *testing.T) {
			c := newTestController(t, func(w http.ResponseWriter, _ *http.Request) {
				if code == noAnswer {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(code)
				_, _ = w.Write([]byte{0x80})
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			l := newLeadership(ctx, c, 5, &lease{})
			c.owner.lastRun.Store(c.now())
			if got := l.holdsTerm(); got != (code == http.StatusOK) {
				t.Errorf("may return machines %v", got)
			}
		})
	}
}

// A worker whose heartbeat nobody can take is redirected to a controller that is alive: left to
// try them in turn it may meet two silent ones, and its lease runs out.
func TestRedirectSkipsSilentControllers(t *testing.T) {
	c := newTestController(t, func(http.ResponseWriter, *http.Request) {}, func(set *config.Settings) { set.Label = "c" })
	now := time.Now()
	for _, label := range []string{"a", "b", "e"} {
		c.peerTable.recordSeen(label, now)
	}
	c.peerTable.recordSeen("d", now.Add(-time.Minute))
	if target := c.redirectTarget("e"); target != "a" {
		t.Errorf("redirected to %q past the silent d and the leader e", target)
	}
	if target := c.redirectTarget("a"); target != "e" {
		t.Errorf("redirected to %q, not to the next that is alive", target)
	}
	redirected := 0
	for range 1000 {
		if c.redirectTarget("a") != "" {
			redirected++
		}
	}
	if redirected > 500 {
		t.Errorf("%d of 1000 were redirected at once", redirected)
	}
}
