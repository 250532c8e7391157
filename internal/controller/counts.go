package controller

import (
	"context"

	"dalefront/internal/peer"
	"dalefront/wire"
)

// PeerTaskCounts implements peer.Server. A peer requests the statuses and task counts of jobs from the
// leader.
func (c *Controller) PeerTaskCounts(ctx context.Context, request *peer.TaskCountsRequest) (*peer.TaskCountsResponse, error) {
	return &peer.TaskCountsResponse{Jobs: c.localCounts(ctx, request.JobIDs)}, nil
}

// localCounts returns the statuses and task counts of jobs from this controller's core. It returns none
// if this controller does not lead or the queue of its owner goroutine is full.
func (c *Controller) localCounts(ctx context.Context, ids []string) []wire.JobStatus {
	if !c.term.view().isLeading() {
		return nil
	}
	statuses, _ := callOwner(ctx, c.owner, func() []wire.JobStatus {
		if l := c.owner.leadership; l != nil {
			return l.counts(ids)
		}
		return nil
	})
	return statuses
}

// counts returns the statuses and task counts of those jobs that the core knows. It must be called on the
// owner goroutine.
func (l *leadership) counts(ids []string) (statuses []wire.JobStatus) {
	for _, id := range ids {
		if status, done, running, known := l.core.Counts(id); known {
			statuses = append(statuses, wire.JobStatus{ID: id, Status: status, Done: done, Running: running})
		}
	}
	return statuses
}
