package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"dalefront/wire"
)

// maxWait is the longest that a job may wait while a machine that fits has room and its team is under its limit.
const maxWait = 90 * time.Second

// awaitStart watches an accepted job. It reports a broken rule if the job is left waiting for maxWait while there is room
// for it all the time, and a rule that held once a task of the job is on a machine.
func (s *site) awaitStart(j *wire.Job, most float64) int {
	roomSince, asked := time.Now(), time.Time{}
	for {
		switch {
		case s.cloud.onMachines(j.ID) > 0:
			s.note("check: %s is on a machine", j.ID)
			return held
		case time.Since(roomSince) > maxWait:
			s.note("check: BROKEN: %s was left waiting for %v while %s had room", j.ID, maxWait, strings.Join(s.cloud.roomFor(j), ", "))
			return broken
		}
		if len(s.cloud.roomFor(j)) == 0 || s.cloud.coresOf(j.Team)+j.CPUs > most {
			roomSince = time.Now()
		}
		if time.Since(asked) > 5*time.Second {
			asked = time.Now()
			s.send(s.controllers[0], http.MethodGet, wire.PathJobs+"/"+j.ID, nil)
			s.note("check: room for %s on %s, %s uses %.0f cores of %.0f", j.ID, strings.Join(s.cloud.roomFor(j), ", "), j.Team, s.cloud.coresOf(j.Team), most)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// fillEach submits a job and waits until all its tasks are on machines.
func (s *site) fillEach(j wire.Job, runTime time.Duration) error {
	if err := s.submit(j, runTime); err != nil {
		return err
	}
	if !until(15*time.Second, func() bool { return s.cloud.onMachines(j.ID) == j.Tasks }) {
		return fmt.Errorf("%s has not started", j.ID)
	}
	return nil
}

// setUp starts a site with the given machines, each written as its zone, and " spot" behind it for a cheap one.
func setUp(machines ...string) (*site, []*machine, error) {
	return setUpWith(func(*site) error { return nil }, machines...)
}

// setUpWith does the same, and prepares the site before the controllers start.
func setUpWith(prepare func(*site) error, machines ...string) (*site, []*machine, error) {
	s, err := newSite([]string{"harju", "tartumaa"}, deployed())
	if err != nil {
		return nil, nil, err
	}
	for _, description := range machines {
		zone, spot, _ := strings.Cut(description, " ")
		if err = errors.Join(err, s.cloud.add(zone, spot != "")); err != nil {
			break
		}
	}
	all := slices.Clone(s.cloud.machines)
	if err = errors.Join(err, prepare(s)); err == nil {
		s.cloud.startWorkers()
		err = s.start()
	}
	if err != nil {
		s.stop()
		return nil, nil, err
	}
	return s, all, nil
}

// playSpread: a gang that must be spread over both zones loses its place, and another job of its priority waits.
func playSpread(trouble bool) (int, error) {
	s, machines, err := setUp("harju", "harju", "harju spot", "tartumaa", "tartumaa spot")
	if err != nil {
		return notRun, err
	}
	defer s.stop()
	small := newJob(1, wire.Array, "helendus", 5, 1)
	small.EstimateS, small.Spot, small.MemoryGB = 300, true, 33 // the memory lets one run on each machine
	if err := s.fillEach(small, 300*time.Second); err != nil {
		return notRun, err
	}
	if trouble {
		s.cloud.take(machines[4])
		time.Sleep(5 * time.Second)
	}
	wide := newJob(2, wire.Gang, "kiirvalgus", 4, 28)
	wide.Spread, wide.Spot, wide.EstimateS, wide.MemoryGB = true, true, 120, 26
	if err := s.submit(wide, 120*time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(2 * time.Second)
	waiting := newJob(3, wire.Array, "helendus", 1, 2)
	waiting.EstimateS = 100
	if err := s.submit(waiting, 100*time.Second); err != nil {
		return notRun, err
	}
	return s.awaitStart(&waiting, 88), nil
}

// playService: a gang loses its place and waits for a service to end, and another service of its priority waits.
func playService(trouble bool) (int, error) {
	s, machines, err := setUp("harju", "harju", "harju spot", "tartumaa spot")
	if err != nil {
		return notRun, err
	}
	defer s.stop()
	small := newJob(1, wire.Service, "helendus", 4, 1)
	small.Spot, small.MemoryGB = true, 33 // the memory lets one run on each machine
	if err := s.fillEach(small, 0); err != nil {
		return notRun, err
	}
	large := newJob(2, wire.Service, "kiirvalgus", 1, 31)
	if err := s.fillEach(large, 0); err != nil {
		return notRun, err
	}
	if trouble {
		s.cloud.take(machines[2])
		time.Sleep(5 * time.Second)
	}
	pair := newJob(3, wire.Gang, "kiirvalgus", 2, 28)
	pair.Spot, pair.OneZone, pair.EstimateS, pair.MemoryGB = true, true, 120, 26
	if err := s.submit(pair, 120*time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(2 * time.Second)
	waiting := newJob(4, wire.Service, "helendus", 1, 2)
	if err := s.submit(waiting, 0); err != nil {
		return notRun, err
	}
	return s.awaitStart(&waiting, 88), nil
}
