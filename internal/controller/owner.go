package controller

import (
	"context"
	"sync/atomic"
	"time"

	"dalefront/internal/config"
)

const (
	// tickInterval is how often the owner goroutine does what time brings.
	tickInterval = 250 * time.Millisecond
	// minSettle is how long events may gather before a scheduling pass, and settlePasses the same as a
	// multiple of what the last pass took, of which maxPassTime counts.
	minSettle    = 20 * time.Millisecond
	settlePasses = 3
	maxPassTime  = 100 * time.Millisecond // a small share of the processor
	// stallThreshold is the longest gap between two rounds of the owner goroutine that is
	// not taken for a stall of the whole process, in microseconds.
	stallThreshold = int64(time.Second / time.Microsecond)
)

// ownerLoop is the goroutine that owns the leadership and with it the core: it makes all decisions,
// one after the other. Other goroutines hand it functions. What runs only on it says "Owner
// goroutine" in its comment.
type ownerLoop struct {
	now     func() config.Micros
	queue   chan func()
	ended   chan struct{} // closed when run has ended
	lastRun atomic.Int64  // when the goroutine last came by, in microseconds

	// Owned by the goroutine.
	leadership  *leadership // nil while this controller does not lead
	passPending bool        // a scheduling pass is to follow
	stats       loopStats
}

// newOwnerLoop returns a loop with room for so many functions; run starts it.
func newOwnerLoop(now func() config.Micros, room int) *ownerLoop {
	return &ownerLoop{now: now, queue: make(chan func(), room), ended: make(chan struct{})}
}

// run is the goroutine. It schedules once events have settled for a moment, so that a burst of
// reports leads to one pass.
func (o *ownerLoop) run(ctx context.Context) {
	defer close(o.ended)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	settle := time.NewTimer(time.Hour)
	defer settle.Stop()
	settling := false
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
			if o.passPending && !settling {
				settling = true
				settle.Reset(max(minSettle, settlePasses*passTime))
			}
		case <-settle.C:
			o.detectStall()
			settling = false
			o.passPending = false
			if o.leadership != nil {
				passTime = min(o.stats.measure(loopPasses, o.leadership.schedule), maxPassTime)
			}
		case <-tick.C:
			o.detectStall()
			if o.leadership != nil {
				o.stats.measure(loopTicks, o.leadership.tick)
			}
		}
	}
}

// ranRecently says whether the goroutine came by lately. After a stall of the process whatever
// runs first must not act for a term that another controller may hold by now.
func (o *ownerLoop) ranRecently() bool { return o.now()-o.lastRun.Load() < stallThreshold }

// detectStall notices a stall: it runs before anything else that a round does, since
// to this controller everything timed looks overdue and all workers look silent.
func (o *ownerLoop) detectStall() {
	now := o.now()
	gap := now - o.lastRun.Load()
	o.lastRun.Store(now)
	if gap >= stallThreshold && o.leadership != nil {
		o.leadership.suspend(gap)
	}
}

// callOwner runs f on the goroutine and returns its result. It returns false if the queue is full or the
// context ends first. In the latter case f may be running or run later: it must not write to what the
// caller reads, which is why its result is returned and not assigned.
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

// post runs f on the goroutine later; results of I/O must not be lost, so it waits for room. Once
// the loop has ended f is dropped.
func (o *ownerLoop) post(f func()) {
	select {
	case o.queue <- f:
	case <-o.ended:
	}
}

// requestPass has a scheduling pass follow. Owner goroutine.
func (o *ownerLoop) requestPass() { o.passPending = true }

// requestPassIf does so if a pass is needed, which is asked only while none is pending. Owner
// goroutine.
func (o *ownerLoop) requestPassIf(needed func() bool) { o.passPending = o.passPending || needed() }
