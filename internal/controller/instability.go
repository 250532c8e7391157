package controller

import (
	"context"
	"math/rand/v2"
	"time"
)

// A controller that restarts repeatedly is a poor leader, since each restart costs a takeover. A process
// can't know how often its controller was restarted before, but its peers can. Each heartbeat between
// controllers carries the ID of the sending process, and the response says how often the sending controller
// was restarted lately. A controller that was restarted several times lets its peers run for election first.
// This delay is bounded and restarts are forgotten after a minute, so that there is a leader even if all
// controllers restart repeatedly.

const (
	// firstAnswerTimeout is the time after its start for which a process waits for the first response of a
	// peer before it runs for election. A running peer responds within that time.
	firstAnswerTimeout = 150 * time.Millisecond
	// firstAnswerPollInterval is the interval at which the process checks whether a peer has responded.
	firstAnswerPollInterval = 5 * time.Millisecond
)

// newProcessID returns a random ID for this process. It is never 0.
func newProcessID() uint64 { return rand.Uint64() | 1 }

// recordPeerProcess records which process of a peer sent a heartbeat, and returns how often the peer
// was restarted lately. It ignores controllers that are not members and peers of earlier versions,
// which send no process ID.
func (c *Controller) recordPeerProcess(label string, processID uint64, now time.Time) int {
	if processID == 0 || c.peers[label] == nil {
		return 0
	}
	return c.peerTable.recordProcess(label, processID, now)
}

// shouldYieldElection reports whether this controller lets its peers run for election first. It does so if
// it was restarted often lately, and a live peer was restarted less often. A process that has just started
// waits up to firstAnswerTimeout for the first response of a peer.
func (c *Controller) shouldYieldElection(ctx context.Context) bool {
	for !c.peerTable.hasAnswers() && len(c.peers) > 0 && c.clock.uptime() < firstAnswerTimeout && ctx.Err() == nil {
		sleepContext(ctx, firstAnswerPollInterval)
	}
	return c.peerTable.isUnstable(time.Now())
}
