package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dalefront/internal/config"
	"dalefront/internal/emulator"
	"dalefront/internal/sched"
	"dalefront/wire"
)

// Result is one run of a variant. Times are seconds.
type Result struct {
	Variant     string                  `json:"variant"`
	Seed        uint64                  `json:"seed"`
	Classes     map[string]*ClassResult `json:"classes"`
	Jobs        int                     `json:"jobs"`
	Unfinished  int                     `json:"unfinished"`
	WastedShare float64                 `json:"wasted_share"` // of the processor time that tasks had
	Evictions   int                     `json:"evictions"`
	Checkpoints int                     `json:"checkpoints"` // of these
	Launches    int                     `json:"launches,omitempty"`
	Price       float64                 `json:"price"`
	Samples     []Sample                `json:"samples"`
	Violations  []string                `json:"broken,omitempty"`
	Submit      *Submissions            `json:"submissions,omitempty"` // at a live site
}

// ClassResult is what the jobs of a class met.
type ClassResult struct {
	Waits     []float64 `json:"waits_s"`     // from submission to the first start
	Responses []float64 `json:"responses_s"` // and to the end
}

// Sample is a site at a moment.
type Sample struct {
	AtS       float64 `json:"at_s"`
	Used      float64 `json:"used_cpus"`
	Room      float64 `json:"room_cpus"`
	Evictions int     `json:"evictions"` // so far
	Price     float64 `json:"price"`     // so far
	Waiting   int     `json:"waiting"`   // tasks; at a live site jobs that have not started
}

const (
	tick          = config.Second / 5
	startTime     = 1000 * config.Second
	samplesPerRun = 200 // in the time that jobs arrive
	listInterval  = 2 * config.Second
)

type arrival struct {
	at    config.Micros
	class int
	job   wire.Job
	ended config.Micros
}

// arrivals draws the jobs of a run. They are the same for each variant.
func (e *Experiment) arrivals(seed uint64) []*arrival {
	var out []*arrival
	for i, c := range e.Classes {
		rnd := rand.New(rand.NewPCG(seed, uint64(i)+100))
		times := slices.Clone(c.At)
		if c.PerHour > 0 {
			for t := rnd.ExpFloat64() * 3600 / c.PerHour; t < e.DurationS; t += rnd.ExpFloat64() * 3600 / c.PerHour {
				times = append(times, t)
			}
		}
		for _, t := range times {
			// A mean of m with the logarithm's deviation s: its median is m e^(-s^2/2).
			run := c.RunS[0] * math.Exp(c.RunS[1]*rnd.NormFloat64()-c.RunS[1]*c.RunS[1]/2)
			j := wire.Job{Class: c.Name, Team: c.Team, Shape: c.Shape, Priority: c.Priority, Tasks: c.Tasks[0] + rnd.IntN(c.Tasks[1]-c.Tasks[0]+1),
				CPUs: c.CPUs, GPUs: c.GPUs, MemoryGB: c.MemoryGB, OneZone: c.OneZone, Image: c.Name, ImageGB: c.ImageGB, Spot: true,
				EstimateS: max(run, 0.2), CheckpointIntervalS: c.CheckpointEveryS, CheckpointDurationS: c.SaveS}
			if c.Images > 1 {
				j.Image = fmt.Sprintf("%s-%d", c.Name, rnd.IntN(c.Images))
			}
			if c.DueFactor > 0 {
				due := c.DueFactor * c.RunS[0]
				j.DeadlineS = &due
			}
			out = append(out, &arrival{at: startTime + config.Micro(t), class: i, job: j})
		}
	}
	slices.SortStableFunc(out, func(a, b *arrival) int { return int(a.at - b.at) })
	for i, a := range out {
		a.job.ID = fmt.Sprintf("j-%06d", i+1)
	}
	return out
}

// simulation is a variant being played.
type simulation struct {
	fleet *emulator.Fleet
	core  *sched.Core
	jobs  map[string]*arrival
	now   config.Micros
	hires int
	meter *coreMeter
}

// coreMeter measures what the scheduler's core costs; nil measures nothing.
type coreMeter struct {
	calls   [3]int
	total   [3]time.Duration
	longest [3]time.Duration // at one go
}

// What is measured.
const (
	phaseHeartbeat = iota // taking a report
	phaseSchedule         // placing what waits, and taking its commit
	phaseScaling          // which machines to give back and to rent, once a second
)

func (m *coreMeter) measure(what int, f func()) {
	if m == nil {
		f()
		return
	}
	from := time.Now()
	f()
	took := time.Since(from)
	m.total[what] += took
	m.longest[what] = max(m.longest[what], took)
	m.calls[what]++
}

// Run plays one variant with one seed.
func (e *Experiment) Run(v Variant, seed uint64) (*Result, error) { return e.runMetered(v, seed, nil) }

