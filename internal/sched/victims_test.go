package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dalefront/wire"
)

// The cost of evicting is that of the victims that would be picked, on every machine and for
// every job: tasks of several priorities and sizes that save or not, have run for different
// times, were evicted before, are leaving, and gangs among them.
func TestPreemptionCostIsThatOfTheVictims(t *testing.T) {
	compared, fits, several := 0, 0, 0
	for seed := uint64(1); seed <= 6; seed++ {
		r := rand.New(rand.NewPCG(seed, 34))
		b := crowd(t, seed, 60, 40)
		for i := range 12 {
			g := spec(fmt.Sprintf("j-8%03d", i), "a", wire.Low, 2+r.IntN(4), 1)
			g.Shape = wire.Gang
			b.AddJob(g, b.now, b.now)
		}
		for placed := true; placed; {
			placed = b.schedule() != nil
		}
		for j := range b.jobs.all() {
			j.spec.CheckpointIntervalS, j.spec.CheckpointDurationS, j.spec.MemoryGB = float64(r.IntN(3)*10), float64(r.IntN(5)), float64(1+r.IntN(3))
			j.preemptions = r.IntN(4)
			for p := range j.placements {
				if r.IntN(3) > 0 {
					p.runningSince = b.now - Micros(r.IntN(200))*second
				}
				if r.IntN(8) == 0 {
					p.stopping, p.checkpointing = true, r.IntN(2) == 0
				}
			}
		}
		b.now += 10 * second
		for i := range 40 {
			j := spec(fmt.Sprintf("j-9%03d", i), []string{"a", "b"}[i%2], []string{wire.Normal, wire.High, wire.Production}[r.IntN(3)], 1, float64(1+r.IntN(8)))
			j.MemoryGB, j.GPUs = float64(1+r.IntN(30)), float64(r.IntN(2))
			b.AddJob(j, b.now, b.now)
			want, ps := b.jobs.find(j.ID), b.newPass()
			for _, m := range b.machines.all() {
				cost, ok := ps.preemptionCost(want, m)
				wantCost, wantOK := ps.victimCostSum(want, m)
				if ok != wantOK || ok && cost != wantCost {
					t.Fatalf("seed %d, %s on %s: %d, %v; the victims cost %d, %v", seed, j.ID, m.host, cost, ok, wantCost, wantOK)
				}
				compared++
				if ok {
					fits++
					if vs, _ := ps.victims(want, m); len(vs) > 1 {
						several++
					}
				}
			}
		}
	}
	if fits < compared/20 || several < 100 {
		t.Errorf("too little was compared: %d of %d make room, %d with several victims", fits, compared, several)
	}
}
