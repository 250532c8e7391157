// Package node wires the scheduler's core to the outside. One goroutine owns
// the core and all decisions; what handlers read sits behind a short lock.
package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"dalefront/internal/api"
	"dalefront/internal/archive"
	"dalefront/internal/calendar"
	"dalefront/internal/cloud"
	"dalefront/internal/config"
	"dalefront/internal/peer"
	"dalefront/internal/snapshot"
	"dalefront/internal/standby"
	"dalefront/internal/state"
	"dalefront/internal/worker"
	"dalefront/wire"
)

// Node is one controller.
type Node struct {
	set    *config.Settings
	log    *slog.Logger
	state  *state.Client
	cloud  *cloud.Client
	worker *worker.Client
	peers  map[string]*peer.Client
	cal    *calendar.Calendar // recurring jobs, nil if none are configured
	// Final answers of old jobs. It is asked whether or not this node's settings
	// have ends archived: another leader may have done so.
	archive *archive.Reader
	snapKey []byte // of the snapshots written to disk, nil for none
	start   time.Time
	wall    int64

	events  chan func()   // run by the owner
	submits chan struct{} // bounds the submissions that are being stored
	cancels chan struct{} // bounds the users that wait for their jobs' tasks to be gone
	lookups chan lookup   // questions of users that wait for the next read

	lookBacks chan struct{} // bounds the questions to the archive

	// Owned by the owner goroutine.
	leadership *leadership
	dirty      bool
	work       work

	warm   *warm
	config *configuration

	beat atomic.Int64 // when the owner goroutine last came by

	draining atomic.Bool
	drained  chan struct{} // closed when this node is to end

	mu       sync.Mutex
	leader   string // who holds the term, as far as known
	token    uint64 // highest token known
	shown    gauges
	grant    uint64 // the token under which a leader let this node renew leases
	gaveUp   uint64 // the last term that this node gave up by itself
	leading  uint64 // this node's token while it acts, otherwise 0
	catalog  *wire.Catalog
	finals   map[string]wire.JobStatus
	finalQ   []string
	known    map[string]struct{}  // jobs known to be accepted
	peerAt   map[string]time.Time // when a peer last answered
	heardAt  map[string]time.Time // when a worker last reported to this node
	sendOn   *rate.Limiter        // workers that are sent on to another node
	sendOnAt time.Time            // when its rate was last set
	born     uint64               // names this process
	started  map[string]*starts   // of the peers' processes
	stand    standby.View         // who stands by
	unfitAt  map[string]time.Time // when a peer said that it could not follow
	acting   acting               // which process said hello as leader
	answers  int                  // hellos that were answered
	ends     int                  // how often this node was started anew lately, as a peer said
	endsAt   time.Time            // when
}

const (
	// minEvents is for how many events the queue of the owner goroutine has room at least. A report
	// that finds it full is not answered.
	minEvents = 1024
	// minSubmits is how many submissions may be stored at a time at least.
	minSubmits = 8
	// minCancels is how many users may wait for their jobs' tasks to be gone at least.
	minCancels = 16
	// maxLookBacks is how many questions to the archive may be open at a time.
	maxLookBacks = 8
	// minWaiters is how many reports may wait for launches at a time at least.
	minWaiters = 256
	// cloudShare is the part of the cloud's requests that this node may use.
	cloudShare = 0.7
	// socketsPerIdle: one in so many sockets may be kept for an unused connection to a worker.
	socketsPerIdle = 16

	// minSendOn is how many workers a second are sent on to another node at least. It serves
	// minSendOn*workersPerSendOn workers.
	minSendOn = 40
	// workersPerSendOn: where more workers report to this node, one in so many is sent on in a second.
	workersPerSendOn = 12
	// sendOnBurst is for how many seconds workers may be sent on at once.
	sendOnBurst = 2
)

// idleWorkers is how many unused connections to workers are kept. Workers and users that connect
// get the sockets that are left: past the limit this node could reach nobody.
func idleWorkers(sockets int) int { return sockets / socketsPerIdle }

