// Package api serves users, workers and health checks over HTTP.
package api

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dalefront/wire"
)

// Errors that the service answers with.
var (
	ErrNotNow   = errors.New("can't decide now")    // 503
	ErrUnknown  = errors.New("no such job")         // 404
	ErrNever    = errors.New("can never run")       // 422
	ErrElse     = errors.New("not entitled to act") // 421
	ErrOverload = errors.New("too many requests")   // 429
)

// Elsewhere is ErrElse with the node that the worker should report to.
type Elsewhere struct{ Node string }

func (e Elsewhere) Error() string   { return ErrElse.Error() + ", try " + e.Node }
func (e Elsewhere) Is(t error) bool { return t == ErrElse }

// Service is what the node offers to HTTP.
type Service interface {
	Submit(ctx context.Context, j *wire.Job) (wire.JobStatus, bool, error)
	Status(ctx context.Context, id string) (wire.JobStatus, error)
	Cancel(ctx context.Context, id string) (wire.JobStatus, error)
	Heartbeat(ctx context.Context, r *wire.Heartbeat) (wire.HeartbeatResponse, error)
	Ready() error // or why no requests can be taken
}

// Calendars is what a service offers that has recurring jobs. Without a calendar its
// answers are ErrUnknown.
type Calendars interface {
	Schedules(ctx context.Context, after string) (wire.Schedules, error)
	Schedule(ctx context.Context, name string) (wire.Schedule, error)
	PauseSchedule(ctx context.Context, name string, paused bool) (wire.Schedule, error)
}

const contentType = "application/msgpack"

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", contentType)
	b, err := wire.Marshal(body)
	if err != nil {
		code, b = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(code)
	_, _ = w.Write(b)
}

func refuse(w http.ResponseWriter, err error) {
	code := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, wire.ErrMalformed):
		code = http.StatusBadRequest
	case errors.Is(err, ErrUnknown):
		code = http.StatusNotFound
	case errors.Is(err, ErrNever):
		code = http.StatusUnprocessableEntity
	case errors.Is(err, ErrElse):
		var to Elsewhere
		errors.As(err, &to)
		reply(w, http.StatusMisdirectedRequest, wire.Redirect{To: to.Node})
		return
	case errors.Is(err, ErrOverload):
		code = http.StatusTooManyRequests
	}
	if code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", "1")
	}
	reply(w, code, wire.Error{Error: err.Error()})
}

func body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err != nil {
		return nil, wire.ErrMalformed
	}
	return b, nil
}

// The service answers within this time: users wait 5 s for a submission and 2 s
// for a query, workers 4 s.
const (
	submitLimit = 3 * time.Second
	queryLimit  = 1500 * time.Millisecond
	reportLimit = 2500 * time.Millisecond
)

// Handler serves all paths; metrics is what /metrics shows.
func Handler(s Service, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("POST "+wire.PathJobs, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), submitLimit)
		defer cancel()
		b, err := body(w, r)
		if err != nil {
			refuse(w, err)
			return
		}
		j, err := wire.ParseJob(b)
		if err != nil {
			repeated(ctx, w, s, j, err)
			return
		}
		st, created, err := s.Submit(ctx, j)
		switch {
		case err != nil:
			refuse(w, err)
		case created:
			reply(w, http.StatusCreated, st)
		default:
			reply(w, http.StatusOK, st)
		}
	})
	mux.HandleFunc("GET "+wire.PathJobs+"/{id}", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), queryLimit)
		defer cancel()
		answer(w, r, func(id string) (wire.JobStatus, error) { return s.Status(ctx, id) })
	})
	mux.HandleFunc("POST "+wire.PathJobs+"/{id}/"+wire.CancelAction, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), submitLimit)
		defer cancel()
		answer(w, r, func(id string) (wire.JobStatus, error) { return s.Cancel(ctx, id) })
	})
	mux.HandleFunc("POST "+wire.PathHeartbeat, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), reportLimit)
		defer cancel()
		var rep wire.Heartbeat
		b, err := io.ReadAll(io.LimitReader(r.Body, maxReport))
		if err != nil || wire.Unmarshal(b, &rep) != nil || rep.Host == "" {
			refuse(w, wire.ErrMalformed)
			return
		}
		a, err := s.Heartbeat(ctx, &rep)
		if err != nil {
			refuse(w, err)
			return
		}
		reply(w, http.StatusOK, a)
	})
	mux.HandleFunc("GET "+wire.PathHealth, func(w http.ResponseWriter, r *http.Request) {
		if err := s.Ready(); err != nil {
			refuse(w, fmt.Errorf("%w: %v", ErrNotNow, err))
			return
		}
		reply(w, http.StatusOK, map[string]bool{"ok": true})
	})
	if l, ok := s.(JobLists); ok {
		jobLists(mux, l)
	}
	if c, ok := s.(Calendars); ok {
		schedules(mux, c)
	}
	return mux
}

// repeated answers a malformed submission. A job that was accepted stays known, whatever its
// repeat looks like; and while nobody can tell whether it was, it is not refused for good.
func repeated(ctx context.Context, w http.ResponseWriter, s Service, j *wire.Job, why error) {
	if j != nil {
		st, err := s.Status(ctx, j.ID)
		if err == nil {
			reply(w, http.StatusOK, st)
			return
		}
		if !errors.Is(err, ErrUnknown) {
			why = err
		}
	}
	refuse(w, why)
}

func answer(w http.ResponseWriter, r *http.Request, ask func(string) (wire.JobStatus, error)) {
	id := r.PathValue("id")
	if !wire.ValidID(id) || strings.ContainsRune(id, '/') {
		refuse(w, ErrUnknown)
		return
	}
	st, err := ask(id)
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, http.StatusOK, st)
}

const (
	maxReport    = 1 << 20  // bytes of a report; the protocol's limit is lower
	maxHeader    = 16 << 10 // bytes of a request's header
	otherSockets = 64       // of the socket budget, for the state service, cloud, peers and commands to workers
	minConns     = 16       // connections of workers and users, whatever the budget is
)

// MaxConns is how many connections of workers and users may be open within a socket budget.
func MaxConns(sockets int) int { return max(minConns, sockets-otherSockets) }

// NewServer returns the HTTP server. It keeps open connections below the
// socket budget by closing those that are idle when the budget runs short.
func NewServer(h http.Handler, sockets int) *http.Server {
	var mu sync.Mutex
	idle := map[net.Conn]time.Time{}
	open := 0
	budget := MaxConns(sockets)
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      10 * time.Second,
		IdleTimeout:       60 * time.Second,
		MaxHeaderBytes:    maxHeader,
		ConnState: func(c net.Conn, st http.ConnState) {
			mu.Lock()
			defer mu.Unlock()
			switch st {
			case http.StateNew:
				open++
				if open > budget {
					var oldest net.Conn
					for k, t := range idle {
						if oldest == nil || t.Before(idle[oldest]) {
							oldest = k
						}
					}
					if oldest == nil {
						oldest = c
					}
					delete(idle, oldest)
					_ = oldest.Close()
				}
			case http.StateIdle:
				idle[c] = time.Now()
			case http.StateActive:
				delete(idle, c)
			case http.StateClosed, http.StateHijacked:
				delete(idle, c)
				open--
			}
		},
	}
}
