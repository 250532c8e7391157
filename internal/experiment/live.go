package experiment

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dalefront/internal/config"
	"dalefront/internal/emulator"
	"dalefront/wire"
)

// Submissions is how submissions to a live site went. Times are milliseconds, from the
// first attempt to the answer that the job is accepted.
type Submissions struct {
	Accepted  int     `json:"accepted"`
	Retries   int     `json:"again"`    // attempts that had to be repeated
	GivenUp   int     `json:"given_up"` // after a minute, or refused for good
	PerSecond float64 `json:"per_second"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p999_ms"`
	Max       float64 `json:"max_ms"`
}

const (
	submissionTimeout = time.Minute     // after which users submit no more
	requestTimeout    = 5 * time.Second // and for which they wait for an answer
	pollers           = 16
	maxIdleConns      = 256      // connections to the balancer that are kept unused
	maxResponseBytes  = 16 << 20 // bytes of an answer, of which the sites' metrics are the longest
	maxInFlight       = 2000     // submissions on their way: more than that stand for an outage
)

// live is an experiment at a site that runs.
type live struct {
	e       *Experiment
	server  string
	client  *http.Client
	begun   time.Time
	before  emulator.Summarized
	res     *Result
	latency *hdrhistogram.Histogram // of submissions, in microseconds

	mu      sync.Mutex
	last    time.Time // when the last job was accepted
	open    map[string]*arrival
	started map[string]bool
}

// Live plays the experiment in real time at the site whose users' address is given. A
// site has one way of scheduling, so that variants don't count; jobs get names that no
// other run gives. It ends when all jobs have, after the time to drain, or with the
// context.
func (e *Experiment) Live(ctx context.Context, server string, done func(finished, all int)) (*Report, error) {
	l := &live{e: e, server: server, client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
		latency: hdrhistogram.New(1, 100_000_000, 3), open: map[string]*arrival{}, started: map[string]bool{},
		res: &Result{Variant: "live", Seed: e.Seed, Classes: map[string]*ClassResult{}, Submit: &Submissions{}}}
	defer l.client.CloseIdleConnections()
	for _, c := range e.Classes {
		l.res.Classes[c.Name] = &ClassResult{Waits: []float64{}, Responses: []float64{}}
	}
	var err error
	if l.before, err = l.summary(ctx); err != nil {
		return nil, fmt.Errorf("%s: no site answers there (dalefront site up): %w", server, err)
	}
	all := e.arrivals(e.Seed)
	run := time.Now().UnixMilli()
	for i, a := range all {
		a.job.ID = fmt.Sprintf("j-%d%06d", run, i+1)
	}
	l.begun, l.last = time.Now(), time.Now()
	ctx, end := context.WithDeadline(ctx, l.begun.Add(seconds(e.DurationS+e.DrainS)))
	defer end()
	var background sync.WaitGroup
	background.Go(func() { l.faults(ctx) })
	background.Go(func() { l.sample(ctx) })
	jobs := make(chan *arrival)
	for range pollers {
		background.Go(func() {
			for a := range jobs {
				l.poll(ctx, a)
			}
		})
	}
	background.Go(func() { l.feed(ctx, jobs) })
	var submissions sync.WaitGroup
	turns := make(chan struct{}, maxInFlight)
	for _, a := range all {
		if !pause(ctx, time.Until(l.begun.Add(time.Duration(a.at-startTime)*time.Microsecond))) {
			break
		}
		turns <- struct{}{}
		submissions.Go(func() { l.submit(ctx, a); <-turns })
	}
	submissions.Wait()
	for pause(ctx, time.Second/2) {
		l.mu.Lock()
		left := len(l.open)
		l.mu.Unlock()
		done(len(all)-left, len(all))
		if left == 0 {
			break
		}
	}
	end()
	background.Wait()
	return l.report(len(all))
}

// stops counts the tasks that were stopped, for whatever reason.
func stops(s emulator.Summary) int { return s.Stopped + s.Saved }

// report sums up.
func (l *live) report(all int) (*Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	after, err := l.summary(ctx)
	if err != nil {
		return nil, err
	}
	r, s, was, is := l.res, l.res.Submit, l.before.Summary, after.Summary
	r.Jobs, r.Unfinished = all, len(l.open)
	r.Price = is.Price - was.Price
	if ran := is.Ran - was.Ran; ran > 0 {
		r.WastedShare = max(0, 1-(is.Useful-was.Useful)/ran)
	}
	r.Evictions, r.Checkpoints = stops(is)-stops(was), is.Saved-was.Saved
	r.Violations = after.Broken
	s.PerSecond = float64(s.Accepted) / max(l.last.Sub(l.begun).Seconds(), 0.001)
	ms := func(q float64) float64 { return float64(l.latency.ValueAtQuantile(q)) / 1e3 }
	s.P50, s.P99, s.P999, s.Max = ms(50), ms(99), ms(99.9), float64(l.latency.Max())/1e3
	return &Report{Results: []*Result{r}}, nil
}

