package sched

import "dalefront/internal/config"

// epsilon is by how much sums of resources may exceed a limit: they are rounded.
const epsilon = 1e-6

// quota is a team's limits and guarantee, and what it uses of them.
//
// Invariants: the use counts every placement of the team's jobs, and of it the releasing part
// those that are being stopped. Only addPlacement, stopPlacement and release change either.
type quota struct {
	config.Team
	usedCPUs, usedGPUs           float64 // by tasks that may be on machines
	releasingCPUs, releasingGPUs float64 // of these, by tasks that are being stopped
}

// addUse counts what a placed task takes.
func (q *quota) addUse(use resourceUse) {
	q.usedCPUs += use.cpus
	q.usedGPUs += use.gpus
}

// removeUse gives back what a released task took. releasing says whether it was being stopped.
func (q *quota) removeUse(use resourceUse, releasing bool) {
	q.usedCPUs -= use.cpus
	q.usedGPUs -= use.gpus
	if releasing {
		q.releasingCPUs -= use.cpus
		q.releasingGPUs -= use.gpus
	}
}

// addReleasing counts what a task that is being stopped is going to give back.
func (q *quota) addReleasing(use resourceUse) {
	q.releasingCPUs += use.cpus
	q.releasingGPUs += use.gpus
}

// withinLimit says whether the team's limit leaves room; 0 means no limit.
func (q *quota) withinLimit(cpus, gpus float64) bool {
	return (q.MaxCPUs == 0 || q.usedCPUs+cpus <= q.MaxCPUs+epsilon) && (q.MaxGPUs == 0 || q.usedGPUs+gpus <= q.MaxGPUs+epsilon)
}

// withinGuarantee says whether the team has a guarantee that this use stays within.
func (q *quota) withinGuarantee(cpus, gpus float64) bool {
	if q.CPUs == 0 && q.GPUs == 0 {
		return false
	}
	return (q.CPUs == 0 || q.usedCPUs+cpus <= q.CPUs+epsilon) && (q.GPUs == 0 || q.usedGPUs+gpus <= q.GPUs+epsilon)
}

// exceedsGuarantee says whether the team uses more than its guarantee, what is leaving
// apart.
func (q *quota) exceedsGuarantee() bool {
	return (q.CPUs > 0 && q.usedCPUs-q.releasingCPUs > q.CPUs+epsilon) || (q.GPUs > 0 && q.usedGPUs-q.releasingGPUs > q.GPUs+epsilon) || (q.CPUs == 0 && q.GPUs == 0)
}
