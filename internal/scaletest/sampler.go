package scaletest

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"dalefront/internal/emulator"
)

// RoleUsage is the resource usage of one process in the steady part of a run.
type RoleUsage struct {
	Name             string  `json:"role"`
	Cores            float64 `json:"cores"`
	PeakCores        float64 `json:"cores_peak"`  // highest average between two samples, about a second apart
	ResidentMB       float64 `json:"resident_mb"` // maximum over the samples
	ReadBytesPerS    float64 `json:"read_bytes_per_s"`
	WrittenBytesPerS float64 `json:"written_bytes_per_s"`
	Sockets          int     `json:"sockets"`    // maximum over the samples
	Goroutines       int     `json:"goroutines"` // at the end
}

// Names of the roles.
const (
	roleLeader   = "leader"
	roleStandby  = "warm standby"
	roleOther    = "other controller" // of the remaining controllers, the controller with the highest CPU usage
	roleEmulator = "stand-ins, workers and generator (one process)"
)

// StateServiceLoad holds the rates per second of requests to the state service and the cloud in the steady
// part, and the size of the stored data at the end of that part.
type StateServiceLoad struct {
	Requests      map[string]float64 `json:"requests_per_s"` // by first path element
	TotalRequests float64            `json:"all_requests_per_s"`
	Changes       float64            `json:"changes_per_s"`   // mutations in evaluated transactions
	Conflicts     float64            `json:"conflicts_per_s"` // transactions whose conditions did not hold
	Refused       float64            `json:"refused_per_s"`   // requests with status 429
	CloudRequests float64            `json:"cloud_requests_per_s"`
	Keys          int                `json:"keys"`
	KeyBytes      int                `json:"key_bytes"` // total size of the keys' names and values
}

// WorkerTraffic is the traffic of the workers that were up during the whole steady part.
type WorkerTraffic struct {
	P50BytesPerS  float64            `json:"p50_bytes_per_s"` // sent and received, averaged over the steady part
	P99BytesPerS  float64            `json:"p99_bytes_per_s"`
	PeakBytesPerS float64            `json:"most_bytes_per_s_over_10_s"` // maximum over all workers and all windows of 10 s
	Heartbeats    map[string]float64 `json:"reports_per_s"`              // mean per worker, by cause of the heartbeat
	Commands      float64            `json:"commands_per_s"`             // mean per worker
	CodecCores    float64            `json:"codec_cores"`                // to encode one worker's heartbeats and decode the responses
}

// heartbeatsPerS returns the mean number of heartbeats per second of a worker, over all causes.
func (c WorkerTraffic) heartbeatsPerS() float64 {
	total := 0.0
	for _, perS := range c.Heartbeats {
		total += perS
	}
	return total
}

// sample holds the measurements that are taken at one time.
type sample struct {
	at           time.Time
	controllers  []ProcessStats
	self         ProcessStats // statistics of this process
	stateService emulator.StateLoad
	workers      map[string]emulator.Traffic // by machine ID
}

// sampler samples the resource usage and traffic of a site.
type sampler struct {
	site    *emulator.Site
	selfPID int // ID of this process, which runs the emulated workers, services and the generator

	mu      sync.Mutex
	samples []sample
	peakMB  float64 // highest total of the resident memory of all processes
}

// takeSample takes a sample. The stats of a process that doesn't exist are zero.
func (s *sampler) takeSample() sample {
	taken := sample{at: time.Now(), stateService: s.site.Services.Load(), workers: s.site.Fleet.Traffic()}
	taken.self, _ = readProcessStats(s.selfPID)
	totalMB := taken.self.ResidentMB
	for i := range s.site.NumControllers() {
		process, _ := readProcessStats(s.site.PID(i))
		taken.controllers = append(taken.controllers, process)
		totalMB += process.ResidentMB
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, taken)
	s.peakMB = max(s.peakMB, totalMB)
	return taken
}

// reset discards all samples.
func (s *sampler) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = nil
}

// roleUsages returns the usage by role over the samples, given the indexes of the leader and the warm
// standby.
func (s *sampler) roleUsages(leader, standby int) []RoleUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) < 2 {
		return nil
	}
	controllers := make([]RoleUsage, s.site.NumControllers())
	for i := range controllers {
		controllers[i] = s.processUsage(func(x sample) ProcessStats { return x.controllers[i] })
		if metrics, err := s.site.Metrics(i); err == nil {
			controllers[i].Goroutines = int(metrics["dalefront_goroutines"])
		}
	}
	roles := []RoleUsage{}
	other := -1
	for i := range controllers {
		switch {
		case i == leader:
			controllers[i].Name = roleLeader
			roles = append(roles, controllers[i])
		case i == standby:
			controllers[i].Name = roleStandby
			roles = append(roles, controllers[i])
		case other < 0 || controllers[i].Cores > controllers[other].Cores:
			other = i
		}
	}
	if other >= 0 {
		controllers[other].Name = roleOther
		roles = append(roles, controllers[other])
	}
	self := s.processUsage(func(x sample) ProcessStats { return x.self })
	self.Name = roleEmulator
	return append(roles, self)
}

