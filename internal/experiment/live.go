package experiment

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dalefront/internal/emulator"
	"dalefront/wire"
)

// Submissions summarizes the submissions to a live site. Latencies are in milliseconds, from the first attempt
// to the response that accepts the job.
type Submissions struct {
	Accepted  int     `json:"accepted"`
	Retries   int     `json:"again"`
	GivenUp   int     `json:"given_up"` // not accepted within submissionTimeout, or refused permanently
	PerSecond float64 `json:"per_second"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p999_ms"`
	Max       float64 `json:"max_ms"`
}

const (
	submissionTimeout  = time.Minute // time from the first attempt until a submission is no longer retried
	pollers            = 16          // number of concurrent requests for the states of jobs
	pollInterval       = time.Second
	progressInterval   = time.Second / 2
	minSampleInterval  = time.Second / 2
	maxInFlight        = 2000        // maximum number of concurrent submissions; only an outage reaches it
	maxLatencyMicros   = 100_000_000 // more than submissionTimeout, maxRetryDelayS and requestTimeout together
	latencyDigits      = 3           // significant digits
	minFaultDurationS  = 0.001       // seconds; a site rejects a fault of duration 0
	minSubmissionTimeS = 0.001       // seconds; keeps the calculated rate of submissions finite
	microsPerMilli     = 1e3         // microseconds in a millisecond
	liveVariant        = "live"      // name of the only variant in a live site's report
)

// liveRun is a run of an experiment at a live site.
type liveRun struct {
	experiment *Experiment
	site       *siteClient
	startedAt  time.Time
	baseline   emulator.SummaryResponse // state of the site before the experiment

	mu           sync.Mutex
	result       *Result
	latency      *hdrhistogram.Histogram // latencies of submissions, in microseconds
	lastAccepted time.Time               // when the last job was accepted
	unfinished   map[string]*arrival     // accepted jobs that have not ended, by ID
	started      map[string]bool         // jobs of which a task has been observed to run, by ID
}

// Live runs the experiment in real time at the site that serves users at baseURL. A site has one scheduler
// configuration, so the variants are ignored. The job IDs are unique to the run.
//
// The run ends when all accepted jobs have ended, when DurationS and DrainS have passed, or when the context
// is done. Live calls progress with the number of jobs that have ended or were given up, and with the number
// of all jobs.
func (e *Experiment) Live(ctx context.Context, baseURL string, progress func(finished, total int)) (*Report, error) {
	site := newSiteClient(baseURL)
	defer site.close()
	baseline, err := site.summary(ctx)
	if err != nil {
		return nil, fmt.Errorf("no site responds at %s (start one with \"dalefront site up\"): %w", baseURL, err)
	}
	arrivals := e.liveArrivals()
	run := e.newLiveRun(site, baseline)
	ctx, cancel := context.WithDeadline(ctx, run.startedAt.Add(seconds(e.DurationS+e.DrainS)))
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { run.injectFaults(ctx) })
	background.Go(func() { run.recordSamples(ctx) })
	background.Go(func() { run.pollJobs(ctx) })
	run.submitAll(ctx, arrivals)
	run.awaitEnd(ctx, len(arrivals), progress)
	cancel()
	background.Wait()
	return run.report(len(arrivals))
}

// liveArrivals returns the experiment's jobs. Their IDs contain the current time, so that no other run uses
// them.
func (e *Experiment) liveArrivals() []*arrival {
	arrivals := e.arrivals(e.Seed)
	runID := time.Now().UnixMilli()
	for i, next := range arrivals {
		next.job.ID = fmt.Sprintf("j-%d%06d", runID, i+1)
	}
	return arrivals
}

// newLiveRun returns a run that starts now.
func (e *Experiment) newLiveRun(site *siteClient, baseline emulator.SummaryResponse) *liveRun {
	result := e.newResult(liveVariant, e.Seed)
	result.Submissions = &Submissions{}
	now := time.Now()
	return &liveRun{
		experiment:   e,
		site:         site,
		startedAt:    now,
		baseline:     baseline,
		result:       result,
		latency:      hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
		lastAccepted: now,
		unfinished:   map[string]*arrival{},
		started:      map[string]bool{},
	}
}

