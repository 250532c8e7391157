package controller

import (
	"strconv"
	"strings"

	"dalefront/internal/dynconfig"
	"dalefront/internal/sched"
	"dalefront/internal/standby"
	"dalefront/wire"
)

// storedState is what a takeover needs of the stored state, decoded.
type storedState struct {
	revision   uint64 // of the jobs: the watch of the queue goes on from it
	jobs       []*jobRecord
	chunks     []storedChunk
	ledger     map[string]sched.LedgerEntry // by name
	statistics *sched.Statistics            // nil if there are none
	scaleOuts  []string                     // keys of requests for machines
	schedules  []wire.KeyValue
	config     []wire.KeyValue // of a copy; otherwise it was read already
	ends       []storedEnd
}

// storedChunk is a key of progress.
type storedChunk struct {
	key, job string
	index    int // of the chunk
	text     string
	version  uint64
}

// storedEnd is the end of a job.
type storedEnd struct {
	id string
	endRecord
}

func newStoredState() *storedState { return &storedState{ledger: map[string]sched.LedgerEntry{}} }

// addChunk takes a key of progress. Keys of another form are left alone.
func (s *storedState) addChunk(key string, version uint64, text string) {
	job, number, _ := strings.Cut(strings.TrimPrefix(key, progressPrefix), "/")
	if index, err := strconv.Atoi(number); err == nil {
		s.chunks = append(s.chunks, storedChunk{key, job, index, text, version})
	}
}

// setStatistics takes what the last leader has observed, if it can be read.
func (s *storedState) setStatistics(value []byte) {
	var statistics sched.Statistics
	if wire.Unmarshal(value, &statistics) == nil {
		s.statistics = &statistics
	}
}

// stateOfCopy sorts what a copy has.
func stateOfCopy(c *standby.Copy) *storedState {
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

// entriesUnder returns the entries of a copy with a prefix.
func entriesUnder(c *standby.Copy, prefix string) (entries []wire.KeyValue) {
	for _, key := range c.Keys(prefix) {
		item, _ := c.Get(key)
		entries = append(entries, wire.KeyValue{Key: key, Value: item.Value, Version: item.Version})
	}
	return entries
}
