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
	// termReadRetry is the pause after the term could not be read.
	termReadRetry = 400 * time.Millisecond
	// catalogPoll is how often a controller that may take the term looks whether it knows the
	// machine types: without them it can decide nothing.
	catalogPoll = 50 * time.Millisecond
	// acquireRetry is the pause after a term or a lease could not be acquired.
	acquireRetry = 100 * time.Millisecond
	// resignPause is how long a controller that gave up its term by itself lets others go first.
	resignPause = 15 * time.Second

	// termWatchTime is how long the term key is watched before it is read anew, and termWatchHold how
	// long one request for its changes is held open.
	termWatchTime  = 6 * time.Second
	termWatchHold  = 4 * time.Second
	termWatchRetry = 300 * time.Millisecond

	// probeAfter: the key-value store is asked when it has given no answer for so long.
	probeAfter = 800 * time.Millisecond
)

// termRecord is the value of the term key.
type termRecord struct {
	Node      string `msgpack:"N"`
	Mark      string `msgpack:"M"`
	ProcessID uint64 `msgpack:"B,omitempty"` // of the process; earlier versions have none

	// Launches are stored on condition of the configuration's generation. Earlier versions
	// know none: while one of them leads, nothing is applied.
	SupportsConfig bool `msgpack:"C,omitempty"`
}

// election follows the term and takes it when it is free. The key's version is
// the fencing token: every change of the key-value store raises the revision, so tokens
// only rise.
//
// A term that names this controller here is one under which nobody acts: an earlier process has
// left it (this one listens on the controller's addresses, which only one process can, so the other
// has ended), or this process took it and got no answer, or has given it up. It is replaced
// at once instead of after the lease has run out. What was sent under it may still arrive, as
// it may after any takeover: writes are conditional on the version that is replaced, launches
// are in the ledger, and any command to workers carries the lower token.
type election struct {
	controller *Controller
	leaseTTL   time.Duration
}

// vacancy is a term that may be taken: its key doesn't exist, or has the version of a term that
// nobody acts under any more.
type vacancy struct{ version uint64 }

// isLeft says whether there is a key that somebody has left.
func (v vacancy) isLeft() bool { return v.version != 0 }

// heldTerm is a term that this controller has taken.
type heldTerm struct {
	token uint64
	lease *lease
}

func newElection(c *Controller) *election {
	return &election{controller: c, leaseTTL: seconds(*c.settings.Operator.LeaderLeaseS)}
}

// run stands for election again and again until the context ends or the controller is about to end.
func (e *election) run(ctx context.Context) {
	for ctx.Err() == nil && !e.controller.draining.Load() {
		e.stand(ctx)
	}
}

// stand waits until the term is free, lets others go first if they are better placed, takes the
// term and leads until it is lost. It returns early wherever somebody else was faster.
func (e *election) stand(ctx context.Context) {
	free, ok := e.awaitVacancy(ctx)
	if !ok {
		return
	}
	if _, known := e.controller.machineTypes(); !known {
		sleepContext(ctx, catalogPoll)
		return
	}
	if !free.isLeft() && !e.deferToStandbys(ctx) {
		return
	}
	if !e.controller.follower.ready() && e.controller.yieldsElection(ctx) {
		if !e.yield(ctx, free) {
			return
		}
		free = vacancy{}
	}
	term, err := e.acquire(ctx, free)
	if err != nil {
		sleepContext(ctx, acquireRetry)
		return
	}
	e.controller.log.Info("term acquired", "node", e.controller.settings.Label, "token", term.token, "replaced", free.version)
	e.serve(ctx, term)
}

// awaitVacancy reads the term, and waits while another controller holds it; false means that it is
// to be read again.
func (e *election) awaitVacancy(ctx context.Context) (vacancy, bool) {
	entry, found, err := e.controller.store.Get(ctx, termKey)
	if err != nil {
		sleepContext(ctx, termReadRetry)
		return vacancy{}, false
	}
	if !found {
		return vacancy{}, true
	}
	holder := e.observe(entry)
	if holder != e.controller.settings.Label && !e.awaitReplaceable(ctx, entry.Version) {
		return vacancy{}, false
	}
	return vacancy{entry.Version}, true
}

// observe takes what the term key says, and returns the label of the controller that holds the term.
func (e *election) observe(entry wire.KeyValue) string {
	var record termRecord
	_ = wire.Unmarshal(entry.Value, &record) // of an unreadable one the token counts all the same
	e.controller.observeTerm(record.Node, entry.Version)
	return record.Node
}

// isUnheld says whether there is no term key, as far as can be read.
func (e *election) isUnheld(ctx context.Context) bool {
	_, found, err := e.controller.store.Get(ctx, termKey)
	return err == nil && !found
}

