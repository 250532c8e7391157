package controller

import "time"

// loopStats is what the owner goroutine spends its time on since the last log line: it decides
// one thing after the other, so what takes it long keeps everybody waiting.
type loopStats struct {
	calls   [loopKinds]int
	total   [loopKinds]time.Duration
	longest [loopKinds]time.Duration // of one call
}

// loopKind is a kind of work of the owner goroutine.
type loopKind int

const (
	loopEvents loopKind = iota // heartbeats, and what comes back from other goroutines
	loopPasses                 // scheduling passes
	loopTicks                  // what time brings, a pass included
	loopKinds
)

// String is the name of a kind in the log.
func (k loopKind) String() string { return [loopKinds]string{"events", "passes", "ticks"}[k] }

// measure runs f and returns how long it took.
func (s *loopStats) measure(kind loopKind, f func()) time.Duration {
	began := time.Now()
	f()
	took := time.Since(began)
	s.calls[kind]++
	s.total[kind] += took
	s.longest[kind] = max(s.longest[kind], took)
	return took
}

// take returns what was measured as attributes of a log line, and begins anew.
func (s *loopStats) take() (attributes []any) {
	for kind := range loopKinds {
		name := kind.String()
		attributes = append(attributes, name, s.calls[kind], name+"_us", s.total[kind].Microseconds(), name+"_most_us", s.longest[kind].Microseconds())
	}
	*s = loopStats{}
	return attributes
}
