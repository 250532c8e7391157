package scaletest

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dalefront/internal/httpclient"
	"dalefront/wire"
)

// Classes of jobs that a run submits.
const (
	classResident = "resident" // long tasks of low priority that fill the workers
	classBatch    = "batch"    // tasks that come and go
	classUrgent   = "interactive"
	classGang     = "training"
	classWaiting  = "backlog" // never has room
)

const (
	answerLimit  = 5 * time.Second // for which users wait for an answer
	giveUpAfter  = time.Minute
	pollInterval = 5 * time.Second
	pollLimit    = 2 * time.Second // for which users wait for an answer to a poll
	mostOnTheWay = 4000            // submissions without an answer
	idleConns    = 256             // connections to the balancer that are kept unused
	submitters   = 8               // submissions at a time of the jobs that fill the site at first
)

// submission is a job that was or is to be submitted.
type submission struct {
	job     wire.Job
	begun   time.Time // of the first attempt
	started int       // tasks, each counted once
	seen    []bool
}

// generator submits jobs at planned times, whatever becomes of earlier ones, and takes when
// their tasks start.
type generator struct {
	spec   *Spec
	client *httpclient.Client
	prefix int64 // of the jobs' names: no two runs share one
	turns  chan struct{}

	mu       sync.Mutex
	jobs     map[string]*submission
	number   int
	team     int
	accepted int
	again    int
	gaveUp   int
	starts   int
	times    map[string]*hdrhistogram.Histogram // microseconds
	onStart  []func(at time.Time)               // called once each, at the next start
}

// Names of histograms.
const (
	timeLate     = "generator_late"  // from when a submission was planned until it was sent
	timeAccepted = "acceptance"      // from the first attempt to the answer
	timeUrgent   = "urgent_start"    // from the first attempt until a task starts, for each task
	timeUrgentOn = "urgent_whole"    // until the last task of the job has started
	timeGang     = "gang_whole"      // until the gang's last task has started
	timeBatch    = "ordinary_start"  // for each task
	timeTakeover = "takeover"        // from the kill until another one shows itself as leader
	timeResumed  = "takeover_starts" // from the kill until the next task starts
	timeInForce  = "config_in_force" // from the answer to an apply until all controllers follow
	timeApply    = "config_apply"    // from the request until it is answered
)

func newGenerator(spec *Spec, server string) *generator {
	return &generator{spec: spec, client: httpclient.New("http://"+server, 0, idleConns), prefix: time.Now().UnixMilli(), turns: make(chan struct{}, mostOnTheWay),
		jobs: map[string]*submission{}, times: map[string]*hdrhistogram.Histogram{}}
}

// record takes a time.
func (g *generator) record(name string, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordLocked(name, d)
}

func (g *generator) recordLocked(name string, d time.Duration) {
	h := g.times[name]
	if h == nil {
		h = hdrhistogram.New(1, 600_000_000, 3)
		g.times[name] = h
	}
	_ = h.RecordValue(max(1, d.Microseconds())) // below its bound: ten minutes
}

// forget drops what was counted so far, as that of the ramp.
func (g *generator) forget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.times)
	g.starts, g.accepted, g.again, g.gaveUp = 0, 0, 0, 0
}

// begins takes that a task starts; the site calls it.
func (g *generator) begins(j *wire.Job, task int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.starts++
	for _, f := range g.onStart {
		f(now)
	}
	g.onStart = nil
	s := g.jobs[j.ID]
	if s == nil || task >= len(s.seen) || s.seen[task] {
		return
	}
	s.seen[task] = true
	s.started++
	waited := now.Sub(s.begun)
	whole := s.started == j.Tasks
	switch j.Class {
	case classBatch:
		g.recordLocked(timeBatch, waited)
	case classUrgent:
		g.recordLocked(timeUrgent, waited)
		if whole {
			g.recordLocked(timeUrgentOn, waited)
		}
	case classGang:
		if whole {
			g.recordLocked(timeGang, waited)
		}
	}
}

// atNextStart calls f at the next start of a task.
func (g *generator) atNextStart(f func(time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onStart = append(g.onStart, f)
}

// newJob makes a job of a class, for the teams in turn.
func (g *generator) newJob(class, priority string, tasks int, runS float64) wire.Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.number++
	g.team = (g.team + 1) % g.spec.Counts.Teams
	return wire.Job{ID: fmt.Sprintf("j-%d%07d", g.prefix, g.number), Class: class, Team: teamName(g.team), Shape: wire.Array, Priority: priority,
		Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "image", ImageGB: 0.01, EstimateS: runS}
}

// submit submits a job as users do: again after a second or Retry-After, for a minute.
func (g *generator) submit(ctx context.Context, job wire.Job) {
	s := &submission{job: job, begun: time.Now(), seen: make([]bool, job.Tasks)}
	g.mu.Lock()
	g.jobs[job.ID] = s
	g.mu.Unlock()
	for ctx.Err() == nil {
		var status wire.JobStatus
		err := g.client.Call(ctx, answerLimit, http.MethodPost, wire.PathJobs, job, &status)
		if code := httpclient.Code(err); err == nil || code == http.StatusCreated {
			g.record(timeAccepted, time.Since(s.begun))
			g.mu.Lock()
			g.accepted++
			g.mu.Unlock()
			return
		} else if code == http.StatusBadRequest || code == http.StatusUnprocessableEntity || time.Since(s.begun) > giveUpAfter {
			g.mu.Lock()
			g.gaveUp++
			g.mu.Unlock()
			return
		}
		g.mu.Lock()
		g.again++
		g.mu.Unlock()
		pause(ctx, time.Second)
	}
}

