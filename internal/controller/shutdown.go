package controller

import (
	"context"
	"net/http"
	"time"

	"dalefront/internal/peer"
)

// Drain has Run end in order: it may be called once, from anywhere.
func (n *Controller) Drain() {
	if n.draining.CompareAndSwap(false, true) {
		close(n.drained)
	}
}

// finishTime bounds how long requests that were begun may take; none has longer.
const finishTime = 5 * time.Second

// shutDown hands the term over, so that no time passes without a leader, goes on
// serving until the load balancer has taken this node out, and finishes what was
// begun. To the cluster it is a leader that crashed, but for the time it takes to
// notice: nothing depends on its last words.
func (n *Controller) shutDown(ctx context.Context, srv *http.Server) {
	n.log.Info("draining")
	n.postToOwner(func() {
		if n.leadership != nil {
			n.log.Info("term handed over", "token", n.leadership.token)
			n.leadership.stepDown() // the term's loop ends its lease, and the key goes with it
		}
	})
	select {
	case <-ctx.Done():
	case <-time.After(seconds(*n.settings.Operator.DrainS)):
	}
	ctx, cancel := context.WithTimeout(ctx, finishTime)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		_ = srv.Close()
	}
	n.log.Info("ended")
}

// TransferLeadership lets another node become leader, if this one is: it gives its term up and lets
// the others go first for a while. Nothing that runs is stopped.
func (n *Controller) TransferLeadership() {
	n.postToOwner(func() {
		if !n.transferLeadership() {
			n.log.Info("no term to hand over: this node is not the leader")
		}
	})
}

// transferLeadership says whether there was a term to hand over. Owner goroutine.
func (n *Controller) transferLeadership() bool {
	r := n.leadership
	if r == nil {
		return false
	}
	n.log.Info("hands the term over", "token", r.token)
	n.mu.Lock()
	n.resignedToken = r.token
	n.mu.Unlock()
	r.stepDown()
	return true
}

// PeerTransferLeadership implements peer.Server. A request that comes late is for another term.
func (n *Controller) PeerTransferLeadership(ctx context.Context, h *peer.TransferRequest) (*peer.TransferResponse, error) {
	var a peer.TransferResponse
	n.runOnOwner(ctx, func() { a.Transferred = n.leadership != nil && n.leadership.token == h.Token && n.transferLeadership() })
	return &a, ctx.Err()
}
