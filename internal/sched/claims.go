package sched

import "slices"

// Which room is claimed by work of higher priority, found out once a pass: by the classes whose
// jobs keep arriving, and by jobs that wait within their teams' guarantees.

const (
	// maxGuaranteedWaiting is how many kinds of guaranteed jobs have room kept clear for them.
	maxGuaranteedWaiting = 8
	// competingRate is the least rate of arriving tasks, a second, at which a class competes.
	competingRate = 0.001
)

// prepareClaims lists the classes whose jobs arrive above the lowest priority, and the jobs that
// wait within their teams' guarantees, one of each class and zone.
func (ps *pass) prepareClaims(queue []*job) {
	for _, cl := range ps.core.classes.sorted() {
		if cl.sampleJob != nil && cl.sampleJob.rank > 0 && cl.arrivalRate(ps.core.now) > competingRate {
			ps.competingClasses = append(ps.competingClasses, cl)
		}
	}
	for _, j := range queue {
		if len(ps.guaranteedWaiting) == maxGuaranteedWaiting {
			break
		}
		if j.withinGuarantee && j.rank > 0 && !j.isSuspect() && !j.atTeamLimit() && !slices.ContainsFunc(ps.guaranteedWaiting, j.asksLike) {
			ps.guaranteedWaiting = append(ps.guaranteedWaiting, j)
		}
	}
}

// asksLike says whether another job is of the same class and may use the same zone and kind of
// machine.
func (j *job) asksLike(other *job) bool {
	return other.class == j.class && other.spec.Zone == j.spec.Zone && other.spec.Spot == j.spec.Spot
}

// contested says whether a class of higher priority uses machines of the type:
// there a task is likely to be stopped, and its stop keeps the others waiting.
func (ps *pass) contested(j *job, m *machine) bool {
	return slices.ContainsFunc(ps.competingClasses, func(cl *class) bool {
		return cl.sampleJob.rank > j.rank && fitsType(&cl.sampleJob.spec, m.machineType)
	})
}

// claimedByGuaranteed says whether work of higher priority that waits within its team's
// guarantee could use the machine right now. Work that is not guaranteed anything
// would fill it up again as often as it is cleared, and the claimant waits on.
func (ps *pass) claimedByGuaranteed(j *job, m *machine) bool {
	if len(ps.guaranteedWaiting) == 0 || ps.core.starved(j) {
		return false
	}
	return slices.ContainsFunc(ps.guaranteedWaiting, func(other *job) bool {
		return other.rank > j.rank && allowed(other, m) && hasRoom(other, m, 1)
	})
}
