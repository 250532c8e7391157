package sched

import "slices"

// Commit is a write-ahead record of a batch, or of a part of a batch, that is stored in one transaction. It
// creates ledger entries, on condition that none of the jobs has ended, and deletes other entries.
type Commit struct {
	Entries []NamedLedgerEntry
	Jobs    []string // jobs that must not have ended
	Drop    []string // names of the entries to be deleted

	// Generation is the version of the operators' configuration under which the batch was decided. The commit
	// must not be stored once another version is in force.
	Generation uint64

	launches          []*placement   // placements to be launched once the batch is stored
	recordOnly        []*placement   // placements moved from another entry, or found on a machine, not to be launched
	placementsByEntry [][]*placement // placements of each of Entries

	// next is the commit to be stored after this one. A gang on more machines than one transaction can name
	// takes several commits. Nothing is launched before the last one is stored. If one of them is refused,
	// the whole gang is undone, and the entries stored until then cause no launches. If the leader stops
	// before the last commit is stored, the next leader recovers the stored entries. The machines'
	// heartbeats to the next leader don't list the entries' tasks, which proves that the tasks don't run. The
	// next leader then places the gang's tasks again.
	next *Commit
}

// Launches returns the number of tasks that the batch launches. If a gang takes several commits, each of them
// returns the number for the whole gang.
func (cm *Commit) Launches() int { return len(cm.launches) }

// launchesOn reports whether the commit launches a task on the machine.
func (cm *Commit) launchesOn(host string) bool {
	return slices.ContainsFunc(cm.launches, func(p *placement) bool { return p.machine.host == host })
}

// commit returns the batch as a chain of commits, one for each transaction that it takes, or nil if there is
// nothing to store.
func (b *batch) commit(sequence *termSequence, generation uint64) *Commit {
	if len(b.launches)+len(b.recordOnly)+len(b.drop) == 0 {
		return nil
	}
	var jobs []string
	for job := range b.jobs {
		jobs = append(jobs, job.id)
	}
	slices.Sort(jobs)
	slices.Sort(b.drop)
	first := &Commit{recordOnly: b.recordOnly, Drop: b.drop}
	parts := splitIntoEntries(slices.Concat(b.launches, b.recordOnly), b.limits.entryBytes)
	for commit := first; ; commit = commit.next {
		commit.launches, commit.Jobs, commit.Generation = b.launches, jobs, generation
		commit.placementsByEntry = parts
		if b.multiTransaction {
			commit.placementsByEntry = parts[:min(b.limits.entries, len(parts))]
		}
		for _, part := range commit.placementsByEntry {
			commit.Entries = append(commit.Entries, NamedLedgerEntry{sequence.nextEntryName(), newLedgerEntry(part)})
		}
		if parts = parts[len(commit.placementsByEntry):]; len(parts) == 0 {
			return first
		}
		commit.next = &Commit{}
	}
}

// commitBatch makes the batch the commit in flight and returns that commit, or nil if there is nothing to
// store.
func (c *Core) commitBatch(b *batch) *Commit {
	commit := b.commit(&c.sequence, c.generation)
	if commit == nil {
		return nil
	}
	if commit.next != nil {
		c.log("gang commit split", "job", commit.Jobs[0], "tasks", len(b.launches), "machines", len(b.machines))
	}
	c.ledger.begin(commit)
	return commit
}

// CommitStored handles a commit that is durable. Its launches may be sent, unless another commit of the same
// gang has to be stored first. The next call of Schedule returns that commit.
func (c *Core) CommitStored(commit *Commit, now Micros) {
	c.now = now
	c.outbox.requestPass()
	stored := c.ledger.commitStored(commit, c.machines.isReturned)
	if commit.next == nil {
		for _, p := range commit.launches {
			c.launchStored(p)
		}
	}
	for _, entry := range stored {
		c.ledger.retireIfEmpty(entry)
	}
}

// launchStored marks a launch as durable. It releases the placement if the launch must not be sent any more,
// because the worker's incarnation changed, the lease expired, the task was stopped, or its job ended while
// the entry was being stored. Such a launch was not sent and never will be, which proves that the task is not
// on the machine.
func (c *Core) launchStored(p *placement) {
	if !p.isHeld() {
		return
	}
	p.durable = true
	c.Stats.Launches++
	if p.machine.incarnation != p.incarnation || p.machine.leaseExpired || p.stopping || p.job.isOver() {
		c.release(p)
	}
}

// CommitRejected handles a commit that was not stored and never will be. Earlier commits of the same gang
// were stored without a launch, so all placements are released.
func (c *Core) CommitRejected(commit *Commit, now Micros) {
	c.now = now
	c.outbox.requestPass()
	c.ledger.commitRejected(commit)
	for _, p := range commit.launches {
		c.release(p)
	}
}

const (
	// smallSiteMaxEntries is the number of entries above which the ledger merges entries, at a site of up
	// to smallSiteMaxEntries*machinesPerEntry machines.
	smallSiteMaxEntries = 400
	// machinesPerEntry is the number of machines that allow the ledger one more entry at a larger site.
	machinesPerEntry = 4
)

// maxLedgerEntries returns the number of entries above which the ledger merges entries.
func (c *Core) maxLedgerEntries() int {
	return max(smallSiteMaxEntries, c.machines.count()/machinesPerEntry)
}

// HasLaunchInFlight reports whether an unfinished commit has a launch for the machine.
func (c *Core) HasLaunchInFlight(host string) bool {
	commit := c.ledger.unfinishedCommit()
	return commit != nil && commit.launchesOn(host)
}
