package controller

import (
	"sync"

	"dalefront/internal/archive"
	"dalefront/wire"
)

// Maximum numbers of entries in a statusCache.
const (
	maxFinalStatuses = 20000
	maxAcceptedJobs  = 50000
)

// statusCache caches facts about jobs that never change: final statuses that any user may see, and
// which jobs were accepted. It is safe for concurrent use.
type statusCache struct {
	mu         sync.Mutex
	finals     map[string]wire.JobStatus // final statuses by job id
	finalOrder []string                  // ids of finals, oldest first
	accepted   map[string]struct{}       // ids of accepted jobs that are not in finals
}

func newStatusCache() *statusCache {
	return &statusCache{finals: map[string]wire.JobStatus{}, accepted: map[string]struct{}{}}
}

// addFinal caches a final status that any user may see. If the cache already has a final status of the
// job, the cached status is kept. A full cache evicts the oldest final status.
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

// addArchived caches the final status in an archive record, and returns it.
func (s *statusCache) addArchived(record archive.Record) wire.JobStatus {
	status := wire.JobStatus{ID: record.ID, Status: record.Status, Done: record.Done}
	s.addFinal(status)
	return status
}

// final returns the cached final status of a job, if there is one.
func (s *statusCache) final(id string) (wire.JobStatus, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, known := s.finals[id]
	return status, known
}

// addAccepted caches that a job was accepted. A full cache forgets all other accepted jobs.
func (s *statusCache) addAccepted(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.accepted) >= maxAcceptedJobs {
		clear(s.accepted) // the only effect: the next lookup of each of these jobs needs one more condition
	}
	s.accepted[id] = struct{}{}
}

// isAccepted reports whether a job is cached as accepted. A job is no longer cached as accepted once its
// final status is cached.
func (s *statusCache) isAccepted(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.accepted[id]
	return known
}
