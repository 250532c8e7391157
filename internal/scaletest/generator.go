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

// Job classes that a run submits.
const (
	classResident = "resident" // long low-priority tasks that fill the workers
	classBatch    = "batch"    // short tasks at the rate Counts.StartsPerS
	classUrgent   = "interactive"
	classGang     = "training"
	classBacklog  = "backlog" // jobs that wait for the whole run since they never fit
)

const (
	requestTimeout    = 5 * time.Second // time without a response after which users repeat an attempt to submit a job
	submissionTimeout = time.Minute     // time from the first attempt until a submission is given up
	pollInterval      = 5 * time.Second
	pollTimeout       = 2 * time.Second // time after which users stop waiting for a job's status
	maxInFlight       = 4000            // maximum number of submissions that wait for their responses
	maxIdleConns      = 256             // maximum number of idle connections to the load balancer
	rampConcurrency   = 8               // concurrent submissions of resident and backlog jobs
)

// submission tracks a submitted job and which of its tasks have started.
type submission struct {
	job          wire.Job
	firstAttempt time.Time // time of the first attempt to submit the job
	started      int       // number of tasks that have started, each counted once
	startedTasks []bool    // by task index, whether the task has started
}

// generator is an open-loop load generator. It submits jobs at planned times, independently of the progress
// of earlier jobs, and measures the latency until the tasks of each job start.
type generator struct {
	spec     *Spec
	client   *httpclient.Client
	idPrefix int64         // prefix of the jobs' IDs, unique to the run
	inFlight chan struct{} // semaphore of the submissions that wait for their responses

	mu            sync.Mutex
	jobs          map[string]*submission
	lastJobNumber int
	lastTeam      int
	accepted      int
	retries       int
	givenUp       int
	starts        int                                // number of task starts, including restarts
	histograms    map[string]*hdrhistogram.Histogram // latencies in microseconds, by name
	onNextStart   []func(at time.Time)               // functions to be called once, when the next task starts
}

// Names of the latency histograms. They appear in the report.
const (
	latencyGeneratorLag     = "generator_late"  // from the planned time of a submission until it is sent
	latencyAcceptance       = "acceptance"      // from the first attempt to submit until the job is accepted
	latencyUrgentStart      = "urgent_start"    // from the first attempt until a task of an urgent job starts
	latencyUrgentAllStarted = "urgent_whole"    // from the first attempt until all tasks of an urgent job have started
	latencyGangAllStarted   = "gang_whole"      // from the first attempt until all tasks of a gang have started
	latencyBatchStart       = "ordinary_start"  // from the first attempt to submit until the task starts, for each batch task
	latencyTakeover         = "takeover"        // from the kill of the leader until a controller acts as leader again
	latencyTakeoverStart    = "takeover_starts" // from the kill of the leader until the first task start after the takeover
	latencyConfigInForce    = "config_in_force" // from the confirmation of a change until it is in force at all controllers
	latencyConfigApply      = "config_apply"    // from the first request until a configuration change is applied
)

// Range and resolution of the latency histograms.
const (
	maxLatencyMicros         = 600_000_000
	latencySignificantDigits = 3
)

// newGenerator returns a generator that submits jobs to the server at the given address HOST:PORT.
func newGenerator(spec *Spec, server string) *generator {
	return &generator{spec: spec, client: httpclient.New("http://"+server, 0, maxIdleConns, wire.MaxBodyBytes), idPrefix: time.Now().UnixMilli(), inFlight: make(chan struct{}, maxInFlight),
		jobs: map[string]*submission{}, histograms: map[string]*hdrhistogram.Histogram{}}
}

// recordLatency adds a latency to the named histogram.
func (g *generator) recordLatency(name string, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordLatencyLocked(name, d)
}

// recordLatencyLocked is like recordLatency, but the caller must hold the lock.
func (g *generator) recordLatencyLocked(name string, d time.Duration) {
	histogram := g.histograms[name]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits)
		g.histograms[name] = histogram
	}
	_ = histogram.RecordValue(max(1, d.Microseconds())) // fails only for latencies above ten minutes
}

