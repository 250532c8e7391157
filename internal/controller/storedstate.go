package controller

import (
	"strconv"
	"strings"

	"dalefront/internal/dynconfig"
	"dalefront/internal/sched"
	"dalefront/internal/standby"
	"dalefront/wire"
)

// storedState holds the part of the stored state that a takeover needs. All values are decoded, except the
// values of schedules and of the configuration.
type storedState struct {
	revision   uint64 // revision as of which the jobs were read; the queue watch continues from this revision
	jobs       []*jobRecord
	chunks     []storedChunk
	ledger     map[string]sched.LedgerEntry // by key without ledgerPrefix
	statistics *sched.Statistics            // nil if there are none
	scaleOuts  []string                     // keys of scale-out requests
	schedules  []wire.KeyValue
	config     []wire.KeyValue // set only in a warm takeover; a cold takeover refreshes the configuration itself
	ends       []storedEnd
}

// storedChunk is a stored chunk of a job's progress.
type storedChunk struct {
	key, job string
	index    int // index of the chunk in the job's progress
	text     string
	version  uint64
}

// storedEnd is the stored end record of a job.
type storedEnd struct {
	id string
	endRecord
}

func newStoredState() *storedState { return &storedState{ledger: map[string]sched.LedgerEntry{}} }

// addChunk adds the chunk of progress stored under a key. It ignores keys without a chunk index.
func (s *storedState) addChunk(key string, version uint64, text string) {
	job, number, _ := strings.Cut(strings.TrimPrefix(key, progressPrefix), "/")
	if index, err := strconv.Atoi(number); err == nil {
		s.chunks = append(s.chunks, storedChunk{key, job, index, text, version})
	}
}

// setStatistics decodes the statistics that the previous leader stored. It ignores a value that can't be
// decoded.
func (s *storedState) setStatistics(value []byte) {
	var statistics sched.Statistics
	if wire.Unmarshal(value, &statistics) == nil {
		s.statistics = &statistics
	}
}

// stateFromCopy returns the stored state that a copy holds.
func stateFromCopy(c *standby.Copy) *storedState {
	s := newStoredState()
	s.revision = c.Revision()
	for _, key := range c.Keys(jobPrefix) {
		item, _ := c.Get(key)
		s.jobs = append(s.jobs, item.Decoded.(*jobRecord))
		id := strings.TrimPrefix(key, jobPrefix)
		if end, ok := c.Get(endKey(id)); ok {
			s.ends = append(s.ends, storedEnd{id, *end.Decoded.(*endRecord)})
		}
	}
	for _, key := range c.Keys(progressPrefix) {
		item, _ := c.Get(key)
		s.addChunk(key, item.Version, item.Decoded.(string))
	}
	for _, key := range c.Keys(ledgerPrefix) {
		item, _ := c.Get(key)
		s.ledger[strings.TrimPrefix(key, ledgerPrefix)] = *item.Decoded.(*sched.LedgerEntry)
	}
	if item, ok := c.Get(statisticsKey); ok {
		s.setStatistics(item.Value)
	}
	s.scaleOuts = c.Keys(scaleOutPrefix)
	s.config = entriesUnder(c, dynconfig.Prefix)
	s.schedules = entriesUnder(c, schedulePrefix)
	return s
}

// entriesUnder returns the entries of a copy whose keys have a prefix, in the order of the keys.
func entriesUnder(c *standby.Copy, prefix string) (entries []wire.KeyValue) {
	for _, key := range c.Keys(prefix) {
		item, _ := c.Get(key)
		entries = append(entries, wire.KeyValue{Key: key, Value: item.Value, Version: item.Version})
	}
	return entries
}
