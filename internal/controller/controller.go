// Package controller is one of a site's controllers: it serves users and workers, stands for election,
// and while it is the leader connects the scheduler's core with the key-value store, the cloud and the
// workers. One goroutine owns the core and makes all decisions; what request handlers read of them is
// behind short locks.
package controller

import (
	"context"
	"errors"
	"log/slog"
	"net"
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
)

const (
	// minOwnerQueue is for how many events the queue of the owner goroutine has room at least. A report
	// that finds it full is not answered.
	minOwnerQueue = 1024
	// minSubmits is how many submissions may be stored at a time at least.
	minSubmits = 8
	// minCancels is how many users may wait for their jobs' tasks to be gone at least.
	minCancels = 16
	// cloudShare is the part of the cloud's requests that this controller may use.
	cloudShare = 0.7
	// socketsPerIdle: one in so many sockets may be kept for an unused connection to a worker.
	socketsPerIdleConn = 16
)

// Why a controller is not ready.
var (
	errDraining         = errors.New("draining: this controller is about to end")
	errStoreUnreachable = errors.New("the state service is out of reach")
	errNoMachineTypes   = errors.New("the machine types are not known yet: the cloud has not answered")
)

// Controller is one controller. Run starts it. It implements api.Service, which users and workers
// call, and peer.Server, which the other controllers and commands call.
type Controller struct {
	settings    *config.Settings
	log         *slog.Logger
	clock       clock
	processID   uint64             // names this process to the peers
	calendar    *calendar.Calendar // recurring jobs, nil if none are configured
	snapshotKey []byte             // of the snapshots written to disk, nil for none

	// Clients.
	store  *kvstore.Client
	cloud  *cloud.Client
	worker *workerclient.Client
	peers  map[string]*peer.Client // by label
	// Final statuses of old jobs. It is asked whether or not this controller's settings
	// have ends archived: another leader may have done so.
	archive *archive.Reader

	// State, each with its own lock or owner.
	owner          *ownerLoop
	term           termTracker
	peerTable      *peerTable
	workerContacts *workerContacts
	follower       *follower
	leaderWatch    *leaderWatch
	config         *configFollower
	catalog        machineCatalog
	gauges         atomic.Pointer[gauges] // of the core, nil on controllers that don't lead
	statuses       *statusCache
	lookups        *lookupBatcher

	submitSlots chan struct{} // bounds the submissions that are being stored
	cancelSlots chan struct{} // bounds the users that wait for their jobs' tasks to be gone

	draining atomic.Bool
	drained  chan struct{} // closed when this controller is to end
}

// clock is the time of day at the start plus steady time since: intervals are
// steady, and times stored by other controllers can be compared within the bound.
type clock struct {
	startedAt  time.Time
	wallMicros config.Micros // time of day at the start
}

func newClock() clock {
	now := time.Now()
	return clock{now, now.UnixMicro()}
}

// now is the time in microseconds.
func (c *clock) now() config.Micros { return c.wallMicros + c.age().Microseconds() }

// age is the time since the start.
func (c *clock) age() time.Duration { return time.Since(c.startedAt) }

// idleWorkerConns is how many unused connections to workers are kept. Workers and users that connect
// get the sockets that are left: past the limit this controller could reach nobody.
func idleWorkerConns(sockets int) int { return sockets / socketsPerIdleConn }

// New returns a controller; Run starts it.
func New(set *config.Settings, log *slog.Logger) (*Controller, error) {
	deployment := &set.Deployment
	sockets := deployment.Resources.Sockets
	c := &Controller{
		settings: set, log: log, clock: newClock(), processID: newProcessID(),
		store:          kvstore.New(set.Endpoints.State, deployment.State.RPS, deployment.State.WriteRPS, len(set.Members)+1),
		cloud:          cloud.New(set.Endpoints.Cloud, deployment.Cloud.RPS, cloudShare),
		worker:         workerclient.New(idleWorkerConns(sockets)),
		peers:          map[string]*peer.Client{},
		term:           termTracker{self: set.Label},
		peerTable:      newPeerTable(set.Label),
		workerContacts: newWorkerContacts(time.Duration(config.Micro(deployment.Workers.LeaseS)) * time.Microsecond),
		statuses:       newStatusCache(),
		// What the key-value store takes in two seconds; more are sent away at
		// once, since they could not be answered in time.
		submitSlots: make(chan struct{}, max(minSubmits, int(2*deployment.State.WriteRPS))),
		cancelSlots: make(chan struct{}, max(minCancels, sockets/4)),
		drained:     make(chan struct{}),
	}
	c.owner = newOwnerLoop(c.now, max(minOwnerQueue, sockets))
	c.archive = archive.NewReader(c.store)
	c.lookups = newLookupBatcher(set, c.store, c.archive, c.statuses, c.taskCounts)
	c.follower = &follower{controller: c}
	c.leaderWatch = newLeaderWatch(c)
	c.config = newConfigFollower(c)
	if err := c.readFiles(); err != nil {
		return nil, err
	}
	if err := c.dialPeers(); err != nil {
		return nil, err
	}
	return c, nil
}

