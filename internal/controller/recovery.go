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

// load builds the core from the stored state. If this controller has a standby copy that passes all checks,
// load takes the state from this copy. Otherwise it reads the state from the key-value store. Since the term
// was taken, other controllers can change the state only by accepting and ending jobs. The queue watch
// delivers these changes.
func (l *leadership) load() error {
	c := l.controller
	began := time.Now()
	// A request to a peer that is down takes the full timeout. The store is therefore read at the same time
	// as the peers' worker contacts. A warm takeover, which uses the standby copy, does not wait for the
	// worker contacts, since they are only evidence about silent machines.
	contacts := make(chan map[string]int64, 1)
	go func() { contacts <- c.gatherWorkerContacts(l.ctx) }()
	state, err := c.follower.takeOver(l.ctx, l.token, l.lease)
	warm, coldReason := err == nil, ""
	if !warm {
		coldReason = err.Error()
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
	c.log.Info("state recovered", "warm", warm, "cold_reason", coldReason, "jobs", len(state.jobs), "entries", len(state.ledger), "revision", state.revision,
		"took_us", time.Since(began).Microseconds())
	if c.log.Enabled(l.ctx, slog.LevelDebug) {
		c.log.Debug("state digest", "digest", fmt.Sprintf("%x", sha256.Sum256([]byte(core.Dump()))))
	}
	l.core, l.queue.revision = core, state.revision
	return nil
}

// recordPeerContacts passes to a core the times at which this controller and its peers last heard from
// each worker. lastHeard holds the times by host.
func recordPeerContacts(core *sched.Core, lastHeard map[string]int64) {
	for host, at := range lastHeard {
		core.RecordPeerContact(host, at)
	}
}

// read reads the configuration and the stored state that a takeover needs. The state comes from the
// key-value store, or from a stored snapshot that is up to date.
func (l *leadership) read() (*storedState, error) {
	reader := &stateReader{leadership: l, copied: l.loadCopy(), state: newStoredState()}
	configured := make(chan error, 1)
	go func() { configured <- l.controller.config.refresh(l.ctx) }()
	parts := []func() error{
		reader.readJobs, // must be first, since the queue watch continues from the revision of the jobs
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
	if err := <-configured; err != nil { // the first decision must use the newest stored configuration
		return nil, err
	}
	return reader.state, nil
}

// stateReader reads the parts of the stored state that a takeover needs.
type stateReader struct {
	leadership *leadership
	copied     *snapshot.Snapshot // a stored snapshot that is up to date, nil if there is none
	jobs       []wire.KeyValue    // job records as stored
	state      *storedState
}

// list returns the entries under a prefix and the store revision at which they were read. It reads the
// snapshot if there is one, and the key-value store otherwise.
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
			return fmt.Errorf("decoding ledger entry %s: %w", entry.Key, err)
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
			return fmt.Errorf("decoding end record %s: %w", entry.Key, err)
		}
		r.state.ends = append(r.state.ends, end)
	}
	return nil
}

// build creates the core of the term from the stored state of a warm or a cold takeover.
func (l *leadership) build(state *storedState) (*sched.Core, error) {
	c := l.controller
	now := c.now()
	if err := c.config.activateCopy(state.config, state.revision); err != nil {
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
	// If the response to a scale-out request was lost, the rented machines still appear in the machine
	// list and in heartbeats, and the core adopts them. The request's idempotency key is never used
	// again, so the stored requests are stale.
	l.staleKeys.add(state.scaleOuts...)
	for _, end := range state.ends {
		if end.Status == wire.JobDone {
			c.statuses.addFinal(end.status(end.id))
		}
		core.JobEnded(end.id, end.Status, c.now())
	}
	return core, l.schedules.load(state.schedules)
}

// restoreProgress passes a stored chunk of progress to a core. If the job's record no longer exists, it
// queues the chunk's key for deletion instead.
func (l *leadership) restoreProgress(core *sched.Core, chunk *storedChunk) {
	if _, _, _, known := core.Counts(chunk.job); !known {
		l.staleKeys.add(chunk.key)
		return
	}
	core.SetProgress(chunk.job, chunk.index, chunk.text)
	l.progress.record(chunk.job, chunk.index, chunk.version)
}

// maxConcurrentEndReads is the maximum number of end records that a takeover reads at the same time.
const maxConcurrentEndReads = 8

// missingEndError means that the end record of a job that has ended was not found under its key.
type missingEndError struct{ key string }

func (e missingEndError) Error() string { return e.key + " is missing" }

// readEnds returns the end records of the given jobs that have ended. It first finds out which jobs have
// ended, by transactions that only check conditions, each for many jobs. It then reads the end records of
// these jobs concurrently. After a burst of small jobs the records of hundreds of ended jobs may wait for
// deletion, and reading their end records one by one would delay a takeover.
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

// readKeys returns the entries of keys that must exist, reading up to maxConcurrentEndReads keys at
// the same time.
func (c *Controller) readKeys(ctx context.Context, keys []string) ([]wire.KeyValue, error) {
	entries := make([]wire.KeyValue, len(keys))
	errs := make([]error, len(keys))
	slots := make(chan struct{}, maxConcurrentEndReads)
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