// submitAll submits each job at its time and returns when all submissions have been accepted or given up.
func (l *liveRun) submitAll(ctx context.Context, arrivals []*arrival) {
	var submissions sync.WaitGroup
	defer submissions.Wait()
	semaphore := make(chan struct{}, maxInFlight)
	for _, next := range arrivals {
		due := l.startedAt.Add(time.Duration(next.submitAt-startTime) * time.Microsecond)
		if !sleep(ctx, time.Until(due)) {
			return
		}
		semaphore <- struct{}{}
		submissions.Go(func() {
			l.submit(ctx, next)
			<-semaphore
		})
	}
}

// awaitEnd returns when all accepted jobs have ended or the context is done.
func (l *liveRun) awaitEnd(ctx context.Context, total int, progress func(finished, total int)) {
	for sleep(ctx, progressInterval) {
		l.mu.Lock()
		unfinished := len(l.unfinished)
		l.mu.Unlock()
		progress(total-unfinished, total)
		if unfinished == 0 {
			return
		}
	}
}

// submit submits a job as users do. It retries after the delay that the site asks for, until
// submissionTimeout has passed.
func (l *liveRun) submit(ctx context.Context, submitted *arrival) {
	body, err := wire.Marshal(submitted.job)
	if err != nil {
		l.updateSubmissions(func(s *Submissions) { s.GivenUp++ })
		return
	}
	firstAttempt := time.Now()
	for {
		response, err := l.site.do(ctx, http.MethodPost, wire.PathJobs, body, nil)
		if err == nil && response.succeeded() {
			l.recordAccepted(submitted, firstAttempt, time.Now())
			return
		}
		refused := err == nil && response.refused()
		if refused || time.Since(firstAttempt) > submissionTimeout || !sleep(ctx, response.retryAfter) {
			l.updateSubmissions(func(s *Submissions) { s.GivenUp++ })
			return
		}
		l.updateSubmissions(func(s *Submissions) { s.Retries++ })
	}
}

// recordAccepted records a submission that was first attempted at firstAttempt and accepted now.
func (l *liveRun) recordAccepted(submitted *arrival, firstAttempt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue cannot fail: a submission takes at most submissionTimeout (a minute), one retry delay and one
	// request (five seconds), which together are below maxLatencyMicros.
	_ = l.latency.RecordValue(now.Sub(firstAttempt).Microseconds())
	l.result.Submissions.Accepted++
	l.lastAccepted = now
	l.unfinished[submitted.job.ID] = submitted
}

// updateSubmissions changes the counts of submissions under the lock.
func (l *liveRun) updateSubmissions(update func(*Submissions)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update(l.result.Submissions)
}

// pollJobs polls all unfinished jobs, several at a time and each at most once in
// pollInterval, until the context ends.
func (l *liveRun) pollJobs(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	queue := make(chan *arrival)
	defer close(queue)
	for range pollers {
		workers.Go(func() {
			for submitted := range queue {
				l.poll(ctx, submitted)
			}
		})
	}
	for sleep(ctx, pollInterval) {
		for _, submitted := range l.unfinishedJobs() {
			select {
			case queue <- submitted:
			case <-ctx.Done():
				return
			}
		}
	}
}

// unfinishedJobs returns the accepted jobs that have not ended.
func (l *liveRun) unfinishedJobs() []*arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.unfinished))
}

