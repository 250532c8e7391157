package controller

import (
	"sync"

	"dalefront/internal/archive"
	"dalefront/wire"
)

// Bounds of a statusCache.
const (
	maxFinalStatuses = 20000
	maxAcceptedJobs  = 50000
)

// statusCache remembers what never changes about jobs, so that it need not be read again: final
// statuses that any user may see, and which jobs were accepted. It is safe for concurrent use.
type statusCache struct {
	mu         sync.Mutex
	finals     map[string]wire.JobStatus // by job id
	finalOrder []string                  // their ids, the oldest first
	accepted   map[string]struct{}       // ids of jobs that have no final status here
}

func newStatusCache() *statusCache {
	return &statusCache{finals: map[string]wire.JobStatus{}, accepted: map[string]struct{}{}}
}

// addFinal remembers a final status that any user may see. The first one of a job stays.
func (s *statusCache) addFinal(status wire.JobStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.finals[status.ID]; known {
		return
	}
	if len(s.finalOrder) >= maxFinalStatuses {
		delete(s.finals, s.finalOrder[0])
		s.finalOrder = s.finalOrder[1:]
	}
	s.finals[status.ID] = status
	s.finalOrder = append(s.finalOrder, status.ID)
	delete(s.accepted, status.ID)
}

// addArchived remembers the final status that the archive has of a job.
func (s *statusCache) addArchived(record archive.Record) wire.JobStatus {
	status := wire.JobStatus{ID: record.ID, Status: record.Status, Done: record.Done}
	s.addFinal(status)
	return status
}

// final returns the final status of a job, if it is remembered.
func (s *statusCache) final(id string) (wire.JobStatus, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, known := s.finals[id]
	return status, known
}

// addAccepted remembers that a job was accepted.
func (s *statusCache) addAccepted(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.accepted) >= maxAcceptedJobs {
		clear(s.accepted) // costs one condition more in the next lookup of each
	}
	s.accepted[id] = struct{}{}
}

// isAccepted says whether a job is remembered as accepted. A job with a final status isn't.
func (s *statusCache) isAccepted(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.accepted[id]
	return known
}
