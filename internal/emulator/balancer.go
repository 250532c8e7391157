package emulator

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"time"

	"dalefront/wire"
)

// balancer passes users' requests to healthy controllers. What it learns on the way,
// the jobs that are submitted and the answers that are given, goes to the fleet: the
// one because users upload their jobs for the workers, the other to check the rules.
type balancer struct {
	s    *Site
	mu   sync.Mutex
	good []bool
	bad  []int // probes that failed in a row
	open []int
	at   []time.Time // when the last successful probe began
}

func newBalancer(s *Site) *balancer {
	n := len(s.controllers)
	return &balancer{s: s, good: make([]bool, n), bad: make([]int, n), open: make([]int, n), at: make([]time.Time, n)}
}

// probe asks a controller for its health once a second. Two failures in a row take it
// out, one success for the first time or two later take it in.
func (b *balancer) probe(i int) {
	client := &http.Client{Timeout: time.Second, Transport: b.s.transport}
	successes, was := 0, false
	for b.s.ctx.Err() == nil {
		begun := time.Now()
		resp, err := client.Get("http://" + b.s.controllers[i].addr + wire.PathHealth)
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		b.mu.Lock()
		if ok {
			successes++
			b.bad[i], b.at[i] = 0, begun
			if !was || successes >= 2 {
				b.good[i], was = true, true
			}
		} else {
			successes = 0
			if b.bad[i]++; b.bad[i] >= 2 {
				b.good[i] = false
			}
		}
		b.mu.Unlock()
		wait := time.Second
		if !was {
			wait = 100 * time.Millisecond
		}
		select {
		case <-b.s.ctx.Done():
		case <-time.After(wait):
		}
	}
}

// healthySince says whether a controller is taken in and has answered a probe that
// began after the time.
func (b *balancer) healthySince(i int, from time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.good[i] && b.at[i].After(from)
}

// pick returns the healthy controller with the fewest requests, but for those tried.
func (b *balancer) pick(tried []bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := -1
	for i := range b.good {
		if b.good[i] && !tried[i] && (best < 0 || b.open[i] < b.open[best]) {
			best = i
		}
	}
	if best >= 0 {
		b.open[best]++
	}
	return best
}

func (b *balancer) done(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[i]--
}

// ServeHTTP passes a request on; when a controller takes no connection another one
// gets it, up to three.
func (b *balancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err != nil {
		respond(w, http.StatusBadRequest, wire.Error{Error: "too large"})
		return
	}
	if r.Method == http.MethodPost && r.URL.Path == wire.PathJobs {
		if j, err := wire.ParseJob(body); err == nil {
			b.s.Fleet.Upload(*j)
		}
	}
	tried := make([]bool, len(b.good))
	for range 3 {
		i := b.pick(tried)
		if i < 0 {
			break
		}
		tried[i] = true
		refused := false
		proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: b.s.controllers[i].addr})
		proxy.Transport = b.s.transport
		proxy.ModifyResponse = b.look
		proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, err error) {
			var op *net.OpError
			if errors.As(err, &op) && op.Op == "dial" {
				refused = true
				return
			}
			w.WriteHeader(http.StatusBadGateway) // users see a connection that was reset
		}
		again := r.Clone(r.Context())
		again.Body, again.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		proxy.ServeHTTP(w, again)
		b.done(i)
		if !refused {
			return
		}
	}
	w.Header().Set("Retry-After", "1")
	respond(w, http.StatusServiceUnavailable, wire.Error{Error: errNoController.Error()})
}

// look reads an answer on its way to the user.
func (b *balancer) look(resp *http.Response) error {
	if !strings.HasPrefix(resp.Request.URL.Path, wire.PathJobs) {
		return nil
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	resp.Body = io.NopCloser(bytes.NewReader(body))
	var st wire.JobStatus
	if resp.StatusCode/100 == 2 && wire.Unmarshal(body, &st) == nil {
		b.s.Fleet.Told(st)
	}
	if resp.StatusCode == http.StatusNotFound {
		id, _, _ := strings.Cut(strings.TrimPrefix(resp.Request.URL.Path, wire.PathJobs+"/"), "/")
		b.s.Fleet.Missing(id)
	}
	return nil
}
