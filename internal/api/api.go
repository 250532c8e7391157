// Package api is the HTTP server of a controller for users, workers and health checks. It decodes
// requests, calls a Service, which the controller implements, and encodes the responses. The package
// keeps no state except that of the open connections.
package api

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"dalefront/internal/config"
	"dalefront/wire"
)

// Service handles the requests that a controller accepts over HTTP. Its methods return the errors of
// this package or wire.ErrMalformed. Any other error counts as ErrUnavailable.
type Service interface {
	// Submit accepts a job and returns its status. The boolean reports whether the job is new. A
	// repeated submission returns the current status of the job.
	Submit(ctx context.Context, job *wire.Job) (wire.JobStatus, bool, error)

	// Status returns the current status of a job.
	Status(ctx context.Context, id string) (wire.JobStatus, error)

	// Cancel cancels a job. It returns the job's final status once none of the job's tasks runs any more.
	Cancel(ctx context.Context, id string) (wire.JobStatus, error)

	// Heartbeat processes a worker's heartbeat and returns the commands for the worker.
	Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) (wire.HeartbeatResponse, error)

	// Ready returns nil if the service can handle requests, otherwise an error with the reason.
	Ready() error
}

// Time limits for handling a request. They are shorter than the timeouts of the clients: 5 s for a
// user's submission, 2 s for a user's query and 4 s for a worker's heartbeat.
const (
	submitTimeout    = 3 * time.Second // also for cancellations, lists of jobs and all requests on schedules
	queryTimeout     = 1500 * time.Millisecond
	heartbeatTimeout = 2500 * time.Millisecond
)

const (
	contentType       = "application/msgpack"
	maxHeartbeatBytes = 1 << 20 // above the protocol's limit for request bodies, wire.MaxBodyBytes
)

// Handler returns the handler for all paths of a service, with metrics as the handler of /metrics.
// The paths of JobLister and ScheduleService are served if the service implements these interfaces.
// Shares of the controller's memory limit the bodies that are handled at a time.
func Handler(service Service, metrics http.Handler, resources *config.Resources) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET "+wire.PathHealth, handleHealth(service))
	mux.HandleFunc("POST "+wire.PathHeartbeat,
		handleHeartbeat(service, newBodyReader(maxHeartbeatBytes, resources.MemoryBytes(heartbeatMemoryShare))))
	routeJobs(mux, service, newBodyReader(wire.MaxBodyBytes, resources.MemoryBytes(submissionMemoryShare)))
	if lister, ok := service.(JobLister); ok {
		routeJobList(mux, lister)
	}
	if schedules, ok := service.(ScheduleService); ok {
		routeSchedules(mux, schedules)
	}
	return mux
}

// route registers a handler that calls respond with a context that expires after the timeout, and sends
// the result to the client.
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
			// %v instead of %w hides the type of the reason, so that the status is 503 for every error.
			writeError(w, fmt.Errorf("%w: %v", ErrUnavailable, err))
			return
		}
		writeResponse(w, http.StatusOK, map[string]bool{"ok": true})
	}
}

func handleHeartbeat(service Service, bodies *bodyReader) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), heartbeatTimeout)
		defer cancel()
		body, release, err := bodies.read(ctx, w, r)
		if err != nil {
			writeError(w, err)
			return
		}
		defer release()
		var heartbeat wire.Heartbeat
		if wire.Unmarshal(body, &heartbeat) != nil || heartbeat.Host == "" {
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

// writeResponse writes a response with a body in the protocol's encoding.
func writeResponse(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", contentType)
	encoded, err := wire.Marshal(body)
	if err != nil {
		code, encoded = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(code)
	_, _ = w.Write(encoded) // an error means that the client has disconnected
}
