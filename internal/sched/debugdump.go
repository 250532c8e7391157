package sched

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Dump is the core's state in a canonical text, field by field: two cores that would decide
// alike have the same. Only what rests on the clock alone is left out (since when something
// waits or is idle).
func (c *Core) Dump() string {
	var b strings.Builder
	fmt.Fprintf(&b, "token %d, write %g\n", c.Token(), c.bandwidth.write)
	for _, j := range c.jobs.sorted(func(*job) bool { return true }) {
		fmt.Fprintf(&b, "job %s %+v arrived %d due %d done %d %v stored %v dirty %v retry %v cursor %d attempt %d started %v broken %v finishing %v ended %q\n",
			j.id, specText(j), j.arrival, j.dueAt, j.completedCount, j.completed, j.durable, slices.Sorted(maps.Keys(j.dirtyChunks)), j.retryQueue, j.nextUntried, j.gangAttempt, j.gangStarted, j.gangBroken, j.completing, j.finalStatus)
		for _, p := range j.sortedPlacements() {
			entry := ""
			if p.entry != nil {
				entry = p.entry.name
			}
			fmt.Fprintf(&b, "  task %d attempt %d on %s session %d entry %s stored %v loaded %v seen %v sent %v state %q stop %v %v\n",
				p.taskIndex, p.attempt, p.machine.host, p.incarnation, entry, p.durable, p.recovered, p.observed, p.dispatched, p.state, p.stopping, p.checkpointing)
		}
	}
	for _, m := range c.machines.all() {
		fmt.Fprintf(&b, "machine %s %s %s %s spot %v session %d seq %d up %v confirmed %v returning %v lost %v failed %v uses %g %g %g %d\n",
			m.host, m.addr, m.machineType.Name, m.zone, m.spot, m.incarnation, m.sequence, m.registered, m.confirmed, m.scalingIn, m.leaseExpired, m.failed, m.usedCPUs, m.usedGPUs, m.usedMemoryGB, m.placementCount)
	}
	for _, n := range slices.Sorted(maps.Keys(c.ledger.entries)) {
		e := c.ledger.entries[n]
		fmt.Fprintf(&b, "entry %s live %d hosts %v listed %v\n", n, len(e.live), slices.Sorted(maps.Keys(e.hosts)), e.queued)
	}
	for _, t := range c.teams.sorted() {
		fmt.Fprintf(&b, "team %s uses %g %g leaving %g %g\n", t.Name, t.usedCPUs, t.usedGPUs, t.releasingCPUs, t.releasingGPUs)
	}
	for _, cl := range c.classes.sorted() {
		fmt.Fprintf(&b, "class %s ratio %g size %g\n", cl.name, cl.runTimeRatio, cl.meanTasks)
	}
	fmt.Fprintf(&b, "ends %v forget %v\n", c.outbox.ends, c.outbox.forgotten)
	return b.String()
}

// specText is a job's description with what its pointers point to.
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
