package controller

import (
	"context"
	"math/rand/v2"
	"time"
)

// A controller that keeps ending is no good leader: every end of its costs a takeover.
// It can't know of its earlier processes, but its peers can: each hello names the process
// that sends it, and the answer says how often the node was started anew lately. A node
// that hears of several lets the others try for the term first. This is bounded, and
// forgotten after a minute: when all of them keep ending somebody acts all the same.

const (
	restartWindow       = time.Minute            // for so long an end is remembered
	maxCountedRestarts  = 8                      // of which no more are counted
	yieldFromRestarts   = 2                      // from so many on a node lets others go first
	yieldPerRestart     = 250 * time.Millisecond // for so long for each
	firstHeartbeatsWait = 150 * time.Millisecond // within which peers that run have answered
)

// peerProcess is what a node knows of a peer's processes.
type peerProcess struct {
	id       uint64
	restarts []time.Time
}

// newProcessID names this process.
func newProcessID() uint64 { return rand.Uint64() | 1 }

// recentRestarts drops the ends that are forgotten.
func (s *peerProcess) recentRestarts(now time.Time) int {
	for len(s.restarts) > 0 && now.Sub(s.restarts[0]) > restartWindow {
		s.restarts = s.restarts[1:]
	}
	return len(s.restarts)
}

// recordPeerProcess takes which process of a peer said hello, and is how often the peer was
// started anew lately.
func (c *Controller) recordPeerProcess(label string, born uint64, now time.Time) int {
	if born == 0 || c.peers[label] == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.peerProcesses[label]
	if s == nil {
		s = &peerProcess{}
		c.peerProcesses[label] = s
	}
	if s.id != 0 && s.id != born && len(s.restarts) < maxCountedRestarts {
		s.restarts = append(s.restarts, now)
	}
	s.id = born
	return s.recentRestarts(now)
}

// recordOwnRestarts takes how often a peer saw this node started anew lately.
func (c *Controller) recordOwnRestarts(ends int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerAnswers++
	if ends = min(ends, maxCountedRestarts); ends > 0 && ends >= c.ownRestarts {
		c.ownRestarts, c.ownRestartsAt = ends, time.Now()
	}
}

// yieldsElection says whether this node lets others go first: it has ended often lately, and one
// that has not is there. A process that has just begun waits a moment to hear of it.
func (c *Controller) yieldsElection(ctx context.Context) bool {
	heard := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.peerAnswers > 0
	}
	for !heard() && len(c.peers) > 0 && time.Since(c.startedAt) < firstHeartbeatsWait && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.ownRestarts < yieldFromRestarts || now.Sub(c.ownRestartsAt) > restartWindow {
		return false
	}
	for label, at := range c.peerSeenAt {
		s := c.peerProcesses[label]
		if now.Sub(at) < 2*time.Second && (s == nil || s.recentRestarts(now) < c.ownRestarts) {
			return true
		}
	}
	return false
}

// yieldDuration is for how long.
func (c *Controller) yieldDuration() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.ownRestarts) * yieldPerRestart
}
