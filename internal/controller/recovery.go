package controller

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"dalefront/internal/sched"
	"dalefront/internal/snapshot"
	"dalefront/wire"
)

// load builds the core from what is stored: from the copy that this controller has followed, if
// all checks pass, otherwise from what it reads now. From the moment the term was taken nobody
// else can change it but by accepting and ending jobs, which the watch brings.
func (l *leadership) load() error {
	c := l.controller
	began := time.Now()
	// A peer that is gone costs its time limit: the store is read at the same time, and a copy
	// does not wait for it. It is evidence about silent machines and nothing else.
	contacts := make(chan map[string]int64, 1)
	go func() { contacts <- c.gatherWorkerContacts(l.ctx) }()
	state, err := c.follower.takeOver(l.ctx, l.token, l.lease)
	warm, coldBecause := err == nil, ""
	if !warm {
		coldBecause = err.Error()
		if state, err = l.read(); err != nil {
			return err
		}
	}
	core, err := l.build(state)
	if err != nil {
		return err
	}
	if warm {
		go func() {
			lastHeard := <-contacts
			c.owner.post(func() { recordPeerContacts(core, lastHeard) })
		}()
	} else {
		recordPeerContacts(core, <-contacts)
	}
	c.log.Info("state recovered", "warm", warm, "cold_reason", coldBecause, "jobs", len(state.jobs), "entries", len(state.ledger), "revision", state.revision,
		"took_us", time.Since(began).Microseconds())
	if c.log.Enabled(l.ctx, slog.LevelDebug) {
		c.log.Debug("state digest", "digest", fmt.Sprintf("%x", sha256.Sum256([]byte(core.Dump()))))
	}
	l.core, l.queue.revision = core, state.revision
	return nil
}

// recordPeerContacts records in a core when this controller and its peers last heard of workers.
func recordPeerContacts(core *sched.Core, lastHeard map[string]int64) {
	for host, at := range lastHeard {
		core.PeerContact(host, at)
	}
}

// read reads what a takeover needs from the key-value store, and the configuration.
func (l *leadership) read() (*storedState, error) {
	reader := &stateReader{leadership: l, copied: l.loadCopy(), state: newStoredState()}
	configured := make(chan error, 1)
	go func() { configured <- l.controller.config.refresh(l.ctx) }()
	parts := []func() error{
		reader.readJobs, // first: the watch goes on from its revision
		reader.readProgress,
		reader.readLedger,
		reader.readStatistics,
		reader.readScaleOuts,
		reader.readSchedules,
		reader.readEnds,
	}
	for _, readPart := range parts {
		if err := readPart(); err != nil {
			return nil, err
		}
	}
	if err := <-configured; err != nil { // the first decision is made by what is stored now
		return nil, err
	}
	return reader.state, nil
}

// stateReader reads what a takeover needs, part by part.
type stateReader struct {
	leadership *leadership
	copied     *snapshot.Snapshot // a stored copy that is up to date, nil for none
	jobs       []wire.KeyValue    // records of jobs
	state      *storedState
}

// list reads the keys with a prefix from the copy, or from the key-value store, as of the revision
// returned.
func (r *stateReader) list(prefix string) ([]wire.KeyValue, uint64, error) {
	if r.copied != nil {
		return r.copied.Entries(prefix), r.copied.Revision, nil
	}
	return r.leadership.controller.store.List(r.leadership.ctx, prefix)
}

func (r *stateReader) readJobs() (err error) {
	if r.jobs, r.state.revision, err = r.list(jobPrefix); err != nil {
		return err
	}
	for _, entry := range r.jobs {
		record := new(jobRecord)
		if wire.Unmarshal(entry.Value, record) == nil {
			r.state.jobs = append(r.state.jobs, record)
		}
	}
	return nil
}

func (r *stateReader) readProgress() error {
	entries, _, err := r.list(progressPrefix)
	for _, entry := range entries {
		var text string
		if wire.Unmarshal(entry.Value, &text) == nil {
			r.state.addChunk(entry.Key, entry.Version, text)
		}
	}
	return err
}

func (r *stateReader) readLedger() error {
	entries, _, err := r.list(ledgerPrefix)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		var record sched.LedgerEntry
		if err := wire.Unmarshal(entry.Value, &record); err != nil {
			return fmt.Errorf("ledger entry %s: %w", entry.Key, err)
		}
		r.state.ledger[strings.TrimPrefix(entry.Key, ledgerPrefix)] = record
	}
	return nil
}

func (r *stateReader) readStatistics() error {
	entries, _, err := r.list(statisticsKey)
	if err == nil && len(entries) > 0 {
		r.state.setStatistics(entries[0].Value)
	}
	return err
}

