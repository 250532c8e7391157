package main

import (
	"fmt"
	"syscall"
	"time"

	"dalefront/internal/emulator"
	"dalefront/wire"
)

// maxWait is the time for which no job may wait beside room.
const maxWait = 90 * time.Second

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
	return w.startsBesideRoom(waiting, 1)
}

// startsBesideRoom reports whether the given number of task starts of the job is reached within maxWait. It returns an
// error if the machine did not have room for a task all the time.
func (w *world) startsBesideRoom(job wire.Job, starts int) (started bool, err error) {
	began, next := time.Now(), time.Duration(0)
	for time.Since(began) < maxWait && w.ctx.Err() == nil {
		if w.started(job.ID) >= starts {
			return true, nil
		}
		used := w.site.Fleet.UsageByTeam()[job.Team].CPUs
		up := w.site.Fleet.Summary().Machines
		if up != 1 || w.machine.CPUs-used < job.CPUs {
			return false, fmt.Errorf("%d machines are up, and %g CPUs are in use: no room for %s", up, used, job.ID)
		}
		if waited := time.Since(began); waited >= next {
			next += 15 * time.Second
			w.log.addf("workers: the machine runs tasks with %g of its %g CPUs; %s needs %g CPUs a task and has waited for %.0f s", used, w.machine.CPUs, job.ID, job.CPUs, waited.Seconds())
			w.status(job.ID)
		}
		time.Sleep(250 * time.Millisecond)
	}
	if w.ctx.Err() != nil {
		return false, errTimeLimit
	}
	w.log.addf("workers: no further task of %s has started within %v, and there was room all the time", job.ID, maxWait)
	return false, nil
}

// runChange plays a job of two tasks whose tasks run one after the other, with a crash of the leader in between. Its
// second task must start.
func runChange(w *world) (held bool, err error) {
	zone, other := "tartumaa", "harju"
	service := newJob(1, wire.Service, 1, 4)
	service.Zone, service.Priority = &zone, wire.Low
	job := newJob(2, wire.Array, 2, 8)
	job.Class, job.Priority, job.Zone, job.EstimateS = "shadowstudy", wire.Low, &zone, 3
	for _, j := range []wire.Job{service, job} {
		if err := w.submit(j); err != nil {
			return false, err
		}
	}
	if !w.awaitStart(job.ID, 30*time.Second) {
		return false, errNotRunning
	}
	graphics := newJob(3, wire.Array, 1, 6) // in the other zone, for which the cloud has no machine to give
	graphics.Class, graphics.GPUs, graphics.Zone, graphics.EstimateS = "outagevision", 1, &other, 100
	if err := w.submit(graphics); err != nil {
		return false, err
	}
	for w.site.Fleet.UsageByTeam()[job.Team].CPUs > service.CPUs && w.ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	w.log.addf("workers: the first task of %s has completed", job.ID)
	time.Sleep(2500 * time.Millisecond)
	if w.trouble {
		leader := w.site.Leader()
		if leader < 0 {
			return false, errNotRunning
		}
		w.log.addf("platform: %s, which leads, crashes (signal 9)", w.site.Label(leader))
		if err := w.site.Signal(leader, syscall.SIGKILL); err != nil {
			return false, err
		}
	}
	return w.startsBesideRoom(job, job.Tasks)
}
