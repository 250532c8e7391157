package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dalefront/internal/kvstore"
	"dalefront/wire"
)

const (
	// termReadRetryDelay is the delay before the term key is read again after a failed read.
	termReadRetryDelay = 400 * time.Millisecond
	// catalogPollInterval is the interval at which a candidate checks whether the machine types are
	// known. Without them a leader can't make any decision.
	catalogPollInterval = 50 * time.Millisecond
	// acquireRetryDelay is the delay before the next attempt after a term or its lease could not be
	// acquired.
	acquireRetryDelay = 100 * time.Millisecond
	// resignCooldown is the time for which a controller that resigned its term doesn't run for
	// election, so that another controller becomes leader.
	resignCooldown = 15 * time.Second

	// termRereadInterval is the time for which the term key is watched before it is read again.
	// termWatchTimeout is the time for which the store holds one watch request open. termWatchRetryDelay is
	// the delay after a failed watch request.
	termRereadInterval  = 6 * time.Second
	termWatchTimeout    = 4 * time.Second
	termWatchRetryDelay = 300 * time.Millisecond

	// storeProbeAfter is the time without an answer from the key-value store after which it is probed.
	storeProbeAfter = 800 * time.Millisecond
)

// termRecord is the stored value of the term key. It describes the controller that took the term.
type termRecord struct {
	Node      string `msgpack:"N"`           // label of the controller
	WriteID   string `msgpack:"M"`           // unique to this write of the term key
	ProcessID uint64 `msgpack:"B,omitempty"` // ID of the controller's process; 0 in records of earlier versions

	// SupportsConfig is true if the leader makes each stored launch conditional on the configuration
	// generation. Earlier versions have no generations, so no configuration change is applied while
	// one of them leads.
	SupportsConfig bool `msgpack:"C,omitempty"`
}

// election watches the term key and acquires the term when it is vacant. The version of the key is the
// fencing token: every change in the key-value store raises the revision, so tokens only increase.
//
// A term key that names this controller while it runs for election is abandoned: no process acts under that
// term. One of three things has happened. An earlier process of this controller took the term and has exited:
// only one process can listen on the controller's addresses, and this one does. Or this process took the term
// but got no answer to the write. Or this process has resigned the term. An abandoned term is replaced at
// once instead of after its lease has expired. Requests sent under an abandoned term may still arrive, as
// after any takeover. They do no harm. Writes are conditional on the version of the term key, which has
// changed, so they fail. Launches are recorded in the ledger, which the next leader reads. Commands to
// workers carry the lower token, so workers that know the new token reject them.
type election struct {
	controller *Controller
	leaseTTL   time.Duration
}

// vacantTerm is a term that may be acquired. If the term is abandoned or its leader's process is suspected
// to have ended, the field version is the version of the term key. If the term key doesn't exist, the
// field is 0.
type vacantTerm struct{ version uint64 }

// isAbandoned reports whether the term key still exists, so that acquiring the term replaces it.
func (v vacantTerm) isAbandoned() bool { return v.version != 0 }

// heldTerm is a term that this controller has acquired, with the lease that the term key is attached to.
type heldTerm struct {
	token uint64
	lease *lease
}

func newElection(c *Controller) *election {
	return &election{controller: c, leaseTTL: seconds(*c.settings.Operator.LeaderLeaseS)}
}

// run campaigns for the term until the context ends or the controller drains.
func (e *election) run(ctx context.Context) {
	for ctx.Err() == nil && !e.controller.draining.Load() {
		e.campaign(ctx)
	}
}

// campaign waits until the term is vacant, defers to controllers that are better candidates, acquires
// the term and leads until the term is lost. It returns early if a step fails or another controller
// may have acquired the term first.
func (e *election) campaign(ctx context.Context) {
	vacant, ok := e.awaitVacantTerm(ctx)
	if !ok {
		return
	}
	if _, known := e.controller.machineTypes(); !known {
		sleepContext(ctx, catalogPollInterval)
		return
	}
	if !vacant.isAbandoned() && !e.deferToStandbys(ctx) {
		return
	}
	if !e.controller.follower.ready() && e.controller.shouldYieldElection(ctx) {
		if !e.yieldToPeers(ctx, vacant) {
			return
		}
		vacant = vacantTerm{}
	}
	term, err := e.acquire(ctx, vacant)
	if err != nil {
		sleepContext(ctx, acquireRetryDelay)
		return
	}
	e.controller.log.Info("term acquired", "node", e.controller.settings.Label, "token", term.token, "replaced", vacant.version)
	e.leadUntilLost(ctx, term)
}

// awaitVacantTerm reads the term key and waits while another controller holds the term. It returns
// false if the caller has to read the key again.
func (e *election) awaitVacantTerm(ctx context.Context) (vacantTerm, bool) {
	entry, found, err := e.controller.store.Get(ctx, termKey)
	if err != nil {
		sleepContext(ctx, termReadRetryDelay)
		return vacantTerm{}, false
	}
	if !found {
		return vacantTerm{}, true
	}
	holder := e.observe(entry)
	if holder != e.controller.settings.Label && !e.awaitReplaceable(ctx, entry.Version) {
		return vacantTerm{}, false
	}
	return vacantTerm{entry.Version}, true
}

// observe records the term that the term key names and returns the label of its holder.
func (e *election) observe(entry wire.KeyValue) string {
	var record termRecord
	_ = wire.Unmarshal(entry.Value, &record) // even if the record is unreadable, its token is valid
	e.controller.observeTerm(record.Node, entry.Version)
	return record.Node
}

