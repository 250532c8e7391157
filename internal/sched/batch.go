package sched

import (
	"fmt"
	"sort"
)

// Sizes count in the longer text form, estimated from above.
func hostBytes(m *machine) int {
	return 80 + len(m.host) + len(m.addr) + len(m.machineType.Name) + len(m.zone)
}

const (
	runBytes       = 100
	taskBytes      = 7
	entryBytes     = 128 // an entry's name as a change and as a condition
	conditionBytes = 48  // a condition but for the job's id

	// Of the protocol's 64 KiB for a transaction. What is left is for machines that are named
	// twice and for the fixed conditions.
	maxTxnBytes       = 49 << 10
	maxConditionBytes = 9 << 10
	maxDrops          = 48 // deletions of one batch, some 50 bytes each
	maxDropsAlong     = 4  // deletions of a batch that has launches, since both count as changes

	fixedConditions = 2 // of every batch, whatever it holds
)

// batch collects the placements of one pass.
type batch struct {
	c          *Core
	machines   map[*machine]bool
	jobs       map[*job]bool
	bytes      int // of the entries, before they are cut
	conditions int // bytes of the conditions on jobs
	widest     int // bytes of the longest single launch, its machine included
	limits     batchLimits
	large      bool // one gang, in several transactions
	placements []*placement
	moved      []*placement
	drop       []string
}

// batchLimits bounds a batch so that its transaction is never refused as malformed: it
// would be proposed again for ever.
type batchLimits struct {
	value      int // bytes of an entry
	total      int // bytes of all entries
	entries    int // that total is meant to fill
	changes    int // in a transaction
	jobs       int // each brings two conditions
	conditions int // bytes of the conditions on jobs
}

func (c *Core) newBatch() *batch {
	st := &c.settings.Deployment.State
	value := int(st.ValueKB * 1024 * 0.75)
	entries := max(1, min(st.TxnOps/2, maxTxnBytes/(value+entryBytes)))
	return &batch{c: c, machines: map[*machine]bool{}, jobs: map[*job]bool{}, limits: batchLimits{
		value: value, total: entries * value, entries: entries, changes: st.TxnOps,
		// Two conditions a job: no end of its own, and none in the archive. Those on the
		// leadership and on the entries' names come on top.
		jobs:       max(1, (4*st.TxnOps-fixedConditions-(entries+1))/2),
		conditions: maxConditionBytes,
	}}
}

// entriesNeeded bounds from above how many entries split cuts the batch into. An entry is
// closed when the next launch doesn't fit, so up to one launch of it stays empty, and a
// machine that is cut in two is named twice.
func (b *batch) entriesNeeded() int {
	switch usable := b.limits.value - 2*b.widest; {
	case b.bytes <= b.limits.value:
		return 1
	case b.large:
		return b.limits.entries
	case usable <= 0:
		return b.limits.changes
	default:
		return 1 + b.bytes/usable
	}
}

// mayDrop says whether the transaction has room for deleting one more entry.
func (b *batch) mayDrop() bool {
	return b.entriesNeeded()+len(b.drop) < b.limits.changes && len(b.drop) < maxDrops
}

// launchBytes is what a single launch takes of an entry, its machine included.
func launchBytes(m *machine) int { return hostBytes(m) + runBytes + taskBytes }

// reserveMachine notes that the batch names the machine.
func (b *batch) reserveMachine(m *machine) {
	b.machines[m] = true
	b.widest = max(b.widest, launchBytes(m))
}

// reserveJob notes that the batch launches tasks of the job.
func (b *batch) reserveJob(j *job) {
	if !b.jobs[j] {
		b.jobs[j] = true
		b.conditions += jobConditions(j)
	}
}

// jobConditions estimates the bytes of the two conditions on a job.
func jobConditions(j *job) int { return 2 * (conditionBytes + len(j.id)) }

// fitsAlone says whether what takes hosts bytes of machines, and so many runs and tasks, fits
// a batch of its own.
func (b *batch) fitsAlone(hosts, runs, k int) bool {
	return hosts+runs*runBytes+k*taskBytes <= b.limits.total
}

// fits says whether the batch has room for k more tasks of the job on machines
// that take hosts bytes of their own.
func (b *batch) fits(j *job, hosts, runs, k int) bool {
	return !b.large && (b.jobs[j] || b.fitsJob(j)) && b.fitsAlone(b.bytes+hosts, runs, k)
}

func (b *batch) fitsJob(j *job) bool {
	return len(b.jobs) < b.limits.jobs && (len(b.jobs) == 0 || b.conditions+jobConditions(j) <= b.limits.conditions)
}

func (b *batch) cost(m *machine) int {
	if b.machines[m] {
		return 0
	}
	return hostBytes(m)
}

// add takes tasks of one job on one machine.
func (b *batch) add(ps ...*placement) {
	p := ps[0]
	b.bytes += b.cost(p.machine) + runBytes + len(ps)*taskBytes
	b.reserveJob(p.job)
	b.reserveMachine(p.machine)
	b.placements = append(b.placements, ps...)
	if p.machine.reservedFor == p.job {
		p.machine.reservedFor = nil
	}
}

