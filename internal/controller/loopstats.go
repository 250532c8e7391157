package controller

import "time"

// loopStats records how much time the owner goroutine has spent on each kind of work since the last log line.
// The owner goroutine works sequentially, so a long call delays all other work.
type loopStats struct {
	calls   [numLoopKinds]int
	total   [numLoopKinds]time.Duration
	longest [numLoopKinds]time.Duration // duration of the longest call
}

// loopKind is a kind of work of the owner goroutine.
type loopKind int

const (
	loopEvents loopKind = iota // functions from the queue: heartbeats, and results of other goroutines
	loopPasses                 // scheduling passes
	loopTicks                  // periodic work, including a scheduling pass
	numLoopKinds
)

// String returns the name of the kind in log lines.
func (k loopKind) String() string { return [numLoopKinds]string{"events", "passes", "ticks"}[k] }

// measure runs f, records its duration under the given kind, and returns the duration.
func (s *loopStats) measure(kind loopKind, f func()) time.Duration {
	began := time.Now()
	f()
	took := time.Since(began)
	s.calls[kind]++
	s.total[kind] += took
	s.longest[kind] = max(s.longest[kind], took)
	return took
}

// take returns the statistics as attributes of a log line and resets them.
func (s *loopStats) take() (attributes []any) {
	for kind := range numLoopKinds {
		name := kind.String()
		attributes = append(attributes, name, s.calls[kind], name+"_us", s.total[kind].Microseconds(), name+"_most_us", s.longest[kind].Microseconds())
	}
	*s = loopStats{}
	return attributes
}
