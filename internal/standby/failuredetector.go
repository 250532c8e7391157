package standby

// FailureDetector decides when a standby suspects that the leader's process has ended, so that the
// standby need not wait for the leader's lease to expire. A suspicion is not proof. The term is
// replaced by a transaction that is conditional on the term's version. This fences every write of the
// old leader. Messages that the old leader still sends are as harmless as after any failover
// (docs/standby.md). A false positive costs a change of leader. A suspicion therefore needs more
// evidence than this controller's broken connection, and the rate of replacements is limited.
//
// Either of the following is sufficient evidence:
//
//   - The connection to the leader broke, and the leader has not responded since. At least one other
//     controller was asked to probe the leader, and none of the controllers asked reaches the leader.
//     More than half of the controllers besides the leader, this controller included, have failed to
//     reach the leader. A refused connection alone is no evidence: hosts without free sockets and packet
//     filters between hosts refuse connections, too. In these cases, connections to the other
//     controllers are also refused, so that this controller can't ask them to probe the leader.
//   - A process other than the one that acquired the term responds at the leader's address.
//
// A process that is silent, hung or paused keeps its connections. It is replaced only when its lease
// expires.
type FailureDetector struct {
	Controllers int    // number of controllers of the site, this one included
	MinSilence  Micros // minimum time without a response of the leader before the leader is suspected
	MinInterval Micros // minimum time between two replacements by this controller; doubles with each false positive

	connectionLostAt Micros          // when the connection to the leader broke; 0 if it is intact
	token            uint64          // token of the leader's term
	processID        uint64          // ID of the process that sent heartbeats as leader under the token
	probes           int             // unanswered probes since the connection broke
	unreachable      map[string]bool // labels of the other controllers that could not reach the leader

	replacedAt     Micros // when this controller last replaced a term
	backoff        Micros // minimum time between replacements after false positives, 0 if there were none
	falsePositives int
}

// RecordHeartbeat records a heartbeat that a process sent as leader under a token.
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

func (d *FailureDetector) clearEvidence() { d.connectionLostAt, d.probes, d.unreachable = 0, 0, nil }

// RecordConnectionLoss records that the connection to the leader broke.
func (d *FailureDetector) RecordConnectionLoss(now Micros) {
	if d.connectionLostAt == 0 {
		d.connectionLostAt, d.unreachable = now, map[string]bool{}
	}
}

// RecordProbe records a probe of the leader's address to which the leader's process did not respond.
// processID is the ID of the process that responded, or 0 if no process responded. RecordProbe reports
// whether a process other than the leader's responded.
func (d *FailureDetector) RecordProbe(processID uint64) (anotherProcess bool) {
	if processID != 0 && d.processID != 0 && processID != d.processID {
		return true
	}
	d.probes++
	return false
}

// RecordPeerProbe records whether the controller with the label reached the leader.
func (d *FailureDetector) RecordPeerProbe(label string, reached bool) {
	if reached {
		d.clearEvidence()
		return
	}
	if d.unreachable != nil {
		d.unreachable[label] = true
	}
}

// minProbes is the minimum number of unanswered probes for a suspicion.
const minProbes = 2

// Suspects reports whether the evidence is sufficient to suspect that the leader's process has
// ended.
func (d *FailureDetector) Suspects(now Micros) bool {
	followers := d.Controllers - 1
	confirmations := len(d.unreachable)
	return d.connectionLostAt > 0 && now-d.connectionLostAt >= d.MinSilence && d.probes >= minProbes &&
		confirmations >= 1 && 2*(confirmations+1) > followers
}

// MayReplace reports whether enough time has passed since this controller last replaced a term.
func (d *FailureDetector) MayReplace(now Micros) bool {
	return d.replacedAt == 0 || now-d.replacedAt >= max(d.backoff, d.MinInterval)
}

// RecordReplacement records that this controller replaces a term.
func (d *FailureDetector) RecordReplacement(now Micros) { d.replacedAt = now }

// maxBackoff bounds the time between replacements after false positives.
const maxBackoff = 600 * second

// RecordFalsePositive records that this controller replaced the term of a leader whose process had
// not ended, and doubles the minimum time between two replacements.
func (d *FailureDetector) RecordFalsePositive() {
	d.falsePositives++
	d.backoff = min(max(2*d.backoff, 2*d.MinInterval), maxBackoff)
}

// FalsePositives returns the number of recorded false positives.
func (d *FailureDetector) FalsePositives() int { return d.falsePositives }
