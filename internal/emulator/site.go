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

// Options say what a site is like. The zero value of a field is its default.
type Options struct {
	Spec     Spec
	Listen   string // where users find the load balancer, 127.0.0.1:0
	Dir      string // for the controllers' settings and logs; a temporary one
	Data     string // file in which the site's data outlives it; none
	Program  string // of the controllers: this one
	Operator string // the operator's settings of the controllers
	Log      *slog.Logger

	// InProcess, if set, runs a controller until the context ends, then lets it end in
	// order: controllers are then parts of this process and can't be killed or frozen.
	InProcess func(ctx context.Context, settings, operator string, log io.Writer) error
}

// Site is a site that runs on this machine.
type Site struct {
	Services *Services
	Fleet    *Fleet
	Users    string // address of the load balancer
	Dir      string

	opt         Options
	ctx         context.Context
	cancel      context.CancelFunc
	log         *slog.Logger
	controllers []*controller
	balancer    *balancer
	transport   *http.Transport
	servers     []*http.Server
	kept        *keeper
	cuts        zoneCuts
	begun       time.Time
	troubled    atomic.Int64 // until when something bad was done to the site, as a time of day in nanoseconds
	running     sync.WaitGroup

	mu      sync.Mutex
	closing bool // Down has begun: nothing is started any more
}

// controller is a child process.
type controller struct {
	label, zone, addr, mesh, settings string

	mu   sync.Mutex
	cmd  *exec.Cmd     // nil in this process
	stop func()        // in this process
	over chan struct{} // closed when the process has ended
	err  error         // how
	from time.Time     // when the process was started
	back bool          // a fault ended it and will start it again
}

// FreeAddr finds an address on loopback for a process that listens by itself, below the
// ports that the system gives to outgoing connections: one of these may be taken before
// the process listens. None is given twice: nobody may listen on it yet.
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
		if _, was := given.LoadOrStore(addr, true); !was {
			return addr, nil
		}
	}
	return "", errors.Join(errors.New("no free port"), err)
}

var given sync.Map // addresses, by FreeAddr

// idleConns is how many unused connections to a controller are kept.
const idleConns = 64

// Up starts a site. It is ready when Ready returns; Down ends it.
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
	s := &Site{opt: o, Dir: o.Dir, log: o.Log, begun: time.Now(), transport: &http.Transport{MaxIdleConnsPerHost: idleConns, IdleConnTimeout: 20 * time.Second}}
	s.transport.DialContext = s.dialController
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.start(); err != nil {
		return nil, errors.Join(err, s.Down())
	}
	return s, nil
}

func (s *Site) start() error {
	spec := &s.opt.Spec
	catalog := spec.Catalog()
	s.Services = NewServices(catalog)
	s.Services.Limits = wire.TxnLimits{Changes: spec.State.TxnOps, ValueBytes: int(spec.State.ValueKB * 1024)}
	inner, err := s.serve("127.0.0.1:0", s.Services)
	if err != nil {
		return err
	}
	for i := range spec.Controllers {
		c := &controller{label: fmt.Sprint("controller-", i+1), zone: spec.Zones[i%len(spec.Zones)]}
		if c.addr, err = FreeAddr(); err == nil {
			c.mesh, err = FreeAddr()
		}
		if err != nil {
			return err
		}
		s.controllers = append(s.controllers, c)
	}
	for _, c := range s.controllers {
		a := address{label: c.label, zone: c.zone, users: c.addr, mesh: c.mesh}
		if a.services, err = s.link(c.zone, "", inner); err != nil {
			return err
		}
		for _, m := range s.controllers {
			if m == c {
				continue
			}
			addr, err := s.link(c.zone, m.zone, m.mesh)
			if err != nil {
				return err
			}
			a.members = append(a.members, config.Member{Label: m.label, Zone: m.zone, Addr: addr})
		}
		text, err := spec.settings(a)
		if err != nil {
			return err
		}
		c.settings = filepath.Join(s.Dir, c.label+".toml")
		if err := os.WriteFile(c.settings, text, 0o600); err != nil {
			return err
		}
	}
	set, err := config.Load(s.controllers[0].settings, s.opt.Operator)
	if err != nil {
		return err
	}
	s.Fleet = NewFleet(spec.Seed, set, catalog, spec.Machines, s.spawn)
	s.Services.SetFleet(s.Fleet)
	d := &set.Deployment
	s.Services.Requests = rate.NewLimiter(rate.Limit(d.State.RPS), int(d.State.RPS))
	s.Services.Changes = rate.NewLimiter(rate.Limit(d.State.WriteRPS), int(d.State.WriteRPS))
	s.Services.Cloud = rate.NewLimiter(rate.Limit(d.Cloud.RPS), int(2*d.Cloud.RPS))
	if s.opt.Data != "" {
		if s.kept, err = openKeeper(s.opt.Data); err != nil {
			return err
		}
		if err := errors.Join(s.Services.keep(s.kept), s.Fleet.keep(s.kept)); err != nil {
			return fmt.Errorf("%s: %w", s.opt.Data, err)
		}
	}
	s.balancer = newBalancer(s)
	if s.Users, err = s.serve(s.opt.Listen, s.front()); err != nil {
		return err
	}
	for i := range s.controllers {
		if err := s.Start(i); err != nil {
			return err
		}
		go s.balancer.probe(i)
	}
	s.running.Go(func() {
		for synced := s.begun; s.ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
			s.Fleet.Step(time.Since(s.begun).Microseconds())
			if time.Now().UnixNano() > s.troubled.Load() {
				s.Fleet.Waits(nil)
			}
			if s.kept != nil && time.Since(synced) >= time.Second {
				synced = time.Now()
				if err := s.kept.db.Sync(); err != nil {
					s.log.Error("the site's data", "err", err)
				}
			}
		}
	})
	return nil
}

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