// New returns a node; Run starts it.
func New(set *config.Settings, log *slog.Logger) (*Node, error) {
	d := &set.Deployment
	now := time.Now()
	n := &Node{
		set: set, log: log,
		state:  state.New(set.Endpoints.State, d.State.RPS, d.State.WriteRPS, len(set.Members)+1),
		cloud:  cloud.New(set.Endpoints.Cloud, d.Cloud.RPS, cloudShare),
		worker: worker.New(idleWorkers(d.Resources.Sockets)),
		peers:  map[string]*peer.Client{},
		start:  now, wall: now.UnixMicro(),
		events: make(chan func(), max(minEvents, d.Resources.Sockets)),
		// What the state service takes in two seconds; more are sent away at
		// once, since they could not be told in time.
		submits: make(chan struct{}, max(minSubmits, int(2*d.State.WriteRPS))),
		cancels: make(chan struct{}, max(minCancels, d.Resources.Sockets/4)),
		lookups: make(chan lookup, maxLookups), lookBacks: make(chan struct{}, maxLookBacks),
		finals: map[string]wire.JobStatus{}, known: map[string]struct{}{}, peerAt: map[string]time.Time{}, heardAt: map[string]time.Time{},
		sendOn: rate.NewLimiter(minSendOn, sendOnBurst*minSendOn), drained: make(chan struct{}),
		born: newBorn(), started: map[string]*starts{}, unfitAt: map[string]time.Time{},
	}
	n.archive = archive.NewReader(n.state)
	n.warm = newWarm(n)
	n.config = newConfiguration(n)
	if file := set.Operator.Calendar; file != "" {
		var err error
		if n.cal, err = calendar.Load(file); err != nil {
			return nil, err
		}
	}
	if file := set.Operator.SnapshotKey; file != "" {
		var err error
		if n.snapKey, err = snapshot.KeyFile(file); err != nil {
			return nil, err
		}
	}
	for _, m := range set.Members {
		c, err := peer.Dial(m.Addr)
		if err != nil {
			return nil, err
		}
		n.peers[m.Label] = c
	}
	return n, nil
}

// now is the time of day at the start plus steady time since: intervals are
// steady, and arrivals stored by other nodes can be compared within the bound.
func (n *Node) now() config.Micros { return n.wall + time.Since(n.start).Microseconds() }

// Run serves until the context ends or a listener fails.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	users, err := net.Listen("tcp", n.set.ServeOn)
	if err != nil {
		return err
	}
	mesh, err := net.Listen("tcp", n.set.MeshAddr)
	if err != nil {
		return err
	}
	sockets := n.set.Deployment.Resources.Sockets
	srv := api.NewServer(api.Handler(n, n.metrics()), sockets-idleWorkers(sockets))
	rpc := peer.NewServer(n, sockets)
	failed := make(chan error, 2)
	go func() { failed <- srv.Serve(users) }()
	go func() { failed <- rpc.Serve(mesh) }()
	go n.own(ctx)
	go n.learnCatalog(ctx)
	go n.termLoop(ctx)
	go n.probe(ctx)
	go n.warm.follow(ctx)
	go n.config.follow(ctx)
	go n.warm.watchLeader(ctx)
	go n.warmArchive(ctx)
	pace := n.lookupPace()
	for i := 0; i < lookupers; i++ {
		go n.lookupLoop(ctx, pace)
	}
	for label, p := range n.peers {
		go n.greet(ctx, label, p)
	}
	n.log.Info("serving", "node", n.set.Label, "users", n.set.ServeOn, "mesh", n.set.MeshAddr)
	select {
	case <-ctx.Done():
		_ = srv.Close()
		rpc.Stop()
		return nil
	case <-n.drained:
		n.windUp(ctx, srv)
		rpc.Stop()
		return nil
	case err := <-failed:
		return err
	}
}

// own is the goroutine that owns the core. It schedules once events have
// settled for a moment, so that a burst of reports leads to one pass.
func (n *Node) own(ctx context.Context) {
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	work := &n.work
	settle := time.NewTimer(time.Hour)
	defer settle.Stop()
	armed := false
	var took time.Duration
	n.beat.Store(n.now())
	for {
		n.beat.Store(n.now())
		select {
		case <-ctx.Done():
			return
		case f := <-n.events:
			n.woke()
			work.measure(workEvents, f)
			if n.dirty && !armed {
				armed = true
				settle.Reset(max(20*time.Millisecond, 3*took))
			}
		case <-settle.C:
			n.woke()
			armed = false
			n.dirty = false
			if n.leadership != nil {
				took = min(work.measure(workPasses, n.leadership.pass), 100*time.Millisecond) // a small share of the processor
			}
		case <-tick.C:
			n.woke()
			if n.leadership != nil {
				work.measure(workTicks, n.leadership.tick)
			}
		}
	}
}

// standstill is the longest gap between two turns of the owner goroutine that is
// not taken for a standstill of the whole process.
const standstill = int64(time.Second / time.Microsecond)

