package sched

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// jobTable holds the jobs that have not ended, and the ended jobs that may still have tasks on a machine.
type jobTable struct {
	byID             map[string]*job
	placementsByRank [numRanks]int // number of placements by job rank
	lastProgressJob  string        // ID of the last job whose progress was returned to be stored
}

func newJobTable() jobTable { return jobTable{byID: map[string]*job{}} }

// find returns the job with the ID, or nil if it is unknown.
func (t *jobTable) find(id string) *job { return t.byID[id] }

// count returns the number of known jobs.
func (t *jobTable) count() int { return len(t.byID) }

// add adds a job.
func (t *jobTable) add(j *job) { t.byID[j.id] = j }

// remove removes a job.
func (t *jobTable) remove(j *job) { delete(t.byID, j.id) }

// all returns the jobs in unspecified order. Use it only where the order has no visible effect.
func (t *jobTable) all() iter.Seq[*job] { return maps.Values(t.byID) }

// sorted returns the jobs for which the function f returns true, sorted by ID. Use it where the order has a
// visible effect: runs must be reproducible, so the same events must have the same effects in the same order.
func (t *jobTable) sorted(f func(*job) bool) (out []*job) {
	for _, j := range t.byID {
		if f(j) {
			out = append(out, j)
		}
	}
	sortByID(out)
	return out
}

// sortByID sorts jobs by ID.
func sortByID(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
}

// adjustPlacements adds n, which may be negative, to the number of placements of jobs of a rank.
func (t *jobTable) adjustPlacements(rank, n int) { t.placementsByRank[rank] += n }

// placementsBelow returns the number of placements of jobs whose rank is lower than the given rank.
func (t *jobTable) placementsBelow(rank int) (n int) {
	for _, placed := range t.placementsByRank[:rank] {
		n += placed
	}
	return n
}

// jobsWithDirtyProgress returns the jobs with unstored progress, sorted by ID and rotated to begin after the
// job whose progress was returned last. If the list always began with the same job, the progress of the last
// jobs might never be stored.
func (t *jobTable) jobsWithDirtyProgress() []*job {
	dirty := t.sorted(func(j *job) bool { return !j.isOver() && len(j.dirtyChunks) > 0 })
	at, _ := slices.BinarySearchFunc(dirty, t.lastProgressJob+"\x00", func(j *job, id string) int { return cmp.Compare(j.id, id) })
	return slices.Concat(dirty[at:], dirty[:at])
}

// setLastProgressJob records that progress of the job was returned to be stored.
func (t *jobTable) setLastProgressJob(j *job) { t.lastProgressJob = j.id }
