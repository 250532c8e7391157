package standby

// FailureDetector decides when a standby suspects that the leader's process has ended, so
// that it need not wait for the leader's lease to expire. A suspicion is never proof: the
// term is replaced by a transaction conditional on its version, which fences every write
// of the old leader, and what that one still sends is as harmless as after any failover
// (docs/standby.md). A wrong suspicion costs a change of leader, so it takes evidence from
// two sides and is bounded in how often.
//
// The evidence: the connection to the leader broke, since when it answers no heartbeat;
// and of the other controllers at least one was asked to probe, none of them reaches it
// either, and more than half of all could be asked. A refused connection alone is no sign:
// hosts without free sockets refuse, and so do packet filters between hosts, but then the
// other controllers are refused as well, and can't be asked. Or: the leader's host answers
// as another process than the one that took the term. A process that is silent, hangs or
// is paused breaks no connection; for that there is the lease.
type FailureDetector struct {
	Controllers int    // of the site, this one included
	MinSilence  Micros // for how long the leader must not answer
	MinInterval Micros // between two replacements by this controller; doubles with each false positive

	brokenAt    Micros          // since when the connection is broken, 0 if it is not
	token       uint64          // of the term
	processID   uint64          // that sent heartbeats as leader under the token
	probes      int             // without an answer since the connection broke
	unreachable map[string]bool // controllers that could not reach the leader either

	replacedAt     Micros // when this controller last replaced a term
	backoff        Micros
	falsePositives int
}

// RecordHeartbeat records a heartbeat of the leader under the token, sent by a process.
func (d *FailureDetector) RecordHeartbeat(token, processID uint64) {
	if token != d.token {
		d.token, d.processID = token, 0
		d.clearEvidence()
	}
	if d.processID == 0 {
		d.processID = processID
	}
	if d.processID == processID {
		d.clearEvidence()
	}
}

func (d *FailureDetector) clearEvidence() { d.brokenAt, d.probes, d.unreachable = 0, 0, nil }

// RecordConnectionLoss records that the connection to the leader broke.
func (d *FailureDetector) RecordConnectionLoss(now Micros) {
	if d.brokenAt == 0 {
		d.brokenAt, d.unreachable = now, map[string]bool{}
	}
}

// RecordProbe records a probe of the leader's address that the leader's process did not
// answer. It reports whether another process answered it; processID is 0 if none did.
func (d *FailureDetector) RecordProbe(processID uint64) (anotherProcess bool) {
	if processID != 0 && d.processID != 0 && processID != d.processID {
		return true
	}
	d.probes++
	return false
}

// RecordPeerProbe records whether another controller reached the leader.
func (d *FailureDetector) RecordPeerProbe(label string, reached bool) {
	if reached {
		d.clearEvidence()
		return
	}
	if d.unreachable != nil {
		d.unreachable[label] = true
	}
}

// minProbes is how many unanswered probes a suspicion takes.
const minProbes = 2

// Suspects reports whether the evidence suffices to suspect that the leader's process has
// ended.
func (d *FailureDetector) Suspects(now Micros) bool {
	followers := d.Controllers - 1
	witnesses := len(d.unreachable)
	return d.brokenAt > 0 && now-d.brokenAt >= d.MinSilence && d.probes >= minProbes &&
		witnesses >= 1 && 2*(witnesses+1) > followers
}

// MayReplace reports whether enough time has passed since this controller last replaced a
// term.
func (d *FailureDetector) MayReplace(now Micros) bool {
	return d.replacedAt == 0 || now-d.replacedAt >= max(d.backoff, d.MinInterval)
}

// RecordReplacement records that this controller replaces a term.
func (d *FailureDetector) RecordReplacement(now Micros) { d.replacedAt = now }

// maxBackoff bounds the time between replacements after false positives.
const maxBackoff = 600 * second

// RecordFalsePositive records that a leader whose term this controller replaced had not
// ended.
func (d *FailureDetector) RecordFalsePositive() {
	d.falsePositives++
	d.backoff = min(max(2*d.backoff, 2*d.MinInterval), maxBackoff)
}

// FalsePositives returns how often that happened.
func (d *FailureDetector) FalsePositives() int { return d.falsePositives }
