package controller

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"time"

	"dalefront/internal/dynconfig"
	"dalefront/internal/sched"
	"dalefront/internal/standby"
	"dalefront/wire"
)

// load builds the core from what is stored: from the copy that this node has followed, if
// all checks pass, otherwise from what it reads now. From the moment the term was taken nobody
// else can change it but by accepting and ending jobs, which the watch brings.
func (l *leadership) load() error {
	c := l.controller
	began := time.Now()
	// A peer that is gone costs its time limit: the store is read meanwhile, and a copy
	// does not wait for it. It is evidence about silent machines and nothing else.
	heard := make(chan map[string]int64, 1)
	go func() { heard <- c.gatherWorkerContacts(l.ctx) }()
	s, why := c.follower.takeOver(l.ctx, l.token, l.lease)
	if s == nil {
		var err error
		if s, err = l.read(); err != nil {
			return err
		}
	}
	core, err := l.build(s)
	if err != nil {
		return err
	}
	if why == "" {
		go func() {
			at := <-heard
			c.owner.post(func() {
				for host, t := range at {
					core.PeerContact(host, t)
				}
			})
		}()
	} else {
		for host, at := range <-heard {
			core.PeerContact(host, at)
		}
	}
	c.log.Info("loaded", "warm", why == "", "cold_because", why, "jobs", len(s.jobs), "entries", len(s.ledger), "revision", s.revision,
		"took_us", time.Since(began).Microseconds())
	if c.log.Enabled(l.ctx, slog.LevelDebug) {
		c.log.Debug("state", "digest", fmt.Sprintf("%x", sha256.Sum256([]byte(core.Dump()))))
	}
	l.core, l.revision = core, s.revision
	return nil
}

// read reads what a takeover needs.
func (l *leadership) read() (*stored, error) {
	c := l.controller
	s := &stored{ledger: map[string]sched.LedgerEntry{}}
	copied := l.loadCopy()
	configured := make(chan error, 1)
	go func() { configured <- c.config.refresh(l.ctx) }()
	jobs, rev, err := l.list(copied, jobPrefix)
	if err != nil {
		return nil, err
	}
	s.revision = rev
	for _, e := range jobs {
		rec := new(jobRecord)
		if wire.Unmarshal(e.Value, rec) == nil {
			s.jobs = append(s.jobs, rec)
		}
	}
	chunks, _, err := l.list(copied, progressPrefix)
	if err != nil {
		return nil, err
	}
	for _, e := range chunks {
		text := ""
		readable := wire.Unmarshal(e.Value, &text) == nil
		s.chunk(e.Key, e.Version, text, readable)
	}
	entries, _, err := l.list(copied, ledgerPrefix)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		var entry sched.LedgerEntry
		if err := wire.Unmarshal(e.Value, &entry); err != nil {
			return nil, fmt.Errorf("ledger entry %s: %w", e.Key, err)
		}
		s.ledger[strings.TrimPrefix(e.Key, ledgerPrefix)] = entry
	}
	learned, _, err := l.list(copied, learnedKey)
	if err != nil {
		return nil, err
	}
	if len(learned) > 0 {
		s.learn(learned[0].Value)
	}
	hires, _, err := l.list(copied, scaleOutPrefix)
	if err != nil {
		return nil, err
	}
	for _, e := range hires {
		s.hires = append(s.hires, e.Key)
	}
	if c.calendar != nil {
		if s.schedule, _, err = l.list(copied, schedulePrefix); err != nil {
			return nil, err
		}
	}
	ends, err := c.readEnds(l.ctx, jobs)
	if err != nil {
		return nil, err
	}
	if err := <-configured; err != nil { // the first decision is made by what is stored now
		return nil, err
	}
	for _, e := range ends {
		end := storedEnd{id: strings.TrimPrefix(e.Key, endPrefix)}
		if err := wire.Unmarshal(e.Value, &end.endRecord); err != nil {
			return nil, err
		}
		s.ends = append(s.ends, end)
	}
	return s, nil
}

// chunk takes a key of progress; readable says whether its value could be read.
func (s *stored) chunk(key string, version uint64, text string, readable bool) {
	id, idx, _ := strings.Cut(strings.TrimPrefix(key, progressPrefix), "/")
	if i, err := strconv.Atoi(idx); err == nil && readable {
		s.chunks = append(s.chunks, storedChunk{key, id, i, text, version})
	}
}

