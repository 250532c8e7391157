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

// balancer is the load balancer: it forwards users' requests to healthy controllers. It also passes two
// things to the fleet: the description of each submitted job, which the workers need, and the responses to
// users, which the fleet checks for violated invariants.
type balancer struct {
	site        *Site
	mu          sync.Mutex
	healthy     []bool
	failures    []int // consecutive failed probes, by controller
	inFlight    []int
	lastSuccess []time.Time // start of the last successful probe, by controller
}

func newBalancer(s *Site) *balancer {
	n := len(s.controllers)
	return &balancer{site: s, healthy: make([]bool, n), failures: make([]int, n), inFlight: make([]int, n), lastSuccess: make([]time.Time, n)}
}

// probe checks a controller's health once a second, and every 100 ms before its first success. Two
// consecutive failures remove the controller from the rotation. The first success adds it to the rotation; a
// controller that was removed is added again after two consecutive successes.
func (b *balancer) probe(i int) {
	client := &http.Client{Timeout: time.Second, Transport: b.site.transport}
	successes, everHealthy := 0, false
	for b.site.ctx.Err() == nil {
		began := time.Now()
		resp, err := client.Get("http://" + b.site.controllers[i].addr + wire.PathHealth)
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		b.mu.Lock()
		if ok {
			successes++
			b.failures[i], b.lastSuccess[i] = 0, began
			if !everHealthy || successes >= 2 {
				b.healthy[i], everHealthy = true, true
			}
		} else {
			successes = 0
			if b.failures[i]++; b.failures[i] >= 2 {
				b.healthy[i] = false
			}
		}
		b.mu.Unlock()
		wait := time.Second
		if !everHealthy {
			wait = 100 * time.Millisecond
		}
		select {
		case <-b.site.ctx.Done():
		case <-time.After(wait):
		}
	}
}

// healthySince reports whether a controller is in the rotation and has passed a probe that began after the
// given time.
func (b *balancer) healthySince(i int, after time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.healthy[i] && b.lastSuccess[i].After(after)
}

// pick returns the healthy controller with the fewest requests in flight and counts one more request for it.
// It skips the controllers marked in tried, and returns -1 if no controller is left.
func (b *balancer) pick(tried []bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := -1
	for i := range b.healthy {
		if b.healthy[i] && !tried[i] && (best < 0 || b.inFlight[i] < b.inFlight[best]) {
			best = i
		}
	}
	if best >= 0 {
		b.inFlight[best]++
	}
	return best
}

// release decrements a controller's number of requests in flight, which pick has incremented.
func (b *balancer) release(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[i]--
}

// ServeHTTP forwards a request to a controller. If the connection can't be established, it tries another
// controller, up to three controllers in total.
func (b *balancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err != nil {
		respond(w, http.StatusBadRequest, wire.Error{Error: "too large"})
		return
	}
	if r.Method == http.MethodPost && r.URL.Path == wire.PathJobs {
		if j, err := wire.ParseJob(body); err == nil {
			b.site.Fleet.Upload(*j)
		}
	}
	tried := make([]bool, len(b.healthy))
	for range 3 {
		i := b.pick(tried)
		if i < 0 {
			break
		}
		tried[i] = true
		dialFailed := false
		proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: b.site.controllers[i].addr})
		proxy.Transport = b.site.transport
		proxy.ModifyResponse = b.inspectResponse
		proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, err error) {
			var opErr *net.OpError
			if errors.As(err, &opErr) && opErr.Op == "dial" {
				dialFailed = true
				return
			}
			w.WriteHeader(http.StatusBadGateway) // 502 represents a reset connection to the controller
		}
		attempt := r.Clone(r.Context())
		attempt.Body, attempt.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		proxy.ServeHTTP(w, attempt)
		b.release(i)
		if !dialFailed {
			return
		}
	}
	w.Header().Set("Retry-After", "1")
	respond(w, http.StatusServiceUnavailable, wire.Error{Error: errNoController.Error()})
}

// inspectResponse gives the fleet the job status or the 404 that a user is about to receive.
func (b *balancer) inspectResponse(resp *http.Response) error {
	if !strings.HasPrefix(resp.Request.URL.Path, wire.PathJobs) {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	resp.Body = io.NopCloser(bytes.NewReader(body))
	var st wire.JobStatus
	if resp.StatusCode/100 == 2 && wire.Unmarshal(body, &st) == nil {
		b.site.Fleet.ObserveStatus(st)
	}
	if resp.StatusCode == http.StatusNotFound {
		id, _, _ := strings.Cut(strings.TrimPrefix(resp.Request.URL.Path, wire.PathJobs+"/"), "/")
		b.site.Fleet.ObserveNotFound(id)
	}
	return nil
}
