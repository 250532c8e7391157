package emulator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"dalefront/internal/config"

	"dalefront/wire"
)

// Options configures a site. The zero value of a field selects the field's default.
type Options struct {
	Spec     Spec
	Listen   string // address of the load balancer, by default 127.0.0.1:0
	Dir      string // directory for the controllers' settings and logs, by default a temporary directory
	Data     string // file that keeps the site's data across restarts, by default no file
	Program  string // executable of the controllers, by default the executable of this process
	Operator string // file with the operator's settings for the controllers, by default no file
	Log      *slog.Logger

	// InProcess, if set, runs a controller in this process until ctx ends, and then shuts the controller down
	// gracefully. Such controllers can't be killed or frozen.
	InProcess func(ctx context.Context, settings, operator string, log io.Writer) error
}

// Site is an emulated site that runs on the local computer: controllers, load balancer, state service, cloud
// and workers.
type Site struct {
	Services         *Services
	Fleet            *Fleet
	LoadBalancerAddr string // address of the load balancer
	Dir              string

	opt            Options
	ctx            context.Context
	cancel         context.CancelFunc
	log            *slog.Logger
	controllers    []*controller
	balancer       *balancer
	transport      *http.Transport
	servers        []*http.Server
	store          *siteStore
	cuts           zonePartitions
	startedAt      time.Time
	disruptedUntil atomic.Int64 // time until which faults may affect jobs, in Unix nanoseconds
	background     sync.WaitGroup

	mu      sync.Mutex
	closing bool // Down has been called: no controller may be started any more
}

// controller is one controller of the site. It runs as a child process or in this process.
type controller struct {
	label, zone, addr, peerAddr, settingsFile string

	mu         sync.Mutex
	cmd        *exec.Cmd     // child process, nil if the controller runs in this process
	stop       func()        // ends a controller that runs in this process
	exited     chan struct{} // closed when the controller has ended
	err        error         // error with which the controller ended, valid when exited is closed
	startedAt  time.Time     // time of the last start
	restarting bool          // a fault killed the controller and will start it again
}

// FreeAddr returns a free loopback address for a process that will listen on it. The port is below the range
// that the system uses for outgoing connections, as such a connection could take the port before the process
// listens. FreeAddr never returns an address twice, because the process that uses the address may not listen
// yet.
func FreeAddr() (string, error) {
	var err error
	for range 1000 {
		addr := fmt.Sprint("127.0.0.1:", 12000+rand.IntN(18000))
		var l net.Listener
		if l, err = net.Listen("tcp", addr); err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return "", err
		}
		if _, taken := allocatedAddrs.LoadOrStore(addr, true); !taken {
			return addr, nil
		}
	}
	return "", errors.Join(errors.New("no free port"), err)
}

var allocatedAddrs sync.Map // addresses that FreeAddr has returned

// idleConns is the number of idle connections to a controller that the load balancer keeps.
const idleConns = 64

