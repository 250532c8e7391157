package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"dalefront/wire"
)

// gate is a proxy before one controller's address for one of the others. While it is shut, connections are refused.
type gate struct {
	addr, target string

	mu       sync.Mutex
	listener net.Listener
	conns    []net.Conn
}

// open makes the gate take connections.
func (g *gate) open() error {
	listener, err := net.Listen("tcp", g.addr)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.listener, g.addr = listener, listener.Addr().String()
	g.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go g.forward(conn)
		}
	}()
	return nil
}

// forward connects a connection with the controller behind the gate.
func (g *gate) forward(conn net.Conn) {
	defer conn.Close()
	target, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	defer target.Close()
	g.mu.Lock()
	g.conns = append(g.conns, conn, target)
	g.mu.Unlock()
	go func() {
		_, _ = io.Copy(target, conn)
		_ = target.Close()
	}()
	_, _ = io.Copy(conn, target)
}

// shut ends all connections and refuses further ones.
func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.listener.Close()
	for _, conn := range g.conns {
		_ = conn.Close()
	}
	g.conns = nil
}

// placeGates places a gate between each two controllers. It must be called before the controllers start.
func (s *site) placeGates() error {
	for _, from := range s.controllers {
		for _, to := range s.controllers {
			if from == to {
				continue
			}
			addr, err := freeAddr()
			if err != nil {
				return err
			}
			g := &gate{addr: addr, target: to.mesh}
			if err := g.open(); err != nil {
				return err
			}
			s.gates[[2]string{from.label, to.label}] = g
		}
	}
	return nil
}

// meshAddr returns the address under which one controller knows another one.
func (s *site) meshAddr(from, to *controller) string {
	if g := s.gates[[2]string{from.label, to.label}]; g != nil {
		return g.addr
	}
	return to.mesh
}

// shutGates refuses all connections between the controllers for some time.
func (s *site) shutGates(spell time.Duration) {
	s.note("network: connections between controllers are refused for %v", spell)
	for _, g := range s.gates {
		g.shut()
	}
	time.AfterFunc(spell, func() {
		for _, g := range s.gates {
			if err := g.open(); err != nil {
				s.note("network: %v", err)
			}
		}
		s.note("network: connections between controllers are taken again")
	})
}

const (
	refusedFor = 30 * time.Second // the longest in the site files
	maxLag     = 3 * time.Second  // by which a state may lag
)

// playStatus: connections between controllers are refused, and users ask all controllers about a job that runs.
func playStatus(trouble bool) (int, error) {
	s, _, err := setUpWith((*site).placeGates, "harju", "harju", "tartumaa")
	if err != nil {
		return notRun, err
	}
	defer s.stop()
	long := newJob(1, wire.Array, "kiirvalgus", 1, 15)
	long.EstimateS = 120
	if err := s.fillEach(long, 120*time.Second); err != nil {
		return notRun, err
	}
	if err := s.awaitRunning(long.ID); err != nil {
		return notRun, err
	}
	if trouble {
		s.shutGates(refusedFor)
	}
	if s.askAll(long.ID, refusedFor-maxLag) > 0 {
		return broken, nil
	}
	return held, nil
}

// awaitRunning waits until all controllers have said that a job runs.
func (s *site) awaitRunning(id string) error {
	for _, c := range s.controllers {
		runs := func() bool {
			_, status := s.send(c, http.MethodGet, wire.PathJobs+"/"+id, nil)
			return status.Status == wire.JobRunning
		}
		if !until(10*time.Second, runs) {
			return fmt.Errorf("%s does not say that %s runs", c.label, id)
		}
	}
	return nil
}

// askAll asks all controllers about a job once a second. It returns how often one said that no task of the job runs while
// a task had been running for longer than a state may lag.
func (s *site) askAll(id string, spell time.Duration) int {
	var wrong []string
	for began := time.Now(); time.Since(began) < spell; time.Sleep(time.Second) {
		for _, c := range s.controllers {
			code, status := s.send(c, http.MethodGet, wire.PathJobs+"/"+id, nil)
			if runs := s.cloud.runsFor(id); code == http.StatusOK && status.Status == wire.JobQueued && runs > maxLag {
				s.note("check: BROKEN: %s calls %s queued, whose task has been running for %v", c.label, id, runs.Round(time.Second))
				wrong = append(wrong, c.label)
			}
		}
	}
	slices.Sort(wrong)
	s.note("check: %d wrong answers, by %v", len(wrong), slices.Compact(slices.Clone(wrong)))
	return len(wrong)
}

// runsFor returns how long the job's task has been running, 0 if it does not run.
func (c *cloud) runsFor(id string) (age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		for _, t := range m.tasks {
			if t.job.ID == id && t.state == wire.TaskRunning {
				age = time.Since(t.entered)
			}
		}
	}
	return age
}
