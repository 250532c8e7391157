package simulation

import (
	"fmt"
	"testing"

	"dalefront/internal/sched"
	"dalefront/wire"
)

// faultWorld is a world of two zones with twenty sound machines each and long jobs.
func faultWorld(t *testing.T, seed uint64) *World {
	t.Helper()
	w := world(t, seed)
	w.Most, w.Sound = 60, true
	w.Set.Deployment.Teams[0].MaxCPUs = 0
	for i := 0; i < 40; i++ {
		w.Boot([]string{"s", "g"}[i%2], []string{"x", "y"}[i/2%2], false)
	}
	return w
}

func longJob(w *World, n int) wire.Job {
	j := randomJob(w, n)
	j.EstimateS, j.Zone, j.Spread, j.Priority = float64(21+w.Rng.IntN(40)), nil, false, wire.Normal
	if j.Shape == wire.Service {
		j.Shape = wire.Gang
	}
	return j
}

// TestCuts cuts a zone off for each of several lengths, crossed with what else may
// happen meanwhile, and checks the rules after each step: a takeover, a second cut,
// controllers restarted one after the other, cancellations, machines that hang or
// die. What runs in the zone must neither run twice nor outlive its cancellation,
// whether its machines are waited for or given back.
func TestCuts(t *testing.T) {
	meanwhile := []struct {
		name string
		do   func(w *World, step int)
	}{
		{"nothing", func(*World, int) {}},
		{"takeover", func(w *World, step int) {
			if step == 200 {
				w.Takeover()
			}
		}},
		{"second cut", func(w *World, step int) {
			if step == 250 {
				w.Cut("y", 30*second, step%2 == 0, true)
			}
		}},
		{"rolling restart", func(w *World, step int) {
			if step%150 == 100 && step < 900 {
				w.Takeover()
			}
		}},
		{"cancellations", func(w *World, step int) {
			if a := w.Active(); step%60 == 0 && step < 1200 && len(a) > 0 {
				w.Cancel(a[w.Rng.IntN(len(a))])
			}
		}},
		{"hangs and deaths", func(w *World, step int) {
			switch step {
			case 100:
				w.Hang(8, 14*second)
			case 300:
				for range 6 {
					w.Kill()
				}
			}
		}},
	}
	seed := uint64(300)
	runs, done := 0, 0
	for _, length := range []int64{20, 47, 90, 200} {
		for i, m := range meanwhile {
			seed++
			w := faultWorld(t, seed)
			for n := 1; n <= 25; n++ {
				if j := longJob(w, n); sched.Admit(w.Set, w.Catalog, &j) == nil {
					w.Submit(j)
				}
			}
			for step := -400; step < int(length)*20+800; step++ {
				if step == 0 {
					w.Cut("x", length*second, (int(length)+i)%3 > 0, i%2 == 0)
				}
				if step >= 0 {
					m.do(w, step)
				}
				w.Step()
				if len(w.Broken) > 0 {
					t.Fatalf("seed %d, a cut of %d s with %s, step %d: %s", seed, length, m.name, step, w.Broken[0])
				}
			}
			runs, done = runs+w.Runs, done+w.Done
		}
	}
	if runs < 1500 || done < 200 {
		t.Fatalf("the worlds did too little to show anything: %d starts, %d jobs done", runs, done)
	}
}

// TestCutZoneKeepsItsWork guards against what was seen at the fleet's size: 24 s after
// a takeover all machines of a zone that was cut off for 47 s were given back, and the
// work that went on there was lost.
func TestCutZoneKeepsItsWork(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		w := faultWorld(t, 7)
		w.Calm = true
		for n := 1; n <= 20; n++ {
			w.Submit(wire.Job{ID: fmt.Sprintf("j-%d", n), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal,
				Tasks: 3, CPUs: 2, MemoryGB: 2, Image: "i", ImageGB: 1, EstimateS: 200})
		}
		w.run(t, 600)
		before, lost, returned := w.Running("x"), w.Lost, w.Returned
		if before < 10 {
			t.Fatalf("only %d tasks run in the zone", before)
		}
		w.Log = t.Log // shown when it fails
		w.Cut("x", 47*second, true, true)
		w.run(t, 200)
		if takeover {
			w.Takeover()
		}
		w.run(t, 1000)
		if w.Lost-lost > before/10 {
			t.Errorf("takeover %v: %d of %d tasks of the cut zone were lost", takeover, w.Lost-lost, before)
		}
		if n := w.Returned - returned; n > 1 {
			t.Errorf("takeover %v: %d machines were given back while tasks ran on them", takeover, n)
		}
	}
}

// TestDeadZoneIsReplaced: machines that died together look like a zone that is cut
// off until the cloud's list tells; then they are replaced at once.
func TestDeadZoneIsReplaced(t *testing.T) {
	w := faultWorld(t, 8)
	w.Calm = true
	for n := 1; n <= 20; n++ {
		w.Submit(wire.Job{ID: fmt.Sprintf("j-%d", n), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal,
			Tasks: 3, CPUs: 2, MemoryGB: 2, Image: "i", ImageGB: 1, EstimateS: 60})
	}
	w.run(t, 600)
	dead := w.KillZone("x")
	w.run(t, 1200)
	for _, h := range keys(w.workers) {
		if v := w.workers[h].View(); v.Dead && w.Now-v.Died > 55*second {
			t.Errorf("%s is dead and was not given back", h)
		}
	}
	w.run(t, 4000)
	if dead < 10 || len(w.Active()) > 0 {
		t.Errorf("%d machines died, %d jobs were never done", dead, len(w.Active()))
	}
}

func (w *World) run(t *testing.T, steps int) {
	t.Helper()
	for range steps {
		w.Step()
		if len(w.Broken) > 0 {
			t.Fatal(w.Broken[0])
		}
	}
}
