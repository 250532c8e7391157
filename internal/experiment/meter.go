package experiment

import "time"

// phase is a part of the scheduler core's work whose duration is measured.
type phase int

const (
	phaseHeartbeat phase = iota // handling a heartbeat
	phaseSchedule               // a scheduling pass and the handling of its commit
	phaseScaling                // deciding on scale-in and scale-out, once a second
	phaseCount
)

// coreMeter measures the time spent in the scheduler's core. A nil coreMeter measures nothing.
type coreMeter struct {
	calls   [phaseCount]int
	total   [phaseCount]time.Duration
	longest [phaseCount]time.Duration // longest duration of a single call, by phase
}

// measure calls work and adds its duration to the phase.
func (m *coreMeter) measure(phase phase, work func()) {
	if m == nil {
		work()
		return
	}
	start := time.Now()
	work()
	elapsed := time.Since(start)
	m.total[phase] += elapsed
	m.longest[phase] = max(m.longest[phase], elapsed)
	m.calls[phase]++
}
