package sched

import (
	"fmt"
	"slices"
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

// newLedgerEntry makes an entry of placements that are ordered by machine.
func newLedgerEntry(placements []*placement) LedgerEntry {
	type runKey struct {
		host, job string
		attempt   uint64
	}
	var entry LedgerEntry
	hostIndex := map[string]int{}
	runIndex := map[runKey]int{}
	for _, placement := range placements {
		machine := placement.machine
		host, ok := hostIndex[machine.host]
		if !ok {
			host = len(entry.Hosts)
			hostIndex[machine.host] = host
			entry.Hosts = append(entry.Hosts, LedgerHost{machine.host, machine.addr, machine.machineType.Name, machine.zone, machine.spot, placement.incarnation})
		}
		key := runKey{machine.host, placement.job.id, placement.attempt}
		run, ok := runIndex[key]
		if !ok {
			run = len(entry.Runs)
			runIndex[key] = run
			entry.Runs = append(entry.Runs, LedgerRun{Host: host, Job: placement.job.id, Attempt: placement.attempt})
		}
		entry.Runs[run].Tasks = append(entry.Runs[run].Tasks, placement.taskIndex)
	}
	return entry
}

// ledgerEntry is what the core keeps of a stored LedgerEntry.
type ledgerEntry struct {
	name         string
	live         map[*placement]struct{} // placements that the entry records and that are not proven gone
	hosts        map[string]struct{}     // every machine that the entry names
	queued       bool                    // in ledger.empty, to be deleted
	deleting     bool                    // the commit under way deletes it
	transferring bool                    // the commit under way records its live placements in a new entry
}

// addHost notes that the stored entry names a machine.
func (e *ledgerEntry) addHost(host string) { e.hosts[host] = struct{}{} }

// record notes that the stored entry covers the placement.
func (e *ledgerEntry) record(p *placement) {
	p.entry = e
	e.live[p] = struct{}{}
}

// ledger mirrors the stored entries, and owns the commit that changes them.
//
// Invariants:
//   - Every placement that may be on a machine is in the live set of the entry that
//     placement.entry names, or in unrecorded, or in the commit under way.
//   - A placement leaves its entry in removePlacement, which only Core.release calls, or when a stored
//     commit records it in another one.
//   - An entry is deleted only once its live set is empty, or in the commit that records what is
//     left of it elsewhere: at no moment does the stored ledger miss a task that may be running.
//   - At most one commit is in flight.
type ledger struct {
	entries        map[string]*ledgerEntry
	empty          []*ledgerEntry      // entries without live placements, to be deleted, the oldest first
	namingReturned map[string]struct{} // names of entries that name returned machines
	unrecorded     []*placement        // found on machines, not in any entry
	lastCompaction Micros
	inFlight       *Commit // being stored
	staged         *Commit // the next part of a commit of which one part is stored
}

func newLedger() ledger {
	return ledger{entries: map[string]*ledgerEntry{}, namingReturned: map[string]struct{}{}}
}

// unfinishedCommit is the commit that is being stored, or of which a part still is to be, or nil.
func (l *ledger) unfinishedCommit() *Commit {
	if l.inFlight != nil {
		return l.inFlight
	}
	return l.staged
}

// isStoring says whether a commit is in flight: no other one may begin.
func (l *ledger) isStoring() bool { return l.inFlight != nil }

// begin puts a commit in flight.
func (l *ledger) begin(commit *Commit) { l.inFlight = commit }

// beginStaged puts the next part of a commit in flight and returns it, or nil if there is none.
// It is called only while nothing is in flight.
func (l *ledger) beginStaged() *Commit {
	l.inFlight, l.staged = l.staged, nil
	return l.inFlight
}

// add creates an entry without placements.
func (l *ledger) add(name string) *ledgerEntry {
	entry := &ledgerEntry{name: name, live: map[*placement]struct{}{}, hosts: map[string]struct{}{}}
	l.entries[name] = entry
	return entry
}

// retireIfEmpty queues an entry without live placements for deletion.
func (l *ledger) retireIfEmpty(entry *ledgerEntry) {
	if len(entry.live) == 0 && !entry.deleting && !entry.queued {
		entry.queued = true
		l.empty = append(l.empty, entry)
	}
}

// addUnrecorded takes a placement that was found on a machine and is in no entry. The next
// compaction records it.
func (l *ledger) addUnrecorded(p *placement) { l.unrecorded = append(l.unrecorded, p) }

// removePlacement takes a released placement out of its entry.
func (l *ledger) removePlacement(p *placement) {
	if entry := p.entry; entry != nil {
		delete(entry.live, p)
		p.entry = nil
		l.retireIfEmpty(entry)
	}
}

// machineReturned notes that a machine is gone: what is left of the entries that name it moves to
// new ones, as a later leader would otherwise wait for the machine.
func (l *ledger) machineReturned(host string) {
	for _, entry := range l.entries {
		if _, named := entry.hosts[host]; named && len(entry.live) > 0 {
			l.namingReturned[entry.name] = struct{}{}
		}
	}
}

// commitStored applies a stored commit: its deletions, and its entries with those of their
// placements that were not released meanwhile. isReturned says whether a machine was returned.
func (l *ledger) commitStored(commit *Commit, isReturned func(host string) bool) (stored []*ledgerEntry) {
	l.inFlight, l.staged = nil, commit.next
	for _, name := range commit.Drop {
		delete(l.entries, name)
		delete(l.namingReturned, name)
	}
	for i, named := range commit.Entries {
		entry := l.add(named.Name)
		stored = append(stored, entry)
		for _, host := range named.Hosts {
			entry.addHost(host.Host)
			if isReturned(host.Host) {
				l.namingReturned[named.Name] = struct{}{}
			}
		}
		for _, placement := range commit.parts[i] {
			if placement.isHeld() {
				entry.record(placement)
			}
		}
	}
	return stored
}

// commitRejected undoes a commit that was not stored: what it would have deleted is queued again,
// and what it would have recorded is unrecorded still.
func (l *ledger) commitRejected(commit *Commit) {
	l.inFlight, l.staged = nil, nil
	for _, name := range commit.Drop {
		entry := l.entries[name]
		if entry == nil {
			continue
		}
		entry.deleting, entry.queued = false, false
		l.retireIfEmpty(entry)
		if len(entry.live) > 0 && entry.transferring {
			l.namingReturned[name] = struct{}{}
		}
		entry.transferring = false
	}
	for _, placement := range commit.moved {
		if placement.entry == nil {
			l.addUnrecorded(placement)
		}
	}
}

// compactionInterval is how often entries are compacted by batches that launch nothing.
const compactionInterval = second

// compact lets the batch record what is in no entry, delete empty entries, and take over what is
// left of those that name returned machines. Above maxEntries entries it merges any of them:
// a takeover reads them all.
func (l *ledger) compact(b *batch, now Micros, maxEntries int) {
	if len(b.placements) == 0 && len(l.unrecorded) == 0 && now-l.lastCompaction < compactionInterval {
		return
	}
	l.lastCompaction = now
	l.recordUnrecorded(b)
	l.deleteEmpty(b)
	l.transfer(b, l.transferable(maxEntries))
}

// recordUnrecorded lets the batch record as much as it has room for of what is in no entry.
func (l *ledger) recordUnrecorded(b *batch) {
	left := l.unrecorded[:0]
	for _, p := range l.unrecorded {
		if !p.isHeld() || p.entry != nil {
			continue
		}
		if !b.recordFound(p) {
			left = append(left, p)
		}
	}
	l.unrecorded = left
}

// deleteEmpty lets the batch delete empty entries, the oldest first.
func (l *ledger) deleteEmpty(b *batch) {
	for len(l.empty) > 0 && len(b.drop) < b.dropLimit() && b.mayDrop() {
		entry := l.empty[0]
		l.empty = l.empty[1:]
		entry.deleting = true
		b.drop = append(b.drop, entry.name)
	}
}

// transferable lists the names of entries whose live placements should move to a new entry.
func (l *ledger) transferable(maxEntries int) []string {
	names := make([]string, 0, len(l.namingReturned))
	for name := range l.namingReturned {
		names = append(names, name)
	}
	if len(names) == 0 && len(l.entries) > maxEntries {
		for name := range l.entries {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// transfer lets the batch delete entries and record their live placements in its own, as far as it
// has room.
func (l *ledger) transfer(batch *batch, names []string) {
	for _, name := range names {
		entry := l.entries[name]
		if entry == nil || entry.deleting || len(entry.live) == 0 {
			delete(l.namingReturned, name)
			continue
		}
		if len(batch.drop) >= batch.dropLimit() {
			return
		}
		if !batch.takeOver(entry) {
			continue
		}
		delete(l.namingReturned, name)
		entry.deleting, entry.transferring = true, true
		batch.drop = append(batch.drop, name)
	}
}

// attemptBits are the low bits of an attempt, which number the attempts under one token. They
// can't run out: each batch of a term, of some hundred attempts, moves the state service's revision,
// which the next token is, on by one.
const attemptBits = 20

// termSequence numbers what a term creates: attempts and ledger entries share one counter. As the
// token rises with every term no number is ever used again.
type termSequence struct {
	token uint64 // the term's fencing token
	last  uint64
}

// nextAttempt returns a number that is larger than that of any earlier attempt, of other terms too.
func (s *termSequence) nextAttempt() uint64 {
	s.last++
	return s.token<<attemptBits + s.last
}

// nextEntryName returns a name that no ledger entry ever had. Names sort by age.
func (s *termSequence) nextEntryName() string {
	s.last++
	return fmt.Sprintf("%016x.%08x", s.token, s.last)
}
