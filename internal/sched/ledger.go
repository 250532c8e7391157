package sched

import (
	"sort"

	"dalefront/internal/config"
	"dalefront/wire"
)

// LedgerEntry is one stored piece of the ledger: launches that were decided together,
// and where. It is created once under a name that is never used again, so a
// batch over any number of machines costs one write, and a copy of the same
// transaction that comes late changes nothing. It is deleted once every launch
// in it is proven gone.
type LedgerEntry struct {
	Hosts []LedgerHost `msgpack:"H"`
	Runs  []LedgerRun  `msgpack:"R"`
}

// LedgerHost is a machine as it was known when the entry was stored.
type LedgerHost struct {
	Host        string `msgpack:"H"`
	Addr        string `msgpack:"A"`
	Type        string `msgpack:"B"`
	Zone        string `msgpack:"D"`
	Spot        bool   `msgpack:"L"`
	Incarnation uint64 `msgpack:"S"`
}

// LedgerRun is the tasks of a job that an entry places on one of its machines.
type LedgerRun struct {
	Host    int     `msgpack:"H"`
	Job     string  `msgpack:"J"`
	Attempt uint64  `msgpack:"N"`
	Tasks   []int32 `msgpack:"T"`
}

// NamedLedgerEntry is an entry under the name that it is stored by.
type NamedLedgerEntry struct {
	Name string
	LedgerEntry
}

// ledgerEntry is what the core keeps of a stored Entry.
type ledgerEntry struct {
	name    string
	live    map[*placement]struct{}
	hosts   map[string]struct{}
	listed  bool // queued for deletion
	leaving bool // the batch under way deletes it
	moving  bool // the batch under way takes its launches over
}

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
	// those: they are proven gone by the machines' reports, like any launch that never
	// arrived, and the gang's missing tasks are placed anew.
	next *Commit
}

// Launches is how many tasks the batch starts, or with its other parts.
func (cm *Commit) Launches() int { return len(cm.placements) }

// unfinishedCommit is the batch that is being stored, or of which a part still is to be, or nil.
func (c *Core) unfinishedCommit() *Commit {
	if c.inFlight != nil {
		return c.inFlight
	}
	return c.staged
}

// newLedgerEntry makes an entry of placements that are ordered by machine.
func newLedgerEntry(ps []*placement) LedgerEntry {
	var e LedgerEntry
	index := map[string]int{}
	type key struct {
		host, job string
		attempt   uint64
	}
	runs := map[key]int{}
	for _, p := range ps {
		i, ok := index[p.machine.host]
		if !ok {
			i = len(e.Hosts)
			index[p.machine.host] = i
			m := p.machine
			e.Hosts = append(e.Hosts, LedgerHost{m.host, m.addr, m.machineType.Name, m.zone, m.spot, p.incarnation})
		}
		k := key{p.machine.host, p.job.id, p.attempt}
		r, ok := runs[k]
		if !ok {
			r = len(e.Runs)
			runs[k] = r
			e.Runs = append(e.Runs, LedgerRun{Host: i, Job: p.job.id, Attempt: p.attempt})
		}
		e.Runs[r].Tasks = append(e.Runs[r].Tasks, p.taskIndex)
	}
	return e
}

// CommitStored says that the batch is durable: its launches may be sent, unless another
// part of it is to be stored first, which the next Schedule returns.
func (c *Core) CommitStored(cm *Commit, now Micros) {
	c.now = now
	c.inFlight, c.staged = nil, cm.next
	c.passNeeded = true
	for _, n := range cm.Drop {
		delete(c.entries, n)
		delete(c.entriesOfReturned, n)
	}
	stored := make([]*ledgerEntry, len(cm.Entries))
	for i, ne := range cm.Entries {
		e := c.addEntry(ne.Name)
		stored[i] = e
		for _, h := range ne.Hosts {
			e.hosts[h.Host] = struct{}{}
			if _, gone := c.returnedMachines[h.Host]; gone {
				c.entriesOfReturned[ne.Name] = struct{}{}
			}
		}
		for _, p := range cm.parts[i] {
			if _, ok := p.job.placements[p]; ok {
				p.entry = e
				e.live[p] = struct{}{}
			}
		}
	}
	for _, p := range cm.placements {
		if _, ok := p.job.placements[p]; !ok || cm.next != nil {
			continue
		}
		p.durable = true
		c.Stats.Launches++
		// The session changed or the machine left while the entry was being
		// stored: the launch was never sent and never will be.
		if p.machine.incarnation != p.incarnation || p.machine.leaseExpired || p.stopping || p.job.isOver() {
			c.release(p)
		}
	}
	for _, e := range stored {
		if len(e.live) == 0 {
			c.retireEntry(e)
		}
	}
}

