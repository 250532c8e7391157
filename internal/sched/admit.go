package sched

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"dalefront/internal/config"
	"dalefront/wire"
)

// rank is a priority's rank. First come, first served knows one only, and not the lowest,
// for which no machines would be rented at first.
func (c *Core) rank(priority string) int {
	if c.byArrival {
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
	return j.CPUs <= t.CPUs+eps && j.GPUs <= t.GPUs+eps && j.MemoryGB <= t.MemoryGB+eps
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
	if !t.allows(n*j.CPUs, n*j.GPUs) {
		return fmt.Errorf("more than the limit of team %q", j.Team)
	}
	return nil
}

// AddJob takes an accepted job. arrival is when its user submitted it.
func (c *Core) AddJob(spec wire.Job, arrival, now Micros) {
	c.now = now
	if c.jobs[spec.ID] != nil {
		return
	}
	tm := c.teams[spec.Team]
	if tm == nil { // accepted under other settings; it has no guarantee
		tm = &team{Team: config.Team{Name: spec.Team}}
		c.teams[spec.Team] = tm
	}
	cl := c.classOf(spec.Class)
	words := (spec.Tasks + 63) / 64
	j := &job{
		id: spec.ID, spec: spec, rank: c.rank(spec.Priority), arrival: min(arrival, now), team: tm, class: cl,
		done: make([]uint64, words), storedDone: make([]uint64, words), dirty: map[int]bool{},
		placements: map[*placement]struct{}{}, count: map[int32]int{}, waitSince: now,
	}
	j.due = j.arrival + 600*second
	if len(cl.finishes) > 0 {
		j.due = j.arrival + cl.finishes[0]
	}
	if spec.DeadlineS != nil {
		j.due = j.arrival + config.Micro(*spec.DeadlineS)
	}
	c.jobs[spec.ID] = j
	j.large = j.class.sizes.take(j.spec.Tasks)
	j.both(func(s *served) { s.submitted++ })
	c.changed = true
	cl.sample = j
	if now-j.arrival < rateMemory {
		cl.arrive(now, float64(spec.Tasks))
		cl.last = max(cl.last, j.arrival)
	}
}

// SetProgress takes a stored chunk of a job's completed tasks.
func (c *Core) SetProgress(id string, chunk int, text string) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	j.setChunk(chunk, text)
	j.doneCount = 0
	for t := int32(0); t < int32(j.spec.Tasks); t++ {
		if j.isDone(t) {
			j.doneCount++
		}
	}
	copy(j.storedDone, j.done)
	c.checkComplete(j)
}

func (c *Core) checkComplete(j *job) {
	if j.spec.Shape != wire.Service && j.doneCount == j.spec.Tasks && !j.over() {
		j.finishing = true
		c.ends = append(c.ends, j.id)
	}
}

func (c *Core) markDone(j *job, t int32) {
	if j.spec.Shape == wire.Service || int(t) >= j.spec.Tasks {
		return
	}
	first, last := t, t
	if j.gang() { // the tasks of a gang complete together
		first, last = 0, int32(j.spec.Tasks)-1
	}
	for k := first; k <= last; k++ {
		if !j.isDone(k) {
			j.done[k>>6] |= 1 << (k & 63)
			j.doneCount++
			j.dirty[int(k)/ChunkTasks] = true
		}
	}
	c.checkComplete(j)
}

// Ends returns the jobs whose last task has completed since the last call; the
// caller stores their end and calls Ended with whatever end is stored.
func (c *Core) Ends() []string {
	e := c.ends
	c.ends = nil
	return e
}

// RetryEnd asks for the end of a job again, after its storing failed.
func (c *Core) RetryEnd(id string) {
	if j := c.jobs[id]; j != nil && j.finishing && j.ended == "" {
		c.ends = append(c.ends, id)
	}
}

// Ended takes a stored end: done or cancelled, final from then on.
func (c *Core) Ended(id, status string, now Micros) {
	c.now = now
	j := c.jobs[id]
	if j == nil || j.ended != "" {
		return
	}
	j.ended = status
	c.over(j, status == wire.JobDone)
	c.log("job over", "job", id, "class", j.spec.Class, "team", j.spec.Team, "status", status, "tasks", j.spec.Tasks,
		"age_us", now-j.arrival, "guaranteed", j.guaranteed, "placed_us", max(0, j.placedAt-j.arrival), "first_start_us", max(0, j.first-j.arrival), "late_us", max(0, now-j.due),
		"estimate_us", j.estimate(), "evictions", j.evictions)
	j.dirty = map[int]bool{}
	for _, p := range j.ordered() {
		c.stop(p, false)
	}
	c.tryForget(j)
}