// reset clears all counts and latencies, for example those measured during the ramp.
func (g *generator) reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.histograms)
	g.starts, g.accepted, g.retries, g.givenUp = 0, 0, 0, 0
}

// taskStarted records the start of a task. It is called by the emulated workers.
func (g *generator) taskStarted(job *wire.Job, task int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.starts++
	for _, f := range g.onNextStart {
		f(now)
	}
	g.onNextStart = nil
	tracked := g.jobs[job.ID]
	if tracked == nil || task >= len(tracked.startedTasks) || tracked.startedTasks[task] {
		return
	}
	tracked.startedTasks[task] = true
	tracked.started++
	latency := now.Sub(tracked.firstAttempt)
	allStarted := tracked.started == job.Tasks
	switch job.Class {
	case classBatch:
		g.recordLatencyLocked(latencyBatchStart, latency)
	case classUrgent:
		g.recordLatencyLocked(latencyUrgentStart, latency)
		if allStarted {
			g.recordLatencyLocked(latencyUrgentAllStarted, latency)
		}
	case classGang:
		if allStarted {
			g.recordLatencyLocked(latencyGangAllStarted, latency)
		}
	}
}

// startCount returns the number of task starts since the last reset.
func (g *generator) startCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.starts
}

// atNextStart registers f to be called once, with the lock held, when the next task starts.
func (g *generator) atNextStart(f func(time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onNextStart = append(g.onNextStart, f)
}

// newJob returns a job of the given class with a new ID. Successive jobs go to the teams in turn.
func (g *generator) newJob(class, priority string, tasks int, runS float64) wire.Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastJobNumber++
	g.lastTeam = (g.lastTeam + 1) % g.spec.Counts.Teams
	return wire.Job{ID: fmt.Sprintf("j-%d%07d", g.idPrefix, g.lastJobNumber), Class: class, Team: teamName(g.lastTeam), Shape: wire.Array, Priority: priority,
		Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "image", ImageGB: 0.01, EstimateS: runS}
}

