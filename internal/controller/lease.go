package controller

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"dalefront/internal/kvstore"
)

// renewalsPerTTL is the number of times that a lease is renewed within its time to live.
const renewalsPerTTL = 4

// lease is a lease of the key-value store. It is renewed in the background until the controller knows that it
// has expired, or abandons it.
type lease struct {
	id      uint64
	expired atomic.Bool // also true once the lease is abandoned
}

// openLease opens a lease with the given time to live and renews it until it has expired, is abandoned or
// the context ends.
func openLease(ctx context.Context, store *kvstore.Client, ttl time.Duration) (*lease, error) {
	id, err := store.OpenLease(ctx, ttl)
	if err != nil {
		return nil, err
	}
	l := &lease{id: id}
	go l.renew(ctx, store, ttl/renewalsPerTTL)
	return l, nil
}

// renew renews the lease once per interval.
func (l *lease) renew(ctx context.Context, store *kvstore.Client, interval time.Duration) {
	for !l.expired.Load() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		if err := store.RenewLease(ctx, l.id); errors.Is(err, kvstore.ErrLeaseNotFound) {
			l.expired.Store(true)
		}
	}
}

// abandon stops the renewals and marks the lease as expired, so that nobody relies on it. In the key-value
// store the lease expires after its time to live, unless EndLease ends it first.
func (l *lease) abandon() { l.expired.Store(true) }
