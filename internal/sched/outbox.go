package sched

import "dalefront/wire"

// DirectCommand is a command to be sent straight to a worker.
type DirectCommand struct {
	Addr  string
	Batch wire.CommandBatch
}

// ForgottenJob is a job that has ended and of which nothing is left on any machine.
type ForgottenJob struct{ Job, Status string }

// outbox is what the core wants its owner to do, until the owner takes it.
type outbox struct {
	ends       []string // jobs whose last task has completed
	forgotten  []ForgottenJob
	commands   []DirectCommand
	passNeeded bool // something happened that a pass may use
}

// addEnd asks for a job's end to be stored.
func (o *outbox) addEnd(job string) { o.ends = append(o.ends, job) }

// addForgotten asks for a job's working records to be deleted.
func (o *outbox) addForgotten(j ForgottenJob) { o.forgotten = append(o.forgotten, j) }

// addCommands asks for commands, or the token alone, to be sent to a machine's worker.
func (o *outbox) addCommands(m *machine, token uint64, commands ...wire.Command) {
	batch := wire.CommandBatch{FencingToken: token, Incarnation: m.incarnation, Commands: commands}
	o.commands = append(o.commands, DirectCommand{m.addr, batch})
}

// requestPass notes that a pass may use what has happened.
func (o *outbox) requestPass() { o.passNeeded = true }

// take returns what a queue holds and empties it.
func take[T any](queue *[]T) []T {
	all := *queue
	*queue = nil
	return all
}

// takePassNeeded says whether a pass was requested since the last call.
func (o *outbox) takePassNeeded() bool {
	needed := o.passNeeded
	o.passNeeded = false
	return needed
}

// TakeEnds returns the jobs whose last task has completed since the last call; the
// caller stores their end and calls JobEnded with whatever end is stored.
func (c *Core) TakeEnds() []string { return take(&c.outbox.ends) }

// RetryEnd asks for the end of a job again, after its storing failed.
func (c *Core) RetryEnd(id string) {
	if j := c.jobs.find(id); j != nil && j.completing && j.finalStatus == "" {
		c.outbox.addEnd(id)
	}
}

// TakeDirectCommands returns the commands to be sent straight to workers.
func (c *Core) TakeDirectCommands() []DirectCommand { return take(&c.outbox.commands) }

// TakeForgotten returns the jobs whose working records may be deleted.
func (c *Core) TakeForgotten() []ForgottenJob { return take(&c.outbox.forgotten) }

// TakePassNeeded says whether something happened since the last call that a pass may
// make use of.
func (c *Core) TakePassNeeded() bool {
	return c.outbox.takePassNeeded()
}
