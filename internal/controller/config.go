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
	configWatchTimeout    = 30 * time.Second // how long the store keeps a watch open without changes
	configRetryPause      = 300 * time.Millisecond
	configPageSize        = 1000
	maxConfigReadAttempts = 5 // an attempt fails if the documents change while their pages are read

	// requestsPerConfigWatch limits how often the watch is reopened after changes. Of this many requests that
	// the store's rate limit permits, at most one may reopen the watch. A burst of changes thus arrives in
	// one response.
	requestsPerConfigWatch = 8
)

// errConfigChanging means that the configuration changed during every attempt to read it.
var errConfigChanging = errors.New("the configuration changes faster than it can be read")

// activeConfig is the configuration that this controller's decisions are based on. It is immutable: a
// newer configuration replaces it.
type activeConfig struct {
	settings          *config.Settings // platform settings merged with the stored documents
	cordons           []dynconfig.Cordon
	generation        uint64
	generationVersion uint64   // version of the generation key
	loaded            bool     // true once the configuration was read since this process started
	activeSince       int64    // when this controller activated the generation, Unix time in microseconds
	unusableDocuments []string // IDs of documents that this controller can't use
}

// configWatcher keeps the active configuration up to date with the stored one. An outdated configuration
// causes delay but no wrong launches. Each launch was decided under one generation of the configuration, and
// is stored only if that generation is still in force.
type configWatcher struct {
	controller      *Controller
	active          atomic.Pointer[activeConfig]
	rejectedBatches atomic.Int64  // batches rejected because their generation was no longer in force
	refreshNeeded   chan struct{} // signals that a peer has reported a newer generation

	mu             sync.Mutex
	state          *dynconfig.State // nil before the first read, and after missed changes until the next read
	revision       uint64           // store revision up to which state is current
	withoutSupport map[string]bool  // by peer label; true if the peer lacks run-time configuration
}

// newConfigWatcher returns a watcher that uses the platform settings until run has read the stored
// configuration.
func newConfigWatcher(c *Controller) *configWatcher {
	w := &configWatcher{controller: c, refreshNeeded: make(chan struct{}, 1), withoutSupport: map[string]bool{}}
	w.active.Store(&activeConfig{settings: c.settings})
	return w
}

// current returns the active configuration.
func (w *configWatcher) current() *activeConfig { return w.active.Load() }

// generationCondition returns the condition that the generation key still has the given version, which
// means that the configuration's generation has not changed.
func generationCondition(version uint64) wire.Condition {
	return wire.Condition{Key: dynconfig.GenerationKey, Version: version}
}

// run keeps the active configuration up to date until the context ends.
func (w *configWatcher) run(ctx context.Context) {
	var refresher sync.WaitGroup
	refresher.Go(func() { w.refreshOnRequest(ctx) })
	defer refresher.Wait()
	interval := seconds(requestsPerConfigWatch / max(w.controller.settings.Deployment.State.RPS, 1))
	for ctx.Err() == nil {
		w.mu.Lock()
		synced, revision := w.state != nil, w.revision
		w.mu.Unlock()
		if synced {
			w.watch(ctx, revision, interval)
		} else if w.refresh(ctx) != nil {
			sleepContext(ctx, configRetryPause)
		}
	}
}

// watch waits for the next changes after a revision and applies them. If there were changes, it also waits
// for the given interval before it returns, which limits the rate of watch requests.
func (w *configWatcher) watch(ctx context.Context, revision uint64, interval time.Duration) {
	events, err := w.controller.store.Watch(ctx, dynconfig.Prefix, revision, configWatchTimeout)
	switch {
	case errors.Is(err, kvstore.ErrCompacted):
		w.invalidate()
	case err != nil:
		sleepContext(ctx, configRetryPause)
	default:
		w.applyEvents(revision, events)
		if len(events.Events) > 0 {
			sleepContext(ctx, interval)
		}
	}
}

// refreshOnRequest reads the configuration whenever a peer has reported a newer generation than the
// active one.
func (w *configWatcher) refreshOnRequest(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.refreshNeeded:
		}
		if w.refresh(ctx) != nil {
			sleepContext(ctx, configRetryPause)
		}
	}
}

// invalidate discards the state, so that run reads it again.
func (w *configWatcher) invalidate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = nil
}

// applyEvents applies the response of a watch that was opened at the given revision.
func (w *configWatcher) applyEvents(from uint64, events wire.Events) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == nil || w.revision != from {
		return // the state was read again in the meantime
	}
	w.revision = max(from, events.Revision)
	if len(events.Events) == 0 {
		return
	}
	next, err := w.state.Apply(events.Events)
	if err != nil {
		w.controller.log.Error("configuration unusable", "err", err)
		w.state = nil
		return
	}
	w.setState(next)
}

