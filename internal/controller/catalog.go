package controller

import (
	"context"
	"sync/atomic"
	"time"

	"dalefront/wire"
)

const (
	// catalogFirstRetry is the first wait after the cloud gave no machine types; it doubles up to
	// catalogMaxRetry.
	catalogFirstRetry = 300 * time.Millisecond
	catalogMaxRetry   = 3 * time.Second
	// catalogRefresh is how often a controller reads the machine types and their prices again, and
	// catalogLeaderRefresh how often the leader does, which stores them as well.
	catalogRefresh       = 60 * time.Second
	catalogLeaderRefresh = 120 * time.Second
)

// machineCatalog is the newest known catalog of machine types. It is replaced and never changed.
type machineCatalog struct{ current atomic.Pointer[wire.Catalog] }

// set replaces the catalog.
func (m *machineCatalog) set(catalog wire.Catalog) { m.current.Store(&catalog) }

// get returns the catalog, and whether there is one.
func (m *machineCatalog) get() (wire.Catalog, bool) {
	if catalog := m.current.Load(); catalog != nil {
		return *catalog, true
	}
	return wire.Catalog{}, false
}

// catalogRefresher keeps a controller's catalog up to date.
type catalogRefresher struct{ controller *Controller }

// run reads the machine types from the cloud, and prices again from
// time to time. A controller that starts while the cloud is in trouble uses the copy
// that a leader stored: it must be able to take jobs all the same.
func (r catalogRefresher) run(ctx context.Context) {
	c := r.controller
	wait := catalogFirstRetry
	for ctx.Err() == nil {
		catalog, err := c.cloud.Catalog(ctx)
		if err == nil && len(catalog.Types) > 0 {
			c.setCatalog(catalog)
			wait = catalogRefresh
			if leading := c.term.view().leading; leading != 0 {
				r.store(ctx, catalog, leading)
				wait = catalogLeaderRefresh
			}
		} else {
			wait = min(2*wait, catalogMaxRetry)
			r.loadStored(ctx)
		}
		sleepContext(ctx, wait)
	}
}

// store stores a copy of the catalog, on condition that the term of a token goes on. It is
// tried again at the next refresh.
func (r catalogRefresher) store(ctx context.Context, catalog wire.Catalog, token uint64) {
	_, _ = r.controller.store.Txn(ctx, wire.Txn{
		Conditions: []wire.Condition{{Key: termKey, Version: token}},
		Mutations:  []wire.Mutation{{Put: catalogKey, Value: catalog}},
	})
}

// loadStored takes the copy that a leader stored, if nothing is known yet.
func (r catalogRefresher) loadStored(ctx context.Context) {
	c := r.controller
	if _, known := c.machineTypes(); known {
		return
	}
	entry, found, err := c.store.Get(ctx, catalogKey)
	if err != nil || !found {
		return
	}
	var catalog wire.Catalog
	if wire.Unmarshal(entry.Value, &catalog) == nil && len(catalog.Types) > 0 {
		c.setCatalog(catalog)
	}
}

// setCatalog takes a catalog and hands it to the core.
func (c *Controller) setCatalog(catalog wire.Catalog) {
	c.catalog.set(catalog)
	c.owner.post(func() {
		if c.owner.leadership != nil {
			c.owner.leadership.core.SetCatalog(catalog)
		}
	})
}

// machineTypes returns the known machine types, and whether any are known.
func (c *Controller) machineTypes() (wire.Catalog, bool) { return c.catalog.get() }