// plan submits what next returns at each multiple of the interval, whether or not earlier
// submissions have been answered, until the context ends.
func (g *generator) plan(ctx context.Context, every time.Duration, next func() wire.Job) {
	begun := time.Now()
	for i := 0; ; i++ {
		due := begun.Add(time.Duration(i) * every)
		if !pause(ctx, time.Until(due)) {
			return
		}
		select {
		case g.turns <- struct{}{}:
		case <-ctx.Done():
			return
		}
		job := next()
		g.record(timeLate, time.Since(due))
		go func() {
			defer func() { <-g.turns }()
			g.submit(ctx, job)
		}()
	}
}

// arrayTasks bounds the tasks of an array.
const arrayTasks = 1000

// residents submits the long tasks that fill the workers, and the jobs that wait for ever.
func (g *generator) residents(ctx context.Context) {
	c := &g.spec.Counts
	var all sync.WaitGroup
	turn := make(chan struct{}, submitters)
	send := func(j wire.Job) {
		turn <- struct{}{}
		all.Go(func() {
			defer func() { <-turn }()
			g.submit(ctx, j)
		})
	}
	onAccel := g.acceleratorTasks()
	for left := onAccel; left > 0; left -= arrayTasks {
		j := g.resident(min(left, arrayTasks))
		j.Types, j.GPUs = []string{accelType}, g.spec.acceleratorShare()
		send(j)
	}
	for left := g.residentTasks() - onAccel; left > 0; left -= arrayTasks {
		j := g.resident(min(left, arrayTasks))
		j.Types = []string{plainType}
		send(j)
	}
	for range c.JobsWaiting {
		j := g.newJob(classWaiting, wire.Low, 1, 60)
		j.CPUs = g.spec.coresEach() // a whole machine: none is ever empty
		send(j)
	}
	all.Wait()
}

// residentS is how long resident tasks run: longer than any run.
const residentS = 1e6

// resident is an array of long tasks that save.
func (g *generator) resident(tasks int) wire.Job {
	due := 10 * residentS // work of low priority without a deadline is no reason to rent
	j := g.newJob(classResident, wire.Low, tasks, residentS)
	j.CheckpointIntervalS, j.CheckpointDurationS, j.DeadlineS = 30, 1, &due
	return j
}

// acceleratorTasks is how many of the tasks that run all the time use accelerators: they fill
// the workers that have any.
func (g *generator) acceleratorTasks() int {
	return min(g.residentTasks(), g.spec.Counts.Accelerators/acceleratorsEach*int(g.spec.coresEach()))
}

// residentTasks is how many tasks run all the time.
func (g *generator) residentTasks() int {
	c := &g.spec.Counts
	return c.TasksRunning - int(math.Ceil(c.StartsPerS*g.spec.TaskS))
}

// load submits until the context ends what comes and goes.
func (g *generator) load(ctx context.Context) {
	c := &g.spec.Counts
	var all sync.WaitGroup
	if c.StartsPerS > 0 {
		tasks := max(1, int(math.Round(c.StartsPerS*batchEvery.Seconds())))
		all.Go(func() {
			g.plan(ctx, batchEvery, func() wire.Job { return g.newJob(classBatch, wire.Normal, tasks, g.spec.TaskS) })
		})
	}
	if c.UrgentTasks > 0 {
		all.Go(func() {
			g.plan(ctx, seconds(c.UrgentEveryS), func() wire.Job { return g.newJob(classUrgent, wire.High, c.UrgentTasks, g.spec.TaskS) })
		})
	}
	if c.GangSize > 0 {
		all.Go(func() {
			g.plan(ctx, seconds(c.GangEveryS), func() wire.Job {
				j := g.newJob(classGang, wire.High, c.GangSize, g.spec.TaskS)
				j.Shape = wire.Gang
				return j
			})
		})
	}
	all.Go(func() { g.poll(ctx) })
	all.Wait()
}

// batchEvery is how often an array is submitted whose tasks make up the starts.
const batchEvery = time.Second

// poll asks for the state of the jobs that have not ended, as their users do.
func (g *generator) poll(ctx context.Context) {
	for pause(ctx, pollInterval) {
		g.mu.Lock()
		var ids []string
		for id, s := range g.jobs {
			if s.job.Class != classResident && s.job.Class != classWaiting {
				ids = append(ids, id)
			}
		}
		g.mu.Unlock()
		for _, id := range ids {
			var status wire.JobStatus
			err := g.client.Call(ctx, pollLimit, http.MethodGet, wire.PathJobs+"/"+id, nil, &status)
			if err == nil && wire.Final(status.Status) {
				g.mu.Lock()
				delete(g.jobs, id)
				g.mu.Unlock()
			}
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// pause waits, and says whether the context has not ended meanwhile.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
