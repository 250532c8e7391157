package controller

import (
	"context"
	"sync/atomic"
	"time"

	"dalefront/internal/config"
)

const (
	// tickInterval is the interval at which the owner goroutine does its periodic work.
	tickInterval = 250 * time.Millisecond
	// A scheduling pass is delayed so that several events lead to one pass and passes use a small share of
	// the processor. The delay is passDelayFactor times the duration of the last pass, but at least
	// minPassDelay. A last pass longer than maxCountedPassTime counts as maxCountedPassTime.
	minPassDelay       = 20 * time.Millisecond
	passDelayFactor    = 3
	maxCountedPassTime = 100 * time.Millisecond
	// stallThreshold is the shortest gap, in microseconds, between two iterations of the owner goroutine
	// that counts as a stall of the whole process.
	stallThreshold = int64(time.Second / time.Microsecond)
)

// ownerLoop is the event loop that makes all decisions sequentially. Its goroutine, the owner goroutine, owns
// the leadership and the scheduling core. Other goroutines pass functions to the loop. The comment of a
// function that must run only on the owner goroutine says so.
type ownerLoop struct {
	now     func() config.Micros
	queue   chan func()
	ended   chan struct{} // closed when run returns
	lastRun atomic.Int64  // time at which the last iteration began, in microseconds

	// The fields below are accessed only on the owner goroutine.
	leadership  *leadership // nil while this controller does not lead
	passPending bool        // a scheduling pass was requested
	stats       loopStats
}

// newOwnerLoop returns a loop whose queue holds up to queueLen functions. The caller starts the loop with
// run.
func newOwnerLoop(now func() config.Micros, queueLen int) *ownerLoop {
	return &ownerLoop{now: now, queue: make(chan func(), queueLen), ended: make(chan struct{})}
}

// run is the body of the owner goroutine. It delays a requested scheduling pass for a moment, so that a
// burst of heartbeats leads to one pass.
func (o *ownerLoop) run(ctx context.Context) {
	defer close(o.ended)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	passTimer := time.NewTimer(time.Hour)
	defer passTimer.Stop()
	passScheduled := false
	var passTime time.Duration
	o.lastRun.Store(o.now())
	for {
		o.lastRun.Store(o.now())
		select {
		case <-ctx.Done():
			return
		case f := <-o.queue:
			o.detectStall()
			o.stats.measure(loopEvents, f)
			if o.passPending && !passScheduled {
				passScheduled = true
				passTimer.Reset(max(minPassDelay, passDelayFactor*passTime))
			}
		case <-passTimer.C:
			o.detectStall()
			passScheduled = false
			o.passPending = false
			if o.leadership != nil {
				passTime = min(o.stats.measure(loopPasses, o.leadership.schedule), maxCountedPassTime)
			}
		case <-tick.C:
			o.detectStall()
			if o.leadership != nil {
				o.stats.measure(loopTicks, o.leadership.tick)
			}
		}
	}
}

// ranRecently reports whether the owner goroutine has iterated within stallThreshold. After a stall of the
// process, other goroutines may run before the owner goroutine does. They must not act under the term,
// since another controller may have taken it.
func (o *ownerLoop) ranRecently() bool { return o.now()-o.lastRun.Load() < stallThreshold }

// detectStall suspends the leadership after a stall. It runs before any other work of an iteration,
// since after a stall all timers seem overdue and all workers seem silent.
func (o *ownerLoop) detectStall() {
	now := o.now()
	gap := now - o.lastRun.Load()
	o.lastRun.Store(now)
	if gap >= stallThreshold && o.leadership != nil {
		o.leadership.suspend(gap)
	}
}

// callOwner runs f on the owner goroutine and returns the result of f. It returns false if the queue is
// full or if the context ends first. If the context ends first, f may still be running or run later.
// f must therefore not write to variables that the caller reads, and passes its result as a return value.
func callOwner[T any](ctx context.Context, o *ownerLoop, f func() T) (result T, called bool) {
	results := make(chan T, 1)
	select {
	case o.queue <- func() { results <- f() }:
	default:
		return result, false
	}
	select {
	case result = <-results:
		return result, true
	case <-ctx.Done():
		return result, false
	}
}

// post queues f to run on the owner goroutine. It blocks while the queue is full, since f may deliver a
// result of I/O, which must not be lost. After the loop has ended, post drops f.
func (o *ownerLoop) post(f func()) {
	select {
	case o.queue <- f:
	case <-o.ended:
	}
}

// requestPass requests a scheduling pass. It must be called on the owner goroutine.
func (o *ownerLoop) requestPass() { o.passPending = true }

// requestPassIf requests a scheduling pass if needed returns true. It calls needed only while no pass is
// pending. requestPassIf must be called on the owner goroutine.
func (o *ownerLoop) requestPassIf(needed func() bool) { o.passPending = o.passPending || needed() }
