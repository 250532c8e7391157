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
func TestIdleBeyondWhatIsExpected(t *testing.T) {
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

// Machines for a gang that needs one zone are rented in one: spread over zones by
// price, as tasks without that rule are, they would never make room for it.
func TestGangIsHiredInOneZone(t *testing.T) {
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
// graphics machines among them: it is no reason to rent, until it has waited for
// long, and keeps no graphics machine from going back.
func TestLeftovers(t *testing.T) {
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
	b.AddJob(gpu, b.now, b.now) // somebody uses graphics
	b.schedule()
	if b.machines.find("n-1").placementCount != 8 {
		t.Errorf("%d tasks use what is left of an ordinary machine", b.machines.find("n-1").placementCount)
	}
	b.markDone(b.jobs.find("j-2"), 0)
	b.JobEnded("j-2", wire.JobDone, b.now)
	b.machines.find("n-2").eachPlacement(func(p *placement) { b.release(p) })
	b.schedule()
	if n := b.machines.find("n-2").placementCount; n > 0 {
		t.Errorf("%d tasks keep a graphics machine", n)
	}
	b.now += 600 * second
	if h := b.ScaleOut(b.now); len(h) == 0 {
		t.Error("work that nobody leaves anything for starves")
	}
}

// A graphics machine that small tasks keep busy empties and goes back while
// ordinary machines can be had, but not one that has just served what it is for.
func TestGraphicsMachinesEmpty(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	b.report("n-1", "g", "x", 1)
	gpu, sweep := spec("j-1", "a", wire.Normal, 1, 2), spec("j-2", "a", wire.Normal, 1, 12)
	gpu.GPUs = 1
	b.AddJob(gpu, b.now, b.now)
	b.AddJob(sweep, b.now, b.now)
	b.AddJob(spec("j-3", "a", wire.Low, 50, 1), b.now, b.now)
	b.jobs.find("j-2").class.waitObjectives = []Micros{30 * second}
	m := b.machines.find("n-1")
	ps := b.newPass()
	ps.summarizeGPUs([]*job{b.jobs.find("j-1")})
	small := b.jobs.find("j-3")
	d := 60.0
	small.spec.DeadlineS, small.dueAt = &d, b.now+500*second
	end := func(id string) {
		p := b.addPlacement(b.jobs.find(id), 0, m, 9)
		p.durable, p.runningSince = true, b.now
		b.now += 100 * second
		b.release(p)
	}
	end("j-2")
	if !ps.mayUseGPUMachine(small, m) || b.now-m.gpusIdleSince > 0 {
		t.Error("a machine that has just served what it is for takes nothing else")
	}
	end("j-3")
	if ps.mayUseGPUMachine(small, m) {
		t.Error("small tasks keep a graphics machine whose GPUs have idled")
	}
	for _, zone := range []string{"x", "y"} {
		b.cloud.exhaustedUntil[machineKind{"s", zone, false}] = b.now
	}
	if !ps.mayUseGPUMachine(small, m) {
		t.Error("a graphics machine stands empty though ordinary ones are sold out")
	}
}

// Only work that an aim watches more closely than graphics tasks fills the processors
// of graphics machines: small tasks with a loose aim had left half their GPUs idle.
func TestLooserAimLeavesGraphics(t *testing.T) {
	for _, within := range []float64{60, 250} {
		b := newBed(t, config.Team{Name: "a"})
		b.settings.Deployment.Objectives = []config.Objective{{Kind: "wait", Class: "scan", WithinS: 120}, {Kind: "wait", Class: "cj-2", WithinS: within}}
		b.report("n-1", "g", "x", 1)
		scan := spec("j-1", "a", wire.Low, 3, 1)
		scan.Class, scan.GPUs = "scan", 1
		b.AddJob(scan, b.now, b.now)
		b.AddJob(spec("j-2", "a", wire.Low, 8, 1), b.now, b.now)
		ps := b.newPass()
		ps.summarizeGPUs(b.queue())
		if got, want := ps.keepsGPUMachine(b.jobs.find("j-2")), within < 120; got != want {
			t.Errorf("an aim of %.0f s beside one of 120 s: graphics machines are kept for it %v, want %v", within, got, want)
		}
	}
}

// Room is kept ready only for work that can't wait for a boot: 134 of 358 graphics
// machines stood idle for tasks whose start was to be within 120 s, three boots.
func TestSpareRoomForCloseAimsOnly(t *testing.T) {
	for within, want := range map[float64]bool{20: true, 49: true, 51: false, 120: false} {
		b := newBed(t, config.Team{Name: "a"})
		b.settings.Deployment.Objectives = []config.Objective{{Kind: "wait", Class: "cj-1", WithinS: within}}
		b.AddJob(spec("j-1", "a", wire.Normal, 30, 1), b.now, b.now) // type s boots in 20 s
		if got := len(b.expectedDemand()) > 0; got != want {
			t.Errorf("an aim of %.0f s: room is kept %v", within, got)
		}
	}
}
