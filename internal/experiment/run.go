package experiment

import (
	"fmt"
	"slices"

	"dalefront/internal/config"
	"dalefront/internal/emulator"
	"dalefront/internal/sched"
	"dalefront/wire"
)

const (
	tick              = config.Second / 5 // step of simulated time
	listInterval      = 2 * config.Second // between two reads of the cloud's list of machines
	progressBatch     = 1 << 20           // maximum number of chunks of progress stored at a time
	firstFencingToken = 1
)

// simulation is one run of a variant in simulated time.
type simulation struct {
	fleet            *emulator.Fleet
	core             *sched.Core
	meter            *coreMeter
	now              config.Micros
	scaleOutRequests int // number of requests sent so far

	jobs       map[string]*arrival // submitted jobs by ID
	pending    []*arrival          // jobs to be submitted, ordered by time
	faults     []Fault             // faults to be injected, ordered by time
	unfinished int                 // number of jobs that have not ended, submitted or not
}

// RunVariant runs one variant with one seed in simulated time.
func (e *Experiment) RunVariant(variant Variant, seed uint64) (*Result, error) {
	return e.runMetered(variant, seed, nil)
}

// runMetered runs one variant with one seed in simulated time and measures the core's work with the meter.
func (e *Experiment) runMetered(variant Variant, seed uint64, meter *coreMeter) (*Result, error) {
	arrivals := e.arrivals(seed)
	run, err := e.newSimulation(variant, seed, arrivals)
	if err != nil {
		return nil, err
	}
	run.meter = meter
	result := e.newResult(variant.Name, seed)
	sampleInterval := max(tick, config.Micro(e.DurationS/samplesPerRun))
	end := startTime + config.Micro(e.DurationS+e.DrainS)
	for ; run.now < end && run.unfinished > 0; run.now += tick {
		run.submitDueJobs()
		run.injectDueFaults()
		run.step()
		if (run.now-startTime)%sampleInterval < tick {
			result.Samples = append(result.Samples, run.sample())
		}
	}
	run.summarize(result, arrivals)
	return result, nil
}

// newSimulation returns a simulation at startTime, before any job is submitted.
func (e *Experiment) newSimulation(variant Variant, seed uint64, arrivals []*arrival) (*simulation, error) {
	settings, err := e.settings(variant)
	if err != nil {
		return nil, err
	}
	catalog := e.Site.Catalog()
	machines := e.Machines
	if variant.Machines > 0 {
		machines = variant.Machines
	}
	faults := slices.Clone(e.Faults)
	slices.SortFunc(faults, func(a, b Fault) int { return int(a.AtS - b.AtS) })
	return &simulation{
		fleet:      emulator.NewFleet(seed, settings, catalog, machines, emulator.SimulatedAddr),
		core:       sched.New(settings, firstFencingToken, startTime, catalog, func(string, ...any) {}),
		now:        startTime,
		jobs:       map[string]*arrival{},
		pending:    arrivals,
		faults:     faults,
		unfinished: len(arrivals),
	}, nil
}

// submitDueJobs submits the jobs whose submission time has come.
func (s *simulation) submitDueJobs() {
	for len(s.pending) > 0 && s.pending[0].submitAt <= s.now {
		next := s.pending[0]
		s.pending = s.pending[1:]
		s.jobs[next.job.ID] = next
		s.fleet.Upload(next.job)
		s.core.AddJob(next.job, next.submitAt, s.now)
	}
}

// injectDueFaults injects the faults whose time has come.
func (s *simulation) injectDueFaults() {
	for len(s.faults) > 0 && startTime+config.Micro(s.faults[0].AtS) <= s.now {
		fault := s.faults[0]
		s.faults = s.faults[1:]
		for range fault.Count {
			_, _ = s.fleet.InjectFault(fault.Kind, fault.Name, seconds(fault.DurationS)) // fails only if there is no target
		}
	}
}

