package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"dalefront/wire"
)

// What the protocol says of users: how long they wait for an answer, and how long they repeat a request.
const (
	submitPatience = 5 * time.Second
	queryPatience  = 2 * time.Second
	retryPause     = time.Second
	retryTime      = 60 * time.Second
)

// nextNode is the node that the load balancer gives the next connection to.
var nextNode atomic.Int64

// send sends a request over a new connection, as the load balancer passes it on: it goes to the nodes in turn, and where
// a node refuses the connection to the next one, up to three in total. A status of 0 means that there was no answer.
func (w *world) send(method, path string, body []byte, patience time.Duration) (code int, answer wire.JobStatus) {
	ctx, cancel := context.WithTimeout(w.ctx, patience)
	defer cancel()
	for range 3 {
		i := int(nextNode.Add(1)) % w.site.NumControllers()
		request, err := http.NewRequestWithContext(ctx, method, "http://"+w.site.Addr(i)+path, bytes.NewReader(body))
		if err != nil {
			return 0, answer
		}
		request.Header.Set("Content-Type", "application/msgpack")
		request.Close = true
		connected := false
		request = request.WithContext(traceConnect(ctx, &connected))
		response, err := http.DefaultTransport.RoundTrip(request)
		if err == nil {
			content, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			_ = wire.Unmarshal(content, &answer)
			w.log.addf("user -> %s: %s %s: %d %s", w.site.Label(i), method, path, response.StatusCode, answer.Status)
			return response.StatusCode, answer
		}
		w.log.addf("user -> %s: %s %s: %v", w.site.Label(i), method, path, err)
		if connected {
			return 0, answer
		}
	}
	return 0, answer
}

// submitBody submits a job as encoded, and repeats the request as the protocol says until it is accepted or refused for
// good. It returns the last status.
func (w *world) submitBody(body []byte) (code int) {
	for began := time.Now(); time.Since(began) < retryTime && w.ctx.Err() == nil; time.Sleep(retryPause) {
		code, _ = w.send(http.MethodPost, wire.PathJobs, body, submitPatience)
		switch code {
		case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusUnprocessableEntity:
			return code
		}
	}
	return code
}

// submit uploads a job's description for the workers and submits the job.
func (w *world) submit(job wire.Job) error {
	w.site.Fleet.Upload(job)
	body, err := wire.Marshal(job)
	if err != nil {
		return err
	}
	w.log.addf("user: submits %s: %s of %d tasks, each %g CPUs, %s, expected %g s", job.ID, job.Shape, job.Tasks, job.CPUs, job.Priority, job.EstimateS)
	if code := w.submitBody(body); code != http.StatusCreated && code != http.StatusOK {
		return fmt.Errorf("submission of %s: status %d", job.ID, code)
	}
	return nil
}

// withdraw cancels a job and repeats the request until the answer is final.
func (w *world) withdraw(id string) error {
	for began := time.Now(); time.Since(began) < retryTime && w.ctx.Err() == nil; time.Sleep(retryPause) {
		code, answer := w.send(http.MethodPost, wire.PathJobs+"/"+id+"/"+wire.CancelAction, nil, submitPatience)
		if code == http.StatusOK && wire.Final(answer.Status) {
			return nil
		}
	}
	return fmt.Errorf("withdrawal of %s was not answered", id)
}

// status asks for a job once.
func (w *world) status(id string) (code int, answer wire.JobStatus) {
	return w.send(http.MethodGet, wire.PathJobs+"/"+id, nil, queryPatience)
}

// newJob returns a job of normal priority whose tasks run 10 s.
func newJob(number int, shape string, tasks int, cpus float64) wire.Job {
	job := wire.Job{
		ID: fmt.Sprintf("j-%06d", number), Class: "lampwatch", Team: "tallinnalamps", Shape: shape, Priority: wire.Normal, Tasks: tasks,
		CPUs: cpus, MemoryGB: 4, Image: "img-01", ImageGB: 0.2, EstimateS: 10,
	}
	if shape == wire.Service {
		job.EstimateS = 0
	}
	return job
}
