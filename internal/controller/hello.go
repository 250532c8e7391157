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
		a, err := p.Heartbeat(ctx, n.hello())
		if err == nil {
			n.mu.Lock()
			n.peerAt[label] = time.Now()
			n.mu.Unlock()
			n.meets(label, a)
			n.counted(a.RecentRestarts)
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
func (n *Node) meets(label string, h *peer.Heartbeat) int {
	n.heard(h)
	n.config.heard(label, h)
	n.warm.lives(label, h.ProcessID)
	return n.greeted(label, h.ProcessID, time.Now())
}

// heard takes what a peer's hello says of the term and of others.
func (n *Node) heard(h *peer.Heartbeat) {
	if h.Token == 0 {
		return
	}
	n.learn(h.Leader, h.Token)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.takeView(h)
	if h.CannotFollow && n.peers[h.From] != nil {
		n.unfitAt[h.From] = time.Now()
	}
	if h.From == h.Leader {
		n.grant = max(n.grant, h.Token)
	}
	if h.Leading && h.From == h.Leader && h.Token >= n.acting.token {
		n.acting = acting{h.Token, h.ProcessID}
	}
}

// inherits takes a grant at second hand: a node that was started within an outage has it
// from those that live on.
func (n *Node) inherits(h *peer.Heartbeat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.grant = max(n.grant, h.RenewalToken)
}

// mayRenew says whether this node may renew the worker's lease by itself: under the
// leader's grant, which is its token in a hello, while neither the leader nor the state
// service is in reach. It carries no commands, and nothing is ever freed because time has
// passed, so a grant that outlives its leader starts nothing twice, and nobody was told of a
// cancellation whose tasks it keeps alive.
func (n *Node) mayRenew(r *wire.Heartbeat) (uint64, bool) {
	if n.state.Reachable(3 * time.Second) {
		return 0, false // then another leader can be found
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.grant, n.grant > 0 && n.grant == n.token && r.FencingToken <= n.grant
}

func (n *Node) hello() *peer.Heartbeat {
	leader, token, leading := n.view()
	h := &peer.Heartbeat{From: n.set.Label, Leader: leader, Token: token, ProcessID: n.born, Leading: leading != 0 && leading == token}
	h.CannotFollow = n.warm.unfit()
	h.SupportsConfig, h.Generation = true, n.config.current().number
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stand.Token > 0 {
		v := n.stand
		h.StandbyView = &v
	}
	h.RenewalToken = n.grant
	return h
}

// PeerHeartbeat implements peer.Server.
func (n *Node) PeerHeartbeat(ctx context.Context, h *peer.Heartbeat) (*peer.Heartbeat, error) {
	ends := n.meets(h.From, h)
	a := n.hello()
	a.RecentRestarts = ends
	if h.Probe != "" {
		a.Probe, a.Reached = h.Probe, n.reaches(ctx, h.Probe, h.ProbeProcessID)
	}
	if h.WantContacts {
		a.Contacts = n.heardWorkers()
	}
	return a, nil
}