// step runs one tick of the fleet and of the scheduler's core.
func (s *simulation) step() {
	s.fleet.Step(s.now)
	s.fleet.Exchange(func(heartbeat *wire.Heartbeat) (response wire.HeartbeatResponse, ok bool) {
		s.meter.measure(phaseHeartbeat, func() { response = s.core.Heartbeat(heartbeat, s.now) })
		return response, true
	})
	s.meter.measure(phaseSchedule, func() {
		if commit := s.core.Schedule(s.now); commit != nil {
			s.core.CommitStored(commit, s.now)
		}
	})
	for _, command := range s.core.TakeDirectCommands() {
		s.fleet.Command(command.Addr, &command.Batch)
	}
	for _, progress := range s.core.ProgressToStore(progressBatch) {
		s.core.ProgressStored(progress)
	}
	s.endJobs()
	if s.now%config.Second < tick {
		s.core.DetectFailures(s.now, nil)
		s.scale()
	}
}

// endJobs takes the completed jobs from the core and confirms to the core that they have ended.
func (s *simulation) endJobs() {
	for _, id := range s.core.TakeCompletedJobs() {
		s.jobs[id].endedAt = s.now
		s.fleet.ObserveStatus(wire.JobStatus{ID: id, Status: wire.JobDone})
		s.core.JobEnded(id, wire.JobDone, s.now)
		s.unfinished--
	}
	s.core.TakePurgeable()
}

// scale returns and rents machines as the core decides, and passes the cloud's list of machines to the core.
func (s *simulation) scale() {
	var requests []wire.ScaleOutRequest
	s.meter.measure(phaseScaling, func() {
		if returned := s.core.ScaleIn(s.now, s.core.IsObserverIsolated(s.now)); len(returned) > 0 {
			s.fleet.Return(returned)
			s.core.MachinesReturned(returned, s.now)
		}
		requests = s.core.ScaleOut(s.now)
	})
	for _, request := range requests {
		s.scaleOutRequests++
		request.RequestID = fmt.Sprint("r-", s.scaleOutRequests) // unique, because the fleet ignores a repeated ID
		if hosts := s.fleet.Rent(request); len(hosts) > 0 {
			s.core.ScaledOut(request, hosts, s.now)
		} else {
			s.core.ScaleOutFailed(request, true, s.now)
		}
	}
	if s.now%listInterval < tick {
		s.core.MachinesListed(s.fleet.List(), s.now)
	}
}

// sample returns a sample of the site's current state.
func (s *simulation) sample() Sample {
	summary := s.fleet.Summary()
	_, waiting := s.core.Waiting()
	return Sample{
		AtS:       float64(s.now-startTime) / microsPerSecond,
		UsedCPUs:  summary.Used,
		TotalCPUs: summary.Room,
		Evictions: s.core.Stats.Preemptions,
		Price:     summary.Price,
		Waiting:   waiting,
	}
}

// summarize fills in the result at the end of the run.
func (s *simulation) summarize(result *Result, arrivals []*arrival) {
	for _, submitted := range arrivals {
		class := result.Classes[submitted.job.Class]
		if started := s.fleet.FirstStart(submitted.job.ID); started > 0 {
			class.Waits = append(class.Waits, float64(started-submitted.submitAt)/microsPerSecond)
		}
		if submitted.endedAt > 0 {
			class.Responses = append(class.Responses, float64(submitted.endedAt-submitted.submitAt)/microsPerSecond)
		}
	}
	summary := s.fleet.Summary()
	if summary.Ran > 0 {
		result.WastedShare = max(0, 1-summary.Useful/summary.Ran)
	}
	result.Jobs = len(arrivals)
	result.Unfinished = s.unfinished
	result.Launches = s.core.Stats.Launches
	result.Evictions = s.core.Stats.Preemptions
	result.Checkpoints = s.core.Stats.Checkpoints
	result.Price = summary.Price
	result.Violations = s.fleet.Violations()
}
