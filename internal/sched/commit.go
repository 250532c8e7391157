package sched

import "slices"

// Commit is a write-ahead batch: entries to be created on condition that none of
// the jobs has ended, and entries to be deleted with them. It is stored whole or
// not at all.
type Commit struct {
	Entries []NamedLedgerEntry
	Jobs    []string
	Drop    []string

	// Generation is the version of the configuration's generation by which the batch was
	// decided: it must not be stored once another is in force.
	Generation uint64

	placements []*placement   // to be launched once the batch is stored
	moved      []*placement   // in the ledger already, or found on a machine
	parts      [][]*placement // by entry

	// A gang on more machines than one transaction can name takes several, each a
	// commit; this is the one to be stored after it. Nothing of any is launched before the
	// last is stored. One that is refused undoes all; what was stored of them until then
	// are entries without launches. If the leader ends in between, the next one finds
	// those: they are proven gone by the machines' heartbeats, like any launch that never
	// arrived, and the gang's missing tasks are placed anew.
	next *Commit
}

// Launches is how many tasks the batch starts, or with its other parts.
func (cm *Commit) Launches() int { return len(cm.placements) }

// launchesOn says whether the commit starts a task on the machine.
func (cm *Commit) launchesOn(host string) bool {
	return slices.ContainsFunc(cm.placements, func(p *placement) bool { return p.machine.host == host })
}

// commit makes the batch a commit, with one for each further transaction that it takes, or returns
// nil if there is nothing to store.
func (b *batch) commit(sequence *termSequence, generation uint64) *Commit {
	if len(b.placements)+len(b.moved)+len(b.drop) == 0 {
		return nil
	}
	var jobs []string
	for job := range b.jobs {
		jobs = append(jobs, job.id)
	}
	slices.Sort(jobs)
	slices.Sort(b.drop)
	first := &Commit{moved: b.moved, Drop: b.drop}
	parts := splitIntoEntries(slices.Concat(b.placements, b.moved), b.limits.value)
	for commit := first; ; commit = commit.next {
		commit.placements, commit.Jobs, commit.Generation = b.placements, jobs, generation
		commit.parts = parts
		if b.large {
			commit.parts = parts[:min(b.limits.entries, len(parts))]
		}
		for _, part := range commit.parts {
			commit.Entries = append(commit.Entries, NamedLedgerEntry{sequence.nextEntryName(), newLedgerEntry(part)})
		}
		if parts = parts[len(commit.parts):]; len(parts) == 0 {
			return first
		}
		commit.next = &Commit{}
	}
}

// commitBatch puts the batch in flight as a commit and returns it, or nil if there is nothing to
// store.
func (c *Core) commitBatch(b *batch) *Commit {
	commit := b.commit(&c.sequence, c.generation)
	if commit == nil {
		return nil
	}
	if commit.next != nil {
		c.log("gang commit split", "job", commit.Jobs[0], "tasks", len(b.placements), "machines", len(b.machines))
	}
	c.ledger.begin(commit)
	return commit
}

// CommitStored says that the batch is durable: its launches may be sent, unless another
// part of it is to be stored first, which the next Schedule returns.
func (c *Core) CommitStored(commit *Commit, now Micros) {
	c.now = now
	c.outbox.requestPass()
	stored := c.ledger.commitStored(commit, c.machines.isReturned)
	if commit.next == nil {
		for _, p := range commit.placements {
			c.launchStored(p)
		}
	}
	for _, entry := range stored {
		c.ledger.retireIfEmpty(entry)
	}
}

// launchStored marks a launch as durable, or releases it if it must not be sent any more: the
// incarnation changed or the machine left while the entry was being stored. It was never sent then
// and never will be, which is the proof that it is not on the machine.
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

// CommitRejected says that the batch was not stored and never will be. What was stored of its
// earlier parts was not launched either, so all its placements are released.
func (c *Core) CommitRejected(commit *Commit, now Micros) {
	c.now = now
	c.outbox.requestPass()
	c.ledger.commitRejected(commit)
	for _, p := range commit.placements {
		c.release(p)
	}
}

const (
	// maxEntries is how many entries the ledger holds before small ones are merged, at a site
	// of up to maxEntries*machinesPerEntry machines.
	maxEntries = 400
	// machinesPerEntry is how many machines there are for each entry at a larger site.
	machinesPerEntry = 4
)

// maxLedger is how many entries the ledger holds before small ones are merged.
func (c *Core) maxLedger() int { return max(maxEntries, c.machines.count()/machinesPerEntry) }

// HasLaunchInFlight says whether launches for the machine are being stored.
func (c *Core) HasLaunchInFlight(host string) bool {
	commit := c.ledger.unfinishedCommit()
	return commit != nil && commit.launchesOn(host)
}
