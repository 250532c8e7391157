package sched

import (
	"fmt"
	"testing"

	"dalefront/internal/config"
	"dalefront/wire"
)

// Machines that stand idle go back after a while; sooner when they are more than
// the tasks fill that may be expected while another one would boot. On the grown
// sites a hundred dear machines stood idle for a whole boot after the last burst.
func TestIdleMachinesBeyondExpectedAreReturned(t *testing.T) {
	for _, c := range []struct {
		arrivals int // tasks lately
		idle     Micros
		back     int
	}{{0, 7 * second, 0}, {0, 9 * second, 10}, {2000, 9 * second, 0}, {2000, 27 * second, 10}} {
		b := newBed(t, config.Team{Name: "a"})
		for i := 0; i < 10; i++ {
			b.report(fmt.Sprintf("n-%06d", i), "s", "x", 1)
		}
		b.now += 30 * second // the term is not fresh any more
		j := spec("j-1", "a", wire.Normal, max(1, c.arrivals), 8)
		b.AddJob(j, b.now, b.now)
		b.JobEnded("j-1", wire.JobCancelled, b.now)
		if c.arrivals == 0 {
			b.classes.find(j.Class).decayedArrivals = 0
		}
		for _, m := range b.machines.byHost {
			m.idleSince, m.lastHeartbeat = b.now-c.idle, b.now
		}
		if back := b.ScaleIn(b.now, false); len(back) != c.back {
			t.Errorf("after %d tasks and %d s idle: %d of 10 machines go back, want %d", c.arrivals, c.idle/second, len(back), c.back)
		}
	}
}
