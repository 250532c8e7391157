package sched

// reservation keeps a machine for a job: either it was cleared for the job, whose tasks go there as
// soon as the preempted ones have left, or a gang waits until tasks of the machine end.
//
// Invariant: of a cleared machine reservationStart is 0, of one that is waited for it is not.
type reservation struct {
	reservedFor          *job   // nil if it isn't reserved
	reservedUntil        Micros // when the reservation runs out
	reservationStart     Micros // when a job that waits for the machine is expected to use it
	reservationCheckedAt Micros // when it was last decided that the job waits for it
}

// reserveCleared keeps a machine that is being cleared.
func (r *reservation) reserveCleared(job *job, until Micros) {
	*r = reservation{reservedFor: job, reservedUntil: until}
}

// reserveWaiting keeps a machine for a gang that is going to start.
func (r *reservation) reserveWaiting(gang *job, start, until, now Micros) {
	*r = reservation{reservedFor: gang, reservationStart: start, reservedUntil: until, reservationCheckedAt: now}
}

// endReservation lets others have the machine.
func (r *reservation) endReservation() { *r = reservation{} }

// dropStale ends a reservation that has run out or that its job has no use for any more.
func (r *reservation) dropStale(now Micros) {
	if r.isReserved() && (now >= r.reservedUntil || r.reservedFor.pendingCount() == 0) {
		r.endReservation()
	}
}

// isReserved says whether the machine is kept for any job.
func (r *reservation) isReserved() bool { return r.reservedFor != nil }

// isReservedFor says whether the machine is kept for the job.
func (r *reservation) isReservedFor(job *job) bool { return r.reservedFor == job }

// isReservedForOther says whether the machine is kept for another job.
func (r *reservation) isReservedForOther(job *job) bool {
	return r.isReserved() && r.reservedFor != job
}

// isClearedFor says whether the machine is or was cleared for the job.
func (r *reservation) isClearedFor(job *job) bool {
	return r.reservedFor == job && r.reservationStart == 0
}

// isWaitedFor says whether a gang waits for tasks of the machine to end.
func (r *reservation) isWaitedFor() bool { return r.isReserved() && r.reservationStart > 0 }