// isTermKeyAbsent reports whether the term key doesn't exist. It returns false if the key can't be
// read.
func (e *election) isTermKeyAbsent(ctx context.Context) bool {
	_, found, err := e.controller.store.Get(ctx, termKey)
	return err == nil && !found
}

// awaitReplaceable waits until the leader's process is suspected to have ended, so that the term whose key
// has the given version may be replaced, and returns true. It returns false if the term key may have changed
// before that.
func (e *election) awaitReplaceable(ctx context.Context, version uint64) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		e.awaitChange(ctx, version)
	}()
	for {
		select {
		case <-changed:
			return false
		case replaceable := <-e.controller.leaderWatch.replaceable:
			if replaceable == version {
				return true
			}
		}
	}
}

// awaitChange returns once the term key may have changed since it had the given version: after a change,
// after a failed watch, or after termRereadInterval at the latest.
func (e *election) awaitChange(ctx context.Context, version uint64) {
	deadline := time.Now().Add(termRereadInterval)
	for from := version; ctx.Err() == nil && time.Now().Before(deadline); {
		events, err := e.controller.store.Watch(ctx, termKey, from, termWatchTimeout)
		if err != nil {
			sleepContext(ctx, termWatchRetryDelay)
			return
		}
		if len(events.Events) > 0 {
			return
		}
		from = max(from, events.Revision)
	}
}

// deferToStandbys waits so that the warm standbys that rank before this controller can take the term
// first. It reports whether the term is still vacant after the wait.
func (e *election) deferToStandbys(ctx context.Context) bool {
	delay := e.controller.candidateDelay()
	if delay <= 0 {
		return true
	}
	sleepContext(ctx, delay)
	return e.isTermKeyAbsent(ctx)
}

// yieldToPeers waits so that a peer can take the term first, because this controller is unstable, and
// reports whether the term is still vacant after the wait. It first deletes the key of an abandoned
// term, since nobody acts under that term and a peer is to acquire a new one.
func (e *election) yieldToPeers(ctx context.Context, vacant vacantTerm) bool {
	if vacant.isAbandoned() {
		_, err := e.controller.store.Txn(ctx, wire.Txn{
			Conditions: []wire.Condition{{Key: termKey, Version: vacant.version}},
			Mutations:  []wire.Mutation{{Delete: termKey}},
		})
		e.controller.log.Info("abandoned term released", "token", vacant.version, "err", err)
	}
	sleepContext(ctx, e.controller.peerTable.yieldDuration())
	return e.isTermKeyAbsent(ctx)
}

// acquire takes a vacant term under a new lease. The lease is opened only when the term is vacant. If every
// waiting controller kept a lease, the renewals would cost the key-value store more requests than holding the
// term does.
func (e *election) acquire(ctx context.Context, vacant vacantTerm) (*heldTerm, error) {
	termLease, err := openLease(ctx, e.controller.store, e.leaseTTL)
	if err != nil {
		return nil, fmt.Errorf("opening a lease: %w", err)
	}
	token, err := e.writeTerm(ctx, vacant, termLease)
	if err != nil {
		termLease.abandon()
		return nil, fmt.Errorf("writing the term: %w", err)
	}
	return &heldTerm{token, termLease}, nil
}

// writeTerm stores the term key for a vacant term and returns its version, the fencing token.
func (e *election) writeTerm(ctx context.Context, vacant vacantTerm, termLease *lease) (uint64, error) {
	c := e.controller
	// The lease ID makes the write ID unique even if clocks are wrong: the store never reuses a lease ID.
	writeID := fmt.Sprintf("%s.%d.%d", c.settings.Label, c.clock.wallMicros, termLease.id)
	record := termRecord{Node: c.settings.Label, WriteID: writeID, ProcessID: c.processID, SupportsConfig: true}
	answer, err := c.store.Txn(ctx, wire.Txn{
		Conditions: []wire.Condition{{Key: termKey, Version: vacant.version}},
		Mutations:  []wire.Mutation{{Put: termKey, Value: record, Lease: termLease.id}},
	})
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return e.resolveUnknownWrite(ctx, writeID, err)
	}
	return answer.Revision, err
}

// resolveUnknownWrite returns the version of the term key if the key has the given write ID, which
// shows that a write with an unknown outcome was applied. Otherwise it returns the error of the write.
func (e *election) resolveUnknownWrite(ctx context.Context, writeID string, writeErr error) (uint64, error) {
	entry, found, err := e.controller.store.Get(ctx, termKey)
	if err != nil || !found {
		return 0, writeErr
	}
	var record termRecord
	if wire.Unmarshal(entry.Value, &record) != nil || record.WriteID != writeID {
		return 0, writeErr
	}
	return entry.Version, nil
}

// leadUntilLost acts as leader until the term is lost, and then ends the lease of the term. After a
// resignation it also waits for resignCooldown.
func (e *election) leadUntilLost(ctx context.Context, term *heldTerm) {
	e.controller.lead(ctx, term)
	term.lease.abandon()
	_ = e.controller.store.EndLease(ctx, term.lease.id) // if this fails, the lease expires
	if e.controller.term.hasResigned(term.token) {
		sleepContext(ctx, resignCooldown)
	}
}

// probeStore reads from the key-value store when no other request has been answered lately. The time
// of the last answer decides whether this controller is ready and whether it may renew workers'
// leases without the leader.
func (e *election) probeStore(ctx context.Context) {
	store := e.controller.store
	for ctx.Err() == nil {
		if !store.Reachable(storeProbeAfter) {
			if entry, found, err := store.Get(kvstore.Urgent(ctx), termKey); err == nil && found {
				e.observe(entry)
			}
		}
		sleepContext(ctx, storeProbeAfter/2)
	}
}
