package sched

import (
	"fmt"
	"maps"
	"slices"

	"dalefront/internal/config"
	"dalefront/wire"
)

// rank is a priority's rank. First come, first served knows one only, and not the lowest,
// for which no machines would be rented at first.
func (c *Core) rank(priority string) int {
	if c.firstComeFirstServed {
		return Rank(wire.Normal)
	}
	return Rank(priority)
}

// fitsType says whether a task of the job may ever run on an empty machine of
// the type.
func fitsType(j *wire.Job, t *wire.MachineType) bool {
	if j.Types != nil {
		ok := false
		for _, n := range j.Types {
			ok = ok || n == t.Name
		}
		if !ok {
			return false
		}
	}
	if j.Zone != nil {
		ok := false
		for _, z := range t.Zones {
			ok = ok || z == *j.Zone
		}
		if !ok {
			return false
		}
	}
	return j.CPUs <= t.CPUs+epsilon && j.GPUs <= t.GPUs+epsilon && j.MemoryGB <= t.MemoryGB+epsilon
}

// Admit says why a well-formed job can never run, or returns nil.
func Admit(set *config.Settings, cat wire.Catalog, j *wire.Job) error {
	var tm *config.Team
	for i := range set.Deployment.Teams {
		if set.Deployment.Teams[i].Name == j.Team {
			tm = &set.Deployment.Teams[i]
		}
	}
	if tm == nil {
		return fmt.Errorf("unknown team %q", j.Team)
	}
	zones := map[string]bool{} // in which a task fits
	for i := range cat.Types {
		if t := &cat.Types[i]; fitsType(j, t) {
			for _, z := range t.Zones {
				zones[z] = zones[z] || j.Zone == nil || *j.Zone == z
			}
		}
	}
	maps.DeleteFunc(zones, func(_ string, in bool) bool { return !in })
	if len(zones) == 0 {
		return fmt.Errorf("a task fits no allowed machine type")
	}
	n := 1.0
	if j.Shape != wire.Array {
		n = float64(j.Tasks)
		// An array may run in halves; these need all their tasks at once.
		if j.Spread && j.Tasks > 1 && (j.OneZone || len(zones) == 1) {
			return fmt.Errorf("its tasks must be spread over zones, and may be in one only")
		}
	}
	t := team{Team: *tm}
	if !t.withinLimit(n*j.CPUs, n*j.GPUs) {
		return fmt.Errorf("more than the limit of team %q", j.Team)
	}
	return nil
}

// AddJob takes an accepted job. arrival is when its user submitted it.
func (c *Core) AddJob(spec wire.Job, arrival, now Micros) {
	c.now = now
	if c.jobs.find(spec.ID) != nil {
		return
	}
	tm := c.teams.findOrAdd(spec.Team)
	cl := c.classOf(spec.Class)
	words := (spec.Tasks + 63) / 64
	j := &job{
		id: spec.ID, spec: spec, rank: c.rank(spec.Priority), arrival: min(arrival, now), team: tm, class: cl,
		completed: make([]uint64, words), durableCompleted: make([]uint64, words), dirtyChunks: map[int]bool{},
		placements: map[*placement]struct{}{}, placementsByTask: map[int32]int{}, waitingSince: now,
	}
	j.dueAt = j.arrival + 600*second
	if len(cl.completionObjectives) > 0 {
		j.dueAt = j.arrival + cl.completionObjectives[0]
	}
	if spec.DeadlineS != nil {
		j.dueAt = j.arrival + config.Micro(*spec.DeadlineS)
	}
	c.jobs.add(j)
	j.isLarge = j.class.recentSizes.addIsLarge(j.spec.Tasks)
	j.eachService(func(s *serviceShare) { s.submitted++ })
	c.passNeeded = true
	cl.sampleJob = j
	if now-j.arrival < arrivalDecayTime {
		cl.recordArrival(now, float64(spec.Tasks))
		cl.lastArrival = max(cl.lastArrival, j.arrival)
	}
}

