package sched

import "dalefront/internal/config"

// epsilon is the tolerance for rounding errors in comparisons of sums of resources with a limit.
const epsilon = 1e-6

// quota holds a team's limits and guarantee and its current use.
//
// Invariants: usedCPUs and usedGPUs count every placement of the team's jobs. releasingCPUs and releasingGPUs
// count the placements that are being stopped. Only Core's methods addPlacement, stopPlacement and release
// change these four fields.
type quota struct {
	config.Team
	usedCPUs, usedGPUs           float64 // used by all tasks that may be on machines
	releasingCPUs, releasingGPUs float64 // the part of usedCPUs and usedGPUs used by tasks being stopped
}

// addUse adds the resources of a placed task.
func (q *quota) addUse(use resourceUse) {
	q.usedCPUs += use.cpus
	q.usedGPUs += use.gpus
}

// removeUse subtracts the resources of a released task. The parameter releasing says whether the task was
// being stopped.
func (q *quota) removeUse(use resourceUse, releasing bool) {
	q.usedCPUs -= use.cpus
	q.usedGPUs -= use.gpus
	if releasing {
		q.releasingCPUs -= use.cpus
		q.releasingGPUs -= use.gpus
	}
}

// addReleasing counts the resources of a task whose stop begins as resources that will be freed.
func (q *quota) addReleasing(use resourceUse) {
	q.releasingCPUs += use.cpus
	q.releasingGPUs += use.gpus
}

// withinLimit reports whether the team's use stays within its limit when the given CPUs and GPUs are added. A
// limit of 0 means that there is no limit.
func (q *quota) withinLimit(cpus, gpus float64) bool {
	return (q.MaxCPUs == 0 || q.usedCPUs+cpus <= q.MaxCPUs+epsilon) && (q.MaxGPUs == 0 || q.usedGPUs+gpus <= q.MaxGPUs+epsilon)
}

// withinGuarantee reports whether the team has a guarantee and its use stays within the guarantee when the
// given CPUs and GPUs are added.
func (q *quota) withinGuarantee(cpus, gpus float64) bool {
	if q.CPUs == 0 && q.GPUs == 0 {
		return false
	}
	return (q.CPUs == 0 || q.usedCPUs+cpus <= q.CPUs+epsilon) && (q.GPUs == 0 || q.usedGPUs+gpus <= q.GPUs+epsilon)
}

// exceedsGuarantee reports whether the team uses more than its guarantee, not counting tasks that are being
// stopped. For a team without a guarantee it always reports true.
func (q *quota) exceedsGuarantee() bool {
	return (q.CPUs > 0 && q.usedCPUs-q.releasingCPUs > q.CPUs+epsilon) || (q.GPUs > 0 && q.usedGPUs-q.releasingGPUs > q.GPUs+epsilon) || (q.CPUs == 0 && q.GPUs == 0)
}
