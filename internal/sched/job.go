package sched

import (
	"math"

	"dalefront/internal/config"
	"dalefront/wire"
)

// numRanks is the number of priority ranks.
const numRanks = 4

// Rank returns the rank of a priority. Jobs of a higher rank may preempt jobs of a lower rank.
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

// job is an accepted job. It is kept until none of its tasks can be on a machine any more.
type job struct {
	id      string
	spec    wire.Job
	rank    int
	arrival Micros
	dueAt   Micros // when the job should be done
	team    *team
	class   *class
	isLarge bool // whether the job is among the largest jobs of its class

	progress
	failureHistory
	gangState
	guaranteeState
	preemptionState

	placements       map[*placement]struct{}
	placementsByTask map[int32]int // number of placements per task
	retryStack       []int32       // tasks to place again, before any new tasks; the last element is placed first
	nextUnplaced     int32         // every task with a lower number has been placed or completed at least once

	waitingSince   Micros // time since which tasks have been pending, 0 if no task is pending
	lastVacatedAt  Micros // when the job last lost its only remaining placement, if that task had run
	firstStartedAt Micros // when a task was first seen running
	fullyPlacedAt  Micros // when all tasks were placed or completed for the first time

	completing  bool   // all tasks are done, but no end record of the job is stored yet
	finalStatus string // final status in the end record of the job, empty until the record is stored
}

// gangState describes the current attempt to run a gang. All tasks of an attempt carry the attempt's number.
type gangState struct {
	gangAttempt uint64 // number of the attempt, 0 if there is none
	gangStarted bool   // a task of the attempt was reported running
	gangBroken  bool   // the attempt can no longer complete
}

// markRunning records that a task of the given attempt was reported running. It ignores attempts other than
// the current one.
func (g *gangState) markRunning(attempt uint64) {
	if attempt == g.gangAttempt {
		g.gangStarted = true
	}
}

// markBroken records that a task of the given attempt was lost without a replacement. It ignores attempts
// other than the current one.
func (g *gangState) markBroken(attempt uint64) {
	if attempt == g.gangAttempt {
		g.gangBroken = true
	}
}

// recoverAttempt restores an attempt that the ledger records. Of all recovered attempts, the latest becomes
// the current one.
func (g *gangState) recoverAttempt(attempt uint64) { g.gangAttempt = max(g.gangAttempt, attempt) }

// endAttempt clears the state once no task of the attempt is on any machine.
func (g *gangState) endAttempt() { *g = gangState{} }

// guaranteeState records whether a job, together with its team's earlier jobs, fits the team's guarantee.
type guaranteeState struct {
	withinGuarantee          bool
	initiallyWithinGuarantee bool // result of the first evaluation of withinGuarantee
	guaranteeEvaluated       bool // the job was evaluated at least once
}

// preemptionState records how preemption has affected a job, both as a victim and as a preemptor.
type preemptionState struct {
	preemptions            int    // how often tasks of the job were preempted
	checkpointedRunTime    Micros // upper bound of the run time of each task that checkpoints at its stops have saved
	preemptionBackoffUntil Micros // no preemption for the job before this time, since the last search found no victims
	startableSince         Micros // gangs only: time since which preempting lower ranks would let the gang start, 0 if it would not
}

// isGang reports whether all tasks of the job start together.
func (j *job) isGang() bool { return j.spec.Shape == wire.Gang }

// isOver reports whether no task of the job is to run any more.
func (j *job) isOver() bool { return j.finalStatus != "" || j.completing }

// taskResources returns the resources that each task of the job uses.
func (j *job) taskResources() resourceUse {
	return resourceUse{j.spec.CPUs, j.spec.GPUs, j.spec.MemoryGB}
}

// pendingCount returns the number of tasks that are neither completed nor possibly on a machine.
func (j *job) pendingCount() int {
	if j.isOver() {
		return 0
	}
	return j.spec.Tasks - j.completedCount - len(j.placementsByTask)
}

// isPending reports whether a task is neither completed nor possibly on a machine.
func (j *job) isPending(task int32) bool {
	return !j.isCompleted(task) && j.placementsByTask[task] == 0
}

// nextPendingTask returns the next task to place, and false if none is pending. The task stays pending.
func (j *job) nextPendingTask() (int32, bool) {
	for len(j.retryStack) > 0 {
		if task := j.retryStack[len(j.retryStack)-1]; j.isPending(task) {
			return task, true
		}
		j.retryStack = j.retryStack[:len(j.retryStack)-1]
	}
	for int(j.nextUnplaced) < j.spec.Tasks {
		if j.isPending(j.nextUnplaced) {
			return j.nextUnplaced, true
		}
		j.nextUnplaced++
	}
	return 0, false
}

// expectedRunTime returns the expected run time of a task. It is the owner's estimate multiplied by the
// observed ratio of run time to estimate in the job's class.
func (j *job) expectedRunTime() Micros {
	return Micros(j.spec.EstimateS * j.class.runTimeRatio * float64(second))
}

// latestStart returns the time by which the job must start to meet its objectives, and whether the job is
// late, that is, whether none of its objectives can be met any more. Of several objectives of one kind, only
// the strictest objective that can still be met counts, because a missed objective must not move the job ahead
// of other jobs. The parameter work is the time for which the job would occupy all machines that its class
// may use.
func (j *job) latestStart(now, work Micros) (at Micros, late bool) {
	at, late = math.MaxInt64, true
	tryStart := func(start Micros) bool {
		if now+work/2 > start {
			return false
		}
		at, late = min(at, start), false
		return true
	}
	estimate := j.expectedRunTime()
	if j.firstStartedAt == 0 || !j.isGang() {
		for _, wait := range j.class.waitObjectives {
			if tryStart(j.arrival + wait) {
				break
			}
		}
	}
	for _, completion := range j.class.completionObjectives {
		if tryStart(j.arrival + completion - estimate) {
			break
		}
	}
	if j.spec.DeadlineS != nil {
		for _, factor := range j.class.deadlineFactors {
			if tryStart(j.arrival + config.Micro(*j.spec.DeadlineS*factor) - estimate) {
				break
			}
		}
	}
	if late {
		return j.dueAt - estimate, j.hasObjective()
	}
	return at, false
}

// hasObjective reports whether the job has a deadline or its class has an objective for start or completion.
func (j *job) hasObjective() bool {
	return j.spec.DeadlineS != nil || len(j.class.waitObjectives)+len(j.class.completionObjectives) > 0
}
