package controller

import (
	"context"
	"time"

	"dalefront/internal/peer"
)

// heartbeatPeer exchanges what is known about the term with a peer.
func (c *Controller) heartbeatPeer(ctx context.Context, label string, p *peer.Client) {
	for {
		a, err := p.Heartbeat(ctx, c.newHeartbeat())
		if err == nil {
			c.peerTable.recordSeen(label, time.Now())
			c.handlePeerHeartbeat(label, a)
			c.peerTable.recordOwnRestarts(a.RecentRestarts, time.Now())
			// At second hand: a controller that was started within an outage has the permission
			// from those that live on.
			c.term.allowRenewal(a.RenewalToken)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
	}
}

// handlePeerHeartbeat takes a hello of a peer, or the answer to one, and is how often that peer was
// started anew lately.
func (c *Controller) handlePeerHeartbeat(label string, h *peer.Heartbeat) int {
	c.recordTermOf(h)
	c.config.recordPeer(label, h)
	c.leaderWatch.recordAlive(label, h.ProcessID)
	return c.recordPeerProcess(label, h.ProcessID, time.Now())
}

// recordTermOf takes what a peer's hello says of the term and of others.
func (c *Controller) recordTermOf(h *peer.Heartbeat) {
	if h.Token == 0 {
		return
	}
	c.observeTerm(h.Leader, h.Token)
	if h.From == h.Leader {
		c.term.allowRenewal(h.Token)
	}
	if h.Leading && h.From == h.Leader {
		c.term.recordLeaderProcess(termProcess{h.Token, h.ProcessID})
	}
	c.acceptStandbyView(h)
	if h.CannotFollow && c.peers[h.From] != nil {
		c.peerTable.recordUnfit(h.From, time.Now())
	}
}

func (c *Controller) newHeartbeat() *peer.Heartbeat {
	term := c.term.view()
	h := &peer.Heartbeat{From: c.settings.Label, Leader: term.leader, Token: term.token, ProcessID: c.processID, Leading: term.isLeading() && term.leading == term.token}
	h.CannotFollow = c.follower.unfit()
	h.SupportsConfig, h.Generation = true, c.config.current().generation
	if view := c.peerTable.standbyView(); view.Token > 0 {
		h.StandbyView = &view
	}
	h.RenewalToken = c.term.renewalToken()
	return h
}

// PeerHeartbeat implements peer.Server.
func (c *Controller) PeerHeartbeat(ctx context.Context, h *peer.Heartbeat) (*peer.Heartbeat, error) {
	ends := c.handlePeerHeartbeat(h.From, h)
	a := c.newHeartbeat()
	a.RecentRestarts = ends
	if h.Probe != "" {
		a.Probe, a.Reached = h.Probe, c.reachesProcess(ctx, h.Probe, h.ProbeProcessID)
	}
	if h.WantContacts {
		a.Contacts = c.workerContacts.recent()
	}
	return a, nil
}