// awaitReplaceable returns false once the term key may have changed since the version, or true once
// the process that took the term is taken for ended: then it may be replaced.
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

// awaitChange returns once the term key may have changed since the version.
func (e *election) awaitChange(ctx context.Context, version uint64) {
	deadline := time.Now().Add(termWatchTime)
	for from := version; ctx.Err() == nil && time.Now().Before(deadline); {
		events, err := e.controller.store.Watch(ctx, termKey, from, termWatchHold)
		if err != nil {
			sleepContext(ctx, termWatchRetry)
			return
		}
		if len(events.Events) > 0 {
			return
		}
		from = max(from, events.Revision)
	}
}

// deferToStandbys lets warm standbys go first that rank before this controller, and says
// whether the term is still free.
func (e *election) deferToStandbys(ctx context.Context) bool {
	delay := e.controller.candidateDelay()
	if delay <= 0 {
		return true
	}
	sleepContext(ctx, delay)
	return e.isUnheld(ctx)
}

// yield lets others go first since this controller is unstable, and says whether the term is still
// free after that. A term that was left is given up: nobody acts under it any more, and somebody
// else is to.
func (e *election) yield(ctx context.Context, free vacancy) bool {
	if free.isLeft() {
		_, err := e.controller.store.Txn(ctx, wire.Txn{
			Conditions: []wire.Condition{{Key: termKey, Version: free.version}},
			Mutations:  []wire.Mutation{{Delete: termKey}},
		})
		e.controller.log.Info("abandoned term released", "token", free.version, "err", err)
	}
	sleepContext(ctx, e.controller.peerTable.yieldDuration())
	return e.isUnheld(ctx)
}

// acquire takes a vacant term under a new lease. A lease is opened only now: those of all the
// controllers that merely wait would cost the service more requests than the term itself.
func (e *election) acquire(ctx context.Context, free vacancy) (*heldTerm, error) {
	termLease, err := openLease(ctx, e.controller.store, e.leaseTTL)
	if err != nil {
		return nil, fmt.Errorf("opening a lease: %w", err)
	}
	token, err := e.writeTerm(ctx, free, termLease)
	if err != nil {
		termLease.abandon()
		return nil, fmt.Errorf("writing the term: %w", err)
	}
	return &heldTerm{token, termLease}, nil
}

// writeTerm stores the term key in place of a vacancy and returns its version, the fencing token.
func (e *election) writeTerm(ctx context.Context, free vacancy, termLease *lease) (uint64, error) {
	c := e.controller
	// The service never gives a lease's number twice, whatever the clocks say.
	mark := fmt.Sprintf("%s.%d.%d", c.settings.Label, c.clock.wallMicros, termLease.id)
	record := termRecord{Node: c.settings.Label, Mark: mark, ProcessID: c.processID, SupportsConfig: true}
	answer, err := c.store.Txn(ctx, wire.Txn{
		Conditions: []wire.Condition{{Key: termKey, Version: free.version}},
		Mutations:  []wire.Mutation{{Put: termKey, Value: record, Lease: termLease.id}},
	})
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return e.findWritten(ctx, mark, err)
	}
	return answer.Revision, err
}

// findWritten returns the version of the term key if it is the one written with a mark, otherwise
// the error of the write, whose outcome was unknown.
func (e *election) findWritten(ctx context.Context, mark string, writeErr error) (uint64, error) {
	entry, found, err := e.controller.store.Get(ctx, termKey)
	if err != nil || !found {
		return 0, writeErr
	}
	var record termRecord
	if wire.Unmarshal(entry.Value, &record) != nil || record.Mark != mark {
		return 0, writeErr
	}
	return entry.Version, nil
}

// serve leads under a term until it is lost. Its lease is not used again.
func (e *election) serve(ctx context.Context, term *heldTerm) {
	e.controller.lead(ctx, term)
	term.lease.abandon()
	_ = e.controller.store.EndLease(ctx, term.lease.id) // otherwise it runs out
	if e.controller.term.hasResigned(term.token) {
		sleepContext(ctx, resignPause)
	}
}

// probeStore asks the key-value store now and then when nothing else has: whether this
// controller is healthy, and may renew leases by itself, goes by what the service last answered.
func (e *election) probeStore(ctx context.Context) {
	store := e.controller.store
	for ctx.Err() == nil {
		if !store.Reachable(probeAfter) {
			if entry, found, err := store.Get(kvstore.Urgent(ctx), termKey); err == nil && found {
				e.observe(entry)
			}
		}
		sleepContext(ctx, probeAfter/2)
	}
}