func (e *Experiment) runMetered(v Variant, seed uint64, m *coreMeter) (*Result, error) {
	set, err := e.settings(v)
	if err != nil {
		return nil, err
	}
	cat := e.Site.Catalog()
	machines := e.Machines
	if v.Machines > 0 {
		machines = v.Machines
	}
	x := &simulation{now: startTime, jobs: map[string]*arrival{}, meter: m}
	x.fleet = emulator.NewFleet(seed, set, cat, machines, emulator.SimulatedAddr)
	x.core = sched.New(set, 1, x.now, cat, func(string, ...any) {})
	res := &Result{Variant: v.Name, Seed: seed, Classes: map[string]*ClassResult{}}
	for _, c := range e.Classes {
		res.Classes[c.Name] = &ClassResult{Waits: []float64{}, Responses: []float64{}}
	}
	todo := e.arrivals(seed)
	all, faults := todo, slices.Clone(e.Faults)
	slices.SortFunc(faults, func(a, b Fault) int { return int(a.AtS - b.AtS) })
	left := len(todo)
	every := max(tick, config.Micro(e.DurationS/samplesPerRun))
	for end := startTime + config.Micro(e.DurationS+e.DrainS); x.now < end && left > 0; x.now += tick {
		for len(todo) > 0 && todo[0].at <= x.now {
			a := todo[0]
			todo = todo[1:]
			x.jobs[a.job.ID] = a
			x.fleet.Upload(a.job)
			x.core.AddJob(a.job, a.at, x.now)
		}
		for len(faults) > 0 && startTime+config.Micro(faults[0].AtS) <= x.now {
			for range faults[0].Count {
				_, _ = x.fleet.Fault(faults[0].Kind, faults[0].Name, seconds(faults[0].ForS)) // nothing runs: nothing to break
			}
			faults = faults[1:]
		}
		left -= x.step()
		if (x.now-startTime)%every < tick {
			s := x.fleet.Summary()
			_, waiting := x.core.Waiting()
			res.Samples = append(res.Samples, Sample{float64(x.now-startTime) / 1e6, s.Used, s.Room, x.core.Stats.Preemptions, s.Price, waiting})
		}
	}
	for _, a := range all {
		c := res.Classes[a.job.Class]
		if first := x.fleet.First(a.job.ID); first > 0 {
			c.Waits = append(c.Waits, float64(first-a.at)/1e6)
		}
		if a.ended > 0 {
			c.Responses = append(c.Responses, float64(a.ended-a.at)/1e6)
		}
	}
	sum := x.fleet.Summary()
	if sum.Ran > 0 {
		res.WastedShare = max(0, 1-sum.Useful/sum.Ran)
	}
	res.Jobs, res.Unfinished = len(all), left
	res.Launches = x.core.Stats.Launches
	res.Evictions, res.Checkpoints = x.core.Stats.Preemptions, x.core.Stats.Checkpoints
	res.Price, res.Violations = sum.Price, x.fleet.Broken()
	return res, nil
}

// step plays a step of all parts and returns how many jobs have ended in it.
func (x *simulation) step() (ended int) {
	x.fleet.Step(x.now)
	m := x.meter
	x.fleet.Exchange(func(r *wire.Heartbeat) (a wire.HeartbeatResponse, ok bool) {
		m.measure(phaseHeartbeat, func() { a = x.core.Heartbeat(r, x.now) })
		return a, true
	})
	m.measure(phaseSchedule, func() {
		if cm := x.core.Schedule(x.now); cm != nil {
			x.core.CommitStored(cm, x.now)
		}
	})
	for _, d := range x.core.TakeDirectCommands() {
		x.fleet.Command(d.Addr, &d.Batch)
	}
	for _, c := range x.core.ProgressToStore(1 << 20) {
		x.core.ProgressStored(c)
	}
	for _, id := range x.core.TakeEnds() {
		x.jobs[id].ended = x.now
		x.fleet.Told(wire.JobStatus{ID: id, Status: wire.JobDone})
		x.core.JobEnded(id, wire.JobDone, x.now)
		ended++
	}
	x.core.TakeForgotten()
	if x.now%config.Second >= tick {
		return ended
	}
	x.core.DetectFailures(x.now, nil)
	var back []string
	var hires []wire.ScaleOutRequest
	x.meter.measure(phaseScaling, func() {
		if back = x.core.ScaleIn(x.now, x.core.Blind(x.now)); len(back) > 0 {
			x.fleet.Return(back)
			x.core.MachinesReturned(back, x.now)
		}
		hires = x.core.ScaleOut(x.now)
	})
	for _, h := range hires {
		x.hires++
		h.RequestID = fmt.Sprint("r-", x.hires) // never used again: a repeated one rents nothing
		if hosts := x.fleet.Rent(h); len(hosts) > 0 {
			x.core.ScaledOut(h, hosts, x.now)
		} else {
			x.core.ScaleOutFailed(h, true, x.now)
		}
	}
	if x.now%listInterval < tick {
		x.core.MachinesListed(x.fleet.List(), x.now)
	}
	return ended
}