func (r *stateReader) readScaleOuts() error {
	entries, _, err := r.list(scaleOutPrefix)
	for _, entry := range entries {
		r.state.scaleOuts = append(r.state.scaleOuts, entry.Key)
	}
	return err
}

func (r *stateReader) readSchedules() (err error) {
	if r.leadership.controller.calendar != nil {
		r.state.schedules, _, err = r.list(schedulePrefix)
	}
	return err
}

func (r *stateReader) readEnds() error {
	entries, err := r.leadership.controller.readEnds(r.leadership.ctx, r.jobs)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		end := storedEnd{id: strings.TrimPrefix(entry.Key, endPrefix)}
		if err := wire.Unmarshal(entry.Value, &end.endRecord); err != nil {
			return fmt.Errorf("end %s: %w", entry.Key, err)
		}
		r.state.ends = append(r.state.ends, end)
	}
	return nil
}

// build makes the core of the term from what is stored, however it came here.
func (l *leadership) build(state *storedState) (*sched.Core, error) {
	c := l.controller
	now := c.now()
	if err := c.config.adopt(state.config, state.revision); err != nil {
		return nil, err
	}
	catalog, _ := c.machineTypes()
	active := c.config.current()
	core := sched.New(active.settings, l.token, now, catalog, func(msg string, args ...any) { c.log.Info(msg, args...) })
	core.Configure(active.settings, active.cordons, active.generationVersion, now)
	l.staleKeys.keys = nil
	l.progress.reset()
	for _, record := range state.jobs {
		core.AddJob(record.Job, record.SubmittedAt, now)
		c.statuses.addAccepted(record.Job.ID)
	}
	for _, chunk := range state.chunks {
		l.restoreProgress(core, &chunk)
	}
	core.RecoverLedger(state.ledger)
	if state.statistics != nil {
		core.RestoreStatistics(*state.statistics)
	}
	// The machines of a request whose answer was lost show up in the list and in reports, and
	// are adopted; the name is never used again.
	l.staleKeys.add(state.scaleOuts...)
	for _, end := range state.ends {
		if end.Status == wire.JobDone {
			c.statuses.addFinal(end.status(end.id))
		}
		core.JobEnded(end.id, end.Status, c.now())
	}
	return core, l.schedules.load(state.schedules)
}

// restoreProgress hands a core a chunk of progress. That of a job that is over and gone is to be deleted.
func (l *leadership) restoreProgress(core *sched.Core, chunk *storedChunk) {
	if _, _, _, known := core.Counts(chunk.job); !known {
		l.staleKeys.add(chunk.key)
		return
	}
	core.SetProgress(chunk.job, chunk.index, chunk.text)
	l.progress.record(chunk.job, chunk.index, chunk.version)
}

// endReaders is how many ends are read at a time at a takeover.
const endReaders = 8

// missingEndError says that a job has ended, and that its end could not be found all the same.
type missingEndError struct{ key string }

func (e missingEndError) Error() string { return e.key + " is missing" }

// readEnds reads the ends of those of the jobs that have ended. Which have is asked
// for many at a time, by a transaction that only compares; their ends are read side
// by side: after a flood of small jobs hundreds may wait to be deleted, and a
// takeover must not ask for one after the other.
func (c *Controller) readEnds(ctx context.Context, jobs []wire.KeyValue) ([]wire.KeyValue, error) {
	ids := make([]string, len(jobs))
	for i, entry := range jobs {
		ids[i] = strings.TrimPrefix(entry.Key, jobPrefix)
	}
	ended, err := c.endedJobs(ctx, ids)
	if err != nil {
		return nil, err
	}
	var keys []string
	for _, id := range ids {
		if ended[id] {
			keys = append(keys, endKey(id))
		}
	}
	return c.readKeys(ctx, keys)
}

// readKeys reads keys that must exist, some at a time.
func (c *Controller) readKeys(ctx context.Context, keys []string) ([]wire.KeyValue, error) {
	entries := make([]wire.KeyValue, len(keys))
	errs := make([]error, len(keys))
	slots := make(chan struct{}, endReaders)
	var readers sync.WaitGroup
	for i, key := range keys {
		slots <- struct{}{}
		readers.Go(func() {
			defer func() { <-slots }()
			var found bool
			if entries[i], found, errs[i] = c.store.Get(ctx, key); errs[i] == nil && !found {
				errs[i] = missingEndError{key}
			}
		})
	}
	readers.Wait()
	return entries, errors.Join(errs...)
}
