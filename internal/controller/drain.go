package controller

import (
	"context"
	"net/http"
	"time"

	"dalefront/internal/peer"
)

// Drain has Run end in order: it may be called once, from anywhere.
func (n *Node) Drain() {
	if n.draining.CompareAndSwap(false, true) {
		close(n.drained)
	}
}

// finishTime bounds how long requests that were begun may take; none has longer.
const finishTime = 5 * time.Second

// windUp hands the term over, so that no time passes without a leader, goes on
// serving until the load balancer has taken this node out, and finishes what was
// begun. To the cluster it is a leader that crashed, but for the time it takes to
// notice: nothing depends on its last words.
func (n *Node) windUp(ctx context.Context, srv *http.Server) {
	n.log.Info("draining")
	n.post(func() {
		if n.leadership != nil {
			n.log.Info("term handed over", "token", n.leadership.token)
			n.leadership.end() // the term's loop ends its lease, and the key goes with it
		}
	})
	select {
	case <-ctx.Done():
	case <-time.After(seconds(*n.set.Operator.DrainS)):
	}
	ctx, cancel := context.WithTimeout(ctx, finishTime)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		_ = srv.Close()
	}
	n.log.Info("ended")
}

// HandOver lets another node become leader, if this one is: it gives its term up and lets
// the others go first for a while. Nothing that runs is stopped.
func (n *Node) HandOver() {
	n.post(func() {
		if !n.handOver() {
			n.log.Info("no term to hand over: this node is not the leader")
		}
	})
}

// handOver says whether there was a term to hand over. Owner goroutine.
func (n *Node) handOver() bool {
	r := n.leadership
	if r == nil {
		return false
	}
	n.log.Info("hands the term over", "token", r.token)
	n.mu.Lock()
	n.gaveUp = r.token
	n.mu.Unlock()
	r.end()
	return true
}

// PeerTransferLeadership implements peer.Server. A request that comes late is for another term.
func (n *Node) PeerTransferLeadership(ctx context.Context, h *peer.TransferRequest) (*peer.TransferResponse, error) {
	var a peer.TransferResponse
	n.do(ctx, func() { a.Transferred = n.leadership != nil && n.leadership.token == h.Token && n.handOver() })
	return &a, ctx.Err()
}
