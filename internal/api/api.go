// Package api serves users, workers and health checks over HTTP. It translates between requests and
// a Service, which a controller implements; it holds no state of its own but the count of open
// connections.
package api

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"dalefront/wire"
)

// Service is what a controller offers over HTTP. Its methods answer with the errors of this package
// or with wire.ErrMalformed; any other error counts as ErrUnavailable.
type Service interface {
	// Submit accepts a job. The boolean says whether it is new: submitting a job again answers with
	// its present status.
	Submit(ctx context.Context, job *wire.Job) (wire.JobStatus, bool, error)

	// Status answers with the present status of a job.
	Status(ctx context.Context, id string) (wire.JobStatus, error)

	// Cancel ends a job and answers with its final status once none of its tasks runs any more.
	Cancel(ctx context.Context, id string) (wire.JobStatus, error)

	// Heartbeat takes the report of a worker and answers with the commands for it.
	Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) (wire.HeartbeatResponse, error)

	// Ready returns nil, or why no requests can be taken.
	Ready() error
}

// Time limits of the service. They lie below those of the clients: users wait 5 s for a submission
// and 2 s for a query, workers 4 s.
const (
	submitTimeout    = 3 * time.Second // also of cancellations, lists and schedules
	queryTimeout     = 1500 * time.Millisecond
	heartbeatTimeout = 2500 * time.Millisecond
)

const (
	contentType       = "application/msgpack"
	maxHeartbeatBytes = 1 << 20 // the protocol's limit is lower
)

// Handler serves all paths of a service; metrics serves /metrics. A service that is a JobLister or a
// ScheduleService, too, has their paths.
func Handler(service Service, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET "+wire.PathHealth, handleHealth(service))
	mux.HandleFunc("POST "+wire.PathHeartbeat, handleHeartbeat(service))
	routeJobs(mux, service)
	if lister, ok := service.(JobLister); ok {
		routeJobList(mux, lister)
	}
	if schedules, ok := service.(ScheduleService); ok {
		routeSchedules(mux, schedules)
	}
	return mux
}

// route serves a path with what a function returns, within a time limit.
func route(mux *http.ServeMux, pattern string, timeout time.Duration, respond func(ctx context.Context, r *http.Request) (any, error)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		body, err := respond(ctx, r)
		if err != nil {
			writeError(w, err)
			return
		}
		writeResponse(w, http.StatusOK, body)
	})
}

func handleHealth(service Service) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := service.Ready(); err != nil {
			// The reason is text only: whatever error it is, the answer is 503.
			writeError(w, fmt.Errorf("%w: %v", ErrUnavailable, err))
			return
		}
		writeResponse(w, http.StatusOK, map[string]bool{"ok": true})
	}
}

func handleHeartbeat(service Service) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), heartbeatTimeout)
		defer cancel()
		var heartbeat wire.Heartbeat
		body, err := io.ReadAll(io.LimitReader(r.Body, maxHeartbeatBytes))
		if err != nil || wire.Unmarshal(body, &heartbeat) != nil || heartbeat.Host == "" {
			writeError(w, wire.ErrMalformed)
			return
		}
		response, err := service.Heartbeat(ctx, &heartbeat)
		if err != nil {
			writeError(w, err)
			return
		}
		writeResponse(w, http.StatusOK, response)
	}
}

// writeResponse writes a body in the protocol's encoding.
func writeResponse(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", contentType)
	encoded, err := wire.Marshal(body)
	if err != nil {
		code, encoded = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(code)
	_, _ = w.Write(encoded) // a client that is gone needs no answer
}
