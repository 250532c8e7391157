package controller

import (
	"context"
	"net/http"
	"time"

	"dalefront/internal/peer"
)

// shutdownTimeout is the time within which HTTP requests in progress must finish at shutdown. No request has
// a longer time limit.
const shutdownTimeout = 5 * time.Second

// Drain makes Run shut down gracefully. It may be called more than once and concurrently.
func (c *Controller) Drain() {
	if c.draining.CompareAndSwap(false, true) {
		close(c.drainRequested)
	}
}

// shutDown gives up the term, so that another controller can take it immediately. It keeps serving until the
// load balancer has removed this controller, and lets requests in progress finish. The other controllers
// handle a shutdown like a crash of the leader, except that they need not detect it first. It therefore does
// no harm if the last requests of this controller fail.
func (c *Controller) shutDown(ctx context.Context, server *http.Server) {
	c.log.Info("draining")
	c.owner.post(func() {
		if l := c.owner.leadership; l != nil {
			c.log.Info("leadership transferred", "token", l.token)
			l.stepDown() // after stepDown the election ends the term's lease, which deletes the term key
		}
	})
	sleepContext(ctx, seconds(*c.settings.Operator.DrainS))
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
	c.log.Info("stopped")
}

// TransferLeadership lets another controller become leader if this controller is the leader. This
// controller resigns its term and doesn't run for election for a while. Running tasks continue.
func (c *Controller) TransferLeadership() {
	c.owner.post(func() {
		if l := c.owner.leadership; l != nil {
			l.transfer()
		} else {
			c.log.Info("leadership transfer refused: not the leader")
		}
	})
}

// transfer resigns the term at an operator's request. It must be called on the owner goroutine.
func (l *leadership) transfer() {
	l.controller.log.Info("transferring leadership", "token", l.token)
	l.resign()
}

// PeerTransferLeadership implements peer.Server. It refuses a request whose token is not that of this
// controller's term, for example a request that arrives late.
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
