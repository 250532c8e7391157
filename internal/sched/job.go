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
	gangState
	guaranteeState
	preemptionState

	placements       map[*placement]struct{}
	placementsByTask map[int32]int // placements per task
	retryQueue       []int32       // tasks that were placed before, served first
	nextUntried      int32         // no task from here on was ever placed

	waitingSince   Micros // since when something waits, 0 if nothing does
	lastVacatedAt  Micros // when the last task that ran left its machine
	firstStartedAt Micros // when a task was first seen running
	fullyPlacedAt  Micros // when first no task of it waited for a place

	completing  bool   // all tasks done, end not stored yet
	finalStatus string // final state, stored
}

// gangState is the attempt of a gang that is placed or runs. All its tasks have the attempt's number.
type gangState struct {
	gangAttempt uint64 // 0 if there is none
	gangStarted bool   // a task of the attempt was seen running
	gangBroken  bool   // the attempt can't complete any more
}

// markRunning notes that a task of an attempt was seen running.
func (g *gangState) markRunning(attempt uint64) {
	if attempt == g.gangAttempt {
		g.gangStarted = true
	}
}

// markBroken notes that a task of an attempt was lost, for which there is no replacement.
func (g *gangState) markBroken(attempt uint64) {
	if attempt == g.gangAttempt {
		g.gangBroken = true
	}
}

// recoverAttempt takes an attempt that the ledger has. The last one counts.
func (g *gangState) recoverAttempt(attempt uint64) { g.gangAttempt = max(g.gangAttempt, attempt) }

// endAttempt notes that nothing of the attempt is on any machine.
func (g *gangState) endAttempt() { *g = gangState{} }

// guaranteeState is whether a job fits its team's guarantee together with the team's earlier jobs.
type guaranteeState struct {
	withinGuarantee          bool
	initiallyWithinGuarantee bool // it did when it was first looked at
	guaranteeEvaluated       bool // it was looked at
}

// preemptionState is what preemption has done to a job and for it.
type preemptionState struct {
	preemptions            int    // how often tasks of it were preempted
	checkpointedRunTime    Micros // progress that stops have saved, per task at most
	preemptionBackoffUntil Micros // nothing could be cleared for it; not tried again before
	startableSince         Micros // a gang: since when clearing lower ranks would let it start, 0 if it would not
}

// isGang says whether all tasks of the job start together.
func (j *job) isGang() bool { return j.spec.Shape == wire.Gang }

// isOver says whether nothing of the job is to run any more.
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

// isPending says whether a task is neither done nor possibly placed.
func (j *job) isPending(task int32) bool {
	return !j.isCompleted(task) && j.placementsByTask[task] == 0
}

// nextPendingTask returns a task to place without taking it.
func (j *job) nextPendingTask() (int32, bool) {
	for len(j.retryQueue) > 0 {
		if task := j.retryQueue[len(j.retryQueue)-1]; j.isPending(task) {
			return task, true
		}
		j.retryQueue = j.retryQueue[:len(j.retryQueue)-1]
	}
	for int(j.nextUntried) < j.spec.Tasks {
		if j.isPending(j.nextUntried) {
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

// latestStart is when the job should start at the latest, as far as its objectives say, and
// whether none of them can be met any more. Of several objectives of a kind the first that can
// still be met counts: one that is missed asks for nothing any more, and must not
// go before others. work is how long the job would keep all machines.
func (j *job) latestStart(now, work Micros) (at Micros, late bool) {
	at, late = math.MaxInt64, true
	canMeet := func(start Micros) bool {
		if now+work/2 > start {
			return false
		}
		at, late = min(at, start), false
		return true
	}
	estimate := j.expectedRunTime()
	if j.firstStartedAt == 0 || !j.isGang() {
		for _, wait := range j.class.waitObjectives {
			if canMeet(j.arrival + wait) {
				break
			}
		}
	}
	for _, completion := range j.class.completionObjectives {
		if canMeet(j.arrival + completion - estimate) {
			break
		}
	}
	if j.spec.DeadlineS != nil {
		for _, factor := range j.class.deadlineFactors {
			if canMeet(j.arrival + config.Micro(*j.spec.DeadlineS*factor) - estimate) {
				break
			}
		}
	}
	if late {
		return j.dueAt - estimate, j.hasObjective()
	}
	return at, false
}

// hasObjective says whether an objective or a deadline says when the job should start or end.
func (j *job) hasObjective() bool {
	return j.spec.DeadlineS != nil || len(j.class.waitObjectives)+len(j.class.completionObjectives) > 0
}
