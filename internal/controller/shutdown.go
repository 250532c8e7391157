package controller

import (
	"context"
	"net/http"
	"time"

	"dalefront/internal/peer"
)

// Drain has Run end in order: it may be called once, from anywhere.
func (c *Controller) Drain() {
	if c.draining.CompareAndSwap(false, true) {
		close(c.drained)
	}
}

// finishTime bounds how long requests that were begun may take; none has longer.
const finishTime = 5 * time.Second

// shutDown hands the term over, so that no time passes without a leader, goes on
// serving until the load balancer has taken this node out, and finishes what was
// begun. To the cluster it is a leader that crashed, but for the time it takes to
// notice: nothing depends on its last words.
func (c *Controller) shutDown(ctx context.Context, srv *http.Server) {
	c.log.Info("draining")
	c.owner.post(func() {
		if c.owner.leadership != nil {
			c.log.Info("term handed over", "token", c.owner.leadership.token)
			c.owner.leadership.stepDown() // the term's loop ends its lease, and the key goes with it
		}
	})
	select {
	case <-ctx.Done():
	case <-time.After(seconds(*c.settings.Operator.DrainS)):
	}
	ctx, cancel := context.WithTimeout(ctx, finishTime)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		_ = srv.Close()
	}
	c.log.Info("ended")
}

// TransferLeadership lets another node become leader, if this one is: it gives its term up and lets
// the others go first for a while. Nothing that runs is stopped.
func (c *Controller) TransferLeadership() {
	c.owner.post(func() {
		if !c.transferLeadership() {
			c.log.Info("no term to hand over: this node is not the leader")
		}
	})
}

// transferLeadership says whether there was a term to hand over. Owner goroutine.
func (c *Controller) transferLeadership() bool {
	r := c.owner.leadership
	if r == nil {
		return false
	}
	c.log.Info("hands the term over", "token", r.token)
	r.resign()
	return true
}

// PeerTransferLeadership implements peer.Server. A request that comes late is for another term.
func (c *Controller) PeerTransferLeadership(ctx context.Context, h *peer.TransferRequest) (*peer.TransferResponse, error) {
	var a peer.TransferResponse
	c.owner.call(ctx, func() {
		a.Transferred = c.owner.leadership != nil && c.owner.leadership.token == h.Token && c.transferLeadership()
	})
	return &a, ctx.Err()
}
