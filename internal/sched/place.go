package sched

import (
	"container/heap"
	"math"
	"slices"
	"sort"

	"dalefront/internal/config"
	"dalefront/wire"
)

// isSchedulable says whether the machine may get launches now. Only a machine whose
// worker has confirmed this term's token in its present session is known well
// enough.
func (c *Core) isSchedulable(m *machine) bool {
	return m.confirmed && !m.scalingIn && !m.leaseExpired && !m.failed && !m.quarantined && m.reclaimAt == 0 && m.cordon == nil &&
		c.now >= m.avoidUntil && c.now-m.lastHeartbeat < 2*config.Micro(c.settings.Deployment.Workers.ReportS)+second
}

// allowed says whether the job may run on the machine's type, zone and kind at
// all, apart from its other tasks.
func allowed(j *job, m *machine) bool {
	if m.spot && !j.spec.Spot {
		return false
	}
	if j.spec.Zone != nil && *j.spec.Zone != m.zone {
		return false
	}
	if j.spec.Types != nil {
		for _, t := range j.spec.Types {
			if t == m.machineType.Name {
				return true
			}
		}
		return false
	}
	return true
}

// hasRoom says whether the machine has room for n more tasks of the job.
func hasRoom(j *job, m *machine, n int) bool {
	f := float64(n)
	return m.usedCPUs+f*j.spec.CPUs <= m.machineType.CPUs+epsilon && m.usedGPUs+f*j.spec.GPUs <= m.machineType.GPUs+epsilon &&
		m.usedMemoryGB+f*j.spec.MemoryGB <= m.machineType.MemoryGB+epsilon
}

// tasksByZone counts the zones that the job's tasks may still occupy.
func (j *job) tasksByZone() map[string]int {
	z := map[string]int{}
	for p := range j.placements {
		z[p.machine.zone]++
	}
	return z
}

// zoneLimit is how many tasks of a job that is to be spread may be in one zone.
func (j *job) zoneLimit() int { return (j.spec.Tasks + 1) / 2 }

