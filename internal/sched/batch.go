package sched

import (
	"cmp"
	"slices"

	"dalefront/internal/config"
)

// Limits of a transaction, and estimated sizes of its parts in bytes. The sizes of stored values are upper
// bounds for the text encoding, which is longer than the binary encoding.
const (
	fixedHostBytes      = 80  // a LedgerHost without its strings
	fixedRunBytes       = 100 // a LedgerRun without its tasks
	taskBytes           = 7   // a task of a LedgerRun
	fixedEntryBytes     = 128 // an entry's name, which the change and the condition both contain
	fixedConditionBytes = 48  // a condition on a job, without the job's id

	// usableValueFraction is the fraction of the size limit of a stored value that an entry may fill.
	usableValueFraction = 0.75

	// The protocol allows 64 KiB for a transaction. The following two limits divide most of it between the
	// entries and the conditions on jobs. The rest is for the fixed conditions, and for machines that are
	// named in two entries.
	maxTxnBytes          = 49 << 10 // bytes for the entries
	maxConditionBytes    = 9 << 10  // bytes for the conditions on jobs
	maxDrops             = 48       // maximum deletions in a batch without launches, about 50 bytes each
	maxDropsWithLaunches = 4        // maximum deletions in a batch with launches, whose entries also count as changes

	fixedConditions     = 2 // conditions in every batch
	conditionsPerChange = 4 // conditions that the state service allows in a transaction per allowed change
)

// hostBytes estimates the size of a machine's LedgerHost in bytes.
func hostBytes(m *machine) int {
	return fixedHostBytes + len(m.host) + len(m.addr) + len(m.machineType.Name) + len(m.zone)
}

// batch collects the launches of one pass and the other changes to the ledger that are stored with them.
type batch struct {
	machines           map[*machine]bool // machines named in the batch
	jobs               map[*job]bool     // jobs whose tasks the batch launches
	bytes              int               // estimated size of the batch before it is split into entries
	conditionBytes     int               // estimated size of the conditions on jobs
	largestLaunchBytes int               // estimated size of the largest single launch with its machine
	limits             batchLimits
	multiTransaction   bool         // the batch holds one gang, which takes several transactions
	launches           []*placement // placements to be launched
	recordOnly         []*placement // placements to be recorded without a launch
	drop               []string     // names of entries to be deleted
}

// batchLimits bounds a batch so that its transaction is never refused as malformed. A refused batch would be
// proposed again indefinitely.
type batchLimits struct {
	entryBytes     int // size of one entry, in bytes
	totalBytes     int // size of all entries together, in bytes
	entries        int // number of entries, each of up to entryBytes
	changes        int // number of changes in a transaction
	jobs           int // number of jobs, each with two conditions
	conditionBytes int // size of the conditions on jobs, in bytes
}

// newBatchLimits derives the limits of a batch from those of the state service.
func newBatchLimits(state *config.StateLimits) batchLimits {
	entryBytes := int(state.ValueKB * 1024 * usableValueFraction)
	entries := max(1, min(state.TxnOps/2, maxTxnBytes/(entryBytes+fixedEntryBytes)))
	// Each job takes two conditions: no end record of the job is stored, and the job is not in the archive.
	// The fixed conditions, such as the condition on the leadership, and the conditions on the entries' names
	// are subtracted first.
	conditions := conditionsPerChange*state.TxnOps - fixedConditions - (entries + 1)
	return batchLimits{
		entryBytes: entryBytes, totalBytes: entries * entryBytes, entries: entries, changes: state.TxnOps,
		jobs: max(1, conditions/2), conditionBytes: maxConditionBytes,
	}
}

// newBatch returns an empty batch.
func newBatch(state *config.StateLimits) *batch {
	return &batch{machines: map[*machine]bool{}, jobs: map[*job]bool{}, limits: newBatchLimits(state)}
}

// entriesNeeded returns an upper bound for the number of entries into which splitIntoEntries splits the
// batch. An entry is closed when the next launch doesn't fit, so up to one launch's space in it stays unused.
// A machine whose launches are split between two entries is named in both.
func (b *batch) entriesNeeded() int {
	switch usable := b.limits.entryBytes - 2*b.largestLaunchBytes; {
	case b.bytes <= b.limits.entryBytes:
		return 1
	case b.multiTransaction:
		return b.limits.entries
	case usable <= 0:
		return b.limits.changes
	default:
		return 1 + b.bytes/usable
	}
}

// mayDrop reports whether the transaction has room for the deletion of one more entry.
func (b *batch) mayDrop() bool {
	return b.entriesNeeded()+len(b.drop) < b.limits.changes && len(b.drop) < maxDrops
}

// launchBytes estimates the size of a single launch in an entry in bytes, including its machine.
func launchBytes(m *machine) int { return hostBytes(m) + fixedRunBytes + taskBytes }

// reserveMachine records that the batch names the machine.
func (b *batch) reserveMachine(m *machine) {
	b.machines[m] = true
	b.largestLaunchBytes = max(b.largestLaunchBytes, launchBytes(m))
}

