// Package controller wires the scheduler's core to the outside. One goroutine owns
// the core and all decisions; what handlers read sits behind a short lock.
package controller

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"dalefront/internal/api"
	"dalefront/internal/archive"
	"dalefront/internal/calendar"
	"dalefront/internal/cloud"
	"dalefront/internal/config"
	"dalefront/internal/kvstore"
	"dalefront/internal/peer"
	"dalefront/internal/snapshot"
	"dalefront/internal/workerclient"
	"dalefront/wire"
)

// Controller is one controller.
type Controller struct {
	settings *config.Settings
	log      *slog.Logger
	store    *kvstore.Client
	cloud    *cloud.Client
	worker   *workerclient.Client
	peers    map[string]*peer.Client
	calendar *calendar.Calendar // recurring jobs, nil if none are configured
	// Final answers of old jobs. It is asked whether or not this node's settings
	// have ends archived: another leader may have done so.
	archive         *archive.Reader
	snapshotKey     []byte // of the snapshots written to disk, nil for none
	startedAt       time.Time
	startWallMicros int64

	submitSlots chan struct{} // bounds the submissions that are being stored
	cancelSlots chan struct{} // bounds the users that wait for their jobs' tasks to be gone

	statuses *statusCache
	lookups  *lookupBatcher

	owner    *ownerLoop
	follower *follower
	config   *configuration

	term           termTracker
	peerTable      *peerTable
	workerContacts *workerContacts
	catalog        machineCatalog
	gauges         atomic.Pointer[gauges] // of the core, nil on controllers that don't lead

	draining atomic.Bool
	drained  chan struct{} // closed when this node is to end

	processID uint64 // names this process
}

