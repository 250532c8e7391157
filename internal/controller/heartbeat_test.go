package controller

import (
	"context"
	"net/http"
	"testing"
	"time"

	"dalefront/internal/config"
	"dalefront/internal/peer"
	"dalefront/internal/sched"
	"dalefront/wire"
)

// A controller that does not hold the term must not answer a heartbeat with 200, and without the
// leader's permission it must not renew a lease either.
func TestHeartbeatWithoutTerm(t *testing.T) {
	c := newTestController(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	heartbeat := &wire.Heartbeat{Host: "n-1", Type: "s", Zone: "x", Incarnation: 1, Sequence: 1, FencingToken: 5}
	if _, err := c.Heartbeat(context.Background(), heartbeat); err == nil {
		t.Error("a controller without a term answered 200")
	}
	c.recordTermOf(&peer.Heartbeat{From: "b", Leader: "b", Token: 5})
	if token, ok := c.mayRenewLease(heartbeat); !ok || token != 5 {
		t.Errorf("with a fresh permission: token %d, %v", token, ok)
	}
	heartbeat.FencingToken = 6
	if _, ok := c.mayRenewLease(heartbeat); ok {
		t.Error("renewed although the worker has seen a higher token")
	}
	c.recordTermOf(&peer.Heartbeat{From: "c", Leader: "d", Token: 7})
	heartbeat.FencingToken = 5
	if _, ok := c.mayRenewLease(heartbeat); ok {
		t.Error("renewed under a permission that a higher token has ended")
	}
}

// endedUnseen is a context that has ended by the time its caller waits, while whoever asks for its
// error before that finds none.
type endedUnseen struct{ context.Context }

func (endedUnseen) Done() <-chan struct{} {
	ended := make(chan struct{})
	close(ended)
	return ended
}

func (endedUnseen) Err() error { return nil }

// A heartbeat whose caller has given up is still handled by the owner goroutine: the caller gets its
// whole answer or none, never what is being written there. The race detector tells.
func TestHeartbeatGivenUp(t *testing.T) {
	one := 1.0
	c := newTestController(t, func(http.ResponseWriter, *http.Request) {}, func(set *config.Settings) {
		set.Operator.PreemptionDelayS, set.Operator.CheckpointMBPerS = &one, &one
	})
	l := newLeadership(t.Context(), c, 5, &lease{})
	l.core = sched.New(c.settings, 5, c.now(), wire.Catalog{}, func(string, ...any) {})
	c.owner.leadership = l
	c.term.observe("", 5)
	c.term.startLeading(5)
	handled := make(chan struct{})
	go func() {
		defer close(handled)
		time.Sleep(20 * time.Millisecond) // for the caller to give up; nothing rests on it
		(<-c.owner.queue)()
	}()
	heartbeat := wire.Heartbeat{Host: "n-1", Type: "s", Zone: "x", Incarnation: 1, Sequence: 1, FencingToken: 5}
	if response, ok := c.handleHeartbeat(endedUnseen{t.Context()}, &heartbeat); ok && response.FencingToken != 5 {
		t.Errorf("answered with %+v", response)
	}
	<-handled
}
