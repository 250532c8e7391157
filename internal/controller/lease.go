package controller

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"dalefront/internal/kvstore"
)

// leaseRenewals is how often a lease is renewed within the time that it lasts.
const leaseRenewals = 4

// lease is a lease of the key-value store, renewed in the background until it is known to have expired
// or is abandoned.
type lease struct {
	id      uint64
	expired atomic.Bool
}

// openLease opens a lease that lasts for so long without a renewal, and renews it until it has
// expired or the context ends.
func openLease(ctx context.Context, store *kvstore.Client, ttl time.Duration) (*lease, error) {
	id, err := store.OpenLease(ctx, ttl)
	if err != nil {
		return nil, err
	}
	l := &lease{id: id}
	go l.renew(ctx, store, ttl/leaseRenewals)
	return l, nil
}

// renew renews the lease from time to time.
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

// abandon ends the renewal: the lease is not used again and runs out.
func (l *lease) abandon() { l.expired.Store(true) }