const (
	// minEvents is for how many events the queue of the owner goroutine has room at least. A report
	// that finds it full is not answered.
	minEvents = 1024
	// minSubmits is how many submissions may be stored at a time at least.
	minSubmits = 8
	// minCancels is how many users may wait for their jobs' tasks to be gone at least.
	minCancels = 16
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
// get the sockets that are left: past the limit this controller could reach nobody.
func idleWorkers(sockets int) int { return sockets / socketsPerIdle }

// New returns a node; Run starts it.
func New(set *config.Settings, log *slog.Logger) (*Controller, error) {
	d := &set.Deployment
	now := time.Now()
	n := &Controller{
		settings: set, log: log,
		store:     kvstore.New(set.Endpoints.State, d.State.RPS, d.State.WriteRPS, len(set.Members)+1),
		cloud:     cloud.New(set.Endpoints.Cloud, d.Cloud.RPS, cloudShare),
		worker:    workerclient.New(idleWorkers(d.Resources.Sockets)),
		peers:     map[string]*peer.Client{},
		startedAt: now, startWallMicros: now.UnixMicro(),
		// What the state service takes in two seconds; more are sent away at
		// once, since they could not be told in time.
		submitSlots: make(chan struct{}, max(minSubmits, int(2*d.State.WriteRPS))),
		cancelSlots: make(chan struct{}, max(minCancels, d.Resources.Sockets/4)),
		statuses:    newStatusCache(),
		drained:     make(chan struct{}), processID: newProcessID(), peerTable: newPeerTable(set.Label),
		workerContacts: newWorkerContacts(time.Duration(config.Micro(d.Workers.LeaseS)) * time.Microsecond),
	}
	n.owner = newOwnerLoop(n.now, max(minEvents, d.Resources.Sockets))
	n.term.self = set.Label
	n.archive = archive.NewReader(n.store)
	n.lookups = newLookupBatcher(set, n.store, n.archive, n.statuses, n.taskCounts)
	n.follower = newFollower(n)
	n.config = newConfiguration(n)
	if file := set.Operator.Calendar; file != "" {
		var err error
		if n.calendar, err = calendar.Load(file); err != nil {
			return nil, err
		}
	}
	if file := set.Operator.SnapshotKey; file != "" {
		var err error
		if n.snapshotKey, err = snapshot.KeyFile(file); err != nil {
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
func (c *Controller) now() config.Micros {
	return c.startWallMicros + time.Since(c.startedAt).Microseconds()
}

// Run serves until the context ends or a listener fails.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	users, err := net.Listen("tcp", c.settings.ServeOn)
	if err != nil {
		return err
	}
	mesh, err := net.Listen("tcp", c.settings.MeshAddr)
	if err != nil {
		return err
	}
	sockets := c.settings.Deployment.Resources.Sockets
	srv := api.NewServer(api.Handler(c, c.metrics()), sockets-idleWorkers(sockets))
	rpc := peer.NewServer(c, sockets)
	failed := make(chan error, 2)
	go func() { failed <- srv.Serve(users) }()
	go func() { failed <- rpc.Serve(mesh) }()
	go c.owner.run(ctx)
	go c.refreshCatalog(ctx)
	go c.electionLoop(ctx)
	go c.probeStore(ctx)
	go c.follower.follow(ctx)
	go c.config.follow(ctx)
	go c.follower.watchLeader(ctx)
	go c.warmArchive(ctx)
	go c.lookups.run(ctx)
	for label, p := range c.peers {
		go c.heartbeatPeer(ctx, label, p)
	}
	c.log.Info("serving", "node", c.settings.Label, "users", c.settings.ServeOn, "mesh", c.settings.MeshAddr)
	select {
	case <-ctx.Done():
		_ = srv.Close()
		rpc.Stop()
		return nil
	case <-c.drained:
		c.shutDown(ctx, srv)
		rpc.Stop()
		return nil
	case err := <-failed:
		return err
	}
}

// observeTerm takes what somebody says about the term. A higher token always wins:
// if this node acted under a lower one, it steps down.
func (c *Controller) observeTerm(leader string, token uint64) {
	if !c.term.observe(leader, token) {
		return
	}
	c.log.Info("step down", "for", leader, "token", token)
	c.owner.post(func() {
		if c.owner.leadership != nil && c.owner.leadership.token < token {
			c.owner.leadership.stepDown()
		}
	})
}

// PeerRelay implements peer.Server.
func (c *Controller) PeerRelay(ctx context.Context, r *peer.RelayRequest) (*peer.RelayResponse, error) {
	a, ok := c.handleHeartbeat(ctx, &r.Report)
	if !ok {
		return &peer.RelayResponse{Status: http.StatusMisdirectedRequest}, nil
	}
	return &peer.RelayResponse{Status: http.StatusOK, Answer: a}, nil
}

// PeerCounts implements peer.Server.
func (c *Controller) PeerCounts(ctx context.Context, request *peer.CountsRequest) (*peer.CountsResponse, error) {
	return &peer.CountsResponse{Jobs: c.localCounts(ctx, request.JobIDs)}, nil
}

// localCounts reads jobs' display counts from the core, if this node has it.
func (c *Controller) localCounts(ctx context.Context, ids []string) (sts []wire.JobStatus) {
	var out []wire.JobStatus
	if !c.term.view().isLeading() {
		return nil
	}
	if c.owner.call(ctx, func() {
		if c.owner.leadership == nil {
			return
		}
		for _, id := range ids {
			if s, done, running, ok := c.owner.leadership.core.Counts(id); ok {
				out = append(out, wire.JobStatus{ID: id, Status: s, Done: done, Running: running})
			}
		}
	}) {
		return out
	}
	return nil
}

// handleHeartbeat hands a report to the core if this node is entitled to act: it holds
// the term as far as it knows, and neither the worker nor a peer has shown a
// higher token. While the state service is out of reach it goes on renewing
// leases, since it starts nothing without it.
func (c *Controller) handleHeartbeat(ctx context.Context, r *wire.Heartbeat) (a wire.HeartbeatResponse, ok bool) {
	term := c.term.view()
	if r.FencingToken > term.token {
		c.observeTerm("", r.FencingToken)
	}
	if !term.isLeading() || r.FencingToken > term.leading {
		return a, false
	}
	var fresh chan []wire.Command
	done := c.owner.call(ctx, func() {
		if c.owner.leadership == nil || c.owner.leadership.stalledFor > 0 || ctx.Err() != nil {
			return
		}
		a, ok = c.owner.leadership.core.Heartbeat(r, c.now()), true
		hungry := c.owner.leadership.core.WantsLaunches(r.Host)
		if hungry {
			c.owner.requestPass()
		}
		c.owner.requestPassIf(c.owner.leadership.core.TakePassNeeded)
		if hungry && len(c.owner.leadership.waiters) < c.maxWaiters() {
			fresh = make(chan []wire.Command, 1)
			c.owner.leadership.waiters = append(c.owner.leadership.waiters, waiter{r.Host, c.owner.leadership.passes, fresh})
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
			kept := a.Commands[:0]
			for _, o := range a.Commands {
				if o.Op != wire.Launch {
					kept = append(kept, o)
				}
			}
			a.Commands = append(kept, launches...)
		case <-t.C:
		case <-ctx.Done():
		}
	}
	return a, c.term.view().leading == a.FencingToken && c.owner.ranRecently()
}

// maxWaiters is how many reports may wait for launches at a time: each holds a socket
// here or at a peer.
func (c *Controller) maxWaiters() int {
	return max(minWaiters, c.settings.Deployment.Resources.Sockets/2)
}

// waiter is a report whose answer waits a moment for launches.
type waiter struct {
	host   string
	passes int
	fresh  chan<- []wire.Command
}

const launchWait = 600 * time.Millisecond

// Heartbeat implements api.Service: the leader answers itself, other nodes relay
// to it, so that no worker has to find it.
func (c *Controller) Heartbeat(ctx context.Context, r *wire.Heartbeat) (wire.HeartbeatResponse, error) {
	c.workerContacts.record(r.Host)
	if a, ok := c.handleHeartbeat(ctx, r); ok {
		return a, nil
	}
	term := c.term.view()
	if term.isLeading() || term.leader == "" || term.leader == c.settings.Label || r.FencingToken > term.token {
		return wire.HeartbeatResponse{}, api.ErrUnavailable
	}
	p := c.peers[term.leader]
	if p == nil {
		return wire.HeartbeatResponse{}, api.ErrUnavailable
	}
	a, err := p.Relay(ctx, &peer.RelayRequest{Report: *r})
	if err != nil {
		if token, ok := c.mayRenewLease(r); ok {
			return wire.HeartbeatResponse{FencingToken: token, Commands: []wire.Command{}}, nil
		}
		if to := c.redirectTarget(term.leader); to != "" {
			return wire.HeartbeatResponse{}, api.RedirectError{Target: to}
		}
		return wire.HeartbeatResponse{}, api.ErrUnavailable
	}
	if a.Status != http.StatusOK {
		return wire.HeartbeatResponse{}, api.ErrNotLeader
	}
	return a.Answer, nil
}

// redirectTarget names a peer that is alive, for a worker whose report the leader did
// not take. Left to itself the worker tries the nodes in turn and waits 4 s for
// each that is silent; behind two such nodes its lease runs out. It bounds how many
// are sent on, since they come back at once while nobody can act: a part of those that
// report to this node, or a few at a small site.
func (c *Controller) redirectTarget(but string) string {
	if !c.workerContacts.mayRedirect() {
		return ""
	}
	return c.peerTable.nextAlive(but, time.Now())
}

// Ready implements api.Service: requests can be taken while the state service is in
// reach and the machine types are known, unless the node is about to end.
func (c *Controller) Ready() error {
	switch _, ok := c.machineTypes(); {
	case c.draining.Load():
		return errors.New("draining: this controller is about to end")
	case !c.store.Reachable(3 * time.Second):
		return errors.New("the state service is out of reach")
	case !ok:
		return errors.New("the machine types are not known yet: the cloud has not answered")
	}
	return nil
}
