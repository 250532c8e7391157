package controller

import (
	"context"
	"math/rand/v2"
	"time"
)

// A controller that keeps ending is no good leader: every end of its costs a takeover.
// It can't know of its earlier processes, but its peers can: each heartbeat names the process
// that sends it, and the answer says how often the controller was restarted lately. One
// that hears of several restarts lets the others try for the term first. This is bounded, and
// forgotten after a minute: when all of them keep ending somebody acts all the same.

const (
	// firstAnswersWait is for how long a new process waits for the first answer of a peer before it
	// tries for the term: peers that run have answered by then.
	firstAnswersWait = 150 * time.Millisecond
	// firstAnswersPoll is how often it looks for one.
	firstAnswersPoll = 5 * time.Millisecond
)

// newProcessID names this process; it is never 0.
func newProcessID() uint64 { return rand.Uint64() | 1 }

// recordPeerProcess takes which process of a peer sent a heartbeat, and returns how often the peer was
// restarted lately. A process of no member, or of a version that doesn't name it, is not counted.
func (c *Controller) recordPeerProcess(label string, processID uint64, now time.Time) int {
	if processID == 0 || c.peers[label] == nil {
		return 0
	}
	return c.peerTable.recordProcess(label, processID, now)
}

// yieldsElection says whether this controller lets others go first: it was restarted often lately,
// and one that was not is there. A process that has just begun waits a moment to hear of it.
func (c *Controller) yieldsElection(ctx context.Context) bool {
	for !c.peerTable.hasAnswers() && len(c.peers) > 0 && c.clock.age() < firstAnswersWait && ctx.Err() == nil {
		sleepContext(ctx, firstAnswersPoll)
	}
	return c.peerTable.isUnstable(time.Now())
}
