package failuredomain

import "slices"

const (
	// maxOutcomeCount bounds the counts of deaths and of recoveries, so that one mass event does not
	// dominate the later estimates.
	maxOutcomeCount = 20
	// maxSilences is the number of past silences of each kind that are kept.
	maxSilences = 32
	// sameEventGap is the time between the ends of two silences of similar lengths below which the
	// silences count as one event.
	sameEventGap = 5 * second
)

// History is the record of past silences. It is passed on when another observer takes over.
type History struct {
	Hangs      []Micros `msgpack:"H"`
	Partitions []Micros `msgpack:"C"`
	Deaths     float64  `msgpack:"D"`
	Recoveries float64  `msgpack:"B"`
}

// History returns the record of past silences.
func (d *Detector) History() History {
	return History{Hangs: d.hangs.lengths, Partitions: d.partitions.lengths, Deaths: d.deaths, Recoveries: d.recoveries}
}

// Restore sets the record of past silences to that of an earlier observer.
func (d *Detector) Restore(history History) {
	d.hangs.lengths = history.Hangs[max(0, len(history.Hangs)-maxSilences):]
	d.partitions.lengths = history.Partitions[max(0, len(history.Partitions)-maxSilences):]
	d.deaths = min(max(0, history.Deaths), maxOutcomeCount)
	d.recoveries = min(max(0, history.Recoveries), maxOutcomeCount)
}

// RecordRecovery records that a machine was heard again after a silence of the given length
// that did not affect its whole zone.
func (d *Detector) RecordRecovery(now, silence Micros) {
	if silence > d.params.SilenceThreshold() {
		d.recoveries = min(d.recoveries+1, maxOutcomeCount)
		d.hangs.add(now, silence)
	}
}

// RecordDeath records that a silent machine proved to be dead.
func (d *Detector) RecordDeath() { d.deaths = min(d.deaths+1, maxOutcomeCount) }

// silenceLengths holds the lengths of the last silences of one kind.
type silenceLengths struct {
	lengths   []Micros
	lastEnded Micros
}

// add records a silence that ended. Machines that fell silent together recover together, which
// counts as one event.
func (s *silenceLengths) add(now, length Micros) {
	if n := len(s.lengths); n > 0 && now-s.lastEnded < sameEventGap && length < s.lengths[n-1]*5/4 && length > s.lengths[n-1]*3/4 {
		s.lastEnded = now
		return
	}
	s.lastEnded = now
	s.lengths = append(s.lengths, length)
	s.lengths = slices.Clone(s.lengths[max(0, len(s.lengths)-maxSilences):])
}

// expectedRemaining takes the time that a silence has lasted so far, and returns how much longer
// the silence is expected to last. The estimate is the mean remaining length of the past silences that lasted
// longer than the elapsed time. One more sample, whose remaining length is the elapsed time, is included in
// the mean.
// Without past silences, this sample makes the estimate 2-competitive: if a caller waits until the
// wait has cost as much as the alternative, it never pays more than twice the cost that it would have
// if it knew the length.
func (s *silenceLengths) expectedRemaining(elapsed Micros) Micros {
	sum, count := elapsed, Micros(1)
	for _, length := range s.lengths {
		if length > elapsed {
			sum += length - elapsed
			count++
		}
	}
	return sum / count
}
