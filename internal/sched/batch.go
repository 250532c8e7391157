package sched

import (
	"cmp"
	"slices"

	"dalefront/internal/config"
)

// Sizes of what a batch stores count in the longer text form, estimated from above.
const (
	fixedHostBytes = 80  // of a LedgerHost but for its texts
	runBytes       = 100 // of a LedgerRun but for its tasks
	taskBytes      = 7
	entryBytes     = 128 // an entry's name as a change and as a condition
	conditionBytes = 48  // a condition but for the job's id

	// usableValue is the part of a stored value's limit that an entry may fill.
	usableValue = 0.75

	// Of the protocol's 64 KiB for a transaction. What is left is for machines that are named
	// twice and for the fixed conditions.
	maxTxnBytes          = 49 << 10
	maxConditionBytes    = 9 << 10
	maxDrops             = 48 // deletions of one batch, some 50 bytes each
	maxDropsWithLaunches = 4  // deletions of a batch that has launches, since both count as changes

	fixedConditions     = 2 // of every batch, whatever it holds
	conditionsPerChange = 4 // that the state service takes in a transaction for each change that it takes
)

// hostBytes is what naming a machine takes of an entry.
func hostBytes(m *machine) int {
	return fixedHostBytes + len(m.host) + len(m.addr) + len(m.machineType.Name) + len(m.zone)
}

// batch collects the placements of one pass.
type batch struct {
	machines      map[*machine]bool // that it names
	jobs          map[*job]bool     // of which it launches tasks
	bytes         int               // of the entries, before they are cut
	conditions    int               // bytes of the conditions on jobs
	largestLaunch int               // bytes of the longest single launch, its machine included
	limits        batchLimits
	large         bool // one gang, in several transactions
	placements    []*placement
	moved         []*placement
	drop          []string
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

// newBatchLimits derives the limits from those of the state service.
func newBatchLimits(state *config.StateLimits) batchLimits {
	value := int(state.ValueKB * 1024 * usableValue)
	entries := max(1, min(state.TxnOps/2, maxTxnBytes/(value+entryBytes)))
	// Two conditions a job: no end of its own, and none in the archive. Those on the
	// leadership and on the entries' names come on top.
	conditions := conditionsPerChange*state.TxnOps - fixedConditions - (entries + 1)
	return batchLimits{
		value: value, total: entries * value, entries: entries, changes: state.TxnOps,
		jobs: max(1, conditions/2), conditions: maxConditionBytes,
	}
}

// newBatch returns an empty batch.
func newBatch(state *config.StateLimits) *batch {
	return &batch{machines: map[*machine]bool{}, jobs: map[*job]bool{}, limits: newBatchLimits(state)}
}

// entriesNeeded bounds from above how many entries splitIntoEntries cuts the batch into. An entry is
// closed when the next launch doesn't fit, so up to one launch of it stays empty, and a
// machine that is cut in two is named twice.
func (b *batch) entriesNeeded() int {
	switch usable := b.limits.value - 2*b.largestLaunch; {
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
	b.largestLaunch = max(b.largestLaunch, launchBytes(m))
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

// fitsAlone says whether what takes so many bytes for machines, and so many runs and tasks, fits
// a batch of its own.
func (b *batch) fitsAlone(hostBytes, runs, tasks int) bool {
	return hostBytes+runs*runBytes+tasks*taskBytes <= b.limits.total
}

// fits says whether the batch has room for more tasks of the job on machines
// that take hostBytes in addition.
func (b *batch) fits(j *job, hostBytes, runs, tasks int) bool {
	return !b.large && (b.jobs[j] || b.hasRoomForJob(j)) && b.fitsAlone(b.bytes+hostBytes, runs, tasks)
}

// hasRoomForJob says whether the batch may name one more job.
func (b *batch) hasRoomForJob(j *job) bool {
	return len(b.jobs) < b.limits.jobs && (len(b.jobs) == 0 || b.conditions+jobConditions(j) <= b.limits.conditions)
}

// hostCost is what naming the machine takes in addition: nothing if it is named already.
func (b *batch) hostCost(m *machine) int {
	if b.machines[m] {
		return 0
	}
	return hostBytes(m)
}

// add takes tasks of one job on one machine.
func (b *batch) add(placements ...*placement) {
	j, m := placements[0].job, placements[0].machine
	b.bytes += b.hostCost(m) + runBytes + len(placements)*taskBytes
	b.reserveJob(j)
	b.reserveMachine(m)
	b.placements = append(b.placements, placements...)
	if m.isReservedFor(j) {
		m.endReservation()
	}
}

// dropLimit is how many entries the batch deletes at most.
func (b *batch) dropLimit() int {
	if len(b.placements) > 0 {
		return maxDropsWithLaunches
	}
	return maxDrops
}

// recordFound lets the batch record a placement that was found on its machine, and says whether
// there was room for it.
func (b *batch) recordFound(p *placement) bool {
	bytes := b.bytes + b.hostCost(p.machine) + runBytes + taskBytes
	if bytes > b.limits.total {
		return false
	}
	b.bytes = bytes
	b.reserveMachine(p.machine)
	b.moved = append(b.moved, p)
	return true
}

// takeOver lets the batch record the live placements of an entry that is to be deleted, if there is
// room for them and for its deletion.
func (b *batch) takeOver(entry *ledgerEntry) bool {
	bytes, largest := b.bytes, b.largestLaunch
	b.bytes += b.transferBytes(entry)
	for placement := range entry.live {
		b.largestLaunch = max(b.largestLaunch, launchBytes(placement.machine))
	}
	if b.bytes > b.limits.total || !b.mayDrop() {
		b.bytes, b.largestLaunch = bytes, largest
		return false
	}
	for placement := range entry.live {
		b.reserveMachine(placement.machine)
		b.moved = append(b.moved, placement)
	}
	return true
}

// transferBytes estimates what it takes to record the entry's live placements in the batch.
func (b *batch) transferBytes(entry *ledgerEntry) int {
	type runKey struct {
		machine *machine
		job     *job
		attempt uint64
	}
	bytes := 0
	machines, runs := map[*machine]bool{}, map[runKey]bool{}
	for placement := range entry.live {
		if !machines[placement.machine] {
			machines[placement.machine] = true
			bytes += b.hostCost(placement.machine)
		}
		if key := (runKey{placement.machine, placement.job, placement.attempt}); !runs[key] {
			runs[key] = true
			bytes += runBytes
		}
		bytes += taskBytes
	}
	return bytes
}

// splitIntoEntries orders placements by machine and job and cuts them into entries of at most so
// many bytes.
func splitIntoEntries(placements []*placement, maxBytes int) (parts [][]*placement) {
	slices.SortFunc(placements, func(a, b *placement) int {
		return cmp.Or(cmp.Compare(a.machine.host, b.machine.host), cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.taskIndex, b.taskIndex),
			cmp.Compare(a.attempt, b.attempt))
	})
	first, size := 0, 0
	for i, placement := range placements {
		bytes := taskBytes
		if i == first || placement.machine != placements[i-1].machine {
			bytes += hostBytes(placement.machine) + runBytes
		} else if placement.job != placements[i-1].job || placement.attempt != placements[i-1].attempt {
			bytes += runBytes
		}
		if size+bytes > maxBytes && i > first {
			parts = append(parts, placements[first:i])
			first, size, bytes = i, 0, launchBytes(placement.machine)
		}
		size += bytes
	}
	if first < len(placements) {
		parts = append(parts, placements[first:])
	}
	return parts
}