// SetProgress takes a stored chunk of a job's completed tasks.
func (c *Core) SetProgress(id string, chunk int, text string) {
	j := c.jobs.find(id)
	if j == nil {
		return
	}
	j.mergeChunk(chunk, text)
	j.completedCount = 0
	for t := int32(0); t < int32(j.spec.Tasks); t++ {
		if j.isCompleted(t) {
			j.completedCount++
		}
	}
	copy(j.durableCompleted, j.completed)
	c.checkComplete(j)
}

func (c *Core) checkComplete(j *job) {
	if j.spec.Shape != wire.Service && j.completedCount == j.spec.Tasks && !j.isOver() {
		j.completing = true
		c.pendingEnds = append(c.pendingEnds, j.id)
	}
}

func (c *Core) markDone(j *job, t int32) {
	if j.spec.Shape == wire.Service || int(t) >= j.spec.Tasks {
		return
	}
	first, last := t, t
	if j.isGang() { // the tasks of a gang complete together
		first, last = 0, int32(j.spec.Tasks)-1
	}
	for k := first; k <= last; k++ {
		if !j.isCompleted(k) {
			j.completed[k>>6] |= 1 << (k & 63)
			j.completedCount++
			j.dirtyChunks[int(k)/ChunkTasks] = true
		}
	}
	c.checkComplete(j)
}

// TakeEnds returns the jobs whose last task has completed since the last call; the
// caller stores their end and calls Ended with whatever end is stored.
func (c *Core) TakeEnds() []string {
	e := c.pendingEnds
	c.pendingEnds = nil
	return e
}

// RetryEnd asks for the end of a job again, after its storing failed.
func (c *Core) RetryEnd(id string) {
	if j := c.jobs.find(id); j != nil && j.completing && j.finalStatus == "" {
		c.pendingEnds = append(c.pendingEnds, id)
	}
}

// JobEnded takes a stored end: done or cancelled, final from then on.
func (c *Core) JobEnded(id, status string, now Micros) {
	c.now = now
	j := c.jobs.find(id)
	if j == nil || j.finalStatus != "" {
		return
	}
	j.finalStatus = status
	c.recordEnd(j, status == wire.JobDone)
	c.log("job over", "job", id, "class", j.spec.Class, "team", j.spec.Team, "status", status, "tasks", j.spec.Tasks,
		"age_us", now-j.arrival, "guaranteed", j.initiallyWithinGuarantee, "placed_us", max(0, j.fullyPlacedAt-j.arrival), "first_start_us", max(0, j.firstStartedAt-j.arrival), "late_us", max(0, now-j.dueAt),
		"estimate_us", j.expectedRunTime(), "evictions", j.preemptions)
	j.dirtyChunks = map[int]bool{}
	for _, p := range j.sortedPlacements() {
		c.stopPlacement(p, false)
	}
	c.forgetIfGone(j)
}

// stopPlacement marks a placement to be stopped and sends the stop at once. A launch
// that was never stored or sent simply isn't sent any more. As in the paper's
// resource manager, checkpoints of a machine queue, one at a time; kills don't
// wait, and neither do gangs, whose tasks must be told together.
func (c *Core) stopPlacement(p *placement, checkpoint bool) {
	if p.stopping && (checkpoint || !p.checkpointing) {
		return
	}
	if !p.stopping {
		p.job.team.addReleasing(p.job.taskResources())
	}
	p.stopping, p.checkpointing = true, checkpoint
	p.checkpointQueued = checkpoint && !p.job.isGang() && p.machine.hasCheckpointInProgress(p)
	if !p.checkpointQueued {
		c.sendStop(p)
	}
}

// sendStop sends a stop straight to the worker; reports' answers repeat it.
func (c *Core) sendStop(p *placement) {
	p.stopSentAt = c.now
	if p.observed && p.machine.confirmed && p.machine.addr != "" {
		c.directCommands = append(c.directCommands, DirectCommand{p.machine.addr, wire.CommandBatch{FencingToken: c.Token(), Incarnation: p.machine.incarnation, Commands: []wire.Command{p.stopCommand()}}})
	}
}

