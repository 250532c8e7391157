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

// maxAnswer is how many bytes of an answer a played worker reads; the protocol's limit is lower.
const maxAnswer = 1 << 20

// worker is the live side of a machine: it reports to a controller and takes direct
// commands.
type worker struct {
	s *Site
	m *Machine
	// at is the controller that it reports to.
	at     int
	client *http.Client
}

// spawn begins a worker and returns its address.
func (s *Site) spawn(m *Machine) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.log.Error("a worker can't listen", "err", err)
		return ""
	}
	w := &worker{s: s, m: m, at: rand.IntN(len(s.controllers)), client: &http.Client{Timeout: 4 * time.Second,
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

// alive says whether the machine is there, and whether it does anything now.
func (w *worker) alive() (there, awake bool) {
	f := w.m.f
	f.mu.Lock()
	defer f.mu.Unlock()
	return !w.m.dead, f.now >= w.m.hung
}

// run reports at the interval, give or take a quarter, and sooner when something has
// changed, but not more often than every half second.
func (w *worker) run(ctx context.Context) {
	f := w.m.f
	every := config.Micro(f.workers.ReportS)
	var next, last Micros
	retry := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
		there, awake := w.alive()
		if !there {
			return
		}
		if !awake {
			continue
		}
		f.mu.Lock()
		now, changed := f.now, w.m.changed
		f.mu.Unlock()
		if now < next && (!changed || now-last < config.Second/2) {
			continue
		}
		last = now
		w.m.traffic.reported(reportCause(now, next, retry))
		retry = false
		wait := time.Duration(0)
		if !w.send(ctx) {
			wait = time.Second
		}
		next = now + Micros(float64(every)*(0.75+0.5*rand.Float64())) + wait.Microseconds()
		if wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
			next, retry = 0, true
		}
	}
}

// reportCause says why a worker reports now, when its next report was due at next.
func reportCause(now, next Micros, retry bool) string {
	switch {
	case retry:
		return ReportRetry
	case now >= next:
		return ReportInterval
	}
	return ReportChange
}

// send reports once and says whether the worker may stay with its controller.
func (w *worker) send(ctx context.Context) bool {
	f := w.m.f
	f.mu.Lock()
	r, sent := w.m.report(), f.now
	f.flush()
	f.mu.Unlock()
	to := w.s.controllers[w.at]
	if w.s.cuts.between(w.m.zone, to.zone) != nil {
		w.turn()
		return false
	}
	b, err := wire.Marshal(r)
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.addr+wire.PathHeartbeat, bytes.NewReader(b))
	if err != nil {
		return false
	}
	resp, err := w.client.Do(req)
	if err != nil {
		w.turn()
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	switch {
	case err == nil && resp.StatusCode == http.StatusOK:
		var a wire.HeartbeatResponse
		if wire.Unmarshal(body, &a) == nil {
			if _, awake := w.alive(); awake {
				f.mu.Lock()
				w.m.answered(&a, r.Incarnation, sent)
				f.mu.Unlock()
			}
		}
		return true
	case err == nil && resp.StatusCode == http.StatusMisdirectedRequest:
		var to wire.Redirect
		if wire.Unmarshal(body, &to) == nil {
			for i, c := range w.s.controllers {
				if c.label == to.To && i != w.at {
					w.at = i
					return true
				}
			}
		}
	}
	w.turn()
	return false
}

func (w *worker) turn() { w.at = (w.at + 1) % len(w.s.controllers) }

// ServeHTTP takes direct commands.
func (w *worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	f := w.m.f
	w.m.traffic.commands.Add(1)
	// Who asks can't be told apart: while its zone is cut nobody gets through.
	if !w.s.cuts.await(req.Context(), "", w.m.zone) {
		panic(http.ErrAbortHandler)
	}
	for { // a machine that hangs answers when it resumes
		there, awake := w.alive()
		if !there {
			panic(http.ErrAbortHandler)
		}
		if awake {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	code := http.StatusOK
	if strings.HasPrefix(req.URL.Path, wire.PathCommands) {
		var d wire.CommandBatch
		if !read(req, &d) || d.FencingToken == 0 || d.Incarnation == 0 {
			respond(rw, http.StatusBadRequest, wire.Error{Error: "malformed"})
			return
		}
		if !w.m.commanded(&d) {
			code = http.StatusConflict
		}
	}
	f.flush()
	respond(rw, code, w.m.report())
}

var errNoController = errors.New("no controller takes connections")