// CommitRejected says that the batch was not stored and never will be. What was stored of its
// earlier parts was not launched either.
func (c *Core) CommitRejected(cm *Commit, now Micros) {
	c.now = now
	c.inFlight, c.staged = nil, nil
	c.passNeeded = true
	for _, n := range cm.Drop {
		e := c.entries[n]
		if e == nil {
			continue
		}
		e.leaving, e.listed = false, false
		if len(e.live) == 0 {
			c.retireEntry(e)
		} else if e.moving {
			c.entriesOfReturned[n] = struct{}{}
		}
		e.moving = false
	}
	for _, p := range cm.moved {
		if p.entry == nil {
			c.unrecorded = append(c.unrecorded, p)
		}
	}
	for _, p := range cm.placements {
		c.release(p)
	}
}

func (c *Core) addEntry(name string) *ledgerEntry {
	e := &ledgerEntry{name: name, live: map[*placement]struct{}{}, hosts: map[string]struct{}{}}
	c.entries[name] = e
	return e
}

// retireEntry queues an entry without live launches for deletion.
func (c *Core) retireEntry(e *ledgerEntry) {
	if !e.leaving && !e.listed {
		e.listed = true
		c.emptyEntries = append(c.emptyEntries, e)
	}
}

// removeFromEntry takes a freed placement out of its entry.
func (c *Core) removeFromEntry(p *placement) {
	if e := p.entry; e != nil {
		delete(e.live, p)
		p.entry = nil
		if len(e.live) == 0 {
			c.retireEntry(e)
		}
	}
}

// RecoverLedger takes the stored ledger at the start of a term, after the jobs. All its
// launches count as on their machines until proof of the contrary.
func (c *Core) RecoverLedger(ledger map[string]LedgerEntry) {
	names := make([]string, 0, len(ledger))
	latest := map[string]uint64{}
	for n, e := range ledger {
		names = append(names, n)
		for _, h := range e.Hosts {
			latest[h.Host] = max(latest[h.Host], h.Incarnation)
		}
	}
	sort.Strings(names)
	for _, n := range names {
		e := c.addEntry(n)
		for _, r := range ledger[n].Runs {
			if r.Host < 0 || r.Host >= len(ledger[n].Hosts) {
				continue
			}
			h := ledger[n].Hosts[r.Host]
			m := c.machines[h.Host]
			if m == nil {
				m = c.newMachine(h.Host, h.Addr, h.Type, h.Zone, h.Spot)
				m.incarnation, m.registered = latest[h.Host], true
			}
			e.hosts[h.Host] = struct{}{}
			j := c.jobs[r.Job]
			// A job's record is deleted only after all its placements were
			// proven gone, so a task of an unknown job is not on the machine.
			// Neither is one of an earlier session than the ledger has seen.
			if j == nil || h.Incarnation < m.incarnation {
				continue
			}
			for _, t := range r.Tasks {
				if int(t) >= j.spec.Tasks || t < 0 || m.findPlacement(taskKey{j, t}, r.Attempt) != nil {
					continue
				}
				p := c.addPlacement(j, t, m, r.Attempt)
				p.durable, p.recovered, p.entry = true, true, e
				e.live[p] = struct{}{}
			}
			if j.isGang() && r.Attempt > j.gangAttempt {
				j.gangAttempt = r.Attempt
			}
		}
		if len(e.live) == 0 {
			c.retireEntry(e)
		}
	}
}

// attemptBits are the low bits of an attempt, which number the attempts under one token. They
// can't run out: each batch of a term, of some hundred attempts, moves the state service's revision,
// which the next token is, on by one.
const attemptBits = 20

// Attempts of a pass: later ones are always larger, over terms too.
func (c *Core) nextAttempt() uint64 {
	c.seq++
	return c.token<<attemptBits + c.seq
}

// taskReportBytes is what is allowed for a task in a report, and in its answer.
const taskReportBytes = 160

// maxTasksPerMachine bounds the tasks on a machine, so that a report and its answer
// stay well within the limits for bodies.
const maxTasksPerMachine = wire.MaxBodyBytes / taskReportBytes

// leaseExpiry is when a lease must have run out: the workers' clocks may be 0.05%
// slow, and ours fast.
func (c *Core) leaseExpiry() Micros { return c.lease + c.lease/1000 + config.Second/2 }
