package sched

import (
	"fmt"
	"slices"
)

// LedgerEntry is one stored record of the ledger. It holds task launches that a scheduling pass decided
// together, and their machines, so that many launches cost only one write. The name of an entry is never
// reused, so a delayed duplicate of the transaction that created the entry changes nothing. An entry is
// deleted once every task that it places is proven gone.
type LedgerEntry struct {
	Hosts []LedgerHost `msgpack:"H"`
	Runs  []LedgerRun  `msgpack:"R"`
}

// LedgerHost describes a machine as it was when the ledger entry was stored.
type LedgerHost struct {
	Host        string `msgpack:"H"`
	Addr        string `msgpack:"A"`
	Type        string `msgpack:"B"`
	Zone        string `msgpack:"D"`
	Spot        bool   `msgpack:"L"`
	Incarnation uint64 `msgpack:"S"`
}

// LedgerRun lists the tasks of one attempt of a job that a ledger entry places on one machine. Host is the
// index of the machine in LedgerEntry.Hosts.
type LedgerRun struct {
	Host    int     `msgpack:"H"`
	Job     string  `msgpack:"J"`
	Attempt uint64  `msgpack:"N"`
	Tasks   []int32 `msgpack:"T"`
}

// NamedLedgerEntry is a ledger entry with the name under which it is stored.
type NamedLedgerEntry struct {
	Name string
	LedgerEntry
}

// newLedgerEntry returns an entry that records the placements, which are ordered by machine.
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

// trackedEntry is the in-memory state of a stored LedgerEntry.
type trackedEntry struct {
	name           string
	live           map[*placement]struct{} // placements that the entry records and that are not proven gone
	hosts          map[string]struct{}     // host names of all machines in the entry
	deletionQueued bool                    // the entry is in ledger.empty
	deleting       bool                    // the unfinished commit deletes the entry
	transferring   bool                    // the unfinished commit moves the live placements to a new entry
}

// addHost records that the stored entry names a machine.
func (e *trackedEntry) addHost(host string) { e.hosts[host] = struct{}{} }

// record adds a placement that the stored entry records.
func (e *trackedEntry) record(p *placement) {
	p.entry = e
	e.live[p] = struct{}{}
}

// ledger mirrors the stored entries and owns the commit that changes them.
//
// Invariants:
//   - Every placement whose task may be on a machine is in one of three places: the live set of the entry to
//     which placement.entry points, the slice unrecorded, or the unfinished commit.
//   - A placement leaves its entry in two cases only: Core.release calls removePlacement, or a stored commit
//     records the placement in another entry.
//   - An entry is deleted only once its live set is empty, or by the commit that records its remaining
//     placements in another entry. The stored ledger therefore always has every task that may be running.
//   - At most one commit is in flight.
type ledger struct {
	entries map[string]*trackedEntry
	empty   []*trackedEntry // entries without live placements, queued for deletion, the oldest first
	// toTransfer has the names of the entries whose live placements are to be moved to new entries. Such an
	// entry names a returned machine, or the commit that was to move its placements was rejected.
	toTransfer     map[string]struct{}
	unrecorded     []*placement // placements that were found on machines and are in no entry
	lastCompaction Micros
	inFlight       *Commit // the commit that is being stored
	staged         *Commit // the next part of a gang's commit, to be stored after the preceding part
}

func newLedger() ledger {
	return ledger{entries: map[string]*trackedEntry{}, toTransfer: map[string]struct{}{}}
}

// unfinishedCommit returns the commit in flight. If no commit is in flight, it returns the staged part of a
// commit, or nil if no part is staged.
func (l *ledger) unfinishedCommit() *Commit {
	if l.inFlight != nil {
		return l.inFlight
	}
	return l.staged
}

// hasInFlight reports whether a commit is in flight. No other commit may begin while one is in flight.
func (l *ledger) hasInFlight() bool { return l.inFlight != nil }

// begin puts a commit in flight.
func (l *ledger) begin(commit *Commit) { l.inFlight = commit }

// beginStaged puts the staged part of a commit in flight and returns this part. It returns nil if no part is
// staged. It must be called only while no commit is in flight.
func (l *ledger) beginStaged() *Commit {
	l.inFlight, l.staged = l.staged, nil
	return l.inFlight
}

// add creates an entry without placements.
func (l *ledger) add(name string) *trackedEntry {
	entry := &trackedEntry{name: name, live: map[*placement]struct{}{}, hosts: map[string]struct{}{}}
	l.entries[name] = entry
	return entry
}

// retireIfEmpty queues the entry for deletion if the entry has no live placements and is not queued or being
// deleted yet.
func (l *ledger) retireIfEmpty(entry *trackedEntry) {
	if len(entry.live) == 0 && !entry.deleting && !entry.deletionQueued {
		entry.deletionQueued = true
		l.empty = append(l.empty, entry)
	}
}

// addUnrecorded adds a placement that was found on a machine and is in no entry. The next compaction
// records it.
func (l *ledger) addUnrecorded(p *placement) { l.unrecorded = append(l.unrecorded, p) }

// removePlacement removes a released placement from its entry.
func (l *ledger) removePlacement(p *placement) {
	if entry := p.entry; entry != nil {
		delete(entry.live, p)
		p.entry = nil
		l.retireIfEmpty(entry)
	}
}

