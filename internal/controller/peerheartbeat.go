package controller

import (
	"context"
	"time"

	"dalefront/internal/peer"
	"dalefront/wire"
)

// heartbeatPeer exchanges what is known about the term with a peer.
func (n *Controller) heartbeatPeer(ctx context.Context, label string, p *peer.Client) {
	for {
		a, err := p.Heartbeat(ctx, n.newHeartbeat())
		if err == nil {
			n.mu.Lock()
			n.peerSeenAt[label] = time.Now()
			n.mu.Unlock()
			n.handlePeerHeartbeat(label, a)
			n.recordOwnRestarts(a.RecentRestarts)
			n.acceptRenewalToken(a)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
	}
}

// leaderProcess is the process that said hello as leader, and under which token.
type leaderProcess struct{ token, process uint64 }

// handlePeerHeartbeat takes a hello of a peer, or the answer to one, and is how often that peer was
// started anew lately.
func (n *Controller) handlePeerHeartbeat(label string, h *peer.Heartbeat) int {
	n.recordTermOf(h)
	n.config.recordPeerConfig(label, h)
	n.follower.leaderIsAlive(label, h.ProcessID)
	return n.recordPeerProcess(label, h.ProcessID, time.Now())
}

// recordTermOf takes what a peer's hello says of the term and of others.
func (n *Controller) recordTermOf(h *peer.Heartbeat) {
	if h.Token == 0 {
		return
	}
	n.observeTerm(h.Leader, h.Token)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.acceptStandbyView(h)
	if h.CannotFollow && n.peers[h.From] != nil {
		n.peerUnfitAt[h.From] = time.Now()
	}
	if h.From == h.Leader {
		n.renewalToken = max(n.renewalToken, h.Token)
	}
	if h.Leading && h.From == h.Leader && h.Token >= n.leaderProcess.token {
		n.leaderProcess = leaderProcess{h.Token, h.ProcessID}
	}
}

// acceptRenewalToken takes a grant at second hand: a node that was started within an outage has it
// from those that live on.
func (n *Controller) acceptRenewalToken(h *peer.Heartbeat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.renewalToken = max(n.renewalToken, h.RenewalToken)
}

// mayRenewLease says whether this node may renew the worker's lease by itself: under the
// leader's grant, which is its token in a hello, while neither the leader nor the state
// service is in reach. It carries no commands, and nothing is ever freed because time has
// passed, so a grant that outlives its leader starts nothing twice, and nobody was told of a
// cancellation whose tasks it keeps alive.
func (n *Controller) mayRenewLease(r *wire.Heartbeat) (uint64, bool) {
	if n.store.Reachable(3 * time.Second) {
		return 0, false // then another leader can be found
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.renewalToken, n.renewalToken > 0 && n.renewalToken == n.token && r.FencingToken <= n.renewalToken
}

func (n *Controller) newHeartbeat() *peer.Heartbeat {
	leader, token, leading := n.termView()
	h := &peer.Heartbeat{From: n.settings.Label, Leader: leader, Token: token, ProcessID: n.processID, Leading: leading != 0 && leading == token}
	h.CannotFollow = n.follower.unfit()
	h.SupportsConfig, h.Generation = true, n.config.current().number
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.standbyView.Token > 0 {
		v := n.standbyView
		h.StandbyView = &v
	}
	h.RenewalToken = n.renewalToken
	return h
}

// PeerHeartbeat implements peer.Server.
func (n *Controller) PeerHeartbeat(ctx context.Context, h *peer.Heartbeat) (*peer.Heartbeat, error) {
	ends := n.handlePeerHeartbeat(h.From, h)
	a := n.newHeartbeat()
	a.RecentRestarts = ends
	if h.Probe != "" {
		a.Probe, a.Reached = h.Probe, n.reachesProcess(ctx, h.Probe, h.ProbeProcessID)
	}
	if h.WantContacts {
		a.Contacts = n.workerContacts()
	}
	return a, nil
}
