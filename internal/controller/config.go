package controller

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dalefront/internal/config"
	"dalefront/internal/dynconfig"
	"dalefront/internal/kvstore"
	"dalefront/internal/peer"
	"dalefront/wire"
)

const (
	configWatchTimeout = 30 * time.Second // for so long the store holds a watch open
	configRetryPause   = 300 * time.Millisecond
	configPage         = 1000
	configReadTries    = 5 // to read documents while they change

	// requestsPerConfigWatch: one in so many of the store's requests may open the watch again. A
	// burst of changes comes together.
	requestsPerConfigWatch = 8
)

// errConfigChanging means that the configuration could not be read as of one moment.
var errConfigChanging = errors.New("the configuration changes faster than it can be read")

// activeConfig is the configuration that this controller decides by. It is never changed, only
// replaced.
type activeConfig struct {
	settings          *config.Settings // of the platform, with the documents merged
	cordons           []dynconfig.Cordon
	generation        uint64
	generationVersion uint64   // of the generation's key
	known             bool     // it was read since this process began
	since             int64    // when this controller took the generation: microseconds, time of day
	unusable          []string // documents that this controller can't use
}

// configFollower follows the stored configuration. Being late costs time and never safety: launches
// are stored on condition of the generation that they were decided by.
type configFollower struct {
	controller      *Controller
	active          atomic.Pointer[activeConfig]
	rejectedBatches atomic.Int64  // batches decided by a generation that was no longer in force
	refreshNeeded   chan struct{} // a peer has shown a newer generation

	mu             sync.Mutex
	state          *dynconfig.State // nil: not read, or not followed without a gap
	revision       uint64           // up to which the watch has brought changes
	withoutSupport map[string]bool  // peers of a version that knows no such configuration
}

// newConfigFollower returns a follower that has read nothing yet; run starts it.
func newConfigFollower(c *Controller) *configFollower {
	f := &configFollower{controller: c, refreshNeeded: make(chan struct{}, 1), withoutSupport: map[string]bool{}}
	f.active.Store(&activeConfig{settings: c.settings})
	return f
}

// current is the configuration to decide by.
func (f *configFollower) current() *activeConfig { return f.active.Load() }

// generationCondition makes a transaction fail once the configuration has changed.
func generationCondition(version uint64) wire.Condition {
	return wire.Condition{Key: dynconfig.GenerationKey, Version: version}
}

// run keeps up with the configuration until the context ends.
func (f *configFollower) run(ctx context.Context) {
	var refresher sync.WaitGroup
	refresher.Go(func() { f.refreshOnRequest(ctx) })
	defer refresher.Wait()
	interval := seconds(requestsPerConfigWatch / max(f.controller.settings.Deployment.State.RPS, 1))
	for ctx.Err() == nil {
		f.mu.Lock()
		followed, revision := f.state != nil, f.revision
		f.mu.Unlock()
		if followed {
			f.watch(ctx, revision, interval)
		} else if f.refresh(ctx) != nil {
			sleepContext(ctx, configRetryPause)
		}
	}
}

// watch waits for the next changes after a revision and takes them. After changes it waits for the
// interval before it returns.
func (f *configFollower) watch(ctx context.Context, revision uint64, interval time.Duration) {
	events, err := f.controller.store.Watch(ctx, dynconfig.Prefix, revision, configWatchTimeout)
	switch {
	case errors.Is(err, kvstore.ErrCompacted):
		f.markUnknown()
	case err != nil:
		sleepContext(ctx, configRetryPause)
	default:
		f.applyEvents(revision, events)
		if len(events.Events) > 0 {
			sleepContext(ctx, interval)
		}
	}
}

// refreshOnRequest reads the configuration when a peer has shown a newer one than the watch brought.
func (f *configFollower) refreshOnRequest(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.refreshNeeded:
		}
		if f.refresh(ctx) != nil {
			sleepContext(ctx, configRetryPause)
		}
	}
}

// markUnknown forgets what was followed: it is to be read again.
func (f *configFollower) markUnknown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = nil
}

// applyEvents takes the answer of a watch that was opened at a revision.
func (f *configFollower) applyEvents(from uint64, events wire.Events) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil || f.revision != from {
		return // read again meanwhile
	}
	f.revision = max(from, events.Revision)
	if len(events.Events) == 0 {
		return
	}
	next, err := f.state.Apply(events.Events)
	if err != nil {
		f.controller.log.Error("configuration unusable", "err", err)
		f.state = nil
		return
	}
	f.setState(next)
}

