// Package controller implements a controller of a site. A controller serves users and workers and runs
// for election. While it is the leader it connects the scheduler's core with the key-value store, the
// cloud and the workers. One goroutine owns the core and makes all decisions. Request handlers read
// the results under locks that are held only briefly.
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
	// minOwnerQueueLen is the minimum capacity of the owner goroutine's queue, in events. A heartbeat that
	// finds the queue full is rejected.
	minOwnerQueueLen = 1024
	// minSubmitSlots is the minimum number of submissions that may be stored concurrently.
	minSubmitSlots = 8
	// minCancelSlots is the minimum number of users that may wait concurrently until the tasks of a
	// cancelled job have stopped.
	minCancelSlots = 16
	// cloudRequestShare is the fraction of the cloud's request rate limit that this controller may use.
	cloudRequestShare = 0.7
	// socketsPerIdleConn determines how many idle connections to workers may be kept: one for every
	// socketsPerIdleConn sockets of the socket limit.
	socketsPerIdleConn = 16
)

// Reasons why a controller is not ready.
var (
	errDraining         = errors.New("draining: this controller is about to end")
	errStoreUnreachable = errors.New("the state service is out of reach")
	errNoMachineTypes   = errors.New("the machine types are not known yet: the cloud has not answered")
)

// Controller is one controller of a site, which Run starts. It implements api.Service, which users and
// workers call, and peer.Server, which other controllers and operators' commands call.
type Controller struct {
	settings    *config.Settings
	log         *slog.Logger
	clock       clock
	processID   uint64             // identifies this process to the peers
	calendar    *calendar.Calendar // recurring jobs, nil if none are configured
	snapshotKey []byte             // key of the snapshots written to disk, nil if none is configured

	// Clients.
	store  *kvstore.Client
	cloud  *cloud.Client
	worker *workerclient.Client
	peers  map[string]*peer.Client // by label
	// archive reads the final statuses of old jobs. It is used even if this controller's settings
	// disable archiving, since another leader may have archived jobs.
	archive *archive.Reader

	// State. Each part is protected by its own lock or accessed by a single owner goroutine.
	owner          *ownerLoop
	term           termTracker
	peerTable      *peerTable
	workerContacts *workerContacts
	follower       *follower
	leaderWatch    *leaderWatch
	config         *configWatcher
	catalog        machineCatalog
	coreMetrics    atomic.Pointer[coreMetrics] // metrics of the core, nil while this controller is not the leader
	statuses       *statusCache
	lookups        *lookupBatcher

	submitSlots chan struct{} // limits the number of submissions that are being stored
	cancelSlots chan struct{} // limits the number of users that wait until the tasks of a cancelled job have stopped

	draining       atomic.Bool
	drainRequested chan struct{} // closed by Drain
}

// clock tells the time as the wall-clock time at its start plus the monotonic time since its start. Its times
// therefore never go backwards. They can be compared with times that other controllers stored, up to the
// clock offset between the hosts.
type clock struct {
	startedAt  time.Time
	wallMicros config.Micros // wall-clock time at the start
}

func newClock() clock {
	now := time.Now()
	return clock{now, now.UnixMicro()}
}

// now returns the Unix time in microseconds.
func (c *clock) now() config.Micros { return c.wallMicros + c.uptime().Microseconds() }

// uptime returns the time since the clock was started.
func (c *clock) uptime() time.Duration { return time.Since(c.startedAt) }

// maxIdleWorkerConns returns the maximum number of idle connections to workers, for the given socket
// limit. Incoming connections of workers and users get the remaining sockets, so that this controller
// stays within the limit. Beyond the limit it could not open any connection.
func maxIdleWorkerConns(sockets int) int { return sockets / socketsPerIdleConn }

// New returns a controller that Run starts.
func New(settings *config.Settings, log *slog.Logger) (*Controller, error) {
	deployment := &settings.Deployment
	sockets := deployment.Resources.Sockets
	c := &Controller{
		settings: settings, log: log, clock: newClock(), processID: newProcessID(),
		store:          kvstore.New(settings.Endpoints.State, deployment.State.RPS, deployment.State.WriteRPS, len(settings.Members)+1),
		cloud:          cloud.New(settings.Endpoints.Cloud, deployment.Cloud.RPS, cloudRequestShare),
		worker:         workerclient.New(maxIdleWorkerConns(sockets)),
		peers:          map[string]*peer.Client{},
		term:           termTracker{self: settings.Label},
		peerTable:      newPeerTable(settings.Label),
		workerContacts: newWorkerContacts(time.Duration(config.Micro(deployment.Workers.LeaseS)) * time.Microsecond),
		statuses:       newStatusCache(),
		// submitSlots allows as many submissions as the key-value store accepts writes in two seconds.
		// Further submissions are rejected at once, since they could not be answered in time.
		submitSlots:    make(chan struct{}, max(minSubmitSlots, int(2*deployment.State.WriteRPS))),
		cancelSlots:    make(chan struct{}, max(minCancelSlots, sockets/4)),
		drainRequested: make(chan struct{}),
	}
	c.owner = newOwnerLoop(c.now, max(minOwnerQueueLen, sockets))
	c.archive = archive.NewReader(c.store)
	c.lookups = newLookupBatcher(settings, c.store, c.archive, c.statuses, c.taskCounts)
	c.follower = &follower{controller: c}
	c.leaderWatch = newLeaderWatch(c)
	c.config = newConfigWatcher(c)
	if err := c.readFiles(); err != nil {
		return nil, err
	}
	if err := c.dialPeers(); err != nil {
		return nil, err
	}
	return c, nil
}

// readFiles reads the files that are named in the settings.
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

// dialPeers creates the clients of the other controllers.
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

// now returns the Unix time in microseconds, as it is written to stored records.
func (c *Controller) now() config.Micros { return c.clock.now() }

// Run serves until the context ends, Drain is called or a listener fails. When it returns it stops the
// goroutines that it started.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	userListener, err := net.Listen("tcp", c.settings.ListenAddr)
	if err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp", c.settings.PeerAddr)
	if err != nil {
		return err
	}
	sockets := c.settings.Deployment.Resources.Sockets
	handler := api.Handler(c, c.metrics(), &c.settings.Deployment.Resources)
	httpServer := api.NewServer(handler, sockets-maxIdleWorkerConns(sockets))
	rpcServer := peer.NewServer(c, sockets)
	failed := make(chan error, 2)
	go func() { failed <- httpServer.Serve(userListener) }()
	go func() { failed <- rpcServer.Serve(peerListener) }()
	c.startLoops(ctx)
	c.log.Info("serving", "node", c.settings.Label, "users", c.settings.ListenAddr, "mesh", c.settings.PeerAddr)
	select {
	case <-ctx.Done():
		_ = httpServer.Close()
		rpcServer.Stop()
		return nil
	case <-c.drainRequested:
		c.shutDown(ctx, httpServer)
		rpcServer.Stop()
		return nil
	case err := <-failed:
		return err
	}
}

// startLoops starts the goroutines of the controller, which end with the context.
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
		c.loadArchiveManifests,
		c.lookups.run,
	}
	for label, client := range c.peers {
		loops = append(loops, func(ctx context.Context) { c.heartbeatPeer(ctx, label, client) })
	}
	for _, loop := range loops {
		go loop(ctx)
	}
}

// observeTerm records a leader and its token, as learned from a heartbeat or the term key. A higher token
// always wins: if this controller acts as leader under a lower token, it steps down.
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

// Ready implements api.Service. It returns an error while the controller is draining, the key-value
// store is unreachable or the machine types are unknown.
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