// satisfiesZones applies SamePlace and Spread, counting every task that may be placed.
func satisfiesZones(j *job, zones map[string]int, zone string) bool {
	if j.spec.OneZone {
		for z, n := range zones {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !j.spec.Spread || zones[zone] < j.zoneLimit()
}

// imageFetchS is the expected time until the machine has the job's image.
func (c *Core) imageFetchS(j *job, m *machine) float64 {
	if _, ok := m.cachedImages[j.spec.Image]; ok {
		return 0
	}
	rate := max(m.machineType.FetchGBPS, 0.01)
	if since, ok := m.fetchingImages[j.spec.Image]; ok {
		return max(0, j.spec.ImageGB/rate-float64(c.now-since)/float64(second))
	}
	return j.spec.ImageGB / rate * float64(1+len(m.fetchingImages))
}

// placementScore says how much a task would rather not go to the machine, in seconds.
func (ps *pass) placementScore(j *job, m *machine) float64 {
	s := ps.core.imageFetchS(j, m)
	if m.machineType.GPUs > 0 && j.spec.GPUs == 0 {
		s += 20 // keep graphics machines for those who need them
	}
	if j.spec.Spot && !m.spot {
		s += 2 // keep ordinary machines for those who may use no others
		if ps.onDemandTypes[m.machineType.Name] {
			s += 30 // and these wait
		}
	}
	if (m.machineType.GPUs > 0 && j.spec.GPUs == 0) || ps.contested(j, m) {
		s += 12 // where it would have to make way before long
	}
	if m.slowdown > 2 {
		s += 15 * (m.slowdown - 2) // well beyond wrong estimates
	}
	if m.machineType.CPUs > 0 {
		s += 4 * (m.machineType.CPUs - m.usedCPUs - j.spec.CPUs) / m.machineType.CPUs // fill machines
	}
	return s
}

// contested says whether a class of higher priority uses machines of the type:
// there a task is likely to be stopped, and its stop keeps the others waiting.
func (ps *pass) contested(j *job, m *machine) bool {
	for _, cl := range ps.competingClasses {
		if cl.sampleJob.rank > j.rank && fitsType(&cl.sampleJob.spec, m.machineType) {
			return true
		}
	}
	return false
}

// atTeamLimit says whether its team's limit keeps the job from starting anything now.
func (j *job) atTeamLimit() bool {
	n := 1.0
	if j.isGang() {
		n = float64(j.pendingCount())
	}
	return !j.team.withinLimit(n*j.spec.CPUs, n*j.spec.GPUs)
}

// prepareClaims lists, once a pass, the classes by what they may use, and the jobs that
// wait within their teams' guarantees, one of each class and zone.
func (ps *pass) prepareClaims(queue []*job) {
	ps.competingClasses, ps.guaranteedWaiting = ps.competingClasses[:0], ps.guaranteedWaiting[:0]
	for _, cl := range ps.core.classes.sorted() {
		if cl.sampleJob != nil && cl.sampleJob.rank > 0 && cl.arrivalRate(ps.core.now) > 0.001 {
			ps.competingClasses = append(ps.competingClasses, cl)
		}
	}
	for _, j := range queue {
		if len(ps.guaranteedWaiting) == maxGuaranteedWaiting {
			break
		}
		if j.withinGuarantee && j.rank > 0 && !j.isSuspect() && !j.atTeamLimit() && !slices.ContainsFunc(ps.guaranteedWaiting, func(o *job) bool {
			return o.class == j.class && o.spec.Zone == j.spec.Zone && o.spec.Spot == j.spec.Spot
		}) {
			ps.guaranteedWaiting = append(ps.guaranteedWaiting, j)
		}
	}
}

const maxGuaranteedWaiting = 8

// claimedByGuaranteed says whether work of higher priority that waits within its team's
// guarantee could use the machine right now. Work that is not guaranteed anything
// would fill it up again as often as it is cleared, and the claimant waits on.
func (ps *pass) claimedByGuaranteed(j *job, m *machine) bool {
	if len(ps.guaranteedWaiting) == 0 || ps.core.starved(j) {
		return false
	}
	for _, o := range ps.guaranteedWaiting {
		if o.rank > j.rank && allowed(o, m) && hasRoom(o, m, 1) {
			return true
		}
	}
	return false
}

// preference is the score, with what the job's own failures on the machine add.
func (ps *pass) preference(j *job, m *machine) float64 {
	s := ps.placementScore(j, m)
	if j.failedHosts[m.host] {
		s += 300
	}
	return s
}

// findMachine returns the best machine for a task now.
func (ps *pass) findMachine(j *job, zones map[string]int, only string) *machine {
	var best *machine
	bestScore := math.Inf(1)
	for _, m := range ps.withRoom { // in the order of their names
		if (only != "" && m.zone != only) || !ps.canTakeTask(j, m, zones) || ps.reservedAgainst(j, m) {
			continue
		}
		if s := ps.preference(j, m); s < bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

// canTakeTask says whether a usable machine may take another task of the job.
func (ps *pass) canTakeTask(j *job, m *machine, zones map[string]int) bool {
	return j.rank >= m.claimedByRank && hasRoom(j, m, 1) && allowed(j, m) && m.placementCount < maxTasksPerMachine && satisfiesZones(j, zones, m.zone) && !ps.claimedByGuaranteed(j, m) &&
		(j.spec.GPUs > 0 || m.machineType.GPUs == 0 || ps.core.firstComeFirstServed || ps.mayBlockGPUs(j, m))
}

// reservedAgainst says whether the machine is kept for another job. A task that is
// expected to be gone before that job can use it may run in the meantime.
func (ps *pass) reservedAgainst(j *job, m *machine) bool {
	r := m.reservedFor
	if r == nil || r == j || ps.core.now >= m.reservedUntil || r.rank < j.rank || r.isOver() {
		return false
	}
	if r.rank == j.rank && r.withinGuarantee == j.withinGuarantee && j.underserved() && !r.underserved() {
		return false
	}
	neglected := ps.core.starved(j)
	if (m.reservationStart > ps.core.now+worthWaiting || neglected) && r.rank > j.rank {
		return false // it is evicted when the gang's other machines are there
	}
	if neglected && m.placementCount == 0 && ps.core.now-m.idleSince > starvationAfter {
		return false // kept in vain for so long: that gang may wait for what can't be had
	}
	return m.reservationStart == 0 || j.spec.EstimateS == 0 || ps.core.now+j.expectedRunTime()*3/2+Micros(ps.core.imageFetchS(j, m)*float64(second)) > m.reservationStart
}

// queue returns the jobs that wait, in the order in which they are served:
// priority, work within guarantees, then what must start first among what can
// still make it.
func (c *Core) queue() []*job {
	var q []*job
	for j := range c.jobs.all() {
		if j.pendingCount() > 0 {
			q = append(q, j)
		} else {
			j.waitingSince = 0
			if j.fullyPlacedAt == 0 {
				j.fullyPlacedAt = c.now
			}
		}
	}
	type key struct {
		within, behind, late bool
		start                Micros
	}
	keys := make(map[*job]key, len(q))
	c.markWithinGuarantee()
	c.updateFairness()
	// A class's capacity is reckoned from the first of its jobs: from another one each
	// second, as the oldest that waits is likely to be the one that may use the least.
	if slices.ContainsFunc(q, func(j *job) bool { return c.capacityStale(j.class) }) {
		sortByID(q)
		at := int(c.now/second) % len(q)
		q = append(q[at:], q[:at]...)
	}
	for _, j := range q {
		// A large job needs the machines for a while: it has to start earlier to
		// be done in time, but when not all can be, it stands for one job only,
		// so it yields to as many small ones as that while would serve.
		work := Micros(float64(j.pendingCount()) * j.spec.CPUs * float64(j.expectedRunTime()) / max(c.classCapacity(j), 1))
		start, late := j.latestStart(c.now, work)
		keys[j] = key{j.withinGuarantee, j.underserved(), late, start + workPenalty*work}
	}
	sort.Slice(q, func(a, b int) bool {
		x, y := q[a], q[b]
		kx, ky := keys[x], keys[y]
		switch {
		case c.firstComeFirstServed && x.arrival != y.arrival:
			return x.arrival < y.arrival
		case c.firstComeFirstServed:
			return x.id < y.id
		case x.rank != y.rank:
			return x.rank > y.rank
		case kx.within != ky.within:
			return kx.within
		case kx.behind != ky.behind:
			return kx.behind
		case kx.late != ky.late:
			return !kx.late
		case kx.start != ky.start:
			return kx.start < ky.start
		}
		return x.id < y.id
	})
	return q
}

// workPenalty is how many times over a job's work counts against it: estimates are often
// wrong and more jobs are yet to come, so what is short is served first.
const workPenalty = 3

// capacityStale says whether a class's capacity is to be summed up anew.
func (c *Core) capacityStale(cl *class) bool {
	return cl.capacityAt == 0 || c.now-cl.capacityAt >= second
}

// classCapacity is how many CPUs the jobs of a class have between them: those of the
// machines that they may use, without what higher ranks take there. It is summed
// up anew every second.
func (c *Core) classCapacity(j *job) float64 {
	cl := j.class
	if !c.capacityStale(cl) {
		return cl.capacity
	}
	cl.capacity, cl.capacityAt = 0, c.now
	for _, m := range c.lastPass.schedulable {
		if !allowed(j, m) || slotsFor(j, m.machineType, 0, 0, 0) == 0 || (m.machineType.GPUs > 0 && j.spec.GPUs == 0) {
			continue
		}
		cl.capacity += m.machineType.CPUs
		for _, u := range m.usedByRank[j.rank+1:] {
			cl.capacity -= u.cpus
		}
	}
	return cl.capacity
}

// markWithinGuarantee marks the jobs that fit their teams' guarantees together with the
// teams' earlier unfinished jobs: these need not wait on other teams.
func (c *Core) markWithinGuarantee() {
	of := map[*team][]*job{}
	for j := range c.jobs.all() {
		j.withinGuarantee = false
		if !j.isOver() && (j.team.CPUs > 0 || j.team.GPUs > 0) {
			of[j.team] = append(of[j.team], j)
		}
	}
	for t, js := range of {
		sort.Slice(js, func(a, b int) bool {
			if js[a].arrival != js[b].arrival {
				return js[a].arrival < js[b].arrival
			}
			return js[a].id < js[b].id
		})
		cpus, gpus := 0.0, 0.0
		for _, j := range js {
			n := float64(j.spec.Tasks - j.completedCount)
			cpus += n * j.spec.CPUs
			gpus += n * j.spec.GPUs
			j.withinGuarantee = (t.CPUs == 0 || cpus <= t.CPUs+epsilon) && (t.GPUs == 0 || gpus <= t.GPUs+epsilon)
			if !j.guaranteeEvaluated {
				j.guaranteeEvaluated, j.initiallyWithinGuarantee = true, j.withinGuarantee
			}
		}
	}
}

// minimumRequest is the least that a task of some jobs asks for: a machine without room for it
// has none for any of them.
type minimumRequest struct{ cpus, mem float64 }

func emptyRequest() minimumRequest { return minimumRequest{math.Inf(1), math.Inf(1)} }

func (l *minimumRequest) add(j *job) {
	l.cpus, l.mem = min(l.cpus, j.spec.CPUs), min(l.mem, j.spec.MemoryGB)
}

// fits says whether it fits a machine of the type of which so much is used.
func (l *minimumRequest) fits(t *wire.MachineType, cpus, mem float64) bool {
	return cpus+l.cpus <= t.CPUs+epsilon && mem+l.mem <= t.MemoryGB+epsilon
}

// candidate is a machine that may take tasks of a job, by how much they would rather
// not go there.
type candidate struct {
	m     *machine
	score float64
	order int
}

// candidates is a heap, the best first, equal ones in the order of their names.
type candidates []candidate

func (h candidates) Len() int      { return len(h) }
func (h candidates) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h candidates) Less(a, b int) bool {
	return h[a].score < h[b].score || (h[a].score == h[b].score && h[a].order < h[b].order)
}
func (h *candidates) Push(x any) { *h = append(*h, x.(candidate)) }
func (h *candidates) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// candidates weighs all machines for a job once. While it is placed its tasks change
// the score of the machine that they fill alone, and that one is filled until it takes
// no more.
func (ps *pass) candidates(j *job, zones map[string]int, only string) candidates {
	var out candidates
	for i, m := range ps.withRoom {
		if (only == "" || m.zone == only) && ps.canTakeTask(j, m, zones) && !ps.reservedAgainst(j, m) {
			out = append(out, candidate{m, ps.preference(j, m), i})
		}
	}
	heap.Init(&out)
	return out
}

// popBest takes the best of the candidates that may still take a task, or returns nil.
func (ps *pass) popBest(all *candidates, j *job, zones map[string]int) *machine {
	for len(*all) > 0 {
		if m := heap.Pop(all).(candidate).m; ps.canTakeTask(j, m, zones) {
			return m
		} // its zone has had its share
	}
	return nil
}

// placeTasks fills machine after machine: the best one for a task is also the
// best for the job's next one, since it only gets fuller.
func (ps *pass) placeTasks(j *job) {
	b := ps.batch
	zones := j.tasksByZone()
	var all candidates
	weighed := false
	attempt := uint64(0)
	tries := ps.core.concurrencyLimit(j)
	for {
		if _, ok := j.nextPendingTask(); !ok || len(j.placements) >= tries {
			return
		}
		if j.atTeamLimit() {
			return // the limit holds, counting tasks that can't be seen
		}
		if !weighed {
			all, weighed = ps.candidates(j, zones, ""), true
		}
		m := ps.popBest(&all, j, zones)
		if m == nil {
			ps.preemptFor(j)
			return
		}
		if attempt == 0 {
			attempt = ps.core.sequence.nextAttempt()
		}
		var got []*placement
		for len(j.placements) < tries && b.fits(j, b.cost(m), 1, len(got)+1) && ps.canTakeTask(j, m, zones) && j.team.withinLimit(j.spec.CPUs, j.spec.GPUs) {
			t, ok := j.nextPendingTask()
			if !ok {
				break
			}
			got = append(got, ps.core.addPlacement(j, t, m, attempt))
			zones[m.zone]++
		}
		if len(got) == 0 {
			return // the batch is full
		}
		b.add(got...)
	}
}

// Waiting reports how many tasks wait, for logs and metrics.
func (c *Core) Waiting() (jobs, tasks int) {
	for j := range c.jobs.all() {
		if n := j.pendingCount(); n > 0 {
			jobs++
			tasks += n
		}
	}
	return
}

// canCheckpoint says whether stopping the task with grace keeps its progress.
func canCheckpoint(j *job) bool {
	return j.spec.CheckpointIntervalS > 0 && j.spec.Shape != wire.Service
}
