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
	requestTimeout    = 5 * time.Second // for which users wait for an answer
	submissionTimeout = time.Minute
	pollInterval      = 5 * time.Second
	pollTimeout       = 2 * time.Second // for which users wait for an answer to a poll
	maxInFlight       = 4000            // submissions without an answer
	maxIdleConns      = 256             // connections to the balancer that are kept unused
	submitters        = 8               // submissions at a time of the jobs that fill the site at first
)

// submission is a submitted job and the state of its tasks.
type submission struct {
	job          wire.Job
	firstAttempt time.Time // of the first attempt
	started      int       // tasks, each counted once
	startedTasks []bool
}

// generator is an open-loop load generator: it submits jobs at planned times, whatever becomes
// of earlier ones, and measures when their tasks start.
type generator struct {
	spec   *Spec
	client *httpclient.Client
	prefix int64 // of the jobs' IDs, unique to the run
	slots  chan struct{}

	mu       sync.Mutex
	jobs     map[string]*submission
	number   int
	team     int
	accepted int
	retries  int
	givenUp  int
	starts   int
	times    map[string]*hdrhistogram.Histogram // microseconds
	onStart  []func(at time.Time)               // called once each, at the next start
}

// Names of histograms.
const (
	latencyGeneratorLag     = "generator_late"  // from when a submission was planned until it was sent
	latencyAcceptance       = "acceptance"      // from the first attempt to the answer
	latencyUrgentStart      = "urgent_start"    // from the first attempt until a task starts, for each task
	latencyUrgentAllStarted = "urgent_whole"    // until the last task of the job has started
	latencyGangAllStarted   = "gang_whole"      // until the gang's last task has started
	latencyBatchStart       = "ordinary_start"  // for each task
	latencyTakeover         = "takeover"        // from the kill until another one shows itself as leader
	latencyTakeoverStart    = "takeover_starts" // from the kill until the next task starts
	latencyConfigInForce    = "config_in_force" // from the answer to an apply until all controllers follow
	latencyConfigApply      = "config_apply"    // from the request until it is answered
)

// The latencies that a histogram can hold.
const (
	maxLatencyMicros = 600_000_000
	latencyDigits    = 3 // significant ones
)

func newGenerator(spec *Spec, server string) *generator {
	return &generator{spec: spec, client: httpclient.New("http://"+server, 0, maxIdleConns), prefix: time.Now().UnixMilli(), slots: make(chan struct{}, maxInFlight),
		jobs: map[string]*submission{}, times: map[string]*hdrhistogram.Histogram{}}
}

// record adds a latency to the histogram of that name.
func (g *generator) record(name string, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordLocked(name, d)
}

// recordLocked is record for callers that hold the lock.
func (g *generator) recordLocked(name string, d time.Duration) {
	histogram := g.times[name]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
		g.times[name] = histogram
	}
	_ = histogram.RecordValue(max(1, d.Microseconds())) // below its bound: ten minutes
}

// reset drops all counts and latencies so far, such as those of the ramp.
func (g *generator) reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.times)
	g.starts, g.accepted, g.retries, g.givenUp = 0, 0, 0, 0
}

// taskStarted records that a task has started. The emulated workers call it.
func (g *generator) taskStarted(job *wire.Job, task int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.starts++
	for _, f := range g.onStart {
		f(now)
	}
	g.onStart = nil
	tracked := g.jobs[job.ID]
	if tracked == nil || task >= len(tracked.startedTasks) || tracked.startedTasks[task] {
		return
	}
	tracked.startedTasks[task] = true
	tracked.started++
	waited := now.Sub(tracked.firstAttempt)
	whole := tracked.started == job.Tasks
	switch job.Class {
	case classBatch:
		g.recordLocked(latencyBatchStart, waited)
	case classUrgent:
		g.recordLocked(latencyUrgentStart, waited)
		if whole {
			g.recordLocked(latencyUrgentAllStarted, waited)
		}
	case classGang:
		if whole {
			g.recordLocked(latencyGangAllStarted, waited)
		}
	}
}

// startCount returns the number of tasks that have started since the last reset.
func (g *generator) startCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.starts
}

// atNextStart calls f at the next start of a task.
func (g *generator) atNextStart(f func(time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onStart = append(g.onStart, f)
}

// newJob returns a job of a class with a new ID, for one team after the other.
func (g *generator) newJob(class, priority string, tasks int, runS float64) wire.Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.number++
	g.team = (g.team + 1) % g.spec.Counts.Teams
	return wire.Job{ID: fmt.Sprintf("j-%d%07d", g.prefix, g.number), Class: class, Team: teamName(g.team), Shape: wire.Array, Priority: priority,
		Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "image", ImageGB: 0.01, EstimateS: runS}
}

// submit submits a job as users do: it tries again each second until submissionTimeout.
func (g *generator) submit(ctx context.Context, job wire.Job) {
	tracked := &submission{job: job, firstAttempt: time.Now(), startedTasks: make([]bool, job.Tasks)}
	g.mu.Lock()
	g.jobs[job.ID] = tracked
	g.mu.Unlock()
	for ctx.Err() == nil {
		var status wire.JobStatus
		err := g.client.Call(ctx, requestTimeout, http.MethodPost, wire.PathJobs, job, &status)
		if code := httpclient.Code(err); err == nil || code == http.StatusCreated {
			g.record(latencyAcceptance, time.Since(tracked.firstAttempt))
			g.mu.Lock()
			g.accepted++
			g.mu.Unlock()
			return
		} else if code == http.StatusBadRequest || code == http.StatusUnprocessableEntity || time.Since(tracked.firstAttempt) > submissionTimeout {
			g.mu.Lock()
			g.givenUp++
			g.mu.Unlock()
			return
		}
		g.mu.Lock()
		g.retries++
		g.mu.Unlock()
		sleep(ctx, time.Second)
	}
}

