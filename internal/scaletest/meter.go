package scaletest

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"dalefront/internal/emulator"
)

// Role is what one process did for the system, per second of the steady part.
type Role struct {
	Name       string  `json:"role"`
	CPU        float64 `json:"cores"`
	CPUPeak    float64 `json:"cores_peak"` // over a second
	ResidentMB float64 `json:"resident_mb"`
	ReadBS     float64 `json:"read_bytes_per_s"`
	WrittenBS  float64 `json:"written_bytes_per_s"`
	Sockets    int     `json:"sockets"`
	Goroutines int     `json:"goroutines"`
}

// Roles.
const (
	roleLeader  = "leader"
	roleStandby = "warm standby"
	roleOther   = "other controller" // the one that used the most processor time
	roleSite    = "stand-ins, workers and generator (one process)"
)

// StateCost is what the state service was asked for in a second, and what it kept at the end.
type StateCost struct {
	Requests  map[string]float64 `json:"requests_per_s"`
	All       float64            `json:"all_requests_per_s"`
	Changes   float64            `json:"changes_per_s"`
	Conflicts float64            `json:"conflicts_per_s"`
	Refused   float64            `json:"refused_per_s"`
	Cloud     float64            `json:"cloud_requests_per_s"`
	Keys      int                `json:"keys"`
	KeyBytes  int                `json:"key_bytes"`
}

// WorkerCost is what workers sent and received, over all workers that were up throughout.
type WorkerCost struct {
	P50BS     float64            `json:"p50_bytes_per_s"` // both ways, over the steady part
	P99BS     float64            `json:"p99_bytes_per_s"`
	Most10S   float64            `json:"most_bytes_per_s_over_10_s"`
	Reports   map[string]float64 `json:"reports_per_s"` // of one worker, by cause
	Commands  float64            `json:"commands_per_s"`
	CodecCore float64            `json:"codec_cores"` // to encode its reports and decode the answers
}

// sample is everything that is read at a moment.
type sample struct {
	at          time.Time
	controllers []Usage
	site        Usage
	state       emulator.StateLoad
	workers     map[string]emulator.Traffic
}

// meter samples a site every second.
type meter struct {
	site *emulator.Site
	self int

	mu      sync.Mutex
	samples []sample
	peakMB  float64 // of all processes together
}

// take reads everything once. A process that is not there has no figures.
func (m *meter) take() sample {
	s := sample{at: time.Now(), state: m.site.Services.Load(), workers: m.site.Fleet.Traffic()}
	s.site, _ = usage(m.self)
	together := s.site.Resident
	for i := range m.site.Controllers() {
		u, _ := usage(m.site.Process(i))
		s.controllers = append(s.controllers, u)
		together += u.Resident
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.samples = append(m.samples, s)
	m.peakMB = max(m.peakMB, together)
	return s
}

// reset drops the samples so far.
func (m *meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.samples = nil
}

// roles sums up the samples by role.
func (m *meter) roles(leader, standby int) []Role {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.samples) < 2 {
		return nil
	}
	all := make([]Role, m.site.Controllers())
	for i := range all {
		all[i] = m.role(func(s sample) Usage { return s.controllers[i] })
		if shown, err := m.site.Metrics(i); err == nil {
			all[i].Goroutines = int(shown["dalefront_goroutines"])
		}
	}
	out := []Role{}
	other := -1
	for i := range all {
		switch {
		case i == leader:
			all[i].Name = roleLeader
			out = append(out, all[i])
		case i == standby:
			all[i].Name = roleStandby
			out = append(out, all[i])
		case other < 0 || all[i].CPU > all[other].CPU:
			other = i
		}
	}
	if other >= 0 {
		all[other].Name = roleOther
		out = append(out, all[other])
	}
	self := m.role(func(s sample) Usage { return s.site })
	self.Name = roleSite
	return append(out, self)
}

// role sums up one process. The lock is held.
func (m *meter) role(of func(sample) Usage) (r Role) {
	first, last := m.samples[0], m.samples[len(m.samples)-1]
	from, to := of(first), of(last)
	passed := last.at.Sub(first.at).Seconds()
	r.CPU = (to.CPU - from.CPU) / passed
	r.ReadBS = float64(to.Read-from.Read) / passed
	r.WrittenBS = float64(to.Written-from.Written) / passed
	for i, s := range m.samples {
		u := of(s)
		r.ResidentMB, r.Sockets = max(r.ResidentMB, u.Resident), max(r.Sockets, u.Sockets)
		if i > 0 {
			before := m.samples[i-1]
			r.CPUPeak = max(r.CPUPeak, (u.CPU-of(before).CPU)/s.at.Sub(before.at).Seconds())
		}
	}
	return r
}

// state sums up the state service.
func (m *meter) state() StateCost {
	m.mu.Lock()
	defer m.mu.Unlock()
	first, last := m.samples[0], m.samples[len(m.samples)-1]
	passed := last.at.Sub(first.at).Seconds()
	rate := func(from, to int64) float64 { return float64(to-from) / passed }
	a, b := first.state, last.state
	c := StateCost{Requests: map[string]float64{}, Changes: rate(a.Changes, b.Changes), Conflicts: rate(a.Conflicts, b.Conflicts),
		Refused: rate(a.Refused, b.Refused), Cloud: rate(a.Cloud, b.Cloud), Keys: b.Keys, KeyBytes: b.KeyBytes}
	for path, n := range b.Requests {
		c.Requests[path] = rate(a.Requests[path], n)
		c.All += c.Requests[path]
	}
	return c
}

// worst10 is over how many samples, one a second, a worker's greatest rate is taken.
const worst10 = 10

// workers sums up the workers that were up throughout.
func (m *meter) workers() WorkerCost {
	m.mu.Lock()
	defer m.mu.Unlock()
	first, last := m.samples[0], m.samples[len(m.samples)-1]
	passed := last.at.Sub(first.at).Seconds()
	c := WorkerCost{Reports: map[string]float64{}}
	var rates []float64
	both := func(t emulator.Traffic) float64 { return float64(t.Sent + t.Received) }
	for id, from := range first.workers {
		to, there := last.workers[id]
		if !there {
			continue
		}
		rates = append(rates, (both(to)-both(from))/passed)
		for cause, n := range to.Reports {
			c.Reports[cause] += float64(n-from.Reports[cause]) / passed
		}
		c.Commands += float64(to.Commands-from.Commands) / passed
		for i := worst10; i < len(m.samples); i++ {
			before, now := m.samples[i-worst10], m.samples[i]
			a, was := before.workers[id]
			if b, is := now.workers[id]; was && is {
				c.Most10S = max(c.Most10S, (both(b)-both(a))/now.at.Sub(before.at).Seconds())
			}
		}
	}
	if len(rates) == 0 {
		return c
	}
	slices.SortFunc(rates, cmp.Compare[float64])
	c.P50BS, c.P99BS = rates[len(rates)/2], rates[len(rates)*99/100]
	for cause := range c.Reports {
		c.Reports[cause] /= float64(len(rates))
	}
	c.Commands /= float64(len(rates))
	return c
}
