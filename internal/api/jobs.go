package api

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"dalefront/wire"
)

// JobLister is a Service that can list jobs.
type JobLister interface {
	// Jobs returns a page of the jobs that have not ended and match the filter. The page starts with the
	// first job whose ID comes after the given ID.
	Jobs(ctx context.Context, after string, filter wire.JobFilter) (wire.JobList, error)
}

// routeJobs registers the paths for submitting, querying and cancelling a job.
func routeJobs(mux *http.ServeMux, service Service, bodies *bodyReader) {
	mux.HandleFunc("POST "+wire.PathJobs, handleSubmit(service, bodies))
	route(mux, "GET "+wire.PathJobs+"/{id}", queryTimeout, func(ctx context.Context, r *http.Request) (any, error) {
		id, err := jobID(r)
		if err != nil {
			return nil, err
		}
		return service.Status(ctx, id)
	})
	route(mux, "POST "+wire.PathJobs+"/{id}/"+wire.CancelAction, submitTimeout, func(ctx context.Context, r *http.Request) (any, error) {
		id, err := jobID(r)
		if err != nil {
			return nil, err
		}
		return service.Cancel(ctx, id)
	})
}

// jobID returns the job ID in a request's path. The error is ErrNotFound if the ID is not valid, since
// no job can have it.
func jobID(r *http.Request) (string, error) {
	id := r.PathValue("id")
	if !wire.ValidID(id) || strings.ContainsRune(id, '/') {
		return "", ErrNotFound
	}
	return id, nil
}

func handleSubmit(service Service, bodies *bodyReader) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
		defer cancel()
		body, release, err := bodies.read(ctx, w, r)
		if err != nil {
			writeError(w, err)
			return
		}
		defer release()
		status, created, err := submit(ctx, service, body)
		switch {
		case err != nil:
			writeError(w, err)
		case created:
			writeResponse(w, http.StatusCreated, status)
		default:
			writeResponse(w, http.StatusOK, status)
		}
	}
}

// submit passes a submission to the service. A malformed submission may repeat one that was accepted
// before, so submit returns the status of the job with its ID, if the ID is readable. The submission is
// rejected as malformed only if the service knows that no such job exists. If the service can't
// determine whether the job exists, the error is the transient error that Status returned.
func submit(ctx context.Context, service Service, body []byte) (wire.JobStatus, bool, error) {
	job, malformed := wire.ParseJob(body)
	if malformed == nil {
		return service.Submit(ctx, job)
	}
	if job == nil { // the ID is not readable either
		return wire.JobStatus{}, false, malformed
	}
	status, err := service.Status(ctx, job.ID)
	if errors.Is(err, ErrNotFound) {
		err = malformed
	}
	return status, false, err
}

// routeJobList registers the path for listing jobs.
func routeJobList(mux *http.ServeMux, lister JobLister) {
	route(mux, "GET "+wire.PathJobList, submitTimeout, func(ctx context.Context, r *http.Request) (any, error) {
		query := r.URL.Query()
		filter := wire.JobFilter{Class: query.Get("Jobclass"), Team: query.Get("Owner"), Status: query.Get("Status")}
		if filter.Status != "" && filter.Status != wire.JobQueued && filter.Status != wire.JobRunning {
			return nil, fmt.Errorf("%w: Status must be %s or %s", wire.ErrMalformed, wire.JobQueued, wire.JobRunning)
		}
		after := query.Get("After")
		if after != "" && !wire.ValidID(after) {
			return nil, fmt.Errorf("%w: After is not a job's id", wire.ErrMalformed)
		}
		return lister.Jobs(ctx, after, filter)
	})
}
