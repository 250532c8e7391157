package sched

import (
	"testing"

	"dalefront/wire"
)

// Which of two equally dear victims goes first does not hang on the order in which a gang's
// tasks are read, also where they are of several attempts.
func TestVictimsAreTheSameEachTime(t *testing.T) {
	b := newBed(t)
	b.report("n-1", "s", "x", 1)
	b.report("n-2", "s", "x", 1)
	gang := spec("j-1", "a", wire.Low, 2, 4)
	gang.Shape = wire.Gang
	b.AddJob(gang, b.now, b.now)
	b.AddJob(spec("j-2", "a", wire.Low, 1, 4), b.now, b.now)
	b.AddJob(spec("j-3", "a", wire.High, 1, 4), b.now, b.now)
	here, there := b.machines.find("n-1"), b.machines.find("n-2")
	b.addPlacement(b.jobs.find("j-1"), 0, here, 1)
	b.addPlacement(b.jobs.find("j-2"), 0, here, 2)
	b.addPlacement(b.jobs.find("j-1"), 1, there, 3)
	ps := b.newPass()
	for range 100 {
		victims, ok := ps.victims(b.jobs.find("j-3"), here)
		if !ok || len(victims) != 1 {
			t.Fatalf("%d victims, enough: %v", len(victims), ok)
		}
		if job := victims[0].tasks[0].job.id; job != "j-1" {
			t.Fatalf("%s makes way, not the gang, whose attempt on the machine is the earlier one", job)
		}
	}
}
