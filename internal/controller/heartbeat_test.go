package controller

import (
	"context"
	"net/http"
	"testing"

	"dalefront/internal/peer"
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