// submit submits a job as users do: again after Retry-After, or a second, for a minute.
func (l *live) submit(ctx context.Context, a *arrival) {
	body, err := wire.Marshal(a.job)
	if err != nil {
		l.count(func(s *Submissions) { s.GivenUp++ })
		return
	}
	first := time.Now()
	for {
		code, wait, err := l.ask(ctx, http.MethodPost, wire.PathJobs, body, nil)
		if err == nil && code/100 == 2 {
			l.accepted(a, first, time.Now())
			return
		}
		if err == nil && code/100 == 4 && code != http.StatusTooManyRequests || time.Since(first) > submissionTimeout || !pause(ctx, wait) {
			l.count(func(s *Submissions) { s.GivenUp++ })
			return
		}
		l.count(func(s *Submissions) { s.Retries++ })
	}
}

// accepted counts a submission that was begun and accepted at these times.
func (l *live) accepted(a *arrival, begun, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.latency.RecordValue(now.Sub(begun).Microseconds()) // below its bound: a minute and five seconds
	l.res.Submit.Accepted++
	l.last = now
	l.open[a.job.ID] = a
}

func (l *live) count(f func(*Submissions)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.res.Submit)
}

// feed hands all jobs that have not ended to the pollers, at most once a second.
func (l *live) feed(ctx context.Context, jobs chan<- *arrival) {
	defer close(jobs)
	for pause(ctx, time.Second) {
		l.mu.Lock()
		var now []*arrival
		for _, a := range l.open {
			now = append(now, a)
		}
		l.mu.Unlock()
		for _, a := range now {
			select {
			case jobs <- a:
			case <-ctx.Done():
				return
			}
		}
	}
}

// poll asks for a job's state. Starts are seen at the first poll after them.
func (l *live) poll(ctx context.Context, a *arrival) {
	var st wire.JobStatus
	code, _, err := l.ask(ctx, http.MethodGet, wire.PathJobs+"/"+a.job.ID, nil, &st)
	if err != nil || code != http.StatusOK {
		return
	}
	since := time.Since(l.begun).Seconds() - float64(a.at-startTime)/1e6
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.res.Classes[a.job.Class]
	if !l.started[a.job.ID] && (st.Running > 0 || st.Done > 0 || st.Status == wire.JobDone) {
		l.started[a.job.ID] = true
		c.Waits = append(c.Waits, since)
	}
	if wire.Final(st.Status) && l.open[a.job.ID] != nil {
		delete(l.open, a.job.ID)
		c.Responses = append(c.Responses, since)
	}
}

// faults does what the experiment wants done to the site.
func (l *live) faults(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	for _, f := range l.e.Faults {
		all.Go(func() {
			if !pause(ctx, time.Until(l.begun.Add(seconds(f.AtS)))) {
				return
			}
			for range f.Count {
				q := url.Values{"kind": {f.Kind}, "name": {f.Name}, "for": {fmt.Sprint(max(f.ForS, 0.001))}}
				_, _, _ = l.ask(ctx, http.MethodPost, emulator.PathFault+"?"+q.Encode(), nil, nil) // nothing runs: nothing to break
			}
		})
	}
}

// sample looks at the site as often as a page shows it.
func (l *live) sample(ctx context.Context) {
	for pause(ctx, max(time.Second/2, seconds(l.e.DurationS/samplesPerRun))) {
		if s, err := l.summary(ctx); err == nil {
			l.mu.Lock()
			waiting := 0
			for id := range l.open {
				if !l.started[id] {
					waiting++
				}
			}
			l.res.Samples = append(l.res.Samples, Sample{time.Since(l.begun).Seconds(), s.Summary.Used, s.Summary.Room,
				stops(s.Summary) - stops(l.before.Summary), s.Summary.Price - l.before.Summary.Price, waiting})
			l.mu.Unlock()
		}
	}
}

func (l *live) summary(ctx context.Context) (s emulator.Summarized, err error) {
	code, _, err := l.ask(ctx, http.MethodGet, emulator.PathSummary, nil, &s)
	if err == nil && code != http.StatusOK {
		err = errors.New(http.StatusText(code))
	}
	return s, err
}

// ask sends a request. Wait is for how long not to ask again.
func (l *live) ask(ctx context.Context, method, path string, body []byte, out any) (code int, wait time.Duration, err error) {
	req, err := http.NewRequestWithContext(ctx, method, l.server+path, bytes.NewReader(body))
	if err != nil {
		return 0, time.Second, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, time.Second, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil && out != nil && resp.StatusCode/100 == 2 {
		err = wire.Unmarshal(b, out)
	}
	after, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return resp.StatusCode, time.Duration(min(max(after, 1), 30)) * time.Second, err
}

func seconds(s float64) time.Duration { return time.Duration(config.Micro(s)) * time.Microsecond }

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
