package scaletest

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"dalefront/internal/emulator"
)

// Role is the resource usage of one process in the steady part.
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

// Names of roles.
const (
	roleLeader  = "leader"
	roleStandby = "warm standby"
	roleOther   = "other controller" // the one that used the most processor time
	roleSite    = "stand-ins, workers and generator (one process)"
)

// StateCost is the load on the state service per second, and its size at the end.
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

// WorkerCost is the traffic of the workers that were up throughout.
type WorkerCost struct {
	P50BS     float64            `json:"p50_bytes_per_s"` // both ways, over the steady part
	P99BS     float64            `json:"p99_bytes_per_s"`
	Peak10S   float64            `json:"most_bytes_per_s_over_10_s"`
	Reports   map[string]float64 `json:"reports_per_s"` // of one worker, by cause
	Commands  float64            `json:"commands_per_s"`
	CodecCore float64            `json:"codec_cores"` // to encode its reports and decode the answers
}

// heartbeatsPerS returns the heartbeats of one worker, whatever their cause.
func (c WorkerCost) heartbeatsPerS() float64 {
	total := 0.0
	for _, perS := range c.Reports {
		total += perS
	}
	return total
}

// sample holds all figures that are read at one time.
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

// record takes a sample. The figures of a process that doesn't exist are zero.
func (m *meter) record() sample {
	reading := sample{at: time.Now(), state: m.site.Services.Load(), workers: m.site.Fleet.Traffic()}
	reading.site, _ = usage(m.self)
	totalMB := reading.site.Resident
	for i := range m.site.Controllers() {
		process, _ := usage(m.site.Process(i))
		reading.controllers = append(reading.controllers, process)
		totalMB += process.Resident
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.samples = append(m.samples, reading)
	m.peakMB = max(m.peakMB, totalMB)
	return reading
}

// reset drops the samples so far.
func (m *meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.samples = nil
}

// roles returns the usage by role over the samples.
func (m *meter) roles(leader, standby int) []Role {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.samples) < 2 {
		return nil
	}
	controllers := make([]Role, m.site.Controllers())
	for i := range controllers {
		controllers[i] = m.roleCost(func(s sample) Usage { return s.controllers[i] })
		if shown, err := m.site.Metrics(i); err == nil {
			controllers[i].Goroutines = int(shown["dalefront_goroutines"])
		}
	}
	roles := []Role{}
	other := -1
	for i := range controllers {
		switch {
		case i == leader:
			controllers[i].Name = roleLeader
			roles = append(roles, controllers[i])
		case i == standby:
			controllers[i].Name = roleStandby
			roles = append(roles, controllers[i])
		case other < 0 || controllers[i].CPU > controllers[other].CPU:
			other = i
		}
	}
	if other >= 0 {
		controllers[other].Name = roleOther
		roles = append(roles, controllers[other])
	}
	self := m.roleCost(func(s sample) Usage { return s.site })
	self.Name = roleSite
	return append(roles, self)
}

// roleCost returns the usage of one process over the samples. The lock must be held.
func (m *meter) roleCost(usageOf func(sample) Usage) (role Role) {
	first, last := m.samples[0], m.samples[len(m.samples)-1]
	start, end := usageOf(first), usageOf(last)
	elapsedS := last.at.Sub(first.at).Seconds()
	role.CPU = (end.CPU - start.CPU) / elapsedS
	role.ReadBS = float64(end.Read-start.Read) / elapsedS
	role.WrittenBS = float64(end.Written-start.Written) / elapsedS
	for i, s := range m.samples {
		used := usageOf(s)
		role.ResidentMB, role.Sockets = max(role.ResidentMB, used.Resident), max(role.Sockets, used.Sockets)
		if i > 0 {
			before := m.samples[i-1]
			role.CPUPeak = max(role.CPUPeak, (used.CPU-usageOf(before).CPU)/s.at.Sub(before.at).Seconds())
		}
	}
	return role
}

// state returns the load on the state service over the samples.
func (m *meter) state() StateCost {
	m.mu.Lock()
	defer m.mu.Unlock()
	first, last := m.samples[0], m.samples[len(m.samples)-1]
	elapsedS := last.at.Sub(first.at).Seconds()
	rate := func(from, to int64) float64 { return float64(to-from) / elapsedS }
	before, after := first.state, last.state
	cost := StateCost{Requests: map[string]float64{}, Changes: rate(before.Changes, after.Changes), Conflicts: rate(before.Conflicts, after.Conflicts),
		Refused: rate(before.Refused, after.Refused), Cloud: rate(before.Cloud, after.Cloud), Keys: after.Keys, KeyBytes: after.KeyBytes}
	for path, count := range after.Requests {
		cost.Requests[path] = rate(before.Requests[path], count)
		cost.All += cost.Requests[path]
	}
	return cost
}

// peakWindowSamples is the number of samples, one a second, over which a worker's peak is taken.
const peakWindowSamples = 10

// workers returns the traffic of the workers that were up throughout.
func (m *meter) workers() WorkerCost {
	m.mu.Lock()
	defer m.mu.Unlock()
	first, last := m.samples[0], m.samples[len(m.samples)-1]
	elapsedS := last.at.Sub(first.at).Seconds()
	cost := WorkerCost{Reports: map[string]float64{}}
	var rates []float64
	bytesOf := func(t emulator.Traffic) float64 { return float64(t.Sent + t.Received) }
	for id, start := range first.workers {
		end, present := last.workers[id]
		if !present {
			continue
		}
		rates = append(rates, (bytesOf(end)-bytesOf(start))/elapsedS)
		for cause, count := range end.Reports {
			cost.Reports[cause] += float64(count-start.Reports[cause]) / elapsedS
		}
		cost.Commands += float64(end.Commands-start.Commands) / elapsedS
		for i := peakWindowSamples; i < len(m.samples); i++ {
			before, now := m.samples[i-peakWindowSamples], m.samples[i]
			a, was := before.workers[id]
			if b, is := now.workers[id]; was && is {
				cost.Peak10S = max(cost.Peak10S, (bytesOf(b)-bytesOf(a))/now.at.Sub(before.at).Seconds())
			}
		}
	}
	if len(rates) == 0 {
		return cost
	}
	slices.SortFunc(rates, cmp.Compare[float64])
	cost.P50BS, cost.P99BS = rates[len(rates)/2], rates[len(rates)*99/100]
	for cause := range cost.Reports {
		cost.Reports[cause] /= float64(len(rates))
	}
	cost.Commands /= float64(len(rates))
	return cost
}
