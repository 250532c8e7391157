package sched

import "slices"

// Once a pass, the scheduler determines which capacity is claimed by work of higher priority: by classes whose
// jobs keep arriving, and by jobs that wait within their teams' guarantees.

const (
	// maxGuaranteedWaiting is the maximum number of guaranteed jobs with distinct requirements for which
	// capacity is kept free.
	maxGuaranteedWaiting = 8
	// minCompetingArrivalRate is the rate of arriving tasks, per second, above which a class competes.
	minCompetingArrivalRate = 0.001
)

// prepareClaims lists the classes above the lowest priority whose jobs keep arriving, and the jobs that wait
// within their teams' guarantees, one for each distinct set of requirements.
func (ps *pass) prepareClaims(queue []*job) {
	for _, cl := range ps.core.classes.sorted() {
		if cl.sampleJob != nil && cl.sampleJob.rank > 0 && cl.arrivalRate(ps.core.now) > minCompetingArrivalRate {
			ps.competingClasses = append(ps.competingClasses, cl)
		}
	}
	for _, j := range queue {
		if len(ps.guaranteedWaiting) == maxGuaranteedWaiting {
			break
		}
		if j.withinGuarantee && j.rank > 0 && !j.isSuspect() && !j.atTeamLimit() && !slices.ContainsFunc(ps.guaranteedWaiting, j.hasSameRequirements) {
			ps.guaranteedWaiting = append(ps.guaranteedWaiting, j)
		}
	}
}

// hasSameRequirements reports whether another job is of the same class and has the same requirements on the
// zone and on spot machines.
func (j *job) hasSameRequirements(other *job) bool {
	return other.class == j.class && other.spec.Zone == j.spec.Zone && other.spec.Spot == j.spec.Spot
}

// isContested reports whether a competing class of higher priority than the job can use machines of the
// machine's type. A task of the job there is likely to be preempted, and stopping it delays the tasks of the
// competing class.
func (ps *pass) isContested(j *job, m *machine) bool {
	return slices.ContainsFunc(ps.competingClasses, func(cl *class) bool {
		return cl.sampleJob.rank > j.rank && fitsType(&cl.sampleJob.spec, m.machineType)
	})
}

// claimedByGuaranteed reports whether a job of higher priority that waits within its team's guarantee could
// use the machine now. Without this check, jobs without a guarantee would fill the machine again each time
// preemption makes room on it, and the guaranteed job would keep waiting. For a starved job the result is
// always false.
func (ps *pass) claimedByGuaranteed(j *job, m *machine) bool {
	if len(ps.guaranteedWaiting) == 0 || ps.core.starved(j) {
		return false
	}
	return slices.ContainsFunc(ps.guaranteedWaiting, func(other *job) bool {
		return other.rank > j.rank && meetsMachineConstraints(other, m) && hasRoom(other, m, 1)
	})
}
