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

// snapshots writes a copy of the state into the operator's directory from time to
// time, while this node holds the term. Reads wait for this node's share of the state
// service's limit, and between pages for more, so that users come first.
func (l *leadership) snapshots(ctx context.Context) {
	c := l.controller
	dir := c.settings.Operator.SnapshotDir
	if dir == "" {
		return
	}
	every := seconds(*c.settings.Operator.SnapshotEvery)
	store := paced{c.store, seconds(10 / c.settings.Deployment.State.RPS)}
	for rest := min(every, time.Minute); ; rest = every {
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(rest):
		}
		if !c.store.Reachable(storeReachableWithin) || !c.owner.ranRecently() {
			continue
		}
		began := time.Now()
		snap, err := snapshot.Take(ctx, store, snapshot.All, Ephemeral, c.now)
		path := ""
		if err == nil {
			path, err = snap.Save(dir, c.snapshotKey)
		}
		if err != nil {
			c.log.Warn("no snapshot was written", "err", err)
			continue
		}
		c.log.Info("snapshot", "file", path, "content", snap.String(), "took_us", time.Since(began).Microseconds())
	}
}

// copyPrefixes is what a leader reads when it takes over, but for the ends of jobs.
var copyPrefixes = []string{jobPrefix, progressPrefix, ledgerPrefix, learnedKey, scaleOutPrefix, schedulePrefix}

func nothing(string) bool { return false }

// storeSnapshots stores what a takeover needs in the state service from time to time, so that
// the next leader reads few long values instead of many short ones.
func (l *leadership) storeSnapshots(ctx context.Context) {
	c := l.controller
	every := seconds(*c.settings.Operator.TakeoverCopyS)
	if every <= 0 {
		return
	}
	d := &c.settings.Deployment.State
	store := paced{c.store, seconds(10 / d.RPS)}
	o := snapshot.StoreOptions{Term: l.termCondition(), Ops: min(d.TxnOps, 4), Value: int(d.ValueKB * 1024),
		Pace: func(ctx context.Context, changes int) bool { // a twentieth of what the service takes
			select {
			case <-ctx.Done():
				return false
			case <-time.After(seconds(float64(changes) * 20 / d.WriteRPS)):
				return true
			}
		}}
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(every):
		}
		if !c.store.Reachable(storeReachableWithin) || !c.owner.ranRecently() {
			continue
		}
		snap, err := snapshot.Take(ctx, store, copyPrefixes, nothing, c.now)
		if err == nil {
			err = snap.Store(ctx, store, o)
		}
		if err != nil {
			c.log.Info("no copy for a takeover was stored", "err", err)
			continue
		}
		c.log.Info("copy for a takeover", "content", snap.String())
	}
}

// loadCopy returns the stored state as of now from the newest copy and what has
// changed since, or nil: then everything is read, which comes to the same. What is
// older than the term is never used, since the last leader may have written after it.
func (l *leadership) loadCopy() *snapshot.Snapshot {
	c := l.controller
	if *c.settings.Operator.TakeoverCopyS <= 0 {
		return nil
	}
	began := time.Now()
	snap, err := snapshot.Load(l.ctx, c.store)
	if err == nil {
		err = snap.Follow(l.ctx, c.store, copyPrefixes, nothing, l.token)
	}
	if err != nil {
		c.log.Info("everything is read", "err", err)
		return nil
	}
	c.log.Info("loaded a copy", "content", snap.String(), "took_us", time.Since(began).Microseconds())
	return snap
}

// list reads the keys with a prefix from a copy, or from the state service.
func (l *leadership) list(copied *snapshot.Snapshot, prefix string) ([]wire.KeyValue, uint64, error) {
	if copied != nil {
		return copied.Entries(prefix), copied.Revision, nil
	}
	return l.controller.store.List(l.ctx, prefix)
}

// paced waits before each page.
type paced struct {
	*kvstore.Client
	wait time.Duration
}

func (p paced) Page(ctx context.Context, prefix, after string, most int) (page wire.KeyValuePage, err error) {
	select {
	case <-ctx.Done():
		return page, ctx.Err()
	case <-time.After(p.wait):
	}
	return p.Client.Page(ctx, prefix, after, most)
}
