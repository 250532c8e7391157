package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"dalefront/internal/kvstore"
	"dalefront/internal/standby"
	"dalefront/wire"
)

const (
	followShare   = 0.04 // of the store's requests, for the watches of all standbys
	copyReadShare = 0.1  // of the store's requests, for all standbys that read their copy whole

	standbyCheckInterval = 250 * time.Millisecond // for controllers that don't stand by
	watchTimeout         = 2 * time.Second        // for so long the store holds a watch open
	watchRetryPause      = 300 * time.Millisecond // after a watch that failed
	auditInterval        = 2 * time.Second
	copyRetryPause       = time.Second // after a copy could not be read
	copyRestartPause     = time.Second // at least, before an invalid copy is read again
	copyRestartJitter    = 2 * time.Second

	// A copy that becomes invalid again within copyDoubtWindow makes the standby unfit for
	// unfitDuration.
	copyInvalidWindow = 30 * time.Second
	unfitDuration     = 10 * time.Second

	catchUpTries      = 5
	catchUpPause      = 10 * time.Millisecond
	takeoverTimeout   = time.Second     // for the checks of a copy
	takeoverPause     = 3 * time.Second // for so long a takeover keeps the copy from being followed
	takeoverReachable = time.Second     // how recent the store's last answer must be
)

// follower keeps a copy of the stored state while this controller stands by, so that a failover
// need not read it. See docs/standby.md.
type follower struct {
	controller *Controller
	auditedAt  time.Time // used by run only

	mu          sync.Mutex
	copy        *standby.Copy // nil while there is none
	restartedAt time.Time     // when a copy was last thrown away
	unfitAt     time.Time     // when that last happened again within copyDoubtWindow
	pausedUntil time.Time     // until then nothing is read: this controller takes over
}

// run keeps the copy up to date until the context ends.
func (f *follower) run(ctx context.Context) {
	settings := f.controller.settings
	standbys := float64(max(1, *settings.Operator.Standbys))
	interval := seconds(standbys / (followShare * settings.Deployment.State.RPS))
	store := paced{f.controller.store, seconds(standbys / (copyReadShare * settings.Deployment.State.RPS))}
	f.auditedAt = time.Now()
	for ctx.Err() == nil {
		if !f.standsBy() {
			f.mu.Lock()
			f.copy = nil
			f.mu.Unlock()
			sleepContext(ctx, standbyCheckInterval)
			continue
		}
		f.mu.Lock()
		stateCopy, pause := f.copy, time.Until(f.pausedUntil)
		var invalid error
		var revision uint64
		if stateCopy != nil {
			invalid, revision = stateCopy.Err(), stateCopy.Revision()
		}
		f.mu.Unlock()
		switch {
		case pause > 0:
			sleepContext(ctx, pause)
		case stateCopy == nil:
			f.begin(ctx, store)
		case invalid != nil:
			f.restart(invalid)
			sleepContext(ctx, copyRestartPause+rand.N(copyRestartJitter))
			f.begin(ctx, store)
		default:
			next := time.Now().Add(interval)
			f.watch(ctx, stateCopy, revision)
			sleepContext(ctx, time.Until(next))
		}
	}
}

// standsBy says whether this controller is to keep a copy.
func (f *follower) standsBy() bool {
	c := f.controller
	return c.peerTable.standbyRank() >= 0 && !c.term.view().isLeading() && *c.settings.Operator.Standbys > 0
}

// begin reads the copy whole. If that fails it waits before it returns.
func (f *follower) begin(ctx context.Context, store paced) {
	log := f.controller.log
	began := time.Now()
	stateCopy, err := f.read(ctx, store)
	if err != nil {
		log.Debug("standby read failed", "err", err)
		sleepContext(ctx, copyRetryPause)
		return
	}
	keys, bytes := stateCopy.Size()
	log.Info("standby ready", "revision", stateCopy.Revision(), "keys", keys, "bytes", bytes, "took_us", time.Since(began).Microseconds())
	f.mu.Lock()
	f.copy = stateCopy
	f.mu.Unlock()
}

// restart throws an invalid copy away.
func (f *follower) restart(reason error) {
	f.controller.log.Info("standby resync", "reason", reason.Error())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copy = nil
	if time.Since(f.restartedAt) < copyInvalidWindow {
		f.unfitAt = time.Now()
	}
	f.restartedAt = time.Now()
}

