package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"dalefront/wire"
)

const (
	handovers = 3                // changes of the leader; the pages name ten in two minutes
	watched   = 25 * time.Second // after the first handover
)

// playHandover: the controllers hand the term over three times, one after the other.
func playHandover(trouble bool) (int, error) {
	s, _, err := setUp("harju", "harju", "tartumaa")
	if err != nil {
		return notRun, err
	}
	defer s.stop()
	long := newJob(1, wire.Array, "kiirvalgus", 3, 15)
	long.EstimateS = 100
	if err := s.fillEach(long, 100*time.Second); err != nil {
		return notRun, err
	}
	if err := s.awaitRunning(long.ID); err != nil {
		return notRun, err
	}
	if trouble {
		go s.handOver()
	}
	wrong := s.askAll(long.ID, watched)
	s.note("check: %d workers' leases ran out", s.cloud.expired())
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// handOver runs the project's command that makes the leader hand its term over, three times.
func (s *site) handOver() {
	program := strings.Fields(os.Getenv("RUN"))[0]
	for range handovers {
		command := exec.Command(filepath.Join(os.Getenv("ROOT"), program), "handover", "--config", s.settingsFile(s.controllers[0]))
		s.note("operator: hands the term over")
		out, err := command.CombinedOutput()
		s.note("operator: %s %s", strings.TrimSpace(string(out)), errorText(err))
	}
}

// errorText returns an error's text, or nothing if there is none.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return fmt.Sprint("(", err, ")")
}

// expired returns the number of workers whose lease has run out.
func (c *cloud) expired() (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.tenure > 1 {
			count++
		}
	}
	return count
}
