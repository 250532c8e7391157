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

// PathFault and PathSummary are a site's own paths, beside the users' ones at the
// load balancer.
const (
	PathFault   = "/site/fault"
	PathSummary = "/site/summary"
)

// front serves users and whoever runs the site.
func (s *Site) front() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", s.balancer)
	mux.HandleFunc("POST "+PathFault, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		seconds, err := strconv.ParseFloat(q.Get("for"), 64)
		if err != nil || !(seconds > 0 && seconds < 1e6) {
			respond(w, http.StatusBadRequest, wire.Error{Error: "for: must be seconds, above 0"})
			return
		}
		what, err := s.Fault(q.Get("kind"), q.Get("name"), time.Duration(seconds*float64(time.Second)))
		if err != nil {
			respond(w, http.StatusBadRequest, wire.Error{Error: err.Error()})
			return
		}
		respond(w, http.StatusOK, wire.Error{Error: what})
	})
	mux.HandleFunc("GET "+PathSummary, func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusOK, Summarized{s.Fleet.Summary(), s.Fleet.Broken()})
	})
	return mux
}

// Summarized answers a request for a site's summary.
type Summarized struct {
	Summary Summary
	Broken  []string
}

// Faults lists what Fault can do.
var Faults = []string{"kill", "freeze", "outage", "die", "hang", "slow", "recall", "wave", "restart", "cut"}

// MachineFaults are those of them that concern machines only.
var MachineFaults = []string{"die", "hang", "slow", "recall", "wave", "restart"}

// inTrouble notes that a fault may show until then.
func (s *Site) inTrouble(until time.Time) {
	for {
		was := s.troubled.Load()
		if until.UnixNano() <= was || s.troubled.CompareAndSwap(was, until.UnixNano()) {
			return
		}
	}
}

// Fault does something bad to a running site: "kill" or "freeze" a controller (the
// leader, unless one is named), an "outage" of the state service, a "cut" of a zone
// from all others, the state service, the cloud and the users, a machine that is to
// "die", "hang", be "slow" or be taken back ("recall", for spot machines), or a "wave":
// all spot machines, or those of the zone that is named, are taken back at once. "restart"
// lets a machine's worker forget its tasks and begin anew. A
// killed controller starts again after the time; what can end ends after it. It
// returns what it was done to.
func (s *Site) Fault(kind, name string, d time.Duration) (string, error) {
	s.inTrouble(time.Now().Add(d))
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
		c.back = true
		c.mu.Unlock()
		if err := s.Signal(i, syscall.SIGKILL); err != nil {
			return "", err
		}
		_ = s.Wait(i)
		time.AfterFunc(d, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.closing { // or the process would outlive the site
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
		s.cuts.cut(name, true)
		time.AfterFunc(d, func() { s.cuts.cut(name, false) })
		return "zone " + name, nil
	case "die", "hang", "slow", "recall", "wave", "restart":
		return s.Fleet.Fault(kind, name, d)
	}
	return "", fmt.Errorf("%q is not one of %v", kind, Faults)
}
