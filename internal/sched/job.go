package sched

import (
	"math"

	"dalefront/internal/config"
	"dalefront/wire"
)

// numRanks is the number of priorities' ranks.
const numRanks = 4

// Rank orders priorities; a higher rank may evict a lower one.
func Rank(priority string) int {
	switch priority {
	case wire.Production:
		return 3
	case wire.High:
		return 2
	case wire.Normal:
		return 1
	}
	return 0
}

// job is an accepted job until nothing of it can be on any machine.
type job struct {
	id      string
	spec    wire.Job
	rank    int
	arrival Micros
	dueAt   Micros
	team    *team
	class   *class
	isLarge bool // among the largest of its class

	progress
	failureHistory

	placements       map[*placement]struct{}
	placementsByTask map[int32]int // placements per task
	retryQueue       []int32       // tasks that were placed before, served first
	nextUntried      int32         // no task from here on was ever placed

	waitingSince             Micros // since when something waits, 0 if nothing does
	lastVacatedAt            Micros // when the last task that ran left its machine
	preemptions              int
	startableSince           Micros // a gang: since when clearing lower priorities would let it start, 0 if it would not
	withinGuarantee          bool   // it fits its team's guarantee with the team's earlier jobs
	preemptionBackoffUntil   Micros // nothing could be cleared for it; not tried again before
	firstStartedAt           Micros // when a task was first seen running
	fullyPlacedAt            Micros // when first no task of it waited for a place
	initiallyWithinGuarantee bool   // it was within its team's guarantee when it was first looked at
	guaranteeEvaluated       bool
	checkpointedRunTime      Micros // progress saved by stops, per task at most

	// gang
	gangAttempt uint64
	gangStarted bool // a task of the attempt was seen running
	gangBroken  bool // the attempt can't complete any more

	completing  bool   // all tasks done, end not stored yet
	finalStatus string // final state, stored
}

func (j *job) isGang() bool { return j.spec.Shape == wire.Gang }
func (j *job) isOver() bool { return j.finalStatus != "" || j.completing }

// taskResources is what each of the job's tasks takes.
func (j *job) taskResources() resourceUse {
	return resourceUse{j.spec.CPUs, j.spec.GPUs, j.spec.MemoryGB}
}

// pendingCount is the number of tasks that are neither done nor possibly placed.
func (j *job) pendingCount() int {
	if j.isOver() {
		return 0
	}
	return j.spec.Tasks - j.completedCount - len(j.placementsByTask)
}

// nextPendingTask returns a task to place without taking it.
func (j *job) nextPendingTask() (int32, bool) {
	for len(j.retryQueue) > 0 {
		t := j.retryQueue[len(j.retryQueue)-1]
		if !j.isCompleted(t) && j.placementsByTask[t] == 0 {
			return t, true
		}
		j.retryQueue = j.retryQueue[:len(j.retryQueue)-1]
	}
	for int(j.nextUntried) < j.spec.Tasks {
		if !j.isCompleted(j.nextUntried) && j.placementsByTask[j.nextUntried] == 0 {
			return j.nextUntried, true
		}
		j.nextUntried++
	}
	return 0, false
}

// expectedRunTime is the expected run time of a task, corrected by what the class's
// tasks took compared with their owners' estimates.
func (j *job) expectedRunTime() Micros {
	return Micros(j.spec.EstimateS * j.class.runTimeRatio * float64(second))
}

// latestStart is when the job should start at the latest, as far as the aims say, and
// whether any aim can still be met. Of several aims of a kind the first that can
// still be met counts: one that is missed asks for nothing any more, and must not
// go before others. work is how long the job would keep all machines.
func (j *job) latestStart(now, work Micros) (at Micros, late bool) {
	est := j.expectedRunTime()
	at, late = math.MaxInt64, true
	first := func(n int, by func(int) Micros) {
		for i := 0; i < n; i++ {
			if s := by(i); now+work/2 <= s {
				at, late = min(at, s), false
				return
			}
		}
	}
	cl := j.class
	if j.firstStartedAt == 0 || !j.isGang() {
		first(len(cl.waitObjectives), func(i int) Micros { return j.arrival + cl.waitObjectives[i] })
	}
	first(len(cl.completionObjectives), func(i int) Micros { return j.arrival + cl.completionObjectives[i] - est })
	if j.spec.DeadlineS != nil {
		due := *j.spec.DeadlineS
		first(len(cl.deadlineFactors), func(i int) Micros { return j.arrival + config.Micro(due*cl.deadlineFactors[i]) - est })
	}
	if late {
		at = j.dueAt - est
		if len(cl.waitObjectives)+len(cl.completionObjectives) == 0 && j.spec.DeadlineS == nil {
			late = false // no aim: it takes its turn
		}
	}
	return at, late
}
