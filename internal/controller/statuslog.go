package controller

import (
	"fmt"

	"dalefront/internal/config"
)

const (
	// statusLogInterval is how often a leader logs its status.
	statusLogInterval = 10 * config.Second
	// waitingJobsLogged is how many of the jobs that wait longest are named.
	waitingJobsLogged = 3
)

// logStatus logs what waits, what the machines do and how classes and teams are served. Owner goroutine.
func (l *leadership) logStatus() {
	log := l.controller.log
	jobs, tasks := l.core.Waiting()
	log.Info("leader summary", "waiting_jobs", jobs, "waiting_tasks", tasks, "stats", fmt.Sprintf("%+v", l.core.Stats))
	log.Info("owner loop statistics", l.controller.owner.stats.take()...)
	classes, types := l.core.Usages()
	for _, class := range classes {
		log.Info("class summary", "name", class.Name, "tasks", class.Tasks)
	}
	for _, machines := range types {
		log.Info("machine type summary", "type", machines.Name, "up", machines.Up, "idle", machines.Idle, "reserved", machines.Reserved, "tasks", machines.Tasks, "free_cpus", int(machines.Free))
	}
	l.logServiceShares()
	for _, job := range l.core.WaitingJobs(waitingJobsLogged) {
		log.Info("job waiting", "job", job.Job, "class", job.Class, "team", job.Team, "tasks", job.Tasks, "age_us", job.Age, "reason", job.Reason, "room", job.Room, "reserved", job.Reserved)
	}
}

// logServiceShares logs what each class and team has had, and warns of those that are underserved.
func (l *leadership) logServiceShares() {
	log := l.controller.log
	for _, s := range l.core.ServiceShares(maxServiceShares) {
		log.Info("service share", "kind", shareKind(&s), "name", s.Name, "submitted", s.Submitted, "started", s.Started, "done", s.Done, "late", s.Late, "cancelled", s.Cancelled, "waiting", s.Waiting, "share", s.Share)
		if s.Underserved {
			log.Warn("underserved", "kind", shareKind(&s), "name", s.Name, "share", s.Share, "for_us", s.UnderservedFor, "reason", s.WaitReason)
		}
	}
}
