package sched

// reservation keeps a machine for a job. There are two kinds of reservations. A cleared machine is one on
// which tasks were preempted for the job. The job's tasks start there as soon as the preempted tasks have
// left. On any other reserved machine, a gang waits until tasks on the machine end.
//
// Invariant: reservationStart is 0 for a cleared machine and positive for a machine that a gang waits for.
type reservation struct {
	reservedFor          *job   // nil if the machine isn't reserved
	reservedUntil        Micros // when the reservation expires
	reservationStart     Micros // expected start of the gang that waits for the machine, 0 for a cleared machine
	reservationCheckedAt Micros // when the scheduler last decided that the gang waits for the machine
}

// reserveCleared reserves a machine on which tasks are being preempted for the job.
func (r *reservation) reserveCleared(job *job, until Micros) {
	*r = reservation{reservedFor: job, reservedUntil: until}
}

// reserveWaiting reserves a machine for a gang that waits to start there.
func (r *reservation) reserveWaiting(gang *job, start, until, now Micros) {
	*r = reservation{reservedFor: gang, reservationStart: start, reservedUntil: until, reservationCheckedAt: now}
}

// endReservation ends the reservation, so that other jobs can use the machine.
func (r *reservation) endReservation() { *r = reservation{} }

// dropStale ends a reservation that has expired or whose job has no more tasks to place.
func (r *reservation) dropStale(now Micros) {
	if r.isReserved() && (now >= r.reservedUntil || r.reservedFor.pendingCount() == 0) {
		r.endReservation()
	}
}

// isReserved reports whether the machine is reserved for any job.
func (r *reservation) isReserved() bool { return r.reservedFor != nil }

// isReservedFor reports whether the machine is reserved for the job.
func (r *reservation) isReservedFor(job *job) bool { return r.reservedFor == job }

// isReservedForOther reports whether the machine is reserved for another job.
func (r *reservation) isReservedForOther(job *job) bool {
	return r.isReserved() && r.reservedFor != job
}

// isClearedFor reports whether the machine is reserved for the job because tasks on the machine were preempted
// for the job. The reservation may have expired.
func (r *reservation) isClearedFor(job *job) bool {
	return r.reservedFor == job && r.reservationStart == 0
}

// isWaitedFor reports whether a gang waits for tasks on the machine to end.
func (r *reservation) isWaitedFor() bool { return r.isReserved() && r.reservationStart > 0 }