// reserveJob records that the batch launches tasks of the job, and adds the size of the job's conditions.
func (b *batch) reserveJob(j *job) {
	if !b.jobs[j] {
		b.jobs[j] = true
		b.conditionBytes += jobConditions(j)
	}
}

// jobConditions estimates the size of the two conditions on a job in bytes.
func jobConditions(j *job) int { return 2 * (fixedConditionBytes + len(j.id)) }

// fitsEmptyBatch reports whether machines that take hostBytes bytes in total, and the given numbers of runs
// and tasks, fit into an otherwise empty batch.
func (b *batch) fitsEmptyBatch(hostBytes, runs, tasks int) bool {
	return hostBytes+runs*fixedRunBytes+tasks*taskBytes <= b.limits.totalBytes
}

// fits reports whether the batch has room for more runs and tasks of the job, and for additional machines
// that take hostBytes bytes in total.
func (b *batch) fits(j *job, hostBytes, runs, tasks int) bool {
	return !b.multiTransaction && (b.jobs[j] || b.hasRoomForJob(j)) && b.fitsEmptyBatch(b.bytes+hostBytes, runs, tasks)
}

// hasRoomForJob reports whether the conditions on one more job fit into the batch. The first job always fits.
func (b *batch) hasRoomForJob(j *job) bool {
	return len(b.jobs) < b.limits.jobs && (len(b.jobs) == 0 || b.conditionBytes+jobConditions(j) <= b.limits.conditionBytes)
}

// addedHostBytes returns the bytes that naming the machine adds to the batch, or 0 if the batch names the
// machine already.
func (b *batch) addedHostBytes(m *machine) int {
	if b.machines[m] {
		return 0
	}
	return hostBytes(m)
}

// add adds launches of tasks of one job on one machine, and ends the machine's reservation for that job.
func (b *batch) add(placements ...*placement) {
	j, m := placements[0].job, placements[0].machine
	b.bytes += b.addedHostBytes(m) + fixedRunBytes + len(placements)*taskBytes
	b.reserveJob(j)
	b.reserveMachine(m)
	b.launches = append(b.launches, placements...)
	if m.isReservedFor(j) {
		m.endReservation()
	}
}

// dropLimit returns the maximum number of entries that the batch may delete.
func (b *batch) dropLimit() int {
	if len(b.launches) > 0 {
		return maxDropsWithLaunches
	}
	return maxDrops
}

// recordFound adds a placement that was found on its machine but is in no ledger entry, to be recorded without
// a launch. It reports whether the batch had room for the placement.
func (b *batch) recordFound(p *placement) bool {
	bytes := b.bytes + b.addedHostBytes(p.machine) + fixedRunBytes + taskBytes
	if bytes > b.limits.totalBytes {
		return false
	}
	b.bytes = bytes
	b.reserveMachine(p.machine)
	b.recordOnly = append(b.recordOnly, p)
	return true
}

// recordTransferred adds the live placements of a stored entry that is to be deleted, so that they are stored
// again in another entry. It adds nothing and returns false if the batch has no room for the placements and
// the deletion.
func (b *batch) recordTransferred(entry *trackedEntry) bool {
	bytes, largest := b.bytes, b.largestLaunchBytes
	b.bytes += b.transferBytes(entry)
	for placement := range entry.live {
		b.largestLaunchBytes = max(b.largestLaunchBytes, launchBytes(placement.machine))
	}
	if b.bytes > b.limits.totalBytes || !b.mayDrop() {
		b.bytes, b.largestLaunchBytes = bytes, largest
		return false
	}
	for placement := range entry.live {
		b.reserveMachine(placement.machine)
		b.recordOnly = append(b.recordOnly, placement)
	}
	return true
}

// transferBytes estimates the bytes that the entry's live placements add to the batch.
func (b *batch) transferBytes(entry *trackedEntry) int {
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
			bytes += b.addedHostBytes(placement.machine)
		}
		if key := (runKey{placement.machine, placement.job, placement.attempt}); !runs[key] {
			runs[key] = true
			bytes += fixedRunBytes
		}
		bytes += taskBytes
	}
	return bytes
}

// splitIntoEntries sorts the placements by machine and job and splits them into entries of at most maxBytes
// bytes each.
func splitIntoEntries(placements []*placement, maxBytes int) (parts [][]*placement) {
	slices.SortFunc(placements, func(a, b *placement) int {
		return cmp.Or(cmp.Compare(a.machine.host, b.machine.host), cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.taskIndex, b.taskIndex),
			cmp.Compare(a.attempt, b.attempt))
	})
	first, size := 0, 0
	for i, placement := range placements {
		bytes := taskBytes
		if i == first || placement.machine != placements[i-1].machine {
			bytes += hostBytes(placement.machine) + fixedRunBytes
		} else if placement.job != placements[i-1].job || placement.attempt != placements[i-1].attempt {
			bytes += fixedRunBytes
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