// submitPeriodically submits the job that next returns at each multiple of the interval until the
// context ends, whether or not earlier submissions have been answered.
func (g *generator) submitPeriodically(ctx context.Context, interval time.Duration, next func() wire.Job) {
	start := time.Now()
	for i := 0; ; i++ {
		due := start.Add(time.Duration(i) * interval)
		if !sleep(ctx, time.Until(due)) {
			return
		}
		select {
		case g.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		job := next()
		g.record(latencyGeneratorLag, time.Since(due))
		go func() {
			defer func() { <-g.slots }()
			g.submit(ctx, job)
		}()
	}
}

// maxArrayTasks bounds the tasks of an array.
const maxArrayTasks = 1000

// submitResidents submits the long tasks that fill the workers, and the jobs that wait for ever.
func (g *generator) submitResidents(ctx context.Context) {
	counts := &g.spec.Counts
	var submissions sync.WaitGroup
	slots := make(chan struct{}, submitters)
	submit := func(job wire.Job) {
		slots <- struct{}{}
		submissions.Go(func() {
			defer func() { <-slots }()
			g.submit(ctx, job)
		})
	}
	acceleratorTasks := g.acceleratorTasks()
	for left := acceleratorTasks; left > 0; left -= maxArrayTasks {
		job := g.resident(min(left, maxArrayTasks))
		job.Types, job.GPUs = []string{accelType}, g.spec.acceleratorsPerTask()
		submit(job)
	}
	for left := g.residentTasks() - acceleratorTasks; left > 0; left -= maxArrayTasks {
		job := g.resident(min(left, maxArrayTasks))
		job.Types = []string{plainType}
		submit(job)
	}
	for range counts.JobsWaiting {
		job := g.newJob(classWaiting, wire.Low, 1, 60)
		job.CPUs = g.spec.coresPerWorker() // a whole machine: none is ever empty
		submit(job)
	}
	submissions.Wait()
}

// residentRunS is how long resident tasks run: longer than any run.
const residentRunS = 1e6

// resident returns an array of long tasks that write checkpoints.
func (g *generator) resident(tasks int) wire.Job {
	deadlineS := 10 * residentRunS // work of low priority without a deadline is no reason to rent
	job := g.newJob(classResident, wire.Low, tasks, residentRunS)
	job.CheckpointIntervalS, job.CheckpointDurationS, job.DeadlineS = 30, 1, &deadlineS
	return job
}

// acceleratorTasks returns how many of the resident tasks use accelerators: as many as fill the
// workers that have any.
func (g *generator) acceleratorTasks() int {
	return min(g.residentTasks(), g.spec.Counts.Accelerators/acceleratorsPerWorker*int(g.spec.coresPerWorker()))
}

// residentTasks returns the number of tasks that run throughout.
func (g *generator) residentTasks() int {
	c := &g.spec.Counts
	return c.TasksRunning - int(math.Ceil(c.StartsPerS*g.spec.TaskS))
}

// generateLoad submits batch jobs, urgent jobs and gangs until the context ends.
func (g *generator) generateLoad(ctx context.Context) {
	counts := &g.spec.Counts
	var workers sync.WaitGroup
	if counts.StartsPerS > 0 {
		tasks := max(1, int(math.Round(counts.StartsPerS*batchInterval.Seconds())))
		workers.Go(func() {
			g.submitPeriodically(ctx, batchInterval, func() wire.Job { return g.newJob(classBatch, wire.Normal, tasks, g.spec.TaskS) })
		})
	}
	if counts.UrgentTasks > 0 {
		workers.Go(func() {
			g.submitPeriodically(ctx, seconds(counts.UrgentEveryS), func() wire.Job { return g.newJob(classUrgent, wire.High, counts.UrgentTasks, g.spec.TaskS) })
		})
	}
	if counts.GangSize > 0 {
		workers.Go(func() {
			g.submitPeriodically(ctx, seconds(counts.GangEveryS), func() wire.Job {
				job := g.newJob(classGang, wire.High, counts.GangSize, g.spec.TaskS)
				job.Shape = wire.Gang
				return job
			})
		})
	}
	workers.Go(func() { g.pollJobs(ctx) })
	workers.Wait()
}

// batchInterval is the time between two arrays, whose tasks make up the rate of starts.
const batchInterval = time.Second

// pollJobs polls the state of the jobs that have not ended, as their users do.
func (g *generator) pollJobs(ctx context.Context) {
	for sleep(ctx, pollInterval) {
		g.mu.Lock()
		var ids []string
		for id, tracked := range g.jobs {
			if tracked.job.Class != classResident && tracked.job.Class != classWaiting {
				ids = append(ids, id)
			}
		}
		g.mu.Unlock()
		for _, id := range ids {
			var status wire.JobStatus
			err := g.client.Call(ctx, pollTimeout, http.MethodGet, wire.PathJobs+"/"+id, nil, &status)
			if err == nil && wire.Final(status.Status) {
				g.mu.Lock()
				delete(g.jobs, id)
				g.mu.Unlock()
			}
		}
	}
}

// seconds converts a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sleep waits for the duration and reports whether the context is still valid after it.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
