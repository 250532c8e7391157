package sched

import "dalefront/wire"

// DirectCommand is a batch of commands to be sent to a worker directly, not in a heartbeat response.
type DirectCommand struct {
	Addr  string
	Batch wire.CommandBatch
}

// PurgeableJob is an ended job without placements, whose working records may be deleted.
type PurgeableJob struct{ Job, Status string }

// outbox holds what the core asks its caller to do, such as sending commands, until the caller takes it.
type outbox struct {
	completedJobs []string // jobs whose last task has completed
	purgeable     []PurgeableJob
	commands      []DirectCommand
	passNeeded    bool // an event since the last pass may lead to new decisions in another pass
}

// addCompletedJob requests that the end record of a job be stored.
func (o *outbox) addCompletedJob(job string) { o.completedJobs = append(o.completedJobs, job) }

// addPurgeable requests that a job's working records be deleted.
func (o *outbox) addPurgeable(j PurgeableJob) { o.purgeable = append(o.purgeable, j) }

// addCommands requests that commands, or the token alone, be sent to a machine's worker.
func (o *outbox) addCommands(m *machine, token uint64, commands ...wire.Command) {
	batch := wire.CommandBatch{FencingToken: token, Incarnation: m.incarnation, Commands: commands}
	o.commands = append(o.commands, DirectCommand{m.addr, batch})
}

// requestPass records that an event may lead to new decisions in another pass.
func (o *outbox) requestPass() { o.passNeeded = true }

// takeAll empties a queue and returns what was in it.
func takeAll[T any](queue *[]T) []T {
	all := *queue
	*queue = nil
	return all
}

// takePassNeeded reports whether a pass was requested since the last call.
func (o *outbox) takePassNeeded() bool {
	needed := o.passNeeded
	o.passNeeded = false
	return needed
}

// TakeCompletedJobs returns the jobs whose last task has completed since the last call. The caller stores the
// end record of each job and then calls JobEnded with the stored status. The stored status need not be done,
// because another end record of the job may have been stored before, such as that of a cancellation.
func (c *Core) TakeCompletedJobs() []string { return takeAll(&c.outbox.completedJobs) }

// RetryJobEnd requests again that the end record of a job be stored, after an attempt to store it has failed.
func (c *Core) RetryJobEnd(id string) {
	if j := c.jobs.find(id); j != nil && j.completing && j.finalStatus == "" {
		c.outbox.addCompletedJob(id)
	}
}

// TakeDirectCommands returns the commands to be sent directly to workers that were added since the last call.
func (c *Core) TakeDirectCommands() []DirectCommand { return takeAll(&c.outbox.commands) }

// TakePurgeable returns the jobs that became purgeable since the last call.
func (c *Core) TakePurgeable() []PurgeableJob { return takeAll(&c.outbox.purgeable) }

// TakePassNeeded reports whether an event since the last call may lead to new decisions in another pass.
func (c *Core) TakePassNeeded() bool {
	return c.outbox.takePassNeeded()
}