// readFiles reads the files that the settings name.
func (c *Controller) readFiles() (err error) {
	if file := c.settings.Operator.CalendarFile; file != "" {
		if c.calendar, err = calendar.Load(file); err != nil {
			return err
		}
	}
	if file := c.settings.Operator.SnapshotKeyFile; file != "" {
		if c.snapshotKey, err = snapshot.ReadKeyFile(file); err != nil {
			return err
		}
	}
	return nil
}

// dialPeers makes the clients of the other controllers.
func (c *Controller) dialPeers() error {
	for _, member := range c.settings.Members {
		client, err := peer.Dial(member.Addr)
		if err != nil {
			return err
		}
		c.peers[member.Label] = client
	}
	return nil
}

// now is the time in microseconds, as it is stored.
func (c *Controller) now() config.Micros { return c.clock.now() }

// Run serves until the context ends, Drain is called or a listener fails. The goroutines that it starts
// end with it.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	users, err := net.Listen("tcp", c.settings.ListenAddr)
	if err != nil {
		return err
	}
	mesh, err := net.Listen("tcp", c.settings.PeerAddr)
	if err != nil {
		return err
	}
	sockets := c.settings.Deployment.Resources.Sockets
	httpServer := api.NewServer(api.Handler(c, c.metrics()), sockets-idleWorkerConns(sockets))
	rpcServer := peer.NewServer(c, sockets)
	failed := make(chan error, 2)
	go func() { failed <- httpServer.Serve(users) }()
	go func() { failed <- rpcServer.Serve(mesh) }()
	c.startLoops(ctx)
	c.log.Info("serving", "node", c.settings.Label, "users", c.settings.ListenAddr, "mesh", c.settings.PeerAddr)
	select {
	case <-ctx.Done():
		_ = httpServer.Close()
		rpcServer.Stop()
		return nil
	case <-c.drained:
		c.shutDown(ctx, httpServer)
		rpcServer.Stop()
		return nil
	case err := <-failed:
		return err
	}
}

// startLoops starts the goroutines that go on as long as the controller: all end with the context.
func (c *Controller) startLoops(ctx context.Context) {
	election := newElection(c)
	loops := []func(context.Context){
		c.owner.run,
		catalogRefresher{c}.run,
		election.run,
		election.probeStore,
		c.follower.run,
		c.config.run,
		c.leaderWatch.run,
		c.warmArchive,
		c.lookups.run,
	}
	for label, client := range c.peers {
		loops = append(loops, func(ctx context.Context) { c.heartbeatPeer(ctx, label, client) })
	}
	for _, loop := range loops {
		go loop(ctx)
	}
}

// observeTerm takes what somebody says about the term. A higher token always wins:
// if this controller acted under a lower one, it steps down.
func (c *Controller) observeTerm(leader string, token uint64) {
	if !c.term.observe(leader, token) {
		return
	}
	c.log.Info("stepping down", "leader", leader, "token", token)
	c.owner.post(func() {
		if c.owner.leadership != nil && c.owner.leadership.token < token {
			c.owner.leadership.stepDown()
		}
	})
}

// Ready implements api.Service: requests can be taken while the key-value store is in
// reach and the machine types are known, unless the controller is about to end.
func (c *Controller) Ready() error {
	switch _, known := c.machineTypes(); {
	case c.draining.Load():
		return errDraining
	case !c.store.Reachable(storeReachableWithin):
		return errStoreUnreachable
	case !known:
		return errNoMachineTypes
	}
	return nil
}