// poll requests the state of a job. The start and the end of the job are recorded with the time of the
// first poll that observes them.
func (l *liveRun) poll(ctx context.Context, submitted *arrival) {
	var status wire.JobStatus
	id := submitted.job.ID
	response, err := l.site.do(ctx, http.MethodGet, wire.PathJobs+"/"+id, nil, &status)
	if err != nil || response.status != http.StatusOK {
		return
	}
	elapsedS := time.Since(l.startedAt).Seconds() - float64(submitted.submitAt-startTime)/microsPerSecond
	l.mu.Lock()
	defer l.mu.Unlock()
	class := l.result.Classes[submitted.job.Class]
	if !l.started[id] && (status.Running > 0 || status.Done > 0 || status.Status == wire.JobDone) {
		l.started[id] = true
		class.Waits = append(class.Waits, elapsedS)
	}
	if wire.Final(status.Status) && l.unfinished[id] != nil {
		delete(l.unfinished, id)
		class.Responses = append(class.Responses, elapsedS)
	}
}

// injectFaults requests the experiment's faults from the site, each at its time.
func (l *liveRun) injectFaults(ctx context.Context) {
	var injections sync.WaitGroup
	defer injections.Wait()
	for _, fault := range l.experiment.Faults {
		injections.Go(func() {
			if !sleep(ctx, time.Until(l.startedAt.Add(seconds(fault.AtS)))) {
				return
			}
			query := url.Values{"kind": {fault.Kind}, "name": {fault.Name}, "for": {fmt.Sprint(max(fault.DurationS, minFaultDurationS))}}
			for range fault.Count {
				_, _ = l.site.do(ctx, http.MethodPost, emulator.PathFault+"?"+query.Encode(), nil, nil) // fails only if there is no target
			}
		})
	}
}

// recordSamples samples the site's state until the context ends.
func (l *liveRun) recordSamples(ctx context.Context) {
	interval := max(minSampleInterval, seconds(l.experiment.DurationS/samplesPerRun))
	for sleep(ctx, interval) {
		if site, err := l.site.summary(ctx); err == nil {
			l.recordSample(site.Summary)
		}
	}
}

// recordSample adds a sample of the site's current state.
func (l *liveRun) recordSample(now emulator.Summary) {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := 0
	for id := range l.unfinished {
		if !l.started[id] {
			waiting++
		}
	}
	before := l.baseline.Summary
	l.result.Samples = append(l.result.Samples, Sample{
		AtS:       time.Since(l.startedAt).Seconds(),
		UsedCPUs:  now.Used,
		TotalCPUs: now.Room,
		Evictions: stoppedTasks(now) - stoppedTasks(before),
		Price:     now.Price - before.Price,
		Waiting:   waiting,
	})
}

// stoppedTasks returns the number of tasks that were stopped for any reason.
func stoppedTasks(summary emulator.Summary) int { return summary.Stopped + summary.Saved }

// report returns the report of the run. It must be called after the background goroutines have ended. It
// requests the site's summary with a context of its own, as the run's context may be done.
func (l *liveRun) report(total int) (*Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	site, err := l.site.summary(ctx)
	if err != nil {
		return nil, err
	}
	result, before, after := l.result, l.baseline.Summary, site.Summary
	result.Jobs, result.Unfinished = total, len(l.unfinished)
	result.Price = after.Price - before.Price
	if ran := after.Ran - before.Ran; ran > 0 {
		result.WastedShare = max(0, 1-(after.Useful-before.Useful)/ran)
	}
	result.Evictions = stoppedTasks(after) - stoppedTasks(before)
	result.Checkpoints = after.Saved - before.Saved
	result.Violations = site.Broken
	l.summarizeSubmissions(result.Submissions)
	return &Report{Results: []*Result{result}}, nil
}

// summarizeSubmissions fills in the rate and the latencies of the submissions.
func (l *liveRun) summarizeSubmissions(submissions *Submissions) {
	elapsedS := max(l.lastAccepted.Sub(l.startedAt).Seconds(), minSubmissionTimeS)
	submissions.PerSecond = float64(submissions.Accepted) / elapsedS
	millis := func(percent float64) float64 {
		return float64(l.latency.ValueAtQuantile(percent)) / microsPerMilli
	}
	submissions.P50, submissions.P99, submissions.P999 = millis(50), millis(99), millis(99.9)
	submissions.Max = float64(l.latency.Max()) / microsPerMilli
}
