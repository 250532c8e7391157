package main

import (
	"net/http"
	"time"

	"dalefront/wire"
)

// cancelLimit is the time for which a user repeats a request that gets no final answer.
const cancelLimit = 60 * time.Second

// playOrder: all machines are full, and a user cancels a job at once after it was accepted. The state service lists the
// changes of a watch as in the protocol's example, where a later change stands before an earlier one.
func playOrder(trouble bool) (int, error) {
	s, _, err := setUp("harju", "harju", "tartumaa")
	if err != nil {
		return notRun, err
	}
	defer s.stop()
	s.state.mu.Lock()
	s.state.newestFirst = true
	s.state.mu.Unlock()
	for i, owner := range []string{"kiirvalgus", "kiirvalgus", "pimeala"} { // within the guarantees of both
		full := newJob(4+i, wire.Array, owner, 1, 32)
		full.EstimateS = 300
		if err := s.fillEach(full, 300*time.Second); err != nil {
			return notRun, err
		}
	}
	first, second := newJob(2, wire.Array, "helendus", 1, 1), newJob(3, wire.Array, "helendus", 1, 1)
	first.EstimateS, second.EstimateS = 30, 30
	for _, j := range []wire.Job{first, second} {
		if err := s.submit(j, 30*time.Second); err != nil {
			return notRun, err
		}
	}
	if !trouble {
		time.Sleep(2 * time.Second)
	}
	path := wire.PathJobs + "/" + second.ID + "/" + wire.CancelAction
	for began, try := time.Now(), 0; time.Since(began) < cancelLimit; try++ {
		code, status := s.send(s.controllers[try%3], http.MethodPost, path, struct{}{})
		if code == http.StatusOK && wire.Final(status.Status) {
			s.note("check: the cancellation was answered")
			return held, nil
		}
		time.Sleep(time.Second)
	}
	s.note("check: BROKEN: the cancellation of %s got no answer for %v, though none of its tasks was ever on a machine", second.ID, cancelLimit)
	return broken, nil
}