// processUsage returns the usage of one process over the samples. The caller must hold the lock.
func (s *sampler) processUsage(statsOf func(sample) ProcessStats) (usage RoleUsage) {
	first, last := s.samples[0], s.samples[len(s.samples)-1]
	start, end := statsOf(first), statsOf(last)
	elapsedS := last.at.Sub(first.at).Seconds()
	usage.Cores = (end.CPUSeconds - start.CPUSeconds) / elapsedS
	usage.ReadBytesPerS = float64(end.ReadBytes-start.ReadBytes) / elapsedS
	usage.WrittenBytesPerS = float64(end.WrittenBytes-start.WrittenBytes) / elapsedS
	for i, current := range s.samples {
		stats := statsOf(current)
		usage.ResidentMB, usage.Sockets = max(usage.ResidentMB, stats.ResidentMB), max(usage.Sockets, stats.Sockets)
		if i > 0 {
			previous := s.samples[i-1]
			usage.PeakCores = max(usage.PeakCores, (stats.CPUSeconds-statsOf(previous).CPUSeconds)/current.at.Sub(previous.at).Seconds())
		}
	}
	return usage
}

// stateServiceLoad returns the load on the state service over the samples.
func (s *sampler) stateServiceLoad() StateServiceLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, last := s.samples[0], s.samples[len(s.samples)-1]
	elapsedS := last.at.Sub(first.at).Seconds()
	rate := func(from, to int64) float64 { return float64(to-from) / elapsedS }
	before, after := first.stateService, last.stateService
	load := StateServiceLoad{Requests: map[string]float64{}, Changes: rate(before.Changes, after.Changes), Conflicts: rate(before.Conflicts, after.Conflicts),
		Refused: rate(before.Refused, after.Refused), CloudRequests: rate(before.Cloud, after.Cloud), Keys: after.Keys, KeyBytes: after.KeyBytes}
	for path, count := range after.Requests {
		load.Requests[path] = rate(before.Requests[path], count)
		load.TotalRequests += load.Requests[path]
	}
	return load
}

// peakWindowSamples is the number of samples, one per second, in the window of WorkerTraffic.PeakBytesPerS.
const peakWindowSamples = 10

// workerTraffic returns the traffic of the workers that were up from the first to the last sample.
func (s *sampler) workerTraffic() WorkerTraffic {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, last := s.samples[0], s.samples[len(s.samples)-1]
	elapsedS := last.at.Sub(first.at).Seconds()
	traffic := WorkerTraffic{Heartbeats: map[string]float64{}}
	var rates []float64
	bytesOf := func(t emulator.Traffic) float64 { return float64(t.Sent + t.Received) }
	for id, start := range first.workers {
		end, present := last.workers[id]
		if !present {
			continue
		}
		rates = append(rates, (bytesOf(end)-bytesOf(start))/elapsedS)
		for cause, count := range end.Heartbeats {
			traffic.Heartbeats[cause] += float64(count-start.Heartbeats[cause]) / elapsedS
		}
		traffic.Commands += float64(end.Commands-start.Commands) / elapsedS
		for i := peakWindowSamples; i < len(s.samples); i++ {
			windowStart, windowEnd := s.samples[i-peakWindowSamples], s.samples[i]
			startTraffic, inStart := windowStart.workers[id]
			if endTraffic, inEnd := windowEnd.workers[id]; inStart && inEnd {
				traffic.PeakBytesPerS = max(traffic.PeakBytesPerS, (bytesOf(endTraffic)-bytesOf(startTraffic))/windowEnd.at.Sub(windowStart.at).Seconds())
			}
		}
	}
	if len(rates) == 0 {
		return traffic
	}
	slices.SortFunc(rates, cmp.Compare[float64])
	traffic.P50BytesPerS, traffic.P99BytesPerS = rates[len(rates)/2], rates[len(rates)*99/100]
	for cause := range traffic.Heartbeats {
		traffic.Heartbeats[cause] /= float64(len(rates))
	}
	traffic.Commands /= float64(len(rates))
	return traffic
}
