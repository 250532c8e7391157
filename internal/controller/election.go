package controller

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"dalefront/internal/kvstore"
	"dalefront/wire"
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

// lease is a lease of the state service, renewed in the background.
type lease struct {
	id      uint64
	expired atomic.Bool
}

// keepLease opens a lease and renews it until it ends for certain.
func (c *Controller) keepLease(ctx context.Context, ttl time.Duration) (*lease, error) {
	id, err := c.store.OpenLease(ctx, ttl)
	if err != nil {
		return nil, err
	}
	h := &lease{id: id}
	go func() {
		for !h.expired.Load() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(ttl / 4):
			}
			if err := c.store.RenewLease(ctx, id); errors.Is(err, kvstore.ErrLeaseNotFound) {
				h.expired.Store(true)
			}
		}
	}()
	return h, nil
}

// sleepContext waits for so long, or until the context ends.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// electionLoop follows the term and takes it when it is free. The key's version is
// the token: every change of the state service raises the revision, so tokens
// only rise.
//
// A term that names this node here is one under which nobody acts: an earlier process has
// left it (this one listens on the node's addresses, which only one process can, so the other
// has ended), or this process took it and was not told so, or has given it up. It is replaced
// at once instead of after the lease has run out. What was sent under it may still arrive, as
// it may after any takeover: writes are conditional on the version that is replaced, launches
// are in the ledger, and any word to workers carries the lower token.
func (c *Controller) electionLoop(ctx context.Context) {
	ttl := time.Duration(*c.settings.Operator.TermS * float64(time.Second))
	for ctx.Err() == nil && !c.draining.Load() {
		e, found, err := c.store.Get(ctx, termKey)
		if err != nil {
			sleepContext(ctx, 400*time.Millisecond)
			continue
		}
		left := uint64(0) // version of a term that nobody acts under any more
		if found {
			var t termRecord
			_ = wire.Unmarshal(e.Value, &t)
			c.observeTerm(t.Node, e.Version)
			if t.Node != c.settings.Label && !c.awaitTermRelease(ctx, e.Version) {
				continue
			}
			left = e.Version
		}
		if _, ok := c.machineTypes(); !ok {
			sleepContext(ctx, 50*time.Millisecond) // can't decide anything yet
			continue
		}
		if wait := c.candidateDelay(); wait > 0 && left == 0 {
			sleepContext(ctx, wait)
			if _, found, err := c.store.Get(ctx, termKey); err != nil || found {
				continue
			}
		}
		if !c.follower.ready() && c.yieldsElection(ctx) {
			if left != 0 {
				// Nobody acts under it any more, and somebody else is to.
				_, err := c.store.Txn(ctx, wire.Txn{Conditions: []wire.Condition{{Key: termKey, Version: left}}, Mutations: []wire.Mutation{{Delete: termKey}}})
				c.log.Info("gives up a term that an ended process has left", "token", left, "err", err)
			}
			sleepContext(ctx, c.peerTable.yieldDuration())
			if _, found, err := c.store.Get(ctx, termKey); err != nil || found {
				continue
			}
			left = 0
		}
		// A lease is opened only now: those of all the nodes that merely stand by
		// would cost the service more requests than the term itself.
		h, err := c.keepLease(ctx, ttl)
		if err != nil {
			sleepContext(ctx, 100*time.Millisecond)
			continue
		}
		// The service never gives a lease's number twice, whatever the clocks say.
		mark := fmt.Sprintf("%s.%d.%d", c.settings.Label, c.startWallMicros, h.id)
		a, err := c.store.Txn(ctx, wire.Txn{
			Conditions: []wire.Condition{{Key: termKey, Version: left}},
			Mutations:  []wire.Mutation{{Put: termKey, Value: termRecord{Node: c.settings.Label, Mark: mark, ProcessID: c.processID, SupportsConfig: true}, Lease: h.id}},
		})
		token := a.Revision
		if errors.Is(err, kvstore.ErrOutcomeUnknown) {
			e, found, rerr := c.store.Get(ctx, termKey)
			var t termRecord
			if rerr == nil && found && wire.Unmarshal(e.Value, &t) == nil && t.Mark == mark {
				token, err = e.Version, nil
			}
		}
		if err != nil {
			h.expired.Store(true) // left to run out
			sleepContext(ctx, 100*time.Millisecond)
			continue
		}
		c.log.Info("term taken", "node", c.settings.Label, "token", token, "replaced", left)
		c.lead(ctx, token, h)
		h.expired.Store(true) // a term's lease is not used again
		_ = c.store.EndLease(ctx, h.id)
		if c.term.hasResigned(token) {
			sleepContext(ctx, 15*time.Second)
		}
	}
}

// awaitTermRelease returns once the term key may have changed since the version, or with true once
// the process that took the term is taken for ended: then it may be replaced.
func (c *Controller) awaitTermRelease(ctx context.Context, version uint64) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := make(chan struct{})
	deadline := time.Now().Add(6 * time.Second)
	go func() {
		defer close(changed)
		for from := version; ctx.Err() == nil && time.Now().Before(deadline); {
			ev, err := c.store.Watch(ctx, termKey, from, 4*time.Second)
			if err != nil {
				select {
				case <-ctx.Done():
				case <-time.After(300 * time.Millisecond):
				}
				return
			}
			if len(ev.Events) > 0 {
				return
			}
			from = max(from, ev.Revision)
		}
	}()
	for {
		select {
		case <-changed:
			return false
		case v := <-c.leaderWatch.replaceable:
			if v == version {
				return true
			}
		}
	}
}

// probeStore asks the state service now and then when nothing else has: whether this
// node is healthy, and may use a grant, goes by what the service last answered.
func (c *Controller) probeStore(ctx context.Context) {
	const every = 800 * time.Millisecond
	for ctx.Err() == nil {
		if !c.store.Reachable(every) {
			if e, found, err := c.store.Get(kvstore.Urgent(ctx), termKey); err == nil && found {
				var t termRecord
				_ = wire.Unmarshal(e.Value, &t)
				c.observeTerm(t.Node, e.Version)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(every / 2):
		}
	}
}
