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

	owner       *ownerLoop
	follower    *follower
	leaderWatch *leaderWatch
	config      *configFollower

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
	// cloudShare is the part of the cloud's requests that this node may use.
	cloudShare = 0.7
	// socketsPerIdle: one in so many sockets may be kept for an unused connection to a worker.
	socketsPerIdle = 16
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
	n.follower = &follower{controller: n}
	n.leaderWatch = newLeaderWatch(n)
	n.config = newConfigFollower(n)
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
	go c.follower.run(ctx)
	go c.config.run(ctx)
	go c.leaderWatch.run(ctx)
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

// Ready implements api.Service: requests can be taken while the state service is in
// reach and the machine types are known, unless the node is about to end.
func (c *Controller) Ready() error {
	switch _, ok := c.machineTypes(); {
	case c.draining.Load():
		return errors.New("draining: this controller is about to end")
	case !c.store.Reachable(storeReachableWithin):
		return errors.New("the state service is out of reach")
	case !ok:
		return errors.New("the machine types are not known yet: the cloud has not answered")
	}
	return nil
}
