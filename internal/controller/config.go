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

// activeConfig is the configuration that this node decides by. It is never changed, only replaced.
type activeConfig struct {
	settings *config.Settings // of the platform, with the documents merged
	cordons  []dynconfig.Cordon
	number   uint64 // of the generation
	version  uint64 // of the generation's key
	known    bool   // it was read since this process began
	since    int64  // when this node took the generation: microseconds, time of day
	unknown  []string
}

// configuration follows the stored configuration. Being behind costs time and never safety:
// launches are stored on condition of the generation that they were decided by.
type configuration struct {
	n       *Controller
	active  atomic.Pointer[activeConfig]
	refused atomic.Int64  // batches decided by a generation that was no longer in force
	behind  chan struct{} // a peer has shown a newer generation

	mu       sync.Mutex
	state    *dynconfig.State // nil: not read, or not followed without a gap
	revision uint64           // up to which the watch has told
	earlier  map[string]bool  // peers of a version that knows no such configuration
}

func newConfiguration(n *Controller) *configuration {
	c := &configuration{n: n, behind: make(chan struct{}, 1), earlier: map[string]bool{}}
	c.active.Store(&activeConfig{settings: n.settings})
	return c
}

// current is the configuration to decide by.
func (c *configuration) current() *activeConfig { return c.active.Load() }

// generationCond makes a transaction fail once the configuration has changed.
func generationCond(version uint64) wire.Condition {
	return wire.Condition{Key: dynconfig.GenerationKey, Version: version}
}

const (
	configHold  = 30 * time.Second // of a watch
	configPause = 300 * time.Millisecond
	configPage  = 1000
	configReads = 5 // tries to read documents while they change
)

// follow keeps up with the configuration until the context ends.
func (c *configuration) follow(ctx context.Context) {
	// Each opening of the watch is a request: a burst of changes is told together.
	every := time.Duration(8 / max(c.n.settings.Deployment.State.RPS, 1) * float64(time.Second))
	go c.catchUp(ctx)
	for ctx.Err() == nil {
		c.mu.Lock()
		followed, revision := c.state != nil, c.revision
		c.mu.Unlock()
		if !followed {
			if c.refresh(ctx) != nil {
				sleepContext(ctx, configPause)
			}
			continue
		}
		events, err := c.n.store.Watch(ctx, dynconfig.Prefix, revision, configHold)
		switch {
		case errors.Is(err, kvstore.ErrCompacted):
			c.markUnknown()
		case err != nil:
			sleepContext(ctx, configPause)
		default:
			c.applyEvents(revision, events)
			if len(events.Events) > 0 {
				sleepContext(ctx, every)
			}
		}
	}
}

// catchUp reads the configuration when a peer has shown a newer one than the watch brought.
func (c *configuration) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.behind:
		}
		if c.refresh(ctx) != nil {
			sleepContext(ctx, configPause)
		}
	}
}

// markUnknown forgets what was followed: it is to be read again.
func (c *configuration) markUnknown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = nil
}

// applyEvents takes the answer of a watch that was opened at a revision.
func (c *configuration) applyEvents(from uint64, events wire.Events) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == nil || c.revision != from {
		return // read anew meanwhile
	}
	c.revision = max(from, events.Revision)
	if len(events.Events) == 0 {
		return
	}
	next, err := c.state.Apply(events.Events)
	if err != nil {
		c.n.log.Error("configuration", "err", err)
		c.state = nil
		return
	}
	c.install(next)
}

// refresh reads the whole configuration and takes it, unless what is followed is newer.
func (c *configuration) refresh(ctx context.Context) error {
	read, revision, err := c.read(ctx)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == nil || revision >= c.revision {
		c.revision = revision
		c.install(read)
	}
	return nil
}

// follows takes the configuration as a copy of the stored state has it at a revision, unless
// what is followed is newer.
func (c *configuration) follows(entries []wire.KeyValue, revision uint64) error {
	if len(entries) == 0 && c.current().known {
		return nil
	}
	s, err := dynconfig.NewState(entries)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == nil || revision > c.revision {
		c.revision = revision
		c.install(s)
	}
	return nil
}

var errConfigMoves = errors.New("the configuration changes faster than it can be read")

