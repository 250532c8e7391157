package sched

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// jobTable is the jobs that have not ended, or of which something may still be on a machine.
type jobTable struct {
	byID             map[string]*job
	placementsByRank [numRanks]int // placements by their jobs' rank
	lastProgress     string        // the job whose progress was last handed out to be stored
}

func newJobTable() jobTable { return jobTable{byID: map[string]*job{}} }

// find returns a known job, or nil.
func (t *jobTable) find(id string) *job { return t.byID[id] }

// count is the number of known jobs.
func (t *jobTable) count() int { return len(t.byID) }

// add takes a job.
func (t *jobTable) add(j *job) { t.byID[j.id] = j }

// remove forgets a job.
func (t *jobTable) remove(j *job) { delete(t.byID, j.id) }

// all returns the jobs in no order: use it only where none shows.
func (t *jobTable) all() iter.Seq[*job] { return maps.Values(t.byID) }

// sorted returns the jobs that f selects, by id. The same events give the same effects
// in the same order, so that a run can be played again: where the order shows, maps are
// not read as they come.
func (t *jobTable) sorted(f func(*job) bool) (out []*job) {
	for _, j := range t.byID {
		if f(j) {
			out = append(out, j)
		}
	}
	sortByID(out)
	return out
}

// sortByID orders jobs by id.
func sortByID(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
}

// countPlaced adds to the count of placements of a rank.
func (t *jobTable) countPlaced(rank, n int) { t.placementsByRank[rank] += n }

// placedBelow counts the placements of jobs of a lower rank.
func (t *jobTable) placedBelow(rank int) (n int) {
	for _, placed := range t.placementsByRank[:rank] {
		n += placed
	}
	return n
}

// nextDirty lists the jobs with progress that is not stored, beginning after the one whose
// progress was handed out last: with a fixed order the first jobs would keep the last ones from
// ever being stored.
func (t *jobTable) nextDirty() []*job {
	dirty := t.sorted(func(j *job) bool { return !j.isOver() && len(j.dirtyChunks) > 0 })
	at, _ := slices.BinarySearchFunc(dirty, t.lastProgress+"\x00", func(j *job, id string) int { return cmp.Compare(j.id, id) })
	return slices.Concat(dirty[at:], dirty[:at])
}

// handedOut notes of which job progress is handed out to be stored.
func (t *jobTable) handedOut(j *job) { t.lastProgress = j.id }
