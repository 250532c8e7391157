package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dalefront/internal/config"
	"dalefront/wire"
)

// share plays machines for which two classes, each of a team of its own, ask for more than
// there is: one with deadlines, which come first, the other without, or with gangs, for
// which machines are reserved. It returns what part of the jobs of each was done.
func share(t *testing.T, seed uint64, watched bool, gang bool) (urgent, patient float64) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 12))
	b := newBed(t, config.Team{Name: "a"}, config.Team{Name: "b"})
	const n = 24
	for i := range n {
		b.report(fmt.Sprintf("n-%02d", i), "s", "x", 1)
	}
	next := 0
	asked := [2]int{}
	done := [2]int{}
	class := map[string]int{}
	for at := range 600 {
		b.now += second
		if at%2 == 0 && at < 540 {
			for which := range 2 {
				next++
				j := spec(fmt.Sprintf("j-%d", next), []string{"a", "b"}[which], wire.Normal, 6, 4)
				j.Class, j.EstimateS = []string{"urgent", "patient"}[which], 12
				if due := 60.0; which == 0 {
					j.DeadlineS = &due
				} else if gang {
					j.Shape, j.Tasks, j.CPUs, j.OneZone = wire.Gang, 3, 8, true
				}
				class[j.ID] = which
				asked[which]++
				b.AddJob(j, b.now, b.now)
			}
		}
		if !watched {
			b.fairnessUpdatedAt = b.now + 10*second // nobody finds out who is underserved
		}
		b.schedule()
		for i := range n {
			h := fmt.Sprintf("n-%02d", i)
			run := b.running(h)
			for k := range run {
				id, num, _ := wire.ParseTask(run[k].Task)
				p := b.machines.find(h).findPlacement(taskKey{b.jobs.find(id), num}, run[k].Attempt)
				if p.runningSince > 0 && b.now-p.runningSince >= Micros(10+r.IntN(4))*second {
					run[k].State, run[k].Cause = wire.TaskExited, wire.CauseDone
				}
			}
			b.report(h, "s", "x", 1, run...)
		}
		for _, id := range b.TakeEnds() {
			done[class[id]]++
			b.JobEnded(id, wire.JobDone, b.now)
		}
	}
	return float64(done[0]) / float64(asked[0]), float64(done[1]) / float64(asked[1])
}

// A class of which some quarter or two fifths was served beside one that had all catches
// up until half of it is served, and the other keeps most.
func TestUnderservedClassCatchesUp(t *testing.T) {
	for _, gang := range []bool{false, true} {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprint("gangs ", gang, ", seed ", seed), func(t *testing.T) {
				had, had2 := share(t, seed, false, gang)
				first, second := share(t, seed, true, gang)
				if max(had, had2) < 0.8 || min(had, had2) > 0.45 {
					t.Errorf("gangs %v, seed %d: nobody would be underserved: %.2f, %.2f", gang, seed, had, had2)
				}
				if first < 0.5 || second < 0.5 {
					t.Errorf("gangs %v, seed %d: %.2f and %.2f are served", gang, seed, first, second)
				}
			})
		}
	}
}

// largest plays one class of gangs that asks for more than there is: most are small, every
// sixth takes a third of the machines. It returns what part of the small and of the large
// ones began within four minutes.
func largest(t *testing.T, seed uint64, watched bool) (small, large float64) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 13))
	b := newBed(t, config.Team{Name: "a"})
	const n = 24
	for i := range n {
		b.report(fmt.Sprintf("n-%02d", i), "s", "x", 1)
	}
	b.classOf("c").waitObjectives = []Micros{150 * second, 240 * second}
	asked, begun := [2]float64{}, [2]float64{}
	class, counted, last := map[string]int{}, map[string]bool{}, Micros(0)
	for at := range 900 {
		b.now += second
		if at%2 == 0 {
			id := fmt.Sprintf("j-%d", at)
			j := spec(id, "a", wire.Normal, 2, 8)
			j.Class, j.Shape, j.OneZone, j.EstimateS = "c", wire.Gang, true, 25
			if at%12 == 0 {
				j.Tasks = 8
				class[id] = 1
			}
			if at < 600 {
				asked[class[id]]++
				last = b.now
			}
			b.AddJob(j, b.now, b.now)
		}
		if !watched {
			b.fairnessUpdatedAt = b.now + 10*second
		}
		b.schedule()
		for i := range n {
			h := fmt.Sprintf("n-%02d", i)
			run := b.running(h)
			for k := range run {
				id, num, _ := wire.ParseTask(run[k].Task)
				p := b.machines.find(h).findPlacement(taskKey{b.jobs.find(id), num}, run[k].Attempt)
				if j := b.jobs.find(id); p.runningSince > 0 && !counted[id] {
					counted[id] = true
					if b.now-j.arrival <= 240*second && j.arrival <= last {
						begun[class[id]]++
					}
				}
				if p.runningSince > 0 && b.now-p.runningSince >= Micros(22+r.IntN(6))*second {
					run[k].State, run[k].Cause = wire.TaskExited, wire.CauseDone
				}
			}
			b.report(h, "s", "x", 1, run...)
		}
		for _, id := range b.TakeEnds() {
			b.JobEnded(id, wire.JobDone, b.now)
		}
	}
	return begun[0] / asked[0], begun[1] / asked[1]
}

// The largest jobs of a class, to which the small ones leave no room, begin too: one in
// fifty of them began within four minutes, and no small one waited.
func TestLargestJobsAreServed(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		if small, large := largest(t, seed, false); small < 0.95 || large > 0.1 {
			t.Errorf("seed %d: the large ones would not be left behind: %.2f, %.2f", seed, small, large)
		}
		if small, large := largest(t, seed, true); small < 0.8 || large < 0.5 {
			t.Errorf("seed %d: %.2f of the small and %.2f of the large ones are served", seed, small, large)
		}
	}
}
