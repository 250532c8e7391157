package main

import (
	"time"

	"dalefront/wire"
)

// playClaims: two gangs that need all machines take turns in claiming them, and a job of low priority waits.
func playClaims(trouble bool) (int, error) {
	s, machines, err := setUp("harju", "harju", "harju", "harju spot", "tartumaa spot")
	if err != nil {
		return notRun, err
	}
	defer s.stop()
	low := newJob(1, wire.Service, "helendus", 3, 16)
	low.Priority, low.MemoryGB = wire.Low, 33 // the memory lets one run on each machine
	if err := s.fillEach(low, 0); err != nil {
		return notRun, err
	}
	if trouble {
		s.cloud.take(machines[3])
		time.Sleep(5 * time.Second)
	}
	for i := range 2 {
		whole := newJob(2+i, wire.Gang, "kiirvalgus", 3, 28)
		whole.OneZone, whole.EstimateS, whole.MemoryGB = true, 120, 26
		whole.Spot = true
		if err := s.submit(whole, 120*time.Second); err != nil {
			return notRun, err
		}
		time.Sleep(2 * time.Second)
	}
	waiting := newJob(4, wire.Array, "helendus", 1, 2)
	waiting.Priority, waiting.EstimateS = wire.Low, 60
	if err := s.submit(waiting, 60*time.Second); err != nil {
		return notRun, err
	}
	return s.awaitStart(&waiting, 88), nil
}