// Ready waits until every controller runs and has been found healthy since it was
// started: the load balancer notices an end only after a second or two.
func (s *Site) Ready(ctx context.Context) error {
	for !s.allServe() {
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

func (s *Site) allServe() bool {
	for i, c := range s.controllers {
		c.mu.Lock()
		from, back := c.from, c.back
		c.mu.Unlock()
		if back || c.ended() != nil || !s.balancer.healthySince(i, from) {
			return false
		}
	}
	return true
}

func (s *Site) logFile(c *controller) string { return filepath.Join(s.Dir, c.label+".log") }

// Controllers is how many there are.
func (s *Site) Controllers() int { return len(s.controllers) }

// Label names a controller.
func (s *Site) Label(i int) string { return s.controllers[i].label }

// Addr is where a controller serves.
func (s *Site) Addr(i int) string { return s.controllers[i].addr }

var errKilled = errors.New("killed")

// ended says how a process ended, nil if it runs or will be started again.
func (c *controller) ended() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over == nil || c.back {
		return nil
	}
	select {
	case <-c.over:
		if c.err == nil {
			return errKilled
		}
		return c.err
	default:
		return nil
	}
}

// Start starts a controller that does not run.
func (s *Site) Start(i int) error {
	c := s.controllers[i]
	log, err := os.OpenFile(s.logFile(c), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	over := make(chan struct{})
	ended := func(err error) {
		c.mu.Lock()
		c.err = err
		c.mu.Unlock()
		close(over)
		_ = log.Close()
	}
	if s.opt.InProcess != nil {
		ctx, stop := context.WithCancel(context.Background())
		c.mu.Lock()
		c.stop, c.over, c.from = stop, over, time.Now()
		c.mu.Unlock()
		go func() { ended(s.opt.InProcess(ctx, c.settings, s.opt.Operator, log)) }()
		return nil
	}
	args := []string{"--config", c.settings}
	if s.opt.Operator != "" {
		args = append(args, "--operator", s.opt.Operator)
	}
	cmd := exec.Command(s.opt.Program, args...)
	cmd.Stderr = log
	// A terminal's ctrl-C is for the site, which ends its controllers in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	c.mu.Lock()
	c.cmd, c.over, c.from, c.back = cmd, over, time.Now(), false
	c.mu.Unlock()
	go func() { ended(cmd.Wait()) }()
	return nil
}

var errInProcess = errors.New("the controllers are in this process: they can only be told to end")

// Signal sends a signal to a controller's process.
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

// Process is the number of a controller's process, 0 if it runs in this one.
func (s *Site) Process(i int) int {
	c := s.controllers[i]
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil || c.cmd.Process == nil {
		return 0
	}
	return c.cmd.Process.Pid
}

// Settings is the file with a controller's settings.
func (s *Site) Settings(i int) string { return s.controllers[i].settings }

// Wait waits until a controller's process has ended, and says how.
func (s *Site) Wait(i int) error {
	c := s.controllers[i]
	c.mu.Lock()
	over := c.over
	c.mu.Unlock()
	<-over
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Leader returns the controller that shows itself as such, or -1.
func (s *Site) Leader() int {
	for i := range s.controllers {
		if m, err := s.Metrics(i); err == nil && m["dalefront_leader"] == 1 {
			return i
		}
	}
	return -1
}

// Metrics reads the metrics without labels that a controller shows.
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

// Down ends a site: its controllers in order, then the rest.
func (s *Site) Down() error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	var all sync.WaitGroup
	for i, c := range s.controllers {
		if c.over == nil || c.ended() != nil {
			continue
		}
		all.Go(func() {
			_ = s.Signal(i, syscall.SIGCONT)
			_ = s.Signal(i, syscall.SIGTERM)
			timer := time.AfterFunc(20*time.Second, func() { _ = s.Signal(i, syscall.SIGKILL) })
			defer timer.Stop()
			_ = s.Wait(i)
		})
	}
	all.Wait()
	s.cancel()
	var err error
	for _, srv := range s.servers {
		err = errors.Join(err, srv.Close())
	}
	s.transport.CloseIdleConnections()
	s.running.Wait()
	s.Services.mu.Lock()
	defer s.Services.mu.Unlock()
	s.Fleet.mu.Lock() // a worker's last report may be on its way
	defer s.Fleet.mu.Unlock()
	s.Services.kept, s.Fleet.kept = nil, nil
	return errors.Join(err, s.kept.close())
}