// build makes the core of the term from what is stored, however it came here.
func (l *leadership) build(s *stored) (*sched.Core, error) {
	c := l.controller
	cat, _ := c.machineTypes()
	now := c.now()
	if err := c.config.adopt(s.config, s.revision); err != nil {
		return nil, err
	}
	inForce := c.config.current()
	core := sched.New(inForce.settings, l.token, now, cat, func(msg string, args ...any) { c.log.Info(msg, args...) })
	core.Configure(inForce.settings, inForce.cordons, inForce.generationVersion, now)
	l.staleKeys.keys = nil
	l.progress.reset()
	for _, rec := range s.jobs {
		core.AddJob(rec.Job, rec.SubmittedAt, now)
		c.statuses.addAccepted(rec.Job.ID)
	}
	for _, chunk := range s.chunks {
		if _, _, _, known := core.Counts(chunk.id); !known {
			l.staleKeys.add(chunk.key) // left by a job that is over and gone
			continue
		}
		core.SetProgress(chunk.id, chunk.index, chunk.text)
		l.progress.record(chunk.id, chunk.index, chunk.version)
	}
	core.RecoverLedger(s.ledger)
	if s.learned != nil {
		core.RestoreStatistics(*s.learned)
	}
	// The machines of a hire whose answer was lost show up in the list and in reports, and
	// are adopted; the name is never used again.
	l.staleKeys.add(s.hires...)
	for _, e := range s.ends {
		if e.Status == wire.JobDone {
			c.statuses.addFinal(e.status(e.id))
		}
		core.JobEnded(e.id, e.Status, c.now())
	}
	return core, l.schedules.load(s.schedule)
}

// endReaders is how many ends are read at a time at a takeover.
const endReaders = 8

// readEnds reads the ends of those of the jobs that have ended. Which have is asked
// for many at a time, by a transaction that only compares; their ends are read side
// by side: after a flood of small jobs hundreds may wait to be tidied up, and a
// takeover must not ask for one after the other.
func (c *Controller) readEnds(ctx context.Context, jobs []wire.KeyValue) (ends []wire.KeyValue, err error) {
	var ids, keys []string
	for _, e := range jobs {
		ids = append(ids, strings.TrimPrefix(e.Key, jobPrefix))
	}
	over, err := c.endedJobs(ctx, ids)
	if err != nil {
		return nil, err
	}
	for _, id := range ids {
		if over[id] {
			keys = append(keys, endKey(id))
		}
	}
	ends = make([]wire.KeyValue, len(keys))
	errs := make([]error, len(keys))
	var all sync.WaitGroup
	turn := make(chan struct{}, endReaders)
	for i, k := range keys {
		turn <- struct{}{}
		all.Go(func() {
			defer func() { <-turn }()
			var found bool
			if ends[i], found, errs[i] = c.store.Get(ctx, k); errs[i] == nil && !found {
				errs[i] = fmt.Errorf("%s is missing", k)
			}
		})
	}
	all.Wait()
	return ends, errors.Join(errs...)
}

// stored is what a takeover reads.
type stored struct {
	jobs     []*jobRecord
	chunks   []storedChunk
	ledger   map[string]sched.LedgerEntry
	learned  *sched.Statistics
	hires    []string // keys
	schedule []wire.KeyValue
	config   []wire.KeyValue // of a copy; otherwise it was read already
	ends     []storedEnd
	revision uint64
}

type storedChunk struct {
	key, id string
	index   int
	text    string
	version uint64
}

type storedEnd struct {
	id string
	endRecord
}

// storedOf sorts what a copy has.
func storedOf(c *standby.Copy) *stored {
	s := &stored{ledger: map[string]sched.LedgerEntry{}, revision: c.Revision()}
	for _, k := range c.Under(jobPrefix) {
		it, _ := c.Get(k)
		s.jobs = append(s.jobs, it.Decoded.(*jobRecord))
		id := strings.TrimPrefix(k, jobPrefix)
		if e, ok := c.Get(endKey(id)); ok {
			s.ends = append(s.ends, storedEnd{id, *e.Decoded.(*endRecord)})
		}
	}
	for _, k := range c.Under(progressPrefix) {
		it, _ := c.Get(k)
		s.chunk(k, it.Version, it.Decoded.(string), true)
	}
	for _, k := range c.Under(ledgerPrefix) {
		it, _ := c.Get(k)
		s.ledger[strings.TrimPrefix(k, ledgerPrefix)] = *it.Decoded.(*sched.LedgerEntry)
	}
	if it, ok := c.Get(learnedKey); ok {
		s.learn(it.Value)
	}
	s.hires = c.Under(scaleOutPrefix)
	for _, k := range c.Under(dynconfig.Prefix) {
		it, _ := c.Get(k)
		s.config = append(s.config, wire.KeyValue{Key: k, Value: it.Value, Version: it.Version})
	}
	for _, k := range c.Under(schedulePrefix) {
		it, _ := c.Get(k)
		s.schedule = append(s.schedule, wire.KeyValue{Key: k, Value: it.Value, Version: it.Version})
	}
	return s
}

func (s *stored) learn(value []byte) {
	var l sched.Statistics
	if wire.Unmarshal(value, &l) == nil {
		s.learned = &l
	}
}