// refresh reads the whole configuration and takes it, unless what is followed is newer.
func (f *configFollower) refresh(ctx context.Context) error {
	read, revision, err := f.readState(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil || revision >= f.revision {
		f.revision = revision
		f.setState(read)
	}
	return nil
}

// adopt takes the configuration as a copy of the stored state has it at a revision, unless what is
// followed is newer.
func (f *configFollower) adopt(entries []wire.KeyValue, revision uint64) error {
	if len(entries) == 0 && f.current().known {
		return nil
	}
	copied, err := dynconfig.NewState(entries)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil || revision > f.revision {
		f.revision = revision
		f.setState(copied)
	}
	return nil
}

// readState reads the configuration as of one moment, and the revision from which a watch misses
// nothing. A page is of one moment; if it takes several, the generation must be the same before and
// after, as nothing that is in force changes without it.
func (f *configFollower) readState(ctx context.Context) (*dynconfig.State, uint64, error) {
	store := f.controller.store
	for range configReadTries {
		page, err := store.Page(ctx, dynconfig.Prefix, "", configPage)
		if err != nil {
			return nil, 0, err
		}
		entries, revision := page.Items, page.Revision
		versionBefore := uint64(0)
		if page.More {
			generation, _, err := store.Get(ctx, dynconfig.GenerationKey)
			if err != nil {
				return nil, 0, err
			}
			versionBefore = generation.Version
			if entries, revision, err = store.List(ctx, dynconfig.Prefix); err != nil {
				return nil, 0, err
			}
		}
		state, err := dynconfig.NewState(entries)
		if err != nil {
			return nil, 0, err
		}
		if !page.More || state.GenerationVersion == versionBefore {
			return state, revision, nil
		}
	}
	return nil, 0, errConfigChanging
}

// setState takes a state and has the core configured by it. The lock is held, so that the core is
// configured by states in their order.
func (f *configFollower) setState(state *dynconfig.State) {
	c := f.controller
	old := f.current()
	f.state = state
	if old.known && old.generationVersion == state.GenerationVersion {
		return
	}
	next := &activeConfig{generation: state.Generation.Number, generationVersion: state.GenerationVersion, known: true, since: c.now()}
	next.settings, next.cordons, next.unusable = dynconfig.Merge(c.settings, state.Documents())
	if old.known && old.generation == next.generation {
		next.since = old.since
	} else if next.generation > 0 {
		c.log.Info("configuration activated", "generation", next.generation, "cordons", len(next.cordons), "not_usable", next.unusable)
	}
	f.active.Store(next)
	go c.owner.post(f.configureCore) // the owner's queue may be full, and the owner may wait for the lock
}

// configureCore hands the newest configuration to the core. Owner goroutine.
func (f *configFollower) configureCore() {
	owner := f.controller.owner
	if owner.leadership == nil {
		return
	}
	active := f.current()
	owner.leadership.core.Configure(active.settings, active.cordons, active.generationVersion, f.controller.now())
	owner.requestPass()
}

// recordPeer takes what a peer's heartbeat says of the configuration.
func (f *configFollower) recordPeer(label string, heartbeat *peer.Heartbeat) {
	f.mu.Lock()
	f.withoutSupport[label] = !heartbeat.SupportsConfig
	f.mu.Unlock()
	if heartbeat.Generation <= f.current().generation {
		return
	}
	select {
	case f.refreshNeeded <- struct{}{}:
	default: // it is requested already
	}
}

// peersWithoutSupport lists the peers of a version that knows no such configuration, as they said
// last.
func (f *configFollower) peersWithoutSupport() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var labels []string
	for label, without := range f.withoutSupport {
		if without && f.controller.peers[label] != nil {
			labels = append(labels, label)
		}
	}
	slices.Sort(labels)
	return labels
}

// readHistory reads what is kept of the generations up to that of a state, the newest first.
func (f *configFollower) readHistory(ctx context.Context, state *dynconfig.State) ([]dynconfig.History, error) {
	entries, _, err := f.controller.store.List(ctx, dynconfig.HistoryPrefix)
	if err != nil {
		return nil, err
	}
	return dynconfig.ReadHistory(entries, state.Generation.Number)
}

// PeerConfigStatus implements peer.Server.
func (c *Controller) PeerConfigStatus(context.Context, *peer.ConfigStatusRequest) (*peer.ConfigStatusResponse, error) {
	active := c.config.current()
	return &peer.ConfigStatusResponse{
		Label: c.settings.Label, Loaded: active.known, Generation: active.generation, ActiveSince: active.since, UnusableDocuments: active.unusable,
	}, nil
}

// PeerConfigRead implements peer.Server.
func (c *Controller) PeerConfigRead(ctx context.Context, request *peer.ConfigReadRequest) (*peer.ConfigReadResponse, error) {
	state, _, err := c.config.readState(ctx)
	if err != nil {
		return &peer.ConfigReadResponse{Reason: err.Error()}, nil
	}
	response := &peer.ConfigReadResponse{Generation: state.Generation.Number, Documents: state.Documents()}
	if request.History {
		if response.History, err = c.config.readHistory(ctx, state); err != nil {
			return &peer.ConfigReadResponse{Reason: err.Error()}, nil
		}
	}
	return response, nil
}
