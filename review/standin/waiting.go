package main

import (
	"fmt"
	"time"

	"dalefront/internal/emulator"
	"dalefront/wire"
)

// maxWait is the time for which no job may wait beside room.
const maxWait = 90 * time.Second

// runReserved plays more work than room: a gang that does not fit waits behind a service, and a further service that does
// fit must start.
func runReserved(w *world) (held bool, err error) {
	first := newJob(1, wire.Service, 1, 12)
	if err := w.submit(first); err != nil {
		return false, err
	}
	if !w.awaitStart(first.ID, 30*time.Second) {
		return false, errNotRunning
	}
	if w.trouble {
		gang := newJob(2, wire.Gang, 1, 24)
		gang.Class, gang.EstimateS = "faultsweep", 120
		if err := w.submit(gang); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
	}
	waiting := newJob(3, wire.Service, 1, 12)
	if err := w.submit(waiting); err != nil {
		return false, err
	}
	return w.startsBesideRoom(waiting)
}

// mistakenClass is the class of jobs that were submitted with a mistake: each of their tasks fails as it starts.
const mistakenClass = "mistaken"

// mistakenJobs is the number of jobs that are submitted with a mistake.
const mistakenJobs = 4

// runMistake plays jobs that are submitted with a mistake and fail until their users cancel them. Once they are cancelled,
// a further job that fits must start.
func runMistake(w *world) (held bool, err error) {
	w.site.Fleet.TaskFails = func(_ *emulator.Machine, j *wire.Job, _ bool) bool { return w.trouble && j.Class == mistakenClass }
	service := newJob(1, wire.Service, 1, 12)
	if err := w.submit(service); err != nil {
		return false, err
	}
	if !w.awaitStart(service.ID, 30*time.Second) {
		return false, errNotRunning
	}
	for i := range mistakenJobs {
		job := newJob(10+i, wire.Array, 1, 2)
		job.Class, job.EstimateS = mistakenClass, 1
		if err := w.submit(job); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	for i := range mistakenJobs {
		if err := w.withdraw(fmt.Sprintf("j-%06d", 10+i)); err != nil {
			return false, err
		}
	}
	waiting := newJob(20, wire.Array, 2, 8)
	if err := w.submit(waiting); err != nil {
		return false, err
	}
	return w.startsBesideRoom(waiting)
}

// startsBesideRoom reports whether a task of the job starts within maxWait. It returns an error if the machine did not
// have room for a task all the time.
func (w *world) startsBesideRoom(job wire.Job) (started bool, err error) {
	began, next := time.Now(), time.Duration(0)
	for time.Since(began) < maxWait && w.ctx.Err() == nil {
		if w.started(job.ID) > 0 {
			return true, nil
		}
		used := w.site.Fleet.UsageByTeam()[job.Team].CPUs
		up := w.site.Fleet.Summary().Machines
		if up != 1 || machineCPUs-used < job.CPUs {
			return false, fmt.Errorf("%d machines are up, and %g CPUs are in use: no room for %s", up, used, job.ID)
		}
		if waited := time.Since(began); waited >= next {
			next += 15 * time.Second
			w.log.addf("workers: the machine runs tasks with %g of its %d CPUs; %s needs %g CPUs a task and has waited for %.0f s", used, machineCPUs, job.ID, job.CPUs, waited.Seconds())
			w.status(job.ID)
		}
		time.Sleep(250 * time.Millisecond)
	}
	if w.ctx.Err() != nil {
		return false, errTimeLimit
	}
	w.log.addf("workers: no task of %s has started within %v, and there was room all the time", job.ID, maxWait)
	return false, nil
}
