package controller

import (
	"context"
	"strings"
	"time"

	"dalefront/internal/kvstore"
	"dalefront/internal/snapshot"
	"dalefront/wire"
)

// Ephemeral says whether a key is no part of a snapshot: the term dies with its lease,
// and the catalogue is the cloud's.
func Ephemeral(key string) bool {
	return key == termKey || key == catalogKey || strings.HasPrefix(key, snapshot.StoredPrefix)
}

// Describe says what is kept under a prefix of keys.
func Describe(prefix string) string {
	return map[string]string{
		"q/a": "jobs that are not over", "q/e": "final answers", "a/m": "manifests of the archive", "a/l": "leaves of the archive",
		"c": "configuration", "ch": "history of the configuration", "p": "progress", "l": "ledger", "h": "requests for machines", "s": "recurring jobs", "learned": "what was observed",
	}[strings.TrimSuffix(prefix, "/")]
}

const (
	// firstSnapshotPause is the longest pause before the first snapshot of a term.
	firstSnapshotPause = time.Minute
	// snapshotReadShare: reading a snapshot takes one in so many of the requests that the key-value store
	// takes, so that users come first.
	snapshotReadShare = 10
	// copyWriteShare: storing a copy takes one in so many of the changes that it takes.
	copyWriteShare = 20
	// copyOps is how many values of a copy one transaction stores at most.
	copyOps = 4
)

// snapshotter writes snapshots of the stored state while this controller holds the term: all of it
// into files, and what a takeover needs into the key-value store.
type snapshotter struct {
	leadership *leadership
	store      paced
}

func newSnapshotter(l *leadership) snapshotter {
	c := l.controller
	return snapshotter{l, paced{c.store, seconds(snapshotReadShare / c.settings.Deployment.State.RPS)}}
}

// periodically does some work from time to time until the leadership ends, but not while the
// key-value store is out of reach or after a stall.
func (l *leadership) periodically(first, interval time.Duration, work func()) {
	for pause := first; ; pause = interval {
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(pause):
		}
		if l.controller.store.Reachable(storeReachableWithin) && l.controller.owner.ranRecently() {
			work()
		}
	}
}

// runFiles writes a snapshot into the operator's directory from time to time.
func (s *snapshotter) runFiles(ctx context.Context) {
	operator := &s.leadership.controller.settings.Operator
	if operator.SnapshotDir == "" {
		return
	}
	interval := seconds(*operator.SnapshotIntervalS)
	s.leadership.periodically(min(interval, firstSnapshotPause), interval, func() {
		s.writeFile(ctx, operator.SnapshotDir)
	})
}

// writeFile writes a snapshot into a directory.
func (s *snapshotter) writeFile(ctx context.Context, dir string) {
	c := s.leadership.controller
	began := time.Now()
	snap, err := snapshot.Take(ctx, s.store, snapshot.AllKeys, Ephemeral, c.now)
	path := ""
	if err == nil {
		path, err = snap.SaveFile(dir, c.snapshotKey)
	}
	if err != nil {
		c.log.Warn("snapshot failed", "err", err)
		return
	}
	c.log.Info("snapshot written", "file", path, "content", snap.String(), "took_us", time.Since(began).Microseconds())
}

// copyPrefixes is what a leader reads when it takes over, but for the ends of jobs.
var copyPrefixes = []string{jobPrefix, progressPrefix, ledgerPrefix, statisticsKey, scaleOutPrefix, schedulePrefix}

// noKeys leaves no key out of a copy.
func noKeys(string) bool { return false }

// runCopies stores what a takeover needs in the key-value store from time to time, so that
// the next leader reads few long values instead of many short ones.
func (s *snapshotter) runCopies(ctx context.Context) {
	interval := seconds(*s.leadership.controller.settings.Operator.FailoverSnapshotS)
	if interval <= 0 {
		return
	}
	s.leadership.periodically(interval, interval, func() { s.storeCopy(ctx) })
}

// storeCopy stores a copy of what a takeover needs.
func (s *snapshotter) storeCopy(ctx context.Context) {
	c := s.leadership.controller
	limits := &c.settings.Deployment.State
	snap, err := snapshot.Take(ctx, s.store, copyPrefixes, noKeys, c.now)
	if err == nil {
		err = snap.StoreCopy(ctx, s.store, snapshot.CopyOptions{
			Term: s.leadership.termCondition(), MaxMutations: min(limits.TxnOps, copyOps), MaxValueBytes: int(limits.ValueKB * 1024),
			Pace: func(ctx context.Context, changes int) bool {
				sleepContext(ctx, seconds(float64(changes)*copyWriteShare/limits.WriteRPS))
				return ctx.Err() == nil
			},
		})
	}
	if err != nil {
		c.log.Info("takeover copy failed", "err", err)
		return
	}
	c.log.Info("takeover copy stored", "content", snap.String())
}

// loadCopy returns the stored state as of now from the newest copy and what has
// changed since, or nil: then everything is read, which comes to the same. What is
// older than the term is never used, since the last leader may have written after it.
func (l *leadership) loadCopy() *snapshot.Snapshot {
	c := l.controller
	if *c.settings.Operator.FailoverSnapshotS <= 0 {
		return nil
	}
	began := time.Now()
	snap, err := snapshot.LoadCopy(l.ctx, c.store)
	if err == nil {
		err = snap.CatchUp(l.ctx, c.store, copyPrefixes, noKeys, l.token)
	}
	if err != nil {
		c.log.Info("takeover copy unusable", "err", err)
		return nil
	}
	c.log.Info("takeover copy loaded", "content", snap.String(), "took_us", time.Since(began).Microseconds())
	return snap
}

// paced waits before each page, so that users come first.
type paced struct {
	*kvstore.Client
	wait time.Duration
}

// Page reads a page of keys, as kvstore.Client does.
func (p paced) Page(ctx context.Context, prefix, after string, most int) (page wire.KeyValuePage, err error) {
	sleepContext(ctx, p.wait)
	if ctx.Err() != nil {
		return page, ctx.Err()
	}
	return p.Client.Page(ctx, prefix, after, most)
}
