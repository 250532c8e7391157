package controller

import (
	"context"
	"time"

	"dalefront/internal/peer"
	"dalefront/wire"
)

// greet exchanges what is known about the term with a peer.
func (n *Node) greet(ctx context.Context, label string, p *peer.Client) {
	for {
		a, err := p.Hello(ctx, n.hello())
		if err == nil {
			n.mu.Lock()
			n.peerAt[label] = time.Now()
			n.mu.Unlock()
			n.meets(label, a)
			n.counted(a.Ends)
			n.inherits(a)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
	}
}

// acting is the process that said hello as leader, and under which token.
type acting struct{ token, process uint64 }

// meets takes a hello of a peer, or the answer to one, and is how often that peer was
// started anew lately.
func (n *Node) meets(label string, h *peer.Hello) int {
	n.heard(h)
	n.config.heard(label, h)
	n.warm.lives(label, h.Born)
	return n.greeted(label, h.Born, time.Now())
}

// heard takes what a peer's hello says of the term and of others.
func (n *Node) heard(h *peer.Hello) {
	if h.Token == 0 {
		return
	}
	n.learn(h.Leader, h.Token)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.takeView(h)
	if h.Unfit && n.peers[h.From] != nil {
		n.unfitAt[h.From] = time.Now()
	}
	if h.From == h.Leader {
		n.grant = max(n.grant, h.Token)
	}
	if h.Acts && h.From == h.Leader && h.Token >= n.acting.token {
		n.acting = acting{h.Token, h.Born}
	}
}

// inherits takes a grant at second hand: a node that was started within an outage has it
// from those that live on.
func (n *Node) inherits(h *peer.Hello) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.grant = max(n.grant, h.Grant)
}

// mayRenew says whether this node may renew the worker's lease by itself: under the
// leader's grant, which is its token in a hello, while neither the leader nor the state
// service is in reach. It carries no commands, and nothing is ever freed because time has
// passed, so a grant that outlives its leader starts nothing twice, and nobody was told of a
// cancellation whose tasks it keeps alive.
func (n *Node) mayRenew(r *wire.Report) (uint64, bool) {
	if n.state.Reachable(3 * time.Second) {
		return 0, false // then another leader can be found
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.grant, n.grant > 0 && n.grant == n.token && r.Token <= n.grant
}

func (n *Node) hello() *peer.Hello {
	leader, token, leading := n.view()
	h := &peer.Hello{From: n.set.Label, Leader: leader, Token: token, Born: n.born, Acts: leading != 0 && leading == token}
	h.Unfit = n.warm.unfit()
	h.Configures, h.Generation = true, n.config.current().number
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stand.Token > 0 {
		v := n.stand
		h.View = &v
	}
	h.Grant = n.grant
	return h
}

// PeerHello implements peer.Server.
func (n *Node) PeerHello(ctx context.Context, h *peer.Hello) (*peer.Hello, error) {
	ends := n.meets(h.From, h)
	a := n.hello()
	a.Ends = ends
	if h.Probe != "" {
		a.Probe, a.Reached = h.Probe, n.reaches(ctx, h.Probe, h.ProbeBorn)
	}
	if h.Ask {
		a.Heard = n.heardWorkers()
	}
	return a, nil
}
