package failuredomain

import "slices"

const (
	// maxCounted bounds what one mass event can teach about the next.
	maxCounted = 20
	// maxEpisodes is how many past silences of a kind are remembered.
	maxEpisodes = 32
	// episodeGap is within what time silences of similar lengths end that are one event.
	episodeGap = 5 * second
)

// History is what is kept of past silences when another observer takes over.
type History struct {
	Hangs      []Micros `msgpack:"H"`
	Partitions []Micros `msgpack:"C"`
	Deaths     float64  `msgpack:"D"`
	Recoveries float64  `msgpack:"B"`
}

// History returns what was observed of past silences.
func (d *Detector) History() History {
	return History{Hangs: d.hangs.lengths, Partitions: d.partitions.lengths, Deaths: d.deaths, Recoveries: d.recoveries}
}

// Restore takes what an earlier observer has observed.
func (d *Detector) Restore(history History) {
	d.hangs.lengths = history.Hangs[max(0, len(history.Hangs)-maxEpisodes):]
	d.partitions.lengths = history.Partitions[max(0, len(history.Partitions)-maxEpisodes):]
	d.deaths = min(max(0, history.Deaths), maxCounted)
	d.recoveries = min(max(0, history.Recoveries), maxCounted)
}

// RecordRecovery records that a machine which had been silent for so long, and not with its
// zone, was heard again.
func (d *Detector) RecordRecovery(now, silence Micros) {
	if silence > d.params.SilenceThreshold() {
		d.recoveries = min(d.recoveries+1, maxCounted)
		d.hangs.add(now, silence)
	}
}

// RecordDeath records that a silent machine turned out to be dead.
func (d *Detector) RecordDeath() { d.deaths = min(d.deaths+1, maxCounted) }

// silenceLengths are the lengths of past silences of one kind.
type silenceLengths struct {
	lengths   []Micros
	lastEnded Micros
}

// add records a silence that ended. Machines that fell silent together recover together:
// that is one event, not hundreds.
func (s *silenceLengths) add(now, length Micros) {
	if n := len(s.lengths); n > 0 && now-s.lastEnded < episodeGap && length < s.lengths[n-1]*5/4 && length > s.lengths[n-1]*3/4 {
		s.lastEnded = now
		return
	}
	s.lastEnded = now
	s.lengths = append(s.lengths, length)
	s.lengths = slices.Clone(s.lengths[max(0, len(s.lengths)-maxEpisodes):])
}

// expectedRemaining returns how much longer a silence may be expected to last that has
// lasted for so long: the mean of what past ones that lasted longer had left, together
// with one of which nothing is known but that it has lasted so far. With that
// alone, waiting until the wait has cost as much as the alternative costs is never
// more than twice as expensive as having known the length.
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