// machineReturned schedules the move of live placements to new entries, for all entries that name the
// returned machine. If the old entries stayed, a later leader would wait for a machine that no longer exists.
func (l *ledger) machineReturned(host string) {
	for _, entry := range l.entries {
		if _, named := entry.hosts[host]; named && len(entry.live) > 0 {
			l.toTransfer[entry.name] = struct{}{}
		}
	}
}

// commitStored handles a commit that was stored. It removes the entries that the commit deleted and adds the
// new ones, with the placements that were not released while the commit was in flight. It returns the added
// entries. The callback isReturned reports whether a machine was returned to the cloud.
func (l *ledger) commitStored(commit *Commit, isReturned func(host string) bool) (stored []*trackedEntry) {
	l.inFlight, l.staged = nil, commit.next
	for _, name := range commit.Drop {
		delete(l.entries, name)
		delete(l.toTransfer, name)
	}
	for i, named := range commit.Entries {
		entry := l.add(named.Name)
		stored = append(stored, entry)
		for _, host := range named.Hosts {
			entry.addHost(host.Host)
			if isReturned(host.Host) {
				l.toTransfer[named.Name] = struct{}{}
			}
		}
		for _, placement := range commit.placementsByEntry[i] {
			if placement.isHeld() {
				entry.record(placement)
			}
		}
	}
	return stored
}

// commitRejected undoes a commit that was not stored. The entries that the commit would have deleted are
// queued for deletion again. The commit's placements that are in no entry are added to unrecorded again.
func (l *ledger) commitRejected(commit *Commit) {
	l.inFlight, l.staged = nil, nil
	for _, name := range commit.Drop {
		entry := l.entries[name]
		if entry == nil {
			continue
		}
		entry.deleting, entry.deletionQueued = false, false
		l.retireIfEmpty(entry)
		if len(entry.live) > 0 && entry.transferring {
			l.toTransfer[name] = struct{}{}
		}
		entry.transferring = false
	}
	for _, placement := range commit.recordOnly {
		if placement.entry == nil {
			l.addUnrecorded(placement)
		}
	}
}

// compactionInterval is the minimum time between the last compaction and a compaction that needs a write of
// its own, because no launches are to be stored. Unrecorded placements are recorded without this delay.
const compactionInterval = second

// compact adds three kinds of changes to the batch: it records unrecorded placements, deletes empty entries,
// and moves the live placements of the entries in toTransfer to new entries. If toTransfer is empty and there
// are more than maxEntries entries, compact merges any entries, since a new leader has to read all entries.
func (l *ledger) compact(b *batch, now Micros, maxEntries int) {
	if len(b.launches) == 0 && len(l.unrecorded) == 0 && now-l.lastCompaction < compactionInterval {
		return
	}
	l.lastCompaction = now
	l.recordUnrecorded(b)
	l.deleteEmpty(b)
	l.transfer(b, l.transferable(maxEntries))
}

// recordUnrecorded adds as many unrecorded placements to the batch as the batch can take.
func (l *ledger) recordUnrecorded(b *batch) {
	remaining := l.unrecorded[:0]
	for _, p := range l.unrecorded {
		if !p.isHeld() || p.entry != nil {
			continue
		}
		if !b.recordFound(p) {
			remaining = append(remaining, p)
		}
	}
	l.unrecorded = remaining
}

// deleteEmpty adds the deletion of empty entries to the batch, the oldest first.
func (l *ledger) deleteEmpty(b *batch) {
	for len(l.empty) > 0 && len(b.drop) < b.dropLimit() && b.mayDrop() {
		entry := l.empty[0]
		l.empty = l.empty[1:]
		entry.deleting = true
		b.drop = append(b.drop, entry.name)
	}
}

// transferable returns the sorted names of the entries whose live placements should move to a new entry.
func (l *ledger) transferable(maxEntries int) []string {
	names := make([]string, 0, len(l.toTransfer))
	for name := range l.toTransfer {
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

// transfer makes the batch delete the named entries and record their live placements in the batch's own
// entries. It stops when the batch reaches its limit of deletions. It skips an entry if the batch has no
// space for the entry's placements.
func (l *ledger) transfer(batch *batch, names []string) {
	for _, name := range names {
		entry := l.entries[name]
		if entry == nil || entry.deleting || len(entry.live) == 0 {
			delete(l.toTransfer, name)
			continue
		}
		if len(batch.drop) >= batch.dropLimit() {
			return
		}
		if !batch.recordTransferred(entry) {
			continue
		}
		delete(l.toTransfer, name)
		entry.deleting, entry.transferring = true, true
		batch.drop = append(batch.drop, name)
	}
}

// attemptBits is the number of low bits of an attempt number. The low bits count within a term, and the higher
// bits hold the term's fencing token. The attempt numbers of a term can't reach the numbers of the next term:
// each batch of some hundred attempts advances the state service's revision by one, and the next term's token
// is a later revision.
const attemptBits = 20

// termSequence numbers the attempts and ledger entries of a term with one shared counter. Since the token
// rises with every term, no number is ever reused.
type termSequence struct {
	token uint64 // the term's fencing token
	last  uint64
}

// nextAttempt returns a number larger than that of any earlier attempt, including those of earlier terms.
func (s *termSequence) nextAttempt() uint64 {
	s.last++
	return s.token<<attemptBits + s.last
}

// nextEntryName returns a name that no ledger entry has had before. Names sort in the order of their creation.
func (s *termSequence) nextEntryName() string {
	s.last++
	return fmt.Sprintf("%016x.%08x", s.token, s.last)
}
