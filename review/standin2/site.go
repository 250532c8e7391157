package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"dalefront/wire"
)

// The limits of the small deployment in the brief, which all cases share.
const (
	reportS  = 1.5
	leaseS   = 12.0
	gangWait = 50 * time.Second
	gangPeer = 8 * time.Second
	cancelS  = 32 * time.Second
)

// site is a small deployment: three controllers as processes, and the stand-ins around them.
type site struct {
	state *stateService
	cloud *cloud
	teams []team

	dir         string // temporary folder with the settings
	controllers []*controller
	gates       map[[2]string]*gate // by the labels of two controllers; none in most cases
	began       time.Time
	user        http.Client

	mu     sync.Mutex
	record *os.File
}

// team is a team with its guarantee and its limit.
type team struct {
	name       string
	cpus, most float64
}

// controller is a controller's process.
type controller struct {
	label, zone, addr, mesh string
	cmd                     *exec.Cmd
	exited                  chan struct{}
}

// deployed returns the teams of the deployment in the brief.
func deployed() []team {
	return []team{{"tallinnalamps", 32, 72}, {"pimeala", 72, 224}, {"kiirvalgus", 72, 224}, {"helendus", 24, 88}}
}

// newSite starts the stand-ins of the state service and the cloud. The controllers are not started yet.
func newSite(zones []string, teams []team) (*site, error) {
	dir, err := os.MkdirTemp("", "dalefront-case-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	s := &site{state: newStateService(), teams: teams, dir: dir, began: time.Now(), record: record, gates: map[[2]string]*gate{}}
	s.user = http.Client{Timeout: 5 * time.Second}
	s.cloud = newCloud(s)
	for i := range 3 {
		c := &controller{label: fmt.Sprintf("dalehost-%d", i), zone: zones[i%len(zones)]}
		for _, addr := range []*string{&c.addr, &c.mesh} {
			if *addr, err = freeAddr(); err != nil {
				return nil, err
			}
		}
		s.controllers = append(s.controllers, c)
	}
	return s, nil
}

// freeAddr returns a loopback address on which nothing listens. The port is below those of outgoing connections.
func freeAddr() (string, error) {
	for range 100 {
		listener, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", 12_000+rand.IntN(18_000)))
		if err != nil {
			continue
		}
		return listener.Addr().String(), listener.Close()
	}
	return "", errors.New("no free port")
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// listen serves a handler on a free loopback port and returns its address.
func listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// start writes the settings and starts the controllers with the command of the deploy file.
func (s *site) start() error {
	stateAddr, err := listen(s.state)
	if err != nil {
		return err
	}
	cloudAddr, err := listen(s.cloud)
	if err != nil {
		return err
	}
	for _, c := range s.controllers {
		if err := os.WriteFile(s.settingsFile(c), s.settings(c, stateAddr, cloudAddr), 0o600); err != nil {
			return err
		}
		if err := s.launch(c); err != nil {
			return err
		}
	}
	return s.awaitHealthy()
}

func (s *site) settingsFile(c *controller) string { return filepath.Join(s.dir, c.label+".toml") }

// launch starts a controller's process. Its log goes to the temporary folder.
func (s *site) launch(c *controller) error {
	log, err := os.OpenFile(filepath.Join(s.dir, c.label+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := append(strings.Fields(os.Getenv("RUN")), s.settingsFile(c)) // as the deploy file says, from the root
	c.cmd = exec.Command(command[0], command[1:]...)
	c.cmd.Dir = os.Getenv("ROOT")
	c.cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this process in any case
	c.cmd.Stderr = log
	started := make(chan error)
	c.exited = make(chan struct{})
	go func() {
		runtime.LockOSThread() // the parent in the sense of Pdeathsig is a thread
		err := c.cmd.Start()
		started <- err
		if err == nil {
			_ = c.cmd.Wait()
		}
		_ = log.Close()
		close(c.exited)
	}()
	if err := <-started; err != nil {
		return err
	}
	s.note("started %s", c.label)
	return nil
}

// stop ends the controllers' processes and removes the temporary folder.
func (s *site) stop() {
	for _, c := range s.controllers {
		if c.cmd != nil && c.cmd.Process != nil {
			_ = c.cmd.Process.Kill()
			<-c.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
	_ = s.record.Close()
}

// awaitHealthy waits until every controller is healthy.
func (s *site) awaitHealthy() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, c := range s.controllers {
		for !s.healthy(c) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not healthy", c.label)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.note("all controllers are healthy")
	return nil
}

func (s *site) healthy(c *controller) bool {
	response, err := s.user.Get("http://" + c.addr + wire.PathHealth)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// settings returns a controller's settings in the form of the deploy page.
func (s *site) settings(c *controller, stateAddr, cloudAddr string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "label = %q\nzone = %q\nserve_on = %q\nmesh_addr = %q\n", c.label, c.zone, c.addr, c.mesh)
	for _, member := range s.controllers {
		if member != c {
			fmt.Fprintf(&b, "[[members]]\nlabel = %q\nzone = %q\naddr = %q\n", member.label, member.zone, s.meshAddr(c, member))
		}
	}
	fmt.Fprintf(&b, "[endpoints]\ncloud = %q\nstate = %q\n", cloudAddr, stateAddr)
	fmt.Fprint(&b, "[deployment]\nsize = 3\nzones = [\"harju\", \"tartumaa\"]\nclock_off_ms = 250.0\n")
	for _, t := range s.teams {
		fmt.Fprintf(&b, "[[deployment.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.name, t.cpus, t.most)
	}
	fmt.Fprintf(&b, "[deployment.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f\n",
		reportS, leaseS, gangWait.Seconds(), gangPeer.Seconds(), cancelS.Seconds())
	fmt.Fprint(&b, "[deployment.state]\nrps = 70.0\nwrite_rps = 25.0\nvalue_kb = 16.0\ntxn_ops = 12\n")
	fmt.Fprint(&b, "[deployment.cloud]\nrps = 4.0\nlist_lag_s = 8.0\n")
	fmt.Fprint(&b, "[deployment.resources]\ncores = 0.144\nram_mb = 98.0\nsockets = 800\n")
	return b.Bytes()
}

// send sends a user's request to one controller and decodes the status of the job. The code is 0 without a response.
func (s *site) send(c *controller, method, path string, body any) (int, wire.JobStatus) {
	var status wire.JobStatus
	var reader io.Reader
	if body != nil {
		encoded, err := wire.Marshal(body)
		if err != nil {
			return 0, status
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.addr+path, reader)
	if err != nil {
		return 0, status
	}
	response, err := s.user.Do(request)
	if err != nil {
		s.note("user: %s %s to %s: no response", method, path, c.label)
		return 0, status
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	if response.StatusCode < 300 {
		_ = wire.Unmarshal(answer, &status)
	}
	s.note("user: %s %s to %s: %d %s done %d running %d", method, path, c.label, response.StatusCode, status.Status, status.Done, status.Running)
	return response.StatusCode, status
}

var errNotAccepted = errors.New("not accepted within 60 s")

// submit submits a job, which the workers know from then on, and repeats it until it is accepted.
func (s *site) submit(j wire.Job, runTime time.Duration) error {
	s.cloud.upload(j, runTime)
	for try := range 60 {
		code, _ := s.send(s.controllers[try%3], http.MethodPost, wire.PathJobs, j)
		if code == http.StatusCreated || code == http.StatusOK {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%s: %w", j.ID, errNotAccepted)
}

// newJob returns a job of one task without images to speak of, for the cases to adapt.
func newJob(number int, shape, owner string, pieces int, cores float64) wire.Job {
	return wire.Job{ID: fmt.Sprintf("j-%06d", number), Class: "faultsweep", Team: owner, Shape: shape, Priority: wire.Normal, Tasks: pieces,
		CPUs: cores, MemoryGB: 1, Image: "img-01", ImageGB: 0.1}
}

// until waits for a condition, at most for the time given, and reports whether it came to hold.
func until(limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