// hasCheckpointInProgress says whether another checkpoint is under way on the machine.
func (m *machine) hasCheckpointInProgress(but *placement) bool {
	busy := false
	m.eachPlacement(func(p *placement) {
		busy = busy || (p != but && p.stopping && p.checkpointing && !p.checkpointQueued && !p.job.isGang())
	})
	return busy
}

// startQueuedCheckpoint starts the queued checkpoint that has waited longest.
func (c *Core) startQueuedCheckpoint(m *machine) {
	var next *placement
	m.eachPlacement(func(p *placement) {
		if p.checkpointQueued && (next == nil || p.attempt < next.attempt || (p.attempt == next.attempt && p.taskIndex < next.taskIndex)) {
			next = p
		}
	})
	if next != nil && !m.hasCheckpointInProgress(next) {
		next.checkpointQueued = false
		c.sendStop(next)
	}
}

// TakeDirectCommands returns the commands to be sent straight to workers.
func (c *Core) TakeDirectCommands() []DirectCommand {
	d := c.directCommands
	c.directCommands = nil
	return d
}

// forgetIfGone drops an ended job once nothing of it can be on any machine. Its
// records may then be deleted: its end stays.
func (c *Core) forgetIfGone(j *job) {
	if j.finalStatus != "" && len(j.placements) == 0 && c.jobs.find(j.id) == j {
		c.jobs.remove(j)
		c.forgotten = append(c.forgotten, ForgottenJob{j.id, j.finalStatus})
		if j.class.sampleJob == j {
			// keep the shape, not the task state
			j.class.sampleJob = &job{id: j.id, spec: j.spec, rank: j.rank, team: j.team, class: j.class}
		}
	}
}

// ForgottenJob is a job that has ended and of which nothing is left on any machine.
type ForgottenJob struct{ Job, Status string }

// TakeForgotten returns the jobs whose working records may be deleted.
func (c *Core) TakeForgotten() []ForgottenJob {
	f := c.forgotten
	c.forgotten = nil
	return f
}

// ProgressChunk is a piece of progress to be stored.
type ProgressChunk struct {
	Job   string
	Index int
	Text  string
}

// ProgressToStore returns up to limit chunks that are not stored yet.
func (c *Core) ProgressToStore(limit int) []ProgressChunk {
	var out []ProgressChunk
	for _, j := range c.jobs.nextDirty() {
		c.jobs.lastProgress = j.id
		for _, i := range slices.Sorted(maps.Keys(j.dirtyChunks)) {
			if len(out) == limit {
				return out
			}
			out = append(out, ProgressChunk{j.id, i, j.encodeChunk(i)})
		}
	}
	return out
}

// ProgressStored says that a chunk is durable, so its tasks may be cleared.
func (c *Core) ProgressStored(ch ProgressChunk) {
	j := c.jobs.find(ch.Job)
	if j == nil {
		return
	}
	if j.encodeChunk(ch.Index) == ch.Text {
		delete(j.dirtyChunks, ch.Index)
	}
	stored := &job{completed: make([]uint64, len(j.completed))}
	stored.mergeChunk(ch.Index, ch.Text)
	for i, w := range stored.completed {
		j.durableCompleted[i] |= w
	}
}

// IsActive says whether the core knows a job that has not ended.
func (c *Core) IsActive(id string) bool {
	j := c.jobs.find(id)
	return j != nil && j.finalStatus == ""
}

// Counts returns a job's display counts and whether the core knows the job.
func (c *Core) Counts(id string) (status string, done, running int, ok bool) {
	j := c.jobs.find(id)
	if j == nil {
		return "", 0, 0, false
	}
	for p := range j.placements {
		if p.state == wire.TaskRunning || p.state == wire.TaskSaving {
			running++
		}
	}
	status = wire.JobQueued
	if running > 0 {
		status = wire.JobRunning
	}
	return status, j.completedCount, running, true
}
