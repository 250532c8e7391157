package controller

import "time"

// loopStats is what the owner goroutine spends its time on since the last log line: it decides
// one thing after the other, so what takes it long keeps everybody waiting.
type loopStats struct {
	calls [loopKinds]int
	spent [loopKinds]time.Duration
	most  [loopKinds]time.Duration // at one go
}

const (
	loopEvents = iota // reports, and what comes back from other goroutines
	loopPasses        // placing what waits
	loopTicks         // what time brings, a pass included
	loopKinds
)

// measure runs f and returns how long it took.
func (w *loopStats) measure(kind int, f func()) time.Duration {
	began := time.Now()
	f()
	took := time.Since(began)
	w.calls[kind]++
	w.spent[kind] += took
	w.most[kind] = max(w.most[kind], took)
	return took
}

// take returns what was measured, for a log line, and begins anew.
func (w *loopStats) take() []any {
	var out []any
	for kind, name := range []string{"events", "passes", "ticks"} {
		out = append(out, name, w.calls[kind], name+"_us", w.spent[kind].Microseconds(), name+"_most_us", w.most[kind].Microseconds())
	}
	*w = loopStats{}
	return out
}
