package sched

import (
	"slices"

	"dalefront/internal/config"
)

// pass holds what one scheduling pass knows about the machines and the waiting jobs, and what it decides.
// Each call of Schedule creates a new pass. The core keeps the last pass to answer questions between two
// passes, such as why a job waits and which machines are idle.
type pass struct {
	core  *Core
	batch *batch // the launches that the pass decides on

	schedulable []*machine // machines that may get launches, by name
	withRoom    []*machine // schedulable machines whose free capacity may suffice for a waiting task

	gpus                gpuSummary
	typesWantedOnDemand map[string]bool  // machine types that fit waiting jobs which may not use spot machines
	competingClasses    []*class         // classes above the lowest priority whose jobs keep arriving
	claimedRank         map[*machine]int // rank of the waiting gang that could start on the machine by preemption
	guaranteedWaiting   []*job           // jobs that wait within their teams' guarantees

	preemptionSearches int               // number of jobs that searched for victims
	fleetSettled       bool              // enough machines have confirmed the term to allow preemption
	victimCandidates   []victimCandidate // buffer that each call of preemptionCost reuses
}

// newPass begins a pass and lists the machines that may get launches. It reuses the memory of the previous
// pass.
func (c *Core) newPass() *pass {
	last := c.lastPass
	clear(last.typesWantedOnDemand)
	clear(last.claimedRank)
	ps := &pass{
		core:                c,
		schedulable:         last.schedulable[:0],
		gpus:                last.gpus,
		typesWantedOnDemand: last.typesWantedOnDemand,
		claimedRank:         last.claimedRank,
		competingClasses:    last.competingClasses[:0],
		guaranteedWaiting:   last.guaranteedWaiting[:0],
		victimCandidates:    last.victimCandidates,
	}
	c.lastPass = ps
	ps.listSchedulable()
	return ps
}

// emptyPass returns the initial lastPass of a core that has not made a pass yet.
func emptyPass(c *Core) *pass {
	return &pass{core: c, typesWantedOnDemand: map[string]bool{}, claimedRank: map[*machine]int{}}
}

// Schedule runs a scheduling pass and returns a batch to be stored, or nil. Only one batch is
// outstanding at a time.
func (c *Core) Schedule(now Micros) *Commit {
	c.now = now
	c.reconcile()
	if c.ledger.hasInFlight() {
		return nil
	}
	if commit := c.ledger.beginStaged(); commit != nil {
		return commit
	}
	ps := c.newPass()
	ps.batch = newBatch(&c.settings.Deployment.State)
	queue := c.moveNextGangToFront(c.queue())
	ps.prepare(queue)
	ps.planGangs(ps.placeAll(queue))
	c.ledger.compact(ps.batch, now, c.maxLedgerEntries())
	return c.commitBatch(ps.batch)
}

// moveNextGangToFront moves the gang that needs a batch of its own, if there is one, to the front of
// the queue.
func (c *Core) moveNextGangToFront(queue []*job) []*job {
	if i := slices.Index(queue, c.nextGang); i > 0 {
		copy(queue[1:i+1], queue[:i])
		queue[0] = c.nextGang
	}
	c.nextGang = nil
	return queue
}

// prepare computes, once per pass, what the decisions for all jobs of the queue depend on.
func (ps *pass) prepare(queue []*job) {
	ps.summarizeGPUs(queue)
	ps.prepareClaims(queue)
	ps.filterWithRoom(queue)
	ps.fleetSettled = ps.core.isFleetSettled()
}

// placeAll places the jobs of the queue one after the other and returns the gangs that lack capacity. Before
// placeAll goes on to jobs of a lower priority, the gangs that lack capacity claim the machines on which they
// could start.
func (ps *pass) placeAll(queue []*job) (gangs []*job) {
	rank, claimed := numRanks, 0
	for _, job := range queue {
		if ps.core.now < job.backoffUntil {
			continue
		}
		if job.rank < rank {
			rank = job.rank
			ps.claimForGangs(gangs[claimed:])
			claimed = len(gangs)
		}
		if !job.isGang() {
			ps.placeTasks(job)
		} else if !ps.placeGang(job) && !job.isSuspect() {
			gangs = append(gangs, job)
		}
		if ps.blocksQueue(job) {
			break
		}
	}
	return gangs
}

// blocksQueue reports whether the job keeps all jobs behind it in the queue from being placed. A job can block
// the queue only if jobs are served strictly in the order of their arrival. Under this policy, a job blocks the
// queue while it has pending tasks, unless it is suspect or its team's limit is reached.
func (ps *pass) blocksQueue(j *job) bool {
	return ps.core.firstComeFirstServed && j.pendingCount() > 0 && !j.isSuspect() && j.team.withinLimit(j.spec.CPUs, j.spec.GPUs)
}

// listSchedulable lists the machines that may get launches. The list is made once per pass, since nothing in
// a pass changes whether a machine is schedulable.
func (ps *pass) listSchedulable() {
	for _, m := range ps.core.machines.all() {
		if ps.core.isSchedulable(m) {
			ps.schedulable = append(ps.schedulable, m)
		}
	}
	ps.withRoom = ps.schedulable
}

// isSchedulable reports whether the machine may get launches now. Among other conditions, the present
// incarnation of its worker must have confirmed this term's token. Otherwise the tasks on the machine are not
// known reliably.
func (c *Core) isSchedulable(m *machine) bool {
	return m.confirmed && !m.scalingIn && !m.leaseExpired && !m.failed && !m.quarantined && m.reclaimAt == 0 && m.cordon == nil &&
		c.now >= m.avoidUntil && c.now-m.lastHeartbeat < 2*config.Micro(c.settings.Deployment.Workers.HeartbeatIntervalS)+second
}

// filterWithRoom leaves out the machines without capacity for even the smallest request of a waiting job.
// These machines are left out for the whole pass, since machines only get fuller within a pass. When many
// jobs wait, nearly all machines are full. Without the filter, each job would examine all full machines.
func (ps *pass) filterWithRoom(queue []*job) {
	smallest := newMinimumRequest()
	for _, j := range queue {
		smallest.add(j)
	}
	ps.withRoom = nil
	for _, m := range ps.schedulable {
		if smallest.fits(m.machineType, m.usedCPUs, m.usedMemoryGB) && m.placementCount < maxTasksPerMachine {
			ps.withRoom = append(ps.withRoom, m)
		}
	}
}

// dropMachine removes a machine that no longer exists.
func (ps *pass) dropMachine(m *machine) {
	if i := slices.Index(ps.schedulable, m); i >= 0 {
		ps.schedulable = slices.Delete(ps.schedulable, i, i+1)
	}
}