// read reads the configuration as of one moment, and the revision from which a watch misses
// nothing. A page is of one moment; if it takes several, the generation must be the same before
// and after, as nothing that is in force changes without it.
func (c *configuration) read(ctx context.Context) (*dynconfig.State, uint64, error) {
	store := c.n.store
	for range configReads {
		page, err := store.Page(ctx, dynconfig.Prefix, "", configPage)
		if err != nil {
			return nil, 0, err
		}
		entries, revision := page.Items, page.Revision
		before := uint64(0)
		if page.More {
			e, _, err := store.Get(ctx, dynconfig.GenerationKey)
			if err != nil {
				return nil, 0, err
			}
			before = e.Version
			if entries, revision, err = store.List(ctx, dynconfig.Prefix); err != nil {
				return nil, 0, err
			}
		}
		s, err := dynconfig.NewState(entries)
		if err != nil {
			return nil, 0, err
		}
		if !page.More || s.GenerationVersion == before {
			return s, revision, nil
		}
	}
	return nil, 0, errConfigMoves
}

// install takes a state and tells the core. The lock is held, so that the core is told of
// states in their order.
func (c *configuration) install(s *dynconfig.State) {
	old := c.current()
	c.state = s
	if old.known && old.version == s.GenerationVersion {
		return
	}
	next := &activeConfig{number: s.Generation.Number, version: s.GenerationVersion, known: true, since: c.n.now()}
	next.settings, next.cordons, next.unknown = dynconfig.Merge(c.n.settings, s.Documents())
	if old.known && old.number == next.number {
		next.since = old.since
	} else if next.number > 0 {
		c.n.log.Info("configuration", "generation", next.number, "cordons", len(next.cordons), "not_usable", next.unknown)
	}
	c.active.Store(next)
	go c.n.owner.post(c.configureCore)
}

// configureCore hands the newest configuration to the core. Owner goroutine.
func (c *configuration) configureCore() {
	r := c.n.owner.leadership
	if r == nil {
		return
	}
	now := c.current()
	r.core.Configure(now.settings, now.cordons, now.version, c.n.now())
	c.n.owner.requestPass()
}

// recordPeerConfig takes what a peer's hello says of the configuration.
func (c *configuration) recordPeerConfig(label string, h *peer.Heartbeat) {
	c.mu.Lock()
	c.earlier[label] = !h.SupportsConfig
	c.mu.Unlock()
	if now := c.current(); h.Generation > now.number {
		select {
		case c.behind <- struct{}{}:
		default:
		}
	}
}

// earlierPeers are the peers of a version that knows no such configuration, as they said last.
func (c *configuration) earlierPeers() (out []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for label, is := range c.earlier {
		if is && c.n.peers[label] != nil {
			out = append(out, label)
		}
	}
	slices.Sort(out)
	return out
}

// PeerConfigStatus implements peer.Server.
func (c *Controller) PeerConfigStatus(context.Context, *peer.ConfigStatusRequest) (*peer.ConfigStatusResponse, error) {
	now := c.config.current()
	return &peer.ConfigStatusResponse{Label: c.settings.Label, Loaded: now.known, Generation: now.number, ActiveSince: now.since, UnusableDocuments: now.unknown}, nil
}

// PeerConfigRead implements peer.Server.
func (c *Controller) PeerConfigRead(ctx context.Context, q *peer.ConfigReadRequest) (*peer.ConfigReadResponse, error) {
	s, _, err := c.config.read(ctx)
	if err != nil {
		return &peer.ConfigReadResponse{Reason: err.Error()}, nil
	}
	a := &peer.ConfigReadResponse{Generation: s.Generation.Number, Documents: s.Documents()}
	if q.History {
		if a.History, err = c.config.history(ctx, s); err != nil {
			return &peer.ConfigReadResponse{Reason: err.Error()}, nil
		}
	}
	return a, nil
}

// history reads what is kept of the generations up to that of a state, the newest first.
func (c *configuration) history(ctx context.Context, s *dynconfig.State) ([]dynconfig.History, error) {
	entries, _, err := c.n.store.List(ctx, dynconfig.HistoryPrefix)
	if err != nil {
		return nil, err
	}
	return dynconfig.ReadHistory(entries, s.Generation.Number)
}