// Up starts a site. The site is ready when Ready returns nil. Down shuts the site down.
func Up(o Options) (*Site, error) {
	if err := o.Spec.Complete(); err != nil {
		return nil, err
	}
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	var err error
	if o.Program == "" {
		if o.Program, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	if o.Dir == "" {
		if o.Dir, err = os.MkdirTemp("", "dalefront-site-"); err != nil {
			return nil, err
		}
	} else if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	s := &Site{opt: o, Dir: o.Dir, log: o.Log, startedAt: time.Now(), transport: &http.Transport{MaxIdleConnsPerHost: idleConns, IdleConnTimeout: 20 * time.Second}}
	s.transport.DialContext = s.dialController
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.start(); err != nil {
		return nil, errors.Join(err, s.Down())
	}
	return s, nil
}

// start starts the state service, the cloud, the load balancer, the controllers, and the loop that steps the
// fleet.
func (s *Site) start() error {
	spec := &s.opt.Spec
	catalog := spec.Catalog()
	s.Services = NewServices(catalog)
	s.Services.Limits = wire.TxnLimits{MaxMutations: spec.State.TxnOps, MaxValueBytes: int(spec.State.ValueKB * 1024)}
	servicesAddr, err := s.serve("127.0.0.1:0", s.Services)
	if err != nil {
		return err
	}
	for i := range spec.Controllers {
		c := &controller{label: fmt.Sprint("controller-", i+1), zone: spec.Zones[i%len(spec.Zones)]}
		if c.addr, err = FreeAddr(); err == nil {
			c.peerAddr, err = FreeAddr()
		}
		if err != nil {
			return err
		}
		s.controllers = append(s.controllers, c)
	}
	for _, c := range s.controllers {
		addrs := controllerAddrs{label: c.label, zone: c.zone, listen: c.addr, peer: c.peerAddr}
		if addrs.services, err = s.startForwarder(c.zone, "", servicesAddr); err != nil {
			return err
		}
		for _, member := range s.controllers {
			if member == c {
				continue
			}
			addr, err := s.startForwarder(c.zone, member.zone, member.peerAddr)
			if err != nil {
				return err
			}
			addrs.members = append(addrs.members, config.Member{Label: member.label, Zone: member.zone, Addr: addr})
		}
		text, err := spec.encodeSettings(addrs)
		if err != nil {
			return err
		}
		c.settingsFile = filepath.Join(s.Dir, c.label+".toml")
		if err := os.WriteFile(c.settingsFile, text, 0o600); err != nil {
			return err
		}
	}
	settings, err := config.Load(s.controllers[0].settingsFile, s.opt.Operator)
	if err != nil {
		return err
	}
	s.Fleet = NewFleet(spec.Seed, settings, catalog, spec.Machines, s.startWorker)
	s.Services.SetFleet(s.Fleet)
	d := &settings.Deployment
	s.Services.Requests = rate.NewLimiter(rate.Limit(d.State.RPS), int(d.State.RPS))
	s.Services.Changes = rate.NewLimiter(rate.Limit(d.State.WriteRPS), int(d.State.WriteRPS))
	s.Services.Cloud = rate.NewLimiter(rate.Limit(d.Cloud.RPS), int(2*d.Cloud.RPS))
	if s.opt.Data != "" {
		if s.store, err = openSiteStore(s.opt.Data); err != nil {
			return err
		}
		if err := errors.Join(s.Services.attachStore(s.store), s.Fleet.attachStore(s.store)); err != nil {
			return fmt.Errorf("%s: %w", s.opt.Data, err)
		}
	}
	s.balancer = newBalancer(s)
	if s.LoadBalancerAddr, err = s.serve(s.opt.Listen, s.handler()); err != nil {
		return err
	}
	for i := range s.controllers {
		if err := s.Start(i); err != nil {
			return err
		}
		go s.balancer.probe(i)
	}
	s.background.Go(func() {
		for synced := s.startedAt; s.ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
			s.Fleet.Step(time.Since(s.startedAt).Microseconds())
			if time.Now().UnixNano() > s.disruptedUntil.Load() {
				s.Fleet.CheckWaitingJobs(nil)
			}
			if s.store != nil && time.Since(synced) >= time.Second {
				synced = time.Now()
				if err := s.store.db.Sync(); err != nil {
					s.log.Error("the site's data", "err", err)
				}
			}
		}
	})
	return nil
}

// serve starts an HTTP server and returns its address.
func (s *Site) serve(addr string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), nil
}

// Ready waits until every controller has passed a health probe since the controller's last start. The health
// state of the load balancer alone isn't enough, as the load balancer detects the end of a process only after a
// second or two.
func (s *Site) Ready(ctx context.Context) error {
	for !s.allHealthy() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("the controllers are not ready; their logs are in %s", s.Dir)
		case <-time.After(20 * time.Millisecond):
		}
		for _, c := range s.controllers {
			if err := c.ended(); err != nil {
				return fmt.Errorf("%s ended: %w; see %s", c.label, err, s.logFile(c))
			}
		}
	}
	return nil
}

// allHealthy reports whether every controller runs, is in the load balancer's rotation, and has passed a health
// probe since its last start.
func (s *Site) allHealthy() bool {
	for i, c := range s.controllers {
		c.mu.Lock()
		startedAt, restarting := c.startedAt, c.restarting
		c.mu.Unlock()
		if restarting || c.ended() != nil || !s.balancer.healthySince(i, startedAt) {
			return false
		}
	}
	return true
}

func (s *Site) logFile(c *controller) string { return filepath.Join(s.Dir, c.label+".log") }

// NumControllers returns the number of controllers.
func (s *Site) NumControllers() int { return len(s.controllers) }

// Label returns a controller's label.
func (s *Site) Label(i int) string { return s.controllers[i].label }

// Addr returns the address of a controller's HTTP API.
func (s *Site) Addr(i int) string { return s.controllers[i].addr }

var errKilled = errors.New("killed")

