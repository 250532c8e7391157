package controller

import (
	"context"
	"sync/atomic"
	"time"

	"dalefront/wire"
)

const (
	// catalogRetryBase is the shortest pause after a request to the cloud that returned no machine types.
	// Each further failure doubles the pause, up to catalogRetryMax.
	catalogRetryBase = 300 * time.Millisecond
	catalogRetryMax  = 3 * time.Second
	// catalogRefreshInterval is the interval at which a controller reads the machine types and their
	// prices again. The leader reads them every catalogLeaderRefreshInterval, and also stores them.
	catalogRefreshInterval       = 60 * time.Second
	catalogLeaderRefreshInterval = 120 * time.Second
)

// machineCatalog holds the newest known catalog of machine types. The catalog is replaced as a whole
// and never modified.
type machineCatalog struct{ current atomic.Pointer[wire.Catalog] }

// set replaces the catalog.
func (m *machineCatalog) set(catalog wire.Catalog) { m.current.Store(&catalog) }

// get returns the catalog and whether there is one.
func (m *machineCatalog) get() (wire.Catalog, bool) {
	if catalog := m.current.Load(); catalog != nil {
		return *catalog, true
	}
	return wire.Catalog{}, false
}

// catalogRefresher keeps a controller's catalog up to date.
type catalogRefresher struct{ controller *Controller }

// run reads the machine types and their prices from the cloud at regular intervals. A controller that
// starts while the cloud's API is failing uses the catalog that a leader stored, since it needs the
// machine types to accept jobs.
func (r catalogRefresher) run(ctx context.Context) {
	c := r.controller
	wait := catalogRetryBase
	for ctx.Err() == nil {
		catalog, err := c.cloud.Catalog(ctx)
		if err == nil && len(catalog.Types) > 0 {
			c.setCatalog(catalog)
			wait = catalogRefreshInterval
			if token := c.term.view().leadingToken; token != 0 {
				r.store(ctx, catalog, token)
				wait = catalogLeaderRefreshInterval
			}
		} else {
			wait = min(2*wait, catalogRetryMax)
			r.loadStored(ctx)
		}
		sleepContext(ctx, wait)
	}
}

// store stores a copy of the catalog on condition that the term with the given token is still held. A
// failed write is not repeated: the next refresh stores the catalog again.
func (r catalogRefresher) store(ctx context.Context, catalog wire.Catalog, token uint64) {
	_, _ = r.controller.store.Txn(ctx, wire.Txn{
		Conditions: []wire.Condition{{Key: termKey, Version: token}},
		Mutations:  []wire.Mutation{{Put: catalogKey, Value: catalog}},
	})
}

// loadStored loads the catalog that a leader stored, unless this controller has one already.
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

// setCatalog replaces this controller's catalog of machine types. If this controller leads, it also replaces
// the catalog in the core.
func (c *Controller) setCatalog(catalog wire.Catalog) {
	c.catalog.set(catalog)
	c.owner.post(func() {
		if c.owner.leadership != nil {
			c.owner.leadership.core.SetCatalog(catalog)
		}
	})
}

// machineTypes returns the catalog of machine types and whether it is known.
func (c *Controller) machineTypes() (wire.Catalog, bool) { return c.catalog.get() }
