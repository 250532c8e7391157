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
func (n *Controller) recordPeerProcess(label string, born uint64, now time.Time) int {
	if born == 0 || n.peers[label] == nil {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.peerProcesses[label]
	if s == nil {
		s = &peerProcess{}
		n.peerProcesses[label] = s
	}
	if s.id != 0 && s.id != born && len(s.restarts) < maxCountedRestarts {
		s.restarts = append(s.restarts, now)
	}
	s.id = born
	return s.recentRestarts(now)
}

// recordOwnRestarts takes how often a peer saw this node started anew lately.
func (n *Controller) recordOwnRestarts(ends int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peerAnswers++
	if ends = min(ends, maxCountedRestarts); ends > 0 && ends >= n.ownRestarts {
		n.ownRestarts, n.ownRestartsAt = ends, time.Now()
	}
}

// yieldsElection says whether this node lets others go first: it has ended often lately, and one
// that has not is there. A process that has just begun waits a moment to hear of it.
func (n *Controller) yieldsElection(ctx context.Context) bool {
	heard := func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.peerAnswers > 0
	}
	for !heard() && len(n.peers) > 0 && time.Since(n.startedAt) < firstHeartbeatsWait && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.ownRestarts < yieldFromRestarts || now.Sub(n.ownRestartsAt) > restartWindow {
		return false
	}
	for label, at := range n.peerSeenAt {
		s := n.peerProcesses[label]
		if now.Sub(at) < 2*time.Second && (s == nil || s.recentRestarts(now) < n.ownRestarts) {
			return true
		}
	}
	return false
}

// yieldDuration is for how long.
func (n *Controller) yieldDuration() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.ownRestarts) * yieldPerRestart
}
