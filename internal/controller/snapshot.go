package controller

import (
	"context"
	"strings"
	"time"

	"dalefront/internal/kvstore"
	"dalefront/internal/snapshot"
	"dalefront/wire"
)

// ExcludedFromSnapshot reports whether a key is left out of snapshots. The term is left out because it
// expires with its lease. The machine catalog is left out because it comes from the cloud. Stored copies are
// left out because they are snapshots themselves.
func ExcludedFromSnapshot(key string) bool {
	return key == termKey || key == catalogKey || strings.HasPrefix(key, snapshot.CopyPrefix)
}

// DescribeKeyPrefix returns a short description of the keys with a prefix, empty if the prefix is unknown.
func DescribeKeyPrefix(prefix string) string {
	return map[string]string{
		"q/a": "jobs that are not over", "q/e": "final answers", "a/m": "manifests of the archive", "a/l": "leaves of the archive",
		"c": "configuration", "ch": "history of the configuration", "p": "progress", "l": "ledger", "h": "requests for machines", "s": "recurring jobs", "learned": "what was observed",
	}[strings.TrimSuffix(prefix, "/")]
}

const (
	// maxFirstSnapshotPause is the longest pause before the first snapshot of a term.
	maxFirstSnapshotPause = time.Minute
	// snapshotReadDivisor limits the rate of reads for a snapshot, to the key-value store's request rate
	// divided by snapshotReadDivisor. The rest of the request rate is left to users.
	snapshotReadDivisor = 10
	// copyWriteDivisor limits the rate of writes for a copy, to the key-value store's write rate divided by
	// copyWriteDivisor.
	copyWriteDivisor = 20
	// maxCopyMutations is the maximum number of values of a copy that are stored in one transaction.
	maxCopyMutations = 4
)

// snapshotter writes snapshots of the stored state while this controller holds the term: complete
// snapshots to files, and copies of the keys that a takeover reads to the key-value store.
type snapshotter struct {
	leadership *leadership
	store      pacedClient
}

func newSnapshotter(l *leadership) snapshotter {
	c := l.controller
	return snapshotter{l, pacedClient{c.store, seconds(snapshotReadDivisor / c.settings.Deployment.State.RPS)}}
}

// runPeriodically calls work until the leadership ends. The parameter first is the pause before the first
// call, and interval is the pause between later calls. It skips calls while the key-value store is
// unreachable and after a stall of the process.
func (l *leadership) runPeriodically(first, interval time.Duration, work func()) {
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

// runFileSnapshots periodically writes a snapshot to the operator's directory, if one is configured.
func (s *snapshotter) runFileSnapshots(ctx context.Context) {
	operator := &s.leadership.controller.settings.Operator
	if operator.SnapshotDir == "" {
		return
	}
	interval := seconds(*operator.SnapshotIntervalS)
	s.leadership.runPeriodically(min(interval, maxFirstSnapshotPause), interval, func() {
		s.writeFile(ctx, operator.SnapshotDir)
	})
}

// writeFile writes a snapshot to a directory and logs the outcome.
func (s *snapshotter) writeFile(ctx context.Context, dir string) {
	c := s.leadership.controller
	began := time.Now()
	snap, err := snapshot.Take(ctx, s.store, snapshot.AllKeys, ExcludedFromSnapshot, c.now)
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

// copyPrefixes lists the prefixes of the keys that a new leader reads, except those of end records.
var copyPrefixes = []string{jobPrefix, progressPrefix, ledgerPrefix, statisticsKey, scaleOutPrefix, schedulePrefix}

// excludeNone excludes no key from a copy.
func excludeNone(string) bool { return false }

// runTakeoverCopies periodically stores in the key-value store a copy of the keys that a takeover reads,
// so that the next leader reads a few large values instead of many small ones.
func (s *snapshotter) runTakeoverCopies(ctx context.Context) {
	interval := seconds(*s.leadership.controller.settings.Operator.FailoverSnapshotS)
	if interval <= 0 {
		return
	}
	s.leadership.runPeriodically(interval, interval, func() { s.storeCopy(ctx) })
}

// storeCopy stores a copy of the keys that a takeover reads, and logs the outcome.
func (s *snapshotter) storeCopy(ctx context.Context) {
	c := s.leadership.controller
	limits := &c.settings.Deployment.State
	snap, err := snapshot.Take(ctx, s.store, copyPrefixes, excludeNone, c.now)
	if err == nil {
		err = snap.StoreCopy(ctx, s.store, snapshot.CopyOptions{
			Term: s.leadership.termCondition(), MaxMutations: min(limits.TxnOps, maxCopyMutations), MaxValueBytes: int(limits.ValueKB * 1024),
			Pace: func(ctx context.Context, changes int) bool {
				sleepContext(ctx, seconds(float64(changes)*copyWriteDivisor/limits.WriteRPS))
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

// loadCopy returns the current stored state, made from the newest copy and the changes since that copy. It
// returns nil if there is no usable copy. If loadCopy returns nil, the caller reads all keys, with the same
// result. A state from before this term is never returned, since the previous leader may have changed the
// state after it.
func (l *leadership) loadCopy() *snapshot.Snapshot {
	c := l.controller
	if *c.settings.Operator.FailoverSnapshotS <= 0 {
		return nil
	}
	began := time.Now()
	snap, err := snapshot.LoadCopy(l.ctx, c.store)
	if err == nil {
		err = snap.CatchUp(l.ctx, c.store, copyPrefixes, excludeNone, l.token)
	}
	if err != nil {
		c.log.Info("takeover copy unusable", "err", err)
		return nil
	}
	c.log.Info("takeover copy loaded", "content", snap.String(), "took_us", time.Since(began).Microseconds())
	return snap
}

// pacedClient is a client that waits before it reads each page, which leaves part of the request rate to
// users.
type pacedClient struct {
	*kvstore.Client
	wait time.Duration
}

// Page waits, and then reads a page of keys as kvstore.Client.Page does.
func (p pacedClient) Page(ctx context.Context, prefix, after string, limit int) (page wire.KeyValuePage, err error) {
	sleepContext(ctx, p.wait)
	if ctx.Err() != nil {
		return page, ctx.Err()
	}
	return p.Client.Page(ctx, prefix, after, limit)
}
