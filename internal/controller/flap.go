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
	endsCount  = time.Minute            // for so long an end is remembered
	mostEnds   = 8                      // of which no more are counted
	manyEnds   = 2                      // from so many on a node lets others go first
	yieldEach  = 250 * time.Millisecond // for so long for each
	hellosWait = 150 * time.Millisecond // within which peers that run have answered
)

// starts is what a node knows of a peer's processes.
type starts struct {
	born uint64
	ends []time.Time
}

// newBorn names this process.
func newBorn() uint64 { return rand.Uint64() | 1 }

// lately drops the ends that are forgotten.
func (s *starts) lately(now time.Time) int {
	for len(s.ends) > 0 && now.Sub(s.ends[0]) > endsCount {
		s.ends = s.ends[1:]
	}
	return len(s.ends)
}

// greeted takes which process of a peer said hello, and is how often the peer was
// started anew lately.
func (n *Node) greeted(label string, born uint64, now time.Time) int {
	if born == 0 || n.peers[label] == nil {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.started[label]
	if s == nil {
		s = &starts{}
		n.started[label] = s
	}
	if s.born != 0 && s.born != born && len(s.ends) < mostEnds {
		s.ends = append(s.ends, now)
	}
	s.born = born
	return s.lately(now)
}

// counted takes how often a peer saw this node started anew lately.
func (n *Node) counted(ends int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answers++
	if ends = min(ends, mostEnds); ends > 0 && ends >= n.ends {
		n.ends, n.endsAt = ends, time.Now()
	}
}

// yields says whether this node lets others go first: it has ended often lately, and one
// that has not is there. A process that has just begun waits a moment to hear of it.
func (n *Node) yields(ctx context.Context) bool {
	heard := func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.answers > 0
	}
	for !heard() && len(n.peers) > 0 && time.Since(n.start) < hellosWait && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.ends < manyEnds || now.Sub(n.endsAt) > endsCount {
		return false
	}
	for label, at := range n.peerAt {
		s := n.started[label]
		if now.Sub(at) < 2*time.Second && (s == nil || s.lately(now) < n.ends) {
			return true
		}
	}
	return false
}

// yieldFor is for how long.
func (n *Node) yieldFor() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.ends) * yieldEach
}