// refresh reads the whole configuration and activates it, unless the current state is newer.
func (w *configWatcher) refresh(ctx context.Context) error {
	state, revision, err := w.readState(ctx)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == nil || revision >= w.revision {
		w.revision = revision
		w.setState(state)
	}
	return nil
}

// activateCopy activates the configuration in a copy of the stored state at the given revision, unless the
// current state is at least as new. If the copy has no entries and a configuration is already loaded, it
// keeps that configuration.
func (w *configWatcher) activateCopy(entries []wire.KeyValue, revision uint64) error {
	if len(entries) == 0 && w.current().loaded {
		return nil
	}
	state, err := dynconfig.NewState(entries)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == nil || revision > w.revision {
		w.revision = revision
		w.setState(state)
	}
	return nil
}

// readState reads the configuration as of a single revision, and returns the revision from which a watch
// misses no change. All entries of a single page are of the same revision. If several pages are needed, the
// version of the generation key must be the same before and after the read, since every change of the
// configuration in force changes that version.
func (w *configWatcher) readState(ctx context.Context) (*dynconfig.State, uint64, error) {
	store := w.controller.store
	for range maxConfigReadAttempts {
		page, err := store.Page(ctx, dynconfig.Prefix, "", configPageSize)
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

// setState replaces the state. Unless the generation of the state is already active, it also activates the
// state's configuration and reconfigures the core. The caller must hold w.mu, so that configurations are
// activated in the order of the states.
func (w *configWatcher) setState(state *dynconfig.State) {
	c := w.controller
	old := w.current()
	w.state = state
	if old.loaded && old.generationVersion == state.GenerationVersion {
		return
	}
	next := &activeConfig{generation: state.Generation.Number, generationVersion: state.GenerationVersion, loaded: true, activeSince: c.now()}
	next.settings, next.cordons, next.unusableDocuments = dynconfig.Merge(c.settings, state.Documents())
	if old.loaded && old.generation == next.generation {
		next.activeSince = old.activeSince
	} else if next.generation > 0 {
		c.log.Info("configuration activated", "generation", next.generation, "cordons", len(next.cordons), "not_usable", next.unusableDocuments)
	}
	w.active.Store(next)
	go c.owner.post(w.configureCore) // not here: post blocks while the queue is full, and the owner may wait for w.mu
}

// configureCore passes the active configuration to the core. It must be called on the owner goroutine.
func (w *configWatcher) configureCore() {
	owner := w.controller.owner
	if owner.leadership == nil {
		return
	}
	active := w.current()
	owner.leadership.core.Configure(active.settings, active.cordons, active.generationVersion, w.controller.now())
	owner.requestPass()
}

// recordPeerHeartbeat records what a peer's heartbeat reports about the configuration, and requests a
// refresh if the peer has a newer generation.
func (w *configWatcher) recordPeerHeartbeat(label string, heartbeat *peer.Heartbeat) {
	w.mu.Lock()
	w.withoutSupport[label] = !heartbeat.SupportsConfig
	w.mu.Unlock()
	if heartbeat.Generation <= w.current().generation {
		return
	}
	select {
	case w.refreshNeeded <- struct{}{}:
	default: // a refresh is already requested
	}
}

// peersWithoutSupport returns the sorted labels of the peers whose last heartbeat reported no support
// for run-time configuration.
func (w *configWatcher) peersWithoutSupport() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var labels []string
	for label, lacksSupport := range w.withoutSupport {
		if lacksSupport && w.controller.peers[label] != nil {
			labels = append(labels, label)
		}
	}
	slices.Sort(labels)
	return labels
}

// readHistory reads the stored history of the generations up to the generation of the given state, newest
// first.
func (w *configWatcher) readHistory(ctx context.Context, state *dynconfig.State) ([]dynconfig.History, error) {
	entries, _, err := w.controller.store.List(ctx, dynconfig.HistoryPrefix)
	if err != nil {
		return nil, err
	}
	return dynconfig.ReadHistory(entries, state.Generation.Number)
}

// PeerConfigStatus implements peer.Server.
func (c *Controller) PeerConfigStatus(context.Context, *peer.ConfigStatusRequest) (*peer.ConfigStatusResponse, error) {
	active := c.config.current()
	return &peer.ConfigStatusResponse{
		Label: c.settings.Label, Loaded: active.loaded, Generation: active.generation, ActiveSince: active.activeSince, UnusableDocuments: active.unusableDocuments,
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
