package sched

import (
	"fmt"
	"sort"

	"dalefront/internal/config"
	"dalefront/wire"
)

// Entry is one stored piece of the ledger: launches that were decided together,
// and where. It is created once under a name that is never used again, so a
// batch over any number of machines costs one write, and a copy of the same
// transaction that comes late changes nothing. It is deleted once every launch
// in it is proven gone.
type Entry struct {
	Hosts []EntryHost `msgpack:"H"`
	Runs  []Run       `msgpack:"R"`
}

// EntryHost is a machine as it was known when the entry was stored.
type EntryHost struct {
	Host    string `msgpack:"H"`
	Addr    string `msgpack:"A"`
	Type    string `msgpack:"B"`
	Zone    string `msgpack:"D"`
	Spot    bool   `msgpack:"L"`
	Session uint64 `msgpack:"S"`
}

// Run is the tasks of a job that an entry places on one of its machines.
type Run struct {
	Host    int     `msgpack:"H"`
	Job     string  `msgpack:"J"`
	Attempt uint64  `msgpack:"N"`
	Tasks   []int32 `msgpack:"T"`
}

// NamedEntry is an entry under the name that it is stored by.
type NamedEntry struct {
	Name string
	Entry
}

// entry is what the core keeps of a stored Entry.
type entry struct {
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
	Entries []NamedEntry
	Jobs    []string
	Drop    []string

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

// Sizes count in the longer text form, estimated from above.
func hostBytes(m *machine) int {
	return 80 + len(m.host) + len(m.addr) + len(m.kind.Name) + len(m.zone)
}

const (
	runBytes    = 100
	taskBytes   = 7
	maxTxnBytes = 48 << 10 // of the protocol's 64 KiB; conditions take the rest
)

// batch collects the placements of one pass.
type batch struct {
	c          *Core
	machines   map[*machine]bool
	jobs       map[*job]bool
	bytes      int
	value      int // bytes of an entry
	most       int // bytes of all entries
	maxDrops   int
	maxJobs    int
	perTxn     int  // entries in a transaction
	large      bool // one gang, in several transactions
	placements []*placement
	moved      []*placement
	drop       []string
}

func (c *Core) newBatch() *batch {
	st := &c.set.Deployment.State
	value := int(st.ValueKB * 1024 * 0.75)
	entries := max(1, min(st.TxnOps/2, maxTxnBytes/value))
	return &batch{c: c, perTxn: entries, machines: map[*machine]bool{}, jobs: map[*job]bool{}, value: value, most: entries * value, maxDrops: st.TxnOps - entries,
		// Two conditions a job: no end of its own, and none in the archive. Those on the
		// term and on the entries' names come on top. A batch with more is refused as
		// malformed, and would be proposed again for ever.
		maxJobs: max(1, (4*st.TxnOps-2-entries)/2)}
}

// alone says whether what takes hosts bytes of machines, and so many runs and tasks, fits
// a batch of its own.
func (b *batch) alone(hosts, runs, k int) bool { return hosts+runs*runBytes+k*taskBytes <= b.most }

// takes says whether the batch has room for k more tasks of the job on machines
// that take hosts bytes of their own.
func (b *batch) takes(j *job, hosts, runs, k int) bool {
	return !b.large && (b.jobs[j] || len(b.jobs) < b.maxJobs) && b.alone(b.bytes+hosts, runs, k)
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
	b.bytes += b.cost(p.m) + runBytes + len(ps)*taskBytes
	b.jobs[p.job], b.machines[p.m] = true, true
	b.placements = append(b.placements, ps...)
	if p.m.reserved == p.job {
		p.m.reserved = nil
	}
}

// tidyLedger lets the batch delete entries that are spent and take over what is
// left of those that name returned machines: a later leader would otherwise
// wait for machines that are gone.
func (c *Core) tidyLedger(b *batch) {
	due := len(b.placements) > 0 || len(c.strays) > 0 || c.now-c.kept >= second
	if !due {
		return
	}
	c.kept = c.now
	left := c.strays[:0]
	for _, p := range c.strays {
		switch _, ok := p.job.placements[p]; {
		case !ok || p.entry != nil:
		case b.bytes+b.cost(p.m)+runBytes+taskBytes > b.most:
			left = append(left, p)
		default:
			b.bytes += b.cost(p.m) + runBytes + taskBytes
			b.machines[p.m] = true
			b.moved = append(b.moved, p)
		}
	}
	c.strays = left
	most := b.maxDrops
	if len(b.placements) > 0 {
		most = min(most, 4) // deletions count as changes: few go along with launches
	}
	for len(c.spent) > 0 && len(b.drop) < most {
		e := c.spent[0]
		c.spent = c.spent[1:]
		e.leaving = true
		b.drop = append(b.drop, e.name)
	}
	names := make([]string, 0, len(c.fragile))
	for n := range c.fragile {
		names = append(names, n)
	}
	if len(names) == 0 && len(c.entries) > max(maxEntries, len(c.order)/4) {
		for n := range c.entries { // many small ones: a takeover reads them all
			names = append(names, n)
		}
	}
	sort.Strings(names)
	for _, n := range names {
		e := c.entries[n]
		if e == nil || e.leaving || len(e.live) == 0 {
			delete(c.fragile, n)
			continue
		}
		if len(b.drop) >= most {
			break
		}
		if b.bytes+e.size(b) > b.most {
			continue
		}
		delete(c.fragile, n)
		e.leaving, e.moving = true, true
		b.drop = append(b.drop, n)
		b.bytes += e.size(b)
		for p := range e.live {
			b.machines[p.m] = true
			b.moved = append(b.moved, p)
		}
	}
}

// size estimates what it takes to move the entry's live launches into the batch.
func (e *entry) size(b *batch) int {
	type run struct {
		m *machine
		j *job
	}
	hosts, runs, n := map[*machine]bool{}, map[run]bool{}, 0
	for p := range e.live {
		if !hosts[p.m] {
			hosts[p.m] = true
			n += b.cost(p.m)
		}
		if k := (run{p.m, p.job}); !runs[k] {
			runs[k] = true
			n += runBytes
		}
		n += taskBytes
	}
	return n
}

// maxEntries is how many entries the ledger holds before small ones are merged, at a site
// of up to four times as many machines; at a larger one a quarter of its machines.
const maxEntries = 400

// close makes the batch a commit, or returns nil if there is nothing to store.
func (c *Core) close(b *batch) *Commit {
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
	parts := split(append(append([]*placement{}, b.placements...), b.moved...), b.value)
	for cm := first; ; cm = cm.next {
		cm.placements, cm.Jobs = b.placements, ids
		cm.parts = parts
		if b.large {
			cm.parts = parts[:min(b.perTxn, len(parts))]
		}
		for _, part := range cm.parts {
			c.seq++
			cm.Entries = append(cm.Entries, NamedEntry{fmt.Sprintf("%016x.%08x", c.token, c.seq), entryOf(part)})
		}
		if parts = parts[len(cm.parts):]; len(parts) == 0 {
			break
		}
		cm.next = &Commit{}
	}
	if first.next != nil {
		c.log("launches in several transactions", "job", ids[0], "tasks", len(b.placements), "machines", len(b.machines))
	}
	c.commit = first
	return first
}

// unfinished is the batch that is being stored, or of which a part still is to be, or nil.
func (c *Core) unfinished() *Commit {
	if c.commit != nil {
		return c.commit
	}
	return c.staged
}

// split orders placements by machine and job and cuts them into entries.
func split(ps []*placement, most int) (parts [][]*placement) {
	sort.Slice(ps, func(a, b int) bool {
		x, y := ps[a], ps[b]
		switch {
		case x.m.host != y.m.host:
			return x.m.host < y.m.host
		case x.job.id != y.job.id:
			return x.job.id < y.job.id
		}
		return x.task < y.task
	})
	first, size := 0, 0
	for i, p := range ps {
		n := taskBytes
		if i == first || p.m != ps[i-1].m {
			n += hostBytes(p.m) + runBytes
		} else if p.job != ps[i-1].job || p.attempt != ps[i-1].attempt {
			n += runBytes
		}
		if size+n > most && i > first {
			parts = append(parts, ps[first:i])
			first, size, n = i, 0, hostBytes(p.m)+runBytes+taskBytes
		}
		size += n
	}
	if first < len(ps) {
		parts = append(parts, ps[first:])
	}
	return parts
}

// entryOf makes an entry of placements that are ordered by machine.
func entryOf(ps []*placement) Entry {
	var e Entry
	index := map[string]int{}
	type key struct {
		host, job string
		attempt   uint64
	}
	runs := map[key]int{}
	for _, p := range ps {
		i, ok := index[p.m.host]
		if !ok {
			i = len(e.Hosts)
			index[p.m.host] = i
			m := p.m
			e.Hosts = append(e.Hosts, EntryHost{m.host, m.addr, m.kind.Name, m.zone, m.spot, p.session})
		}
		k := key{p.m.host, p.job.id, p.attempt}
		r, ok := runs[k]
		if !ok {
			r = len(e.Runs)
			runs[k] = r
			e.Runs = append(e.Runs, Run{Host: i, Job: p.job.id, Attempt: p.attempt})
		}
		e.Runs[r].Tasks = append(e.Runs[r].Tasks, p.task)
	}
	return e
}

// Committed says that the batch is durable: its launches may be sent, unless another
// part of it is to be stored first, which the next Schedule returns.
func (c *Core) Committed(cm *Commit, now Micros) {
	c.now = now
	c.commit, c.staged = nil, cm.next
	c.changed = true
	for _, n := range cm.Drop {
		delete(c.entries, n)
		delete(c.fragile, n)
	}
	stored := make([]*entry, len(cm.Entries))
	for i, ne := range cm.Entries {
		e := c.newEntry(ne.Name)
		stored[i] = e
		for _, h := range ne.Hosts {
			e.hosts[h.Host] = struct{}{}
			if _, gone := c.gone[h.Host]; gone {
				c.fragile[ne.Name] = struct{}{}
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
		p.stored = true
		c.Stats.Launches++
		// The session changed or the machine left while the entry was being
		// stored: the launch was never sent and never will be.
		if p.m.session != p.session || p.m.lost || p.stop || p.job.over() {
			c.free(p)
		}
	}
	for _, e := range stored {
		if len(e.live) == 0 {
			c.spend(e)
		}
	}
}

// Refused says that the batch was not stored and never will be. What was stored of its
// earlier parts was not launched either.
func (c *Core) Refused(cm *Commit, now Micros) {
	c.now = now
	c.commit, c.staged = nil, nil
	c.changed = true
	for _, n := range cm.Drop {
		e := c.entries[n]
		if e == nil {
			continue
		}
		e.leaving, e.listed = false, false
		if len(e.live) == 0 {
			c.spend(e)
		} else if e.moving {
			c.fragile[n] = struct{}{}
		}
		e.moving = false
	}
	for _, p := range cm.moved {
		if p.entry == nil {
			c.strays = append(c.strays, p)
		}
	}
	for _, p := range cm.placements {
		c.free(p)
	}
}

func (c *Core) newEntry(name string) *entry {
	e := &entry{name: name, live: map[*placement]struct{}{}, hosts: map[string]struct{}{}}
	c.entries[name] = e
	return e
}

// spend queues an entry without live launches for deletion.
func (c *Core) spend(e *entry) {
	if !e.leaving && !e.listed {
		e.listed = true
		c.spent = append(c.spent, e)
	}
}

// strike takes a freed placement out of its entry.
func (c *Core) strike(p *placement) {
	if e := p.entry; e != nil {
		delete(e.live, p)
		p.entry = nil
		if len(e.live) == 0 {
			c.spend(e)
		}
	}
}

// Load takes the stored ledger at the start of a term, after the jobs. All its
// launches count as on their machines until proof of the contrary.
func (c *Core) Load(ledger map[string]Entry) {
	names := make([]string, 0, len(ledger))
	latest := map[string]uint64{}
	for n, e := range ledger {
		names = append(names, n)
		for _, h := range e.Hosts {
			latest[h.Host] = max(latest[h.Host], h.Session)
		}
	}
	sort.Strings(names)
	for _, n := range names {
		e := c.newEntry(n)
		for _, r := range ledger[n].Runs {
			if r.Host < 0 || r.Host >= len(ledger[n].Hosts) {
				continue
			}
			h := ledger[n].Hosts[r.Host]
			m := c.machines[h.Host]
			if m == nil {
				m = c.newMachine(h.Host, h.Addr, h.Type, h.Zone, h.Spot)
				m.session, m.up = latest[h.Host], true
			}
			e.hosts[h.Host] = struct{}{}
			j := c.jobs[r.Job]
			// A job's record is deleted only after all its placements were
			// proven gone, so a task of an unknown job is not on the machine.
			// Neither is one of an earlier session than the ledger has seen.
			if j == nil || h.Session < m.session {
				continue
			}
			for _, t := range r.Tasks {
				if int(t) >= j.spec.Tasks || t < 0 || m.find(taskKey{j, t}, r.Attempt) != nil {
					continue
				}
				p := c.place(j, t, m, r.Attempt)
				p.stored, p.loaded, p.entry = true, true, e
				e.live[p] = struct{}{}
			}
			if j.gang() && r.Attempt > j.attempt {
				j.attempt = r.Attempt
			}
		}
		if len(e.live) == 0 {
			c.spend(e)
		}
	}
}

// Attempts of a pass: later ones are always larger, over terms too.
func (c *Core) attempt() uint64 {
	c.seq++
	return c.token<<20 + c.seq
}

// maxOnMachine bounds the tasks on a machine, so that a report and its answer
// stay well within the limits for bodies.
const maxOnMachine = wire.MaxBody / 160

// expiry is when a lease must have run out: the workers' clocks may be 0.05%
// slow, and ours fast.
func (c *Core) expiry() Micros { return c.lease + c.lease/1000 + config.Second/2 }
