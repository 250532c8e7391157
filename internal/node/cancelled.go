package node

import (
	"context"
	"slices"
	"time"

	"dalefront/internal/api"
	"dalefront/internal/sched"
	"dalefront/wire"
)

// A cancellation that a user was told of must be kept by whoever renews leases, whatever
// has failed since. internal/horizon decides both sides: when a user may be told, and until
// when a lease may be renewed. docs/meetings.md.

// renewal is the one way in which a report gets an answer that renews its lease: leases are
// renewed only while no cancellation can have been confirmed that this node does not know
// of, and the tasks of those that it knows of are stopped with the same answer. A stop of a
// job that has ended is right whenever it is executed.
func (n *Node) renewal(r *wire.Report, a wire.ReportAnswer) (wire.ReportAnswer, bool) {
	renews := n.book.Renews(n.now())
	if was := n.renews.Swap(renews); was && !renews {
		age, sound := n.book.Age(n.now())
		n.log.Warn("no lease is renewed any more: a cancellation may have been confirmed that this node can't know of", "ends_read_ago_us", age, "known_since_start", sound)
	} else if !was && renews {
		n.log.Info("leases are renewed")
	}
	if !renews {
		return a, false
	}
	cancelled := func(task string) bool {
		id, _, ok := wire.ParseTask(task)
		return ok && n.isCancelled(id)
	}
	a.Orders = slices.DeleteFunc(a.Orders, func(o wire.Order) bool {
		return o.Op != wire.Clear && cancelled(o.Task) // a stop with grace too
	})
	for i := range r.Tasks {
		if t := &r.Tasks[i]; t.State != wire.TaskExited && cancelled(t.Task) {
			a.Orders = append(a.Orders, sched.Removal(t))
		}
	}
	if a.Orders == nil {
		a.Orders = []wire.Order{}
	}
	return a, true
}

// isCancelled says whether this node knows the job to be cancelled.
func (n *Node) isCancelled(id string) bool {
	if n.book.Cancelled(id) {
		return true
	}
	st, ok := n.final(id)
	return ok && st.Status == wire.JobCancelled
}

// heardCancelled tells the core, if this node has it, of cancellations that a peer told.
func (n *Node) heardCancelled(ids []string) {
	if len(ids) == 0 {
		return
	}
	n.post(func() {
		if n.reign == nil {
			return
		}
		for _, id := range ids {
			n.reign.core.Ended(id, wire.JobCancelled, n.now(), n.now())
		}
		n.dirty = true
	})
}

const (
	tellWait  = 400 * time.Millisecond // for the peers to hold a cancellation
	goneWait  = 800 * time.Millisecond // to see whether its tasks are gone
	tellEvery = 50 * time.Millisecond  // between two hellos to the same peer
)

// tellable is the answer to a user once it may be given: that a job is cancelled is told
// only when every controller holds it, or its tasks are gone. Until then it is 503; the end
// stays in the state service, its tasks are stopped, and the user's repeat gets it.
func (n *Node) tellable(ctx context.Context, st wire.JobStatus, err error) (wire.JobStatus, error) {
	if err != nil || st.Status != wire.JobCancelled {
		return st, err
	}
	if _, held := n.final(st.ID); !held {
		return wire.JobStatus{}, api.ErrNotNow // more cancellations than can be held
	}
	limit := time.NewTimer(tellWait)
	defer limit.Stop()
	for waits := n.allAnswer(); ; {
		ok, changed := n.book.MayTell(st.ID, n.now())
		if ok {
			return st, nil
		}
		n.tellPeers()
		if waits {
			select {
			case <-changed:
				continue
			case <-limit.C:
			case <-ctx.Done():
				return wire.JobStatus{}, api.ErrNotNow
			}
		}
		break
	}
	// A job's record is deleted, on condition of the term, after all its tasks were proven
	// gone, and none is launched after its end: then nobody need know of it.
	ctx, cancel := context.WithTimeout(ctx, goneWait)
	defer cancel()
	if v := n.look(ctx, st.ID, true); v.archived || (v.err == nil && v.ended && !v.accepted) {
		n.book.Settle(st.ID)
		return st, nil
	}
	return wire.JobStatus{}, api.ErrNotNow
}

// allAnswer says whether all peers have answered lately.
func (n *Node) allAnswer() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for label := range n.peers {
		if time.Since(n.peerAt[label]) > 2500*time.Millisecond {
			return false
		}
	}
	return true
}

// tellPeers lets all hellos go now instead of within a second.
func (n *Node) tellPeers() {
	for _, kick := range n.kicks {
		select {
		case kick <- struct{}{}:
		default:
		}
	}
}