// stop marks a placement to be stopped and sends the stop at once. A launch
// that was never stored or sent simply isn't sent any more. As in the paper's
// resource manager, checkpoints of a machine queue, one at a time; kills don't
// wait, and neither do gangs, whose tasks must be told together.
func (c *Core) stop(p *placement, checkpoint bool) {
	if p.stop && (checkpoint || !p.checkpoint) {
		return
	}
	if !p.stop {
		p.job.team.leavingCPUs += p.job.spec.CPUs
		p.job.team.leavingGPUs += p.job.spec.GPUs
	}
	p.stop, p.checkpoint = true, checkpoint
	p.queued = checkpoint && !p.job.gang() && p.m.saving(p)
	if !p.queued {
		c.tell(p)
	}
}

// tell sends a stop straight to the worker; reports' answers repeat it.
func (c *Core) tell(p *placement) {
	p.stopSent = c.now
	if p.seen && p.m.confirmed && p.m.addr != "" {
		c.direct = append(c.direct, Direct{p.m.addr, wire.DirectOrders{Token: c.token, Session: p.m.session, Orders: []wire.Order{p.order()}}})
	}
}

// saving says whether another checkpoint is under way on the machine.
func (m *machine) saving(but *placement) bool {
	busy := false
	m.each(func(p *placement) {
		busy = busy || (p != but && p.stop && p.checkpoint && !p.queued && !p.job.gang())
	})
	return busy
}

// nextCheckpoint starts the queued checkpoint that has waited longest.
func (c *Core) nextCheckpoint(m *machine) {
	var next *placement
	m.each(func(p *placement) {
		if p.queued && (next == nil || p.attempt < next.attempt || (p.attempt == next.attempt && p.task < next.task)) {
			next = p
		}
	})
	if next != nil && !m.saving(next) {
		next.queued = false
		c.tell(next)
	}
}

// Directs returns the commands to be sent straight to workers.
func (c *Core) Directs() []Direct {
	d := c.direct
	c.direct = nil
	return d
}

// tryForget drops an ended job once nothing of it can be on any machine. Its
// records may then be deleted: its end stays.
func (c *Core) tryForget(j *job) {
	if j.ended != "" && len(j.placements) == 0 && c.jobs[j.id] == j {
		delete(c.jobs, j.id)
		c.forget = append(c.forget, Forgotten{j.id, j.ended})
		if j.class.sample == j {
			// keep the shape, not the task state
			j.class.sample = &job{id: j.id, spec: j.spec, rank: j.rank, team: j.team, class: j.class}
		}
	}
}

// Forgotten is a job that has ended and of which nothing is left on any machine.
type Forgotten struct{ Job, Status string }

// Forgotten returns the jobs whose working records may be deleted.
func (c *Core) Forgotten() []Forgotten {
	f := c.forget
	c.forget = nil
	return f
}

// Chunk is a piece of progress to be stored.
type Chunk struct {
	Job   string
	Index int
	Text  string
}

// Progress returns up to limit chunks that are not stored yet.
func (c *Core) Progress(limit int) []Chunk {
	var out []Chunk
	// In turn: with a fixed order the first jobs would keep the last ones from ever being
	// stored.
	js := c.inOrder(func(j *job) bool { return !j.over() && len(j.dirty) > 0 })
	at, _ := slices.BinarySearchFunc(js, c.progressed+"\x00", func(j *job, id string) int { return cmp.Compare(j.id, id) })
	for _, j := range append(js[at:len(js):len(js)], js[:at]...) {
		c.progressed = j.id
		for _, i := range slices.Sorted(maps.Keys(j.dirty)) {
			if len(out) == limit {
				return out
			}
			out = append(out, Chunk{j.id, i, j.chunk(i)})
		}
	}
	return out
}

// ProgressStored says that a chunk is durable, so its tasks may be cleared.
func (c *Core) ProgressStored(ch Chunk) {
	j := c.jobs[ch.Job]
	if j == nil {
		return
	}
	if j.chunk(ch.Index) == ch.Text {
		delete(j.dirty, ch.Index)
	}
	stored := &job{done: make([]uint64, len(j.done))}
	stored.setChunk(ch.Index, ch.Text)
	for i, w := range stored.done {
		j.storedDone[i] |= w
	}
}

// Active says whether the core knows a job that has not ended.
func (c *Core) Active(id string) bool {
	j := c.jobs[id]
	return j != nil && j.ended == ""
}

// Counts returns a job's display counts and whether the core knows the job.
func (c *Core) Counts(id string) (status string, done, running int, ok bool) {
	j := c.jobs[id]
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
	return status, j.doneCount, running, true
}