// awake says whether the owner goroutine came by lately. After a standstill
// whatever wakes first must not act for a term that another node may hold by now.
func (n *Node) awake() bool { return n.now()-n.beat.Load() < standstill }

// woke notices a standstill: it runs before anything else that a turn does, since
// to this node everything timed looks overdue and all workers look silent.
func (n *Node) woke() {
	now := n.now()
	gap := now - n.beat.Load()
	n.beat.Store(now)
	if gap >= standstill && n.leadership != nil {
		n.leadership.doubts(gap)
	}
}

// do runs f on the owner goroutine and waits for it. A full queue is refused.
func (n *Node) do(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case n.events <- func() { f(); close(done) }:
	default:
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// post runs f on the owner goroutine later; results of I/O must not be lost, so
// it waits for room.
func (n *Node) post(f func()) { n.events <- f }

func (n *Node) view() (leader string, token, leading uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader, n.token, n.leading
}

// learn takes what somebody says about the term. A higher token always wins:
// if this node acted under a lower one, it steps down.
func (n *Node) learn(leader string, token uint64) {
	n.mu.Lock()
	higher := token > n.token
	if higher {
		n.token, n.leader = token, leader
	} else if token == n.token && leader != "" {
		n.leader = leader
	}
	deposed := n.leading != 0 && token > n.leading
	if deposed {
		n.leading = 0
	}
	n.mu.Unlock()
	if deposed {
		n.log.Info("step down", "for", leader, "token", token)
		n.post(func() {
			if n.leadership != nil && n.leadership.token < token {
				n.leadership.end()
			}
		})
	}
}

// learnCatalog reads the machine types from the cloud, and prices again from
// time to time. A node that starts while the cloud is in trouble uses the copy
// that a leader stored: it must be able to take jobs all the same.
func (n *Node) learnCatalog(ctx context.Context) {
	for wait := 300 * time.Millisecond; ; {
		cat, err := n.cloud.Catalog(ctx)
		if err == nil && len(cat.Types) > 0 {
			n.takeCatalog(cat)
			if _, _, leading := n.view(); leading != 0 {
				_, _ = n.state.Multi(ctx, wire.Txn{
					If:   []wire.Cond{{Key: termKey, Version: leading}},
					Then: []wire.Change{{Put: catalogKey, Value: cat}},
				})
				wait = 120 * time.Second
			} else {
				wait = 60 * time.Second
			}
		} else {
			wait = min(2*wait, 3*time.Second)
			if _, known := n.types(); !known {
				e, found, serr := n.state.Get(ctx, catalogKey)
				if serr == nil && found && wire.Unmarshal(e.Value, &cat) == nil && len(cat.Types) > 0 {
					n.takeCatalog(cat)
				}
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (n *Node) takeCatalog(cat wire.Catalog) {
	n.mu.Lock()
	n.catalog = &cat
	n.mu.Unlock()
	n.post(func() {
		if n.leadership != nil {
			n.leadership.core.SetCatalog(cat)
		}
	})
}

func (n *Node) types() (wire.Catalog, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.catalog == nil {
		return wire.Catalog{}, false
	}
	return *n.catalog, true
}

// PeerRelay implements peer.Server.
func (n *Node) PeerRelay(ctx context.Context, r *peer.Relay) (*peer.RelayAnswer, error) {
	a, ok := n.report(ctx, &r.Report)
	if !ok {
		return &peer.RelayAnswer{Status: http.StatusMisdirectedRequest}, nil
	}
	return &peer.RelayAnswer{Status: http.StatusOK, Answer: a}, nil
}

// PeerCounts implements peer.Server.
func (n *Node) PeerCounts(ctx context.Context, c *peer.Counts) (*peer.CountsAnswer, error) {
	return &peer.CountsAnswer{Jobs: n.counts(ctx, c.IDs)}, nil
}

// counts reads jobs' display counts from the core, if this node has it.
func (n *Node) counts(ctx context.Context, ids []string) (sts []wire.JobStatus) {
	var out []wire.JobStatus
	if _, _, leading := n.view(); leading == 0 {
		return nil
	}
	if n.do(ctx, func() {
		if n.leadership == nil {
			return
		}
		for _, id := range ids {
			if s, done, running, ok := n.leadership.core.Counts(id); ok {
				out = append(out, wire.JobStatus{ID: id, Status: s, Done: done, Running: running})
			}
		}
	}) {
		return out
	}
	return nil
}

// report hands a report to the core if this node is entitled to act: it holds
// the term as far as it knows, and neither the worker nor a peer has shown a
// higher token. While the state service is out of reach it goes on renewing
// leases, since it starts nothing without it.
func (n *Node) report(ctx context.Context, r *wire.Report) (a wire.ReportAnswer, ok bool) {
	_, token, leading := n.view()
	if r.Token > token {
		n.learn("", r.Token)
	}
	if leading == 0 || r.Token > leading {
		return a, false
	}
	var fresh chan []wire.Order
	done := n.do(ctx, func() {
		if n.leadership == nil || n.leadership.doubt > 0 || ctx.Err() != nil {
			return
		}
		a, ok = n.leadership.core.Report(r, n.now()), true
		hungry := n.leadership.core.Hungry(r.Host)
		n.dirty = n.dirty || hungry || n.leadership.core.Changed()
		if hungry && len(n.leadership.waiters) < n.mostWaiters() {
			fresh = make(chan []wire.Order, 1)
			n.leadership.waiters = append(n.leadership.waiters, waiter{r.Host, n.leadership.passes, fresh})
		}
	})
	if !ok || !done {
		return a, false
	}
	if fresh != nil {
		// The machine has room and something waits: the launches that are being
		// stored right now go with this answer instead of the next one, a
		// report interval later.
		t := time.NewTimer(launchWait)
		defer t.Stop()
		select {
		case launches := <-fresh:
			kept := a.Orders[:0]
			for _, o := range a.Orders {
				if o.Op != wire.Launch {
					kept = append(kept, o)
				}
			}
			a.Orders = append(kept, launches...)
		case <-t.C:
		case <-ctx.Done():
		}
	}
	_, _, leading = n.view()
	return a, leading == a.Token && n.awake()
}

// mostWaiters is how many reports may wait for launches at a time: each holds a socket
// here or at a peer.
func (n *Node) mostWaiters() int { return max(minWaiters, n.set.Deployment.Resources.Sockets/2) }

// waiter is a report whose answer waits a moment for launches.
type waiter struct {
	host   string
	passes int
	fresh  chan<- []wire.Order
}

const launchWait = 600 * time.Millisecond

// Report implements api.Service: the leader answers itself, other nodes relay
// to it, so that no worker has to find it.
func (n *Node) Report(ctx context.Context, r *wire.Report) (wire.ReportAnswer, error) {
	n.hears(r.Host)
	if a, ok := n.report(ctx, r); ok {
		return a, nil
	}
	leader, token, leading := n.view()
	if leading != 0 || leader == "" || leader == n.set.Label || r.Token > token {
		return wire.ReportAnswer{}, api.ErrNotNow
	}
	p := n.peers[leader]
	if p == nil {
		return wire.ReportAnswer{}, api.ErrNotNow
	}
	a, err := p.Relay(ctx, &peer.Relay{Report: *r})
	if err != nil {
		if token, ok := n.mayRenew(r); ok {
			return wire.ReportAnswer{Token: token, Orders: []wire.Order{}}, nil
		}
		if to := n.another(leader); to != "" {
			return wire.ReportAnswer{}, api.Elsewhere{Node: to}
		}
		return wire.ReportAnswer{}, api.ErrNotNow
	}
	if a.Status != http.StatusOK {
		return wire.ReportAnswer{}, api.ErrElse
	}
	return a.Answer, nil
}

// another names a peer that is alive, for a worker whose report the leader did
// not take. Left to itself the worker tries the nodes in turn and waits 4 s for
// each that is silent; behind two such nodes its lease runs out. It bounds how many
// are sent on, since they come back at once while nobody can act: a part of those that
// report to this node, or a few at a small site.
func (n *Node) another(but string) string {
	if !n.sendOn.Allow() {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	first, next := "", ""
	for label, at := range n.peerAt {
		if label == but || time.Since(at) > 2500*time.Millisecond {
			continue
		}
		if first == "" || label < first {
			first = label
		}
		if label > n.set.Label && (next == "" || label < next) {
			next = label
		}
	}
	if next == "" {
		next = first // in a ring, so that those who are sent on meet all
	}
	return next
}

// Ready implements api.Service: requests can be taken while the state service is in
// reach and the machine types are known, unless the node is about to end.
func (n *Node) Ready() error {
	switch _, ok := n.types(); {
	case n.draining.Load():
		return errors.New("draining: this controller is about to end")
	case !n.state.Reachable(3 * time.Second):
		return errors.New("the state service is out of reach")
	case !ok:
		return errors.New("the machine types are not known yet: the cloud has not answered")
	}
	return nil
}
