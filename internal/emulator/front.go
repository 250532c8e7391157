package emulator

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"dalefront/wire"
)

// PathFault and PathSummary are the HTTP paths for operating the emulated site. They are served at the load
// balancer's address, together with the users' API.
const (
	PathFault   = "/site/fault"
	PathSummary = "/site/summary"
)

// handler returns the handler for the users' API and for the paths that operate the site.
func (s *Site) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", s.balancer)
	mux.HandleFunc("POST "+PathFault, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		seconds, err := strconv.ParseFloat(q.Get("for"), 64)
		if err != nil || !(seconds > 0 && seconds < 1e6) {
			respond(w, http.StatusBadRequest, wire.Error{Error: "for: must be seconds, above 0"})
			return
		}
		target, err := s.Fault(q.Get("kind"), q.Get("name"), time.Duration(seconds*float64(time.Second)))
		if err != nil {
			respond(w, http.StatusBadRequest, wire.Error{Error: err.Error()})
			return
		}
		respond(w, http.StatusOK, wire.Error{Error: target})
	})
	mux.HandleFunc("GET "+PathSummary, func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusOK, SummaryResponse{s.Fleet.Summary(), s.Fleet.Violations()})
	})
	return mux
}

// SummaryResponse is the response to PathSummary: the site's summary and the violations of invariants.
type SummaryResponse struct {
	Summary Summary
	Broken  []string
}

// Faults lists the kinds of faults that Site.Fault can inject.
var Faults = []string{"kill", "freeze", "outage", "die", "hang", "slow", "recall", "wave", "restart", "cut"}

// MachineFaults lists those kinds of Faults that affect only machines.
var MachineFaults = []string{"die", "hang", "slow", "recall", "wave", "restart"}

// extendDisruption records that a fault may affect jobs at least until the given time.
func (s *Site) extendDisruption(until time.Time) {
	for {
		current := s.disruptedUntil.Load()
		if until.UnixNano() <= current || s.disruptedUntil.CompareAndSwap(current, until.UnixNano()) {
			return
		}
	}
}

// Fault injects a fault into a running site and returns the name of the affected component. The kinds are:
//
//   - "kill" and "freeze": the named controller is killed or suspended; without a name it is the leader
//   - "outage": the state service is unavailable
//   - "cut": the named zone is partitioned from the other zones, the state service, the cloud and the users;
//     without a name it is the last zone
//   - "die", "hang" and "slow": a machine dies, hangs or becomes slow
//   - "recall": the cloud announces that it preempts a spot machine, and preempts it after the duration d
//   - "wave": a "recall" of all spot machines at once, or of those in the named zone
//   - "restart": a machine's worker restarts and loses its tasks
//
// The faults "freeze", "outage", "cut" and "hang" end after the duration d, and a killed controller is
// restarted after d. See Fleet.InjectFault for the faults of machines.
func (s *Site) Fault(kind, name string, d time.Duration) (string, error) {
	s.extendDisruption(time.Now().Add(d))
	switch kind {
	case "outage":
		s.Services.SetDown(true)
		time.AfterFunc(d, func() { s.Services.SetDown(false) })
		return "the state service", nil
	case "kill", "freeze":
		i := s.Leader()
		for k, c := range s.controllers {
			if c.label == name {
				i = k
			}
		}
		if i < 0 || name != "" && s.controllers[i].label != name {
			return "", errors.New("there is no such controller, and no leader now")
		}
		if kind == "freeze" {
			time.AfterFunc(d, func() { _ = s.Signal(i, syscall.SIGCONT) })
			return s.controllers[i].label, s.Signal(i, syscall.SIGSTOP)
		}
		c := s.controllers[i]
		c.mu.Lock()
		if c.cmd == nil {
			c.mu.Unlock()
			return "", errInProcess
		}
		c.restarting = true
		c.mu.Unlock()
		if err := s.Signal(i, syscall.SIGKILL); err != nil {
			return "", err
		}
		_ = s.Wait(i)
		time.AfterFunc(d, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.closing { // a process started during the shutdown would outlive the site
				_ = s.Start(i)
			}
		})
		return s.controllers[i].label, nil
	case "cut":
		zones := s.opt.Spec.Zones
		if name == "" {
			name = zones[len(zones)-1]
		}
		if !slices.Contains(zones, name) {
			return "", fmt.Errorf("zone %q is not one of %v", name, zones)
		}
		s.cuts.set(name, true)
		time.AfterFunc(d, func() { s.cuts.set(name, false) })
		return "zone " + name, nil
	case "die", "hang", "slow", "recall", "wave", "restart":
		return s.Fleet.InjectFault(kind, name, d)
	}
	return "", fmt.Errorf("%q is not one of %v", kind, Faults)
}