// ended returns the error with which the controller ended. It returns nil if the controller runs or will be
// started again.
func (c *controller) ended() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exited == nil || c.restarting {
		return nil
	}
	select {
	case <-c.exited:
		if c.err == nil {
			return errKilled
		}
		return c.err
	default:
		return nil
	}
}

// Start starts a controller that isn't running.
func (s *Site) Start(i int) error {
	c := s.controllers[i]
	log, err := os.OpenFile(s.logFile(c), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	exited := make(chan struct{})
	ended := func(err error) {
		c.mu.Lock()
		c.err = err
		c.mu.Unlock()
		close(exited)
		_ = log.Close()
	}
	if s.opt.InProcess != nil {
		ctx, stop := context.WithCancel(context.Background())
		c.mu.Lock()
		c.stop, c.exited, c.startedAt = stop, exited, time.Now()
		c.mu.Unlock()
		go func() { ended(s.opt.InProcess(ctx, c.settingsFile, s.opt.Operator, log)) }()
		return nil
	}
	args := []string{"--config", c.settingsFile}
	if s.opt.Operator != "" {
		args = append(args, "--operator", s.opt.Operator)
	}
	cmd := exec.Command(s.opt.Program, args...)
	cmd.Stderr = log
	// In its own process group the controller does not receive a Ctrl-C of the terminal. The site shuts the
	// controller down gracefully instead.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	c.mu.Lock()
	c.cmd, c.exited, c.startedAt, c.restarting = cmd, exited, time.Now(), false
	c.mu.Unlock()
	go func() { ended(cmd.Wait()) }()
	return nil
}

var errInProcess = errors.New("the controllers are in this process: they can only be told to end")

// Signal sends a signal to a controller's process. For a controller in this process only SIGTERM is supported.
func (s *Site) Signal(i int, sig syscall.Signal) error {
	c := s.controllers[i]
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.cmd != nil:
		return c.cmd.Process.Signal(sig)
	case sig == syscall.SIGTERM && c.stop != nil:
		c.stop()
		return nil
	}
	return errInProcess
}

// PID returns the ID of a controller's process, or 0 if the controller runs in this process.
func (s *Site) PID(i int) int {
	c := s.controllers[i]
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil || c.cmd.Process == nil {
		return 0
	}
	return c.cmd.Process.Pid
}

// SettingsFile returns the path of the file with a controller's settings.
func (s *Site) SettingsFile(i int) string { return s.controllers[i].settingsFile }

// Wait waits until a controller has ended and returns the error with which the controller ended.
func (s *Site) Wait(i int) error {
	c := s.controllers[i]
	c.mu.Lock()
	exited := c.exited
	c.mu.Unlock()
	<-exited
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Leader returns the index of the first controller whose metrics say that it is the leader, or -1 if there
// is no such controller.
func (s *Site) Leader() int {
	for i := range s.controllers {
		if m, err := s.Metrics(i); err == nil && m["dalefront_leader"] == 1 {
			return i
		}
	}
	return -1
}

// Metrics reads those metrics of a controller that have no labels.
func (s *Site) Metrics(i int) (map[string]float64, error) {
	client := &http.Client{Timeout: time.Second, Transport: s.transport}
	resp, err := client.Get("http://" + s.controllers[i].addr + "/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	out := map[string]float64{}
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			out[name] = v
		}
	}
	return out, nil
}

// Down shuts the site down: first the controllers, gracefully, then all other components. A controller process
// that has not ended after 20 s is killed.
func (s *Site) Down() error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	var wg sync.WaitGroup
	for i, c := range s.controllers {
		if c.exited == nil || c.ended() != nil {
			continue
		}
		wg.Go(func() {
			_ = s.Signal(i, syscall.SIGCONT)
			_ = s.Signal(i, syscall.SIGTERM)
			timer := time.AfterFunc(20*time.Second, func() { _ = s.Signal(i, syscall.SIGKILL) })
			defer timer.Stop()
			_ = s.Wait(i)
		})
	}
	wg.Wait()
	s.cancel()
	var err error
	for _, srv := range s.servers {
		err = errors.Join(err, srv.Close())
	}
	s.transport.CloseIdleConnections()
	s.background.Wait()
	s.Services.mu.Lock()
	defer s.Services.mu.Unlock()
	s.Fleet.mu.Lock() // a worker may still be sending its last heartbeat
	defer s.Fleet.mu.Unlock()
	s.Services.store, s.Fleet.store = nil, nil
	return errors.Join(err, s.store.close())
}