// submit submits a job. Like a user, it retries every second until the job is accepted, rejected as invalid,
// or submissionTimeout has passed.
func (g *generator) submit(ctx context.Context, job wire.Job) {
	tracked := &submission{job: job, firstAttempt: time.Now(), startedTasks: make([]bool, job.Tasks)}
	g.mu.Lock()
	g.jobs[job.ID] = tracked
	g.mu.Unlock()
	for ctx.Err() == nil {
		var status wire.JobStatus
		err := g.client.Call(ctx, requestTimeout, http.MethodPost, wire.PathJobs, job, &status)
		if code := httpclient.StatusCode(err); err == nil || code == http.StatusCreated {
			g.recordLatency(latencyAcceptance, time.Since(tracked.firstAttempt))
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

// submitPeriodically calls the function next for a job and submits this job, at each multiple of the interval
// until the context ends. It doesn't wait for the responses to earlier submissions unless maxInFlight
// submissions have no response yet.
func (g *generator) submitPeriodically(ctx context.Context, interval time.Duration, next func() wire.Job) {
	start := time.Now()
	for i := 0; ; i++ {
		due := start.Add(time.Duration(i) * interval)
		if !sleep(ctx, time.Until(due)) {
			return
		}
		select {
		case g.inFlight <- struct{}{}:
		case <-ctx.Done():
			return
		}
		job := next()
		g.recordLatency(latencyGeneratorLag, time.Since(due))
		go func() {
			defer func() { <-g.inFlight }()
			g.submit(ctx, job)
		}()
	}
}

// maxArrayTasks is the maximum number of tasks of one resident array.
const maxArrayTasks = 1000

// submitResidents submits the resident jobs, which fill the workers, and the backlog jobs, which wait for the
// whole run.
func (g *generator) submitResidents(ctx context.Context) {
	counts := &g.spec.Counts
	var submissions sync.WaitGroup
	inFlight := make(chan struct{}, rampConcurrency)
	submit := func(job wire.Job) {
		inFlight <- struct{}{}
		submissions.Go(func() {
			defer func() { <-inFlight }()
			g.submit(ctx, job)
		})
	}
	acceleratorTasks := g.acceleratorTaskCount()
	for remaining := acceleratorTasks; remaining > 0; remaining -= maxArrayTasks {
		job := g.newResidentJob(min(remaining, maxArrayTasks))
		job.Types, job.GPUs = []string{accelType}, g.spec.acceleratorsPerTask()
		submit(job)
	}
	for remaining := g.residentTaskCount() - acceleratorTasks; remaining > 0; remaining -= maxArrayTasks {
		job := g.newResidentJob(min(remaining, maxArrayTasks))
		job.Types = []string{plainType}
		submit(job)
	}
	for range counts.JobsWaiting {
		job := g.newJob(classBacklog, wire.Low, 1, 60)
		job.CPUs = g.spec.coresPerWorker() // the job needs an empty worker, and the resident tasks leave none
		submit(job)
	}
	submissions.Wait()
}

// residentRunS is the run time of resident tasks in seconds. It is longer than any run.
const residentRunS = 1e6

// newResidentJob returns an array of resident tasks, which write checkpoints.
func (g *generator) newResidentJob(tasks int) wire.Job {
	deadlineS := 10 * residentRunS // machines aren't rented for low-priority jobs without a deadline
	job := g.newJob(classResident, wire.Low, tasks, residentRunS)
	job.CheckpointIntervalS, job.CheckpointDurationS, job.DeadlineS = 30, 1, &deadlineS
	return job
}

// acceleratorTaskCount returns the number of resident tasks that use accelerators. They fill the workers that
// have accelerators.
func (g *generator) acceleratorTaskCount() int {
	return min(g.residentTaskCount(), g.spec.Counts.Accelerators/acceleratorsPerWorker*int(g.spec.coresPerWorker()))
}

// residentTaskCount returns the number of resident tasks: all running tasks except the expected number of
// running batch tasks.
func (g *generator) residentTaskCount() int {
	c := &g.spec.Counts
	return c.TasksRunning - int(math.Ceil(c.StartsPerS*g.spec.TaskDurationS))
}

// generateLoad submits batch jobs, urgent jobs and gangs, and polls their status, until the context ends.
func (g *generator) generateLoad(ctx context.Context) {
	counts := &g.spec.Counts
	var loops sync.WaitGroup
	if counts.StartsPerS > 0 {
		tasks := max(1, int(math.Round(counts.StartsPerS*batchInterval.Seconds())))
		loops.Go(func() {
			g.submitPeriodically(ctx, batchInterval, func() wire.Job { return g.newJob(classBatch, wire.Normal, tasks, g.spec.TaskDurationS) })
		})
	}
	if counts.UrgentTasks > 0 {
		loops.Go(func() {
			g.submitPeriodically(ctx, seconds(counts.UrgentEveryS), func() wire.Job { return g.newJob(classUrgent, wire.High, counts.UrgentTasks, g.spec.TaskDurationS) })
		})
	}
	if counts.GangSize > 0 {
		loops.Go(func() {
			g.submitPeriodically(ctx, seconds(counts.GangEveryS), func() wire.Job {
				job := g.newJob(classGang, wire.High, counts.GangSize, g.spec.TaskDurationS)
				job.Shape = wire.Gang
				return job
			})
		})
	}
	loops.Go(func() { g.pollJobs(ctx) })
	loops.Wait()
}

// batchInterval is the time between two batch arrays. Each array has as many tasks as Counts.StartsPerS
// requires.
const batchInterval = time.Second

// pollJobs polls the status of all unfinished jobs except resident and backlog ones, as users do.
func (g *generator) pollJobs(ctx context.Context) {
	for sleep(ctx, pollInterval) {
		g.mu.Lock()
		var ids []string
		for id, tracked := range g.jobs {
			if tracked.job.Class != classResident && tracked.job.Class != classBacklog {
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

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sleep waits for the duration and reports whether it has passed before the context ended.
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
