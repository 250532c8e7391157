package controller

import (
	"context"
	"net/http"
	"time"

	"dalefront/internal/peer"
)

// finishTime bounds how long requests that were begun may take; none has longer.
const finishTime = 5 * time.Second

// Drain has Run end in order: it may be called more than once, from anywhere.
func (c *Controller) Drain() {
	if c.draining.CompareAndSwap(false, true) {
		close(c.drained)
	}
}

// shutDown hands the term over, so that no time passes without a leader, goes on
// serving until the load balancer has taken this controller out, and finishes what was
// begun. To the cluster it is a leader that crashed, but for the time it takes to
// notice: nothing depends on its last requests.
func (c *Controller) shutDown(ctx context.Context, server *http.Server) {
	c.log.Info("draining")
	c.owner.post(func() {
		if l := c.owner.leadership; l != nil {
			c.log.Info("leadership transferred", "token", l.token)
			l.stepDown() // the election ends the term's lease, and the key goes with it
		}
	})
	sleepContext(ctx, seconds(*c.settings.Operator.DrainS))
	ctx, cancel := context.WithTimeout(ctx, finishTime)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
	c.log.Info("stopped")
}

// TransferLeadership lets another controller become leader, if this one is: it gives its term up and
// lets the others go first for a while. Nothing that runs is stopped.
func (c *Controller) TransferLeadership() {
	c.owner.post(func() {
		if l := c.owner.leadership; l != nil {
			l.transfer()
		} else {
			c.log.Info("leadership transfer refused: not the leader")
		}
	})
}

// transfer gives the term up on an operator's request. Owner goroutine.
func (l *leadership) transfer() {
	l.controller.log.Info("transferring leadership", "token", l.token)
	l.resign()
}

// PeerTransferLeadership implements peer.Server. A request that comes late is for another term.
func (c *Controller) PeerTransferLeadership(ctx context.Context, request *peer.TransferRequest) (*peer.TransferResponse, error) {
	transferred, _ := callOwner(ctx, c.owner, func() bool {
		l := c.owner.leadership
		if l == nil || l.token != request.Token {
			return false
		}
		l.transfer()
		return true
	})
	return &peer.TransferResponse{Transferred: transferred}, ctx.Err()
}
