package sched

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Dump returns the core's state as canonical text, so that two cores that would make the same decisions have
// the same text. It leaves out values that depend only on the clock, such as the times since which jobs wait
// or machines are idle.
func (c *Core) Dump() string {
	var b strings.Builder
	fmt.Fprintf(&b, "token %d, write %g\n", c.Token(), c.bandwidth.write)
	for _, job := range c.jobs.sorted(func(*job) bool { return true }) {
		fmt.Fprintf(&b, "job %s %+v arrived %d due %d done %d %v stored %v dirty %v retry %v cursor %d attempt %d started %v broken %v finishing %v ended %q\n",
			job.id, specText(job), job.arrival, job.dueAt, job.completedCount, job.completed, job.durable, slices.Sorted(maps.Keys(job.dirtyChunks)), job.retryStack, job.nextUnplaced, job.gangAttempt, job.gangStarted, job.gangBroken, job.completing, job.finalStatus)
		for _, placement := range job.sortedPlacements() {
			entry := ""
			if placement.entry != nil {
				entry = placement.entry.name
			}
			fmt.Fprintf(&b, "  task %d attempt %d on %s session %d entry %s stored %v loaded %v seen %v sent %v state %q stop %v %v\n",
				placement.taskIndex, placement.attempt, placement.machine.host, placement.incarnation, entry, placement.durable, placement.recovered, placement.observed, placement.dispatched, placement.state, placement.stopping, placement.checkpointing)
		}
	}
	for _, machine := range c.machines.all() {
		fmt.Fprintf(&b, "machine %s %s %s %s spot %v session %d seq %d up %v confirmed %v returning %v lost %v failed %v uses %g %g %g %d\n",
			machine.host, machine.addr, machine.machineType.Name, machine.zone, machine.spot, machine.incarnation, machine.sequence, machine.registered, machine.confirmed, machine.scalingIn, machine.leaseExpired, machine.failed, machine.usedCPUs, machine.usedGPUs, machine.usedMemoryGB, machine.placementCount)
	}
	for _, name := range slices.Sorted(maps.Keys(c.ledger.entries)) {
		entry := c.ledger.entries[name]
		fmt.Fprintf(&b, "entry %s live %d hosts %v listed %v\n", name, len(entry.live), slices.Sorted(maps.Keys(entry.hosts)), entry.deletionQueued)
	}
	for _, team := range c.teams.sorted() {
		fmt.Fprintf(&b, "team %s uses %g %g leaving %g %g\n", team.Name, team.usedCPUs, team.usedGPUs, team.releasingCPUs, team.releasingGPUs)
	}
	for _, class := range c.classes.sorted() {
		fmt.Fprintf(&b, "class %s ratio %g size %g\n", class.name, class.runTimeRatio, class.meanTasks)
	}
	fmt.Fprintf(&b, "ends %v forget %v\n", c.outbox.completedJobs, c.outbox.purgeable)
	return b.String()
}

// specText formats a job's description, with the values to which its pointers point.
func specText(j *job) string {
	s := j.spec
	zone, due := "-", "-"
	if s.Zone != nil {
		zone = *s.Zone
	}
	if s.DeadlineS != nil {
		due = fmt.Sprint(*s.DeadlineS)
	}
	s.Zone, s.DeadlineS = nil, nil
	return fmt.Sprintf("%+v zone %s due %s", s, zone, due)
}
