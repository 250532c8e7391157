package sched

import (
	"testing"

	"dalefront/internal/config"
	"dalefront/wire"
)

// What is rented for tasks that have to be spread is rented where they may go: room for all of
// them in one zone was taken for enough, and a gang waited for ever.
func TestSpreadRents(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	for _, h := range []string{"n-1", "n-2", "n-3"} {
		b.report(h, "s", "x", 1)
	}
	j := spec("j-1", "a", wire.High, 4, 4)
	j.Shape, j.Spread = wire.Gang, true
	b.AddJob(j, b.now, b.now)
	b.now += 5 * second
	b.MachinesListed(nil, b.now)
	for _, h := range []string{"n-1", "n-2", "n-3"} {
		b.report(h, "s", "x", 1)
	}
	if b.schedule() != nil {
		t.Fatal("placed in one zone")
	}
	in := map[string]int{}
	for _, h := range b.ScaleOut(b.now) {
		in[h.Zone] += h.Count
	}
	if in["y"] == 0 || in["x"] > 0 {
		t.Errorf("rented %v", in)
	}
}

// Work that waits within its team's guarantee but at its team's limit can't start: it keeps no
// machine from others.
func TestLimitedClaimNothing(t *testing.T) {
	b := newBed(t, config.Team{Name: "a", CPUs: 100, MaxCPUs: 4}, config.Team{Name: "b"})
	b.report("n-1", "s", "x", 1)
	b.AddJob(spec("j-1", "a", wire.High, 3, 4), b.now, b.now)
	b.AddJob(spec("j-2", "b", wire.Low, 1, 4), b.now, b.now)
	b.schedule()
	b.report("n-1", "s", "x", 1, b.running("n-1")...)
	b.now += second
	b.schedule()
	if n := len(b.jobs.find("j-2").placements); n != 1 {
		t.Errorf("%d tasks of the other team have a place beside work that may not start", n)
	}
}