// compactLedger lets the batch delete entries that are spent and take over what is
// left of those that name returned machines: a later leader would otherwise
// wait for machines that are gone.
func (c *Core) compactLedger(b *batch) {
	due := len(b.placements) > 0 || len(c.unrecorded) > 0 || c.now-c.ledgerCompactedAt >= second
	if !due {
		return
	}
	c.ledgerCompactedAt = c.now
	left := c.unrecorded[:0]
	for _, p := range c.unrecorded {
		switch _, ok := p.job.placements[p]; {
		case !ok || p.entry != nil:
		case b.bytes+b.cost(p.machine)+runBytes+taskBytes > b.limits.total:
			left = append(left, p)
		default:
			b.bytes += b.cost(p.machine) + runBytes + taskBytes
			b.reserveMachine(p.machine)
			b.moved = append(b.moved, p)
		}
	}
	c.unrecorded = left
	most := maxDrops
	if len(b.placements) > 0 {
		most = maxDropsAlong
	}
	for len(c.emptyEntries) > 0 && len(b.drop) < most && b.mayDrop() {
		e := c.emptyEntries[0]
		c.emptyEntries = c.emptyEntries[1:]
		e.leaving = true
		b.drop = append(b.drop, e.name)
	}
	names := make([]string, 0, len(c.entriesOfReturned))
	for n := range c.entriesOfReturned {
		names = append(names, n)
	}
	if len(names) == 0 && len(c.entries) > c.maxLedger() {
		for n := range c.entries { // many small ones: a takeover reads them all
			names = append(names, n)
		}
	}
	sort.Strings(names)
	for _, n := range names {
		e := c.entries[n]
		if e == nil || e.leaving || len(e.live) == 0 {
			delete(c.entriesOfReturned, n)
			continue
		}
		if len(b.drop) >= most {
			break
		}
		if !b.moves(e) {
			continue
		}
		delete(c.entriesOfReturned, n)
		e.leaving, e.moving = true, true
		b.drop = append(b.drop, n)
	}
}

// moves takes over the live launches of an entry that is to be deleted, if there is room
// for them and for its deletion.
func (b *batch) moves(e *ledgerEntry) bool {
	bytes, widest := b.bytes, b.widest
	b.bytes += e.size(b)
	for p := range e.live {
		b.widest = max(b.widest, launchBytes(p.machine))
	}
	if b.bytes > b.limits.total || !b.mayDrop() {
		b.bytes, b.widest = bytes, widest
		return false
	}
	for p := range e.live {
		b.reserveMachine(p.machine)
		b.moved = append(b.moved, p)
	}
	return true
}

// size estimates what it takes to move the entry's live launches into the batch.
func (e *ledgerEntry) size(b *batch) int {
	type run struct {
		m       *machine
		j       *job
		attempt uint64
	}
	hosts, runs, n := map[*machine]bool{}, map[run]bool{}, 0
	for p := range e.live {
		if !hosts[p.machine] {
			hosts[p.machine] = true
			n += b.cost(p.machine)
		}
		if k := (run{p.machine, p.job, p.attempt}); !runs[k] {
			runs[k] = true
			n += runBytes
		}
		n += taskBytes
	}
	return n
}

const (
	// maxEntries is how many entries the ledger holds before small ones are merged, at a site
	// of up to maxEntries*machinesPerEntry machines.
	maxEntries = 400
	// machinesPerEntry is how many machines there are for each entry at a larger site.
	machinesPerEntry = 4
)

// maxLedger is how many entries the ledger holds before small ones are merged.
func (c *Core) maxLedger() int { return max(maxEntries, len(c.machinesByName)/machinesPerEntry) }

// finishBatch makes the batch a commit, or returns nil if there is nothing to store.
func (c *Core) finishBatch(b *batch) *Commit {
	if len(b.placements)+len(b.moved)+len(b.drop) == 0 {
		return nil
	}
	var ids []string
	for j := range b.jobs {
		ids = append(ids, j.id)
	}
	sort.Strings(ids)
	sort.Strings(b.drop)
	first := &Commit{moved: b.moved, Drop: b.drop}
	parts := split(append(append([]*placement{}, b.placements...), b.moved...), b.limits.value)
	for cm := first; ; cm = cm.next {
		cm.placements, cm.Jobs, cm.Generation = b.placements, ids, c.generation
		cm.parts = parts
		if b.large {
			cm.parts = parts[:min(b.limits.entries, len(parts))]
		}
		for _, part := range cm.parts {
			c.seq++
			cm.Entries = append(cm.Entries, NamedLedgerEntry{fmt.Sprintf("%016x.%08x", c.token, c.seq), newLedgerEntry(part)})
		}
		if parts = parts[len(cm.parts):]; len(parts) == 0 {
			break
		}
		cm.next = &Commit{}
	}
	if first.next != nil {
		c.log("launches in several transactions", "job", ids[0], "tasks", len(b.placements), "machines", len(b.machines))
	}
	c.inFlight = first
	return first
}

// split orders placements by machine and job and cuts them into entries.
func split(ps []*placement, most int) (parts [][]*placement) {
	sort.Slice(ps, func(a, b int) bool {
		x, y := ps[a], ps[b]
		switch {
		case x.machine.host != y.machine.host:
			return x.machine.host < y.machine.host
		case x.job.id != y.job.id:
			return x.job.id < y.job.id
		case x.taskIndex != y.taskIndex:
			return x.taskIndex < y.taskIndex
		}
		return x.attempt < y.attempt
	})
	first, size := 0, 0
	for i, p := range ps {
		n := taskBytes
		if i == first || p.machine != ps[i-1].machine {
			n += hostBytes(p.machine) + runBytes
		} else if p.job != ps[i-1].job || p.attempt != ps[i-1].attempt {
			n += runBytes
		}
		if size+n > most && i > first {
			parts = append(parts, ps[first:i])
			first, size, n = i, 0, launchBytes(p.machine)
		}
		size += n
	}
	if first < len(ps) {
		parts = append(parts, ps[first:])
	}
	return parts
}
