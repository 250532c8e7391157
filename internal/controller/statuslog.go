package controller

import (
	"fmt"

	"dalefront/internal/config"
)

const (
	// statusLogInterval is the interval at which a leader logs its status.
	statusLogInterval = 10 * config.Second
	// maxLoggedWaitingJobs is the maximum number of waiting jobs that are logged, in order of arrival.
	maxLoggedWaitingJobs = 3
)

// logStatus logs the waiting jobs, the usage of the machines and the service shares of classes and teams. It
// must be called on the owner goroutine.
func (l *leadership) logStatus() {
	log := l.controller.log
	jobs, tasks := l.core.Waiting()
	log.Info("leader summary", "waiting_jobs", jobs, "waiting_tasks", tasks, "stats", fmt.Sprintf("%+v", l.core.Stats))
	log.Info("owner loop statistics", l.controller.owner.stats.take()...)
	classes, types := l.core.Usages()
	for _, class := range classes {
		log.Info("class summary", "name", class.Name, "tasks", class.Tasks)
	}
	for _, machineType := range types {
		log.Info("machine type summary", "type", machineType.Name, "up", machineType.Up, "idle", machineType.Idle, "reserved", machineType.Reserved, "tasks", machineType.Tasks, "free_cpus", int(machineType.FreeCPUs))
	}
	l.logServiceShares()
	for _, job := range l.core.WaitingJobs(maxLoggedWaitingJobs) {
		log.Info("job waiting", "job", job.Job, "class", job.Class, "team", job.Team, "tasks", job.PendingTasks, "age_us", job.Age, "reason", job.Reason, "room", job.FreeSlots, "reserved", job.Reserved)
	}
}

// logServiceShares logs the service share of each class and team, and warns of those that are
// underserved.
func (l *leadership) logServiceShares() {
	log := l.controller.log
	for _, s := range l.core.ServiceShares(maxReportedClasses) {
		log.Info("service share", "kind", shareKind(&s), "name", s.Name, "submitted", s.Submitted, "started", s.Started, "done", s.Done, "late", s.Late, "cancelled", s.Cancelled, "waiting", s.Waiting, "share", s.Share)
		if s.Underserved {
			log.Warn("underserved", "kind", shareKind(&s), "name", s.Name, "share", s.Share, "for_us", s.UnderservedFor, "reason", s.WaitReason)
		}
	}
}