// watch waits for the next changes after a revision, applies them, and audits the copy from time to
// time.
func (f *follower) watch(ctx context.Context, stateCopy *standby.Copy, revision uint64) {
	events, err := f.controller.store.Watch(ctx, "", revision, watchTimeout)
	f.applyEvents(stateCopy, events, err)
	if err != nil {
		sleepContext(ctx, watchRetryPause)
		return
	}
	if time.Since(f.auditedAt) > auditInterval {
		f.auditedAt = time.Now()
		f.audit(ctx, stateCopy)
	}
}

// applyEvents applies the answer of a watch to a copy.
func (f *follower) applyEvents(stateCopy *standby.Copy, events wire.Events, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil:
		stateCopy.Apply(events, f.controller.now())
	case errors.Is(err, kvstore.ErrCompacted):
		stateCopy.Invalidate(standby.ErrHistoryLost)
	}
}

// audit compares the next range of a copy with the store.
func (f *follower) audit(ctx context.Context, stateCopy *standby.Copy) {
	f.mu.Lock()
	next := stateCopy.NextAuditRange(followedPrefixes)
	f.mu.Unlock()
	f.compare(ctx, stateCopy, next)
}

// compare reads a range of the store, brings the copy at least as far and compares it. It returns
// how many keys were compared; a difference invalidates the copy.
func (f *follower) compare(ctx context.Context, stateCopy *standby.Copy, keys standby.Range) int {
	page, err := f.controller.store.Page(ctx, keys.Prefix, keys.After, keys.Limit)
	if err != nil || !f.catchUp(ctx, stateCopy, page.Revision) {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return stateCopy.Audit(keys, page, followedPrefixes)
}

// catchUp brings a copy to a revision at least, and says whether it could.
func (f *follower) catchUp(ctx context.Context, stateCopy *standby.Copy, revision uint64) bool {
	for range catchUpTries {
		f.mu.Lock()
		current, invalid := stateCopy.Revision(), stateCopy.Err()
		f.mu.Unlock()
		if invalid != nil || current >= revision {
			return invalid == nil
		}
		events, err := f.controller.store.Watch(ctx, "", current, 0)
		f.applyEvents(stateCopy, events, err)
		if err != nil && !errors.Is(err, kvstore.ErrCompacted) {
			sleepContext(ctx, catchUpPause)
		}
	}
	return false
}

// errNotStandby means that this controller has no copy of the stored state.
var errNotStandby = errors.New("this node did not stand by")

// takeOver returns what the copy has of the stored state, brought up to the term that this
// controller has just taken, or why the state has to be read instead.
func (f *follower) takeOver(ctx context.Context, token uint64, held *lease) (*storedState, error) {
	c := f.controller
	f.mu.Lock()
	stateCopy := f.copy
	f.pausedUntil = time.Now().Add(takeoverPause)
	f.mu.Unlock()
	if stateCopy == nil {
		return nil, errNotStandby
	}
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	f.catchUp(ctx, stateCopy, token)
	f.mu.Lock()
	sample := stateCopy.SampleRange([]string{jobPrefix, ledgerPrefix}, rand.New(rand.NewPCG(rand.Uint64(), token)))
	f.mu.Unlock()
	compared := f.compare(ctx, stateCopy, sample)
	highest := c.term.view().token
	f.mu.Lock()
	defer f.mu.Unlock()
	state := standby.TakeoverState{
		Token: token, HighestToken: highest, Revision: stateCopy.Revision(), CopyErr: stateCopy.Err(),
		ComparedKeys: compared, SampleKeys: sample.CopyKeys,
		RanRecently: c.owner.ranRecently(), StoreReachable: c.store.Reachable(takeoverReachable), LeaseHeld: !held.expired.Load(),
	}
	if err := standby.RunChecks(&state); err != nil {
		return nil, err
	}
	f.copy = nil // what was read belongs to the term now
	return stateOfCopy(stateCopy), nil
}

// unfit says whether this controller could not follow lately.
func (f *follower) unfit() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.unfitAt.IsZero() && time.Since(f.unfitAt) < unfitDuration
}

// ready says whether there is a valid copy.
func (f *follower) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy != nil && f.copy.Err() == nil
}

// lag returns the size of the copy and for how many microseconds it has not been known to be the
// newest, and whether there is a valid one.
func (f *follower) lag() (keys, bytes int, lagMicros int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.copy == nil || f.copy.Err() != nil {
		return 0, 0, 0, false
	}
	keys, bytes = f.copy.Size()
	return keys, bytes, f.controller.now() - f.copy.CurrentAt(), true
}
