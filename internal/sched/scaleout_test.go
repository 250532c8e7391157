package sched

import (
	"testing"

	"dalefront/internal/config"
	"dalefront/wire"
)

// Machines for a gang that needs one zone are rented in one: spread over zones by
// price, as tasks without that rule are, they would never make room for it.
func TestGangIsRentedInOneZone(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	b.report("n-1", "s", "y", 1)
	g := spec("j-1", "a", wire.Normal, 6, 8)
	g.Shape, g.OneZone = wire.Gang, true
	b.AddJob(g, b.now, b.now)
	b.now += 5 * second
	b.MachinesListed(nil, b.now)
	b.report("n-1", "s", "y", 1)
	in := map[string]int{}
	for _, h := range b.ScaleOut(b.now) {
		in[h.Zone] += h.Count
	}
	if in["y"] != 5 || len(in) != 1 {
		t.Errorf("rented %v, want 5 in y, where one is already", in)
	}
}

// Idle-time work of a guest's kept hundreds of machines rented that nobody needed,
// GPU machines among them: it is no reason to rent, until it has waited for
// long, and keeps no GPU machine from going back.
func TestWorkWithoutObjectiveRentsLate(t *testing.T) {
	b := newBed(t, config.Team{Name: "guest"})
	b.MachinesListed(nil, b.now)
	b.AddJob(spec("j-1", "guest", wire.Low, 50, 1), b.now, b.now)
	b.now += 10 * second
	if h := b.ScaleOut(b.now); len(h) > 0 {
		t.Errorf("rented %v", h)
	}
	for _, m := range [][2]string{{"n-1", "s"}, {"n-2", "g"}} {
		b.report(m[0], m[1], "x", 1)
	}
	gpu := spec("j-2", "guest", wire.Low, 1, 1)
	gpu.GPUs = 1
	b.AddJob(gpu, b.now, b.now) // somebody uses GPUs
	b.schedule()
	if b.machines.find("n-1").placementCount != 8 {
		t.Errorf("%d tasks use what is left of an ordinary machine", b.machines.find("n-1").placementCount)
	}
	b.markDone(b.jobs.find("j-2"), 0)
	b.JobEnded("j-2", wire.JobDone, b.now)
	b.machines.find("n-2").eachPlacement(func(p *placement) { b.release(p) })
	b.schedule()
	if n := b.machines.find("n-2").placementCount; n > 0 {
		t.Errorf("%d tasks keep a GPU machine", n)
	}
	b.now += 600 * second
	if h := b.ScaleOut(b.now); len(h) == 0 {
		t.Error("work that nobody leaves anything for starves")
	}
}
