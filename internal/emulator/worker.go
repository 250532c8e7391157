package emulator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"dalefront/internal/config"
	"dalefront/wire"
)

// maxResponseBytes is the maximum number of bytes that an emulated worker reads of a response body. The
// protocol's limit on a response is lower.
const maxResponseBytes = 1 << 20

// worker connects a machine to the controllers over HTTP: it sends the machine's heartbeats and receives direct
// commands.
type worker struct {
	site    *Site
	machine *Machine
	// controller is the index of the controller that receives the next heartbeat.
	controller int
	client     *http.Client
}

// startWorker starts a machine's worker and returns the worker's address, or "" if the worker can't listen.
func (s *Site) startWorker(m *Machine) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.log.Error("a worker can't listen", "err", err)
		return ""
	}
	w := &worker{site: s, machine: m, controller: rand.IntN(len(s.controllers)), client: &http.Client{Timeout: 4 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := workerDialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return countedConn{c, &m.traffic}, nil
		}}}}
	srv := &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(countedListener{l, &m.traffic}) }()
	ctx, cancel := context.WithCancel(s.ctx)
	go func() {
		defer cancel()
		w.run(ctx)
		_ = srv.Close()
		w.client.CloseIdleConnections()
	}()
	return l.Addr().String()
}

// machineStatus returns two values: alive is false if the machine has died or been returned, and responsive is
// false if the machine hangs.
func (w *worker) machineStatus() (alive, responsive bool) {
	f := w.machine.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	return !w.machine.dead, f.now >= w.machine.hungUntil
}

// run sends heartbeats at the heartbeat interval, with a jitter of up to a quarter of the interval. After a
// change on the machine it sends the next heartbeat early, but at least half a second after the previous one.
// If sendHeartbeat fails, run retries after a second.
func (w *worker) run(ctx context.Context) {
	f := w.machine.fleet
	interval := config.Micro(f.workers.HeartbeatIntervalS)
	var next, last Micros
	retry := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
		alive, responsive := w.machineStatus()
		if !alive {
			return
		}
		if !responsive {
			continue
		}
		f.mu.Lock()
		now, changed := f.now, w.machine.changed
		f.mu.Unlock()
		if now < next && (!changed || now-last < config.Second/2) {
			continue
		}
		last = now
		w.machine.traffic.countHeartbeat(heartbeatCause(now, next, retry))
		retry = false
		backoff := time.Duration(0)
		if !w.sendHeartbeat(ctx) {
			backoff = time.Second
		}
		next = now + Micros(float64(interval)*(0.75+0.5*rand.Float64())) + backoff.Microseconds()
		if backoff > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(backoff):
			}
			next, retry = 0, true
		}
	}
}

// heartbeatCause returns the cause of a heartbeat that is sent at the time now and was due at the time next.
func heartbeatCause(now, next Micros, retry bool) string {
	switch {
	case retry:
		return HeartbeatRetry
	case now >= next:
		return HeartbeatAtInterval
	}
	return HeartbeatOnChange
}

// sendHeartbeat sends one heartbeat. If it returns false, the caller must send another heartbeat, which
// usually goes to another controller.
func (w *worker) sendHeartbeat(ctx context.Context) bool {
	f := w.machine.fleet
	f.mu.Lock()
	heartbeat, sent := w.machine.newHeartbeat(), f.now
	f.flush()
	f.mu.Unlock()
	controller := w.site.controllers[w.controller]
	if w.site.cuts.partitionBetween(w.machine.zone, controller.zone) != nil {
		w.selectNextController()
		return false
	}
	b, err := wire.Marshal(heartbeat)
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+controller.addr+wire.PathHeartbeat, bytes.NewReader(b))
	if err != nil {
		return false
	}
	resp, err := w.client.Do(req)
	if err != nil {
		w.selectNextController()
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	switch {
	case err == nil && resp.StatusCode == http.StatusOK:
		var response wire.HeartbeatResponse
		if wire.Unmarshal(body, &response) == nil {
			if _, responsive := w.machineStatus(); responsive {
				f.mu.Lock()
				w.machine.handleResponse(&response, heartbeat.Incarnation, sent)
				f.mu.Unlock()
			}
		}
		return true
	case err == nil && resp.StatusCode == http.StatusMisdirectedRequest:
		var redirect wire.Redirect
		if wire.Unmarshal(body, &redirect) == nil {
			for i, c := range w.site.controllers {
				if c.label == redirect.To && i != w.controller {
					w.controller = i
					return true
				}
			}
		}
	}
	w.selectNextController()
	return false
}

// selectNextController makes the worker send its following heartbeats to the next controller of the site.
func (w *worker) selectNextController() { w.controller = (w.controller + 1) % len(w.site.controllers) }

// ServeHTTP receives direct commands and responds with a heartbeat.
func (w *worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	f := w.machine.fleet
	w.machine.traffic.commands.Add(1)
	// The sender's zone is unknown, so a request to a worker in a partitioned zone always waits until the
	// partition has healed, even if the sender is in the same zone.
	if !w.site.cuts.waitUntilOpen(req.Context(), "", w.machine.zone) {
		panic(http.ErrAbortHandler)
	}
	for { // a hung machine responds when it resumes
		alive, responsive := w.machineStatus()
		if !alive {
			panic(http.ErrAbortHandler)
		}
		if responsive {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	code := http.StatusOK
	if strings.HasPrefix(req.URL.Path, wire.PathCommands) {
		var batch wire.CommandBatch
		if !decodeBody(req, &batch) || batch.FencingToken == 0 || batch.Incarnation == 0 {
			respond(rw, http.StatusBadRequest, wire.Error{Error: "malformed"})
			return
		}
		if !w.machine.handleCommands(&batch) {
			code = http.StatusConflict
		}
	}
	f.flush()
	respond(rw, code, w.machine.newHeartbeat())
}

var errNoController = errors.New("no controller takes connections")
