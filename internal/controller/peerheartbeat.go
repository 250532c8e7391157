package controller

import (
	"context"
	"time"

	"dalefront/internal/peer"
)

// peerHeartbeatInterval is the pause between two heartbeats to a peer.
const peerHeartbeatInterval = time.Second

// heartbeatPeer sends heartbeats to a peer and handles the answers until the context is cancelled.
func (c *Controller) heartbeatPeer(ctx context.Context, label string, client *peer.Client) {
	for ctx.Err() == nil {
		if answer, err := client.Heartbeat(ctx, c.newHeartbeat()); err == nil {
			c.handleHeartbeatAnswer(label, answer)
		}
		sleepContext(ctx, peerHeartbeatInterval)
	}
}

// handleHeartbeatAnswer handles a peer's answer to a heartbeat of this controller.
func (c *Controller) handleHeartbeatAnswer(label string, answer *peer.Heartbeat) {
	now := time.Now()
	c.peerTable.recordSeen(label, now)
	c.handlePeerHeartbeat(label, answer)
	c.peerTable.recordOwnRestarts(answer.RecentRestarts, now)
	// The leader's own heartbeats grant the permission to renew workers' leases. A controller that is
	// started during an outage gets the permission from the peers that still have it.
	c.term.allowRenewal(answer.RenewalToken)
}

// handlePeerHeartbeat handles a peer's heartbeat or a peer's answer to a heartbeat of this controller.
// It returns the number of the peer's recent restarts.
func (c *Controller) handlePeerHeartbeat(label string, heartbeat *peer.Heartbeat) int {
	c.recordTermOf(heartbeat)
	c.config.recordPeerHeartbeat(label, heartbeat)
	c.leaderWatch.recordAlive(label, heartbeat.ProcessID)
	return c.recordPeerProcess(label, heartbeat.ProcessID, time.Now())
}

// recordTermOf records the term in a peer's heartbeat. If the heartbeat has a term, recordTermOf also records
// the heartbeat's choice of standbys, and whether the peer failed to follow the stored state.
func (c *Controller) recordTermOf(heartbeat *peer.Heartbeat) {
	if heartbeat.Token == 0 {
		return
	}
	c.observeTerm(heartbeat.Leader, heartbeat.Token)
	if heartbeat.From == heartbeat.Leader {
		c.term.allowRenewal(heartbeat.Token)
		if heartbeat.Leading {
			c.term.recordLeaderProcess(leaderProcess{heartbeat.Token, heartbeat.ProcessID})
		}
	}
	c.acceptStandbyView(heartbeat)
	if heartbeat.CannotFollow && c.peers[heartbeat.From] != nil {
		c.peerTable.recordUnfit(heartbeat.From, time.Now())
	}
}

// newHeartbeat returns a heartbeat with the current state of this controller.
func (c *Controller) newHeartbeat() *peer.Heartbeat {
	term := c.term.view()
	heartbeat := &peer.Heartbeat{
		From: c.settings.Label, ProcessID: c.processID,
		Leader: term.leader, Token: term.token, Leading: term.isLeading() && term.leadingToken == term.token,
		CannotFollow:   c.follower.isUnfit(),
		SupportsConfig: true, Generation: c.config.current().generation,
		RenewalToken: c.term.renewalToken(),
	}
	if view := c.peerTable.standbyView(); view.Token > 0 {
		heartbeat.StandbyView = &view
	}
	return heartbeat
}

// PeerHeartbeat implements peer.Server.
func (c *Controller) PeerHeartbeat(ctx context.Context, heartbeat *peer.Heartbeat) (*peer.Heartbeat, error) {
	restarts := c.handlePeerHeartbeat(heartbeat.From, heartbeat)
	answer := c.newHeartbeat()
	answer.RecentRestarts = restarts
	if heartbeat.Probe != "" {
		answer.Probe, answer.Reached = heartbeat.Probe, c.reachesProcess(ctx, heartbeat.Probe, heartbeat.ProbeProcessID)
	}
	if heartbeat.WantContacts {
		answer.Contacts = c.workerContacts.recent()
	}
	return answer, nil
}
