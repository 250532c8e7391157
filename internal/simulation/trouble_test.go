package simulation

import (
	"flag"
	"testing"

	"dalefront/internal/sched"
	"dalefront/wire"
)

var seeds = flag.Int("seeds", 12, "how many worlds of each meeting are played in simulated time")

// trouble is a meeting of troubles that is played in simulated time.
type trouble struct {
	name  string
	begin func(w *World)
	job   func(w *World, j *wire.Job)
	step  func(w *World, step int)
}

// now and then, about once in so many steps of some 50 ms each.
func (w *World) often(n int) bool { return w.Rng.IntN(n) == 0 }

func (w *World) cancelOne() {
	if a := w.Active(); len(a) > 0 {
		w.Cancel(a[w.Rng.IntN(len(a))])
	}
}

var troubles = []trouble{
	{"teams at their limit, cancelled machines hang or are cut off, the leader changes", func(w *World) {
		for i := range w.Set.Deployment.Teams {
			w.Set.Deployment.Teams[i].MaxCPUs = 12
		}
	}, nil, func(w *World, step int) {
		if a := w.Active(); w.often(160) && len(a) > 0 {
			w.CancelHung(a[w.Rng.IntN(len(a))], int64(w.Rng.IntN(int(20*second))))
		}
		if step%500 == 250 {
			w.Cut([]string{"x", "y"}[w.Rng.IntN(2)], int64(5+w.Rng.IntN(25))*second, w.often(2), w.often(2))
		}
		if w.often(150) {
			w.Takeover()
		}
	}},
	{"new machines are up at once and get work while writes lag, the leader ends", func(w *World) {
		w.Lag = 6 * second
		for _, k := range w.workers {
			k.Die()
		}
	}, nil, func(w *World, step int) {
		if step%400 == 399 {
			w.KillZone([]string{"x", "y"}[w.Rng.IntN(2)])
		}
		if w.often(100) {
			w.Takeover()
		}
	}},
	{"old reports reach the next leader as it begins", func(w *World) { w.Copies = 6 }, nil, func(w *World, _ int) {
		if w.often(60) {
			w.Takeover()
		}
		if w.often(100) {
			w.cancelOne()
		}
		if w.often(400) {
			w.Hang(2, 14*second)
		}
	}},
	{"jobs are cancelled while the work changes hands", nil, nil, func(w *World, step int) {
		if step%80 < 20 && w.often(50) {
			w.cancelOne()
		}
		if step%80 == 10 || step%160 == 14 {
			w.Takeover()
		}
	}},
	{"machines reach no controller, commands reach them", nil, nil, func(w *World, _ int) {
		if w.often(120) {
			w.Silence(4, int64(w.Rng.IntN(int(40*second))))
		}
		if w.often(80) {
			w.cancelOne()
		}
		if w.often(300) {
			w.Takeover()
		}
	}},
	{"machines hear nothing", nil, nil, func(w *World, _ int) {
		if w.often(120) {
			w.Deafen(4, int64(w.Rng.IntN(int(40*second))))
		}
		if w.often(80) {
			w.cancelOne()
		}
		if w.often(300) {
			w.Takeover()
		}
	}},
	{"jobs bound to one zone lose machines", nil, func(w *World, j *wire.Job) {
		z := []string{"x", "y"}[w.Rng.IntN(2)]
		if w.often(2) {
			j.Zone, j.Spread = &z, false
		} else {
			j.OneZone, j.Spread = true, false
		}
	}, func(w *World, step int) {
		if w.often(100) {
			w.Kill()
		}
		if step%900 == 450 {
			w.KillZone([]string{"x", "y"}[w.Rng.IntN(2)])
		}
		if w.often(300) {
			w.Takeover()
		}
	}},
	{"more work than room, urgent and not, over slow links", func(w *World) { w.Link = 3 * second }, nil, func(w *World, _ int) {
		if w.often(12) {
			w.submitOne(nil)
		}
		if w.often(300) {
			w.Takeover()
		}
	}},
	{"ten leaders in two minutes, one after another", nil, nil, func(w *World, step int) {
		if step%240 == 0 || step%720 == 3 {
			w.Takeover()
		}
		if w.often(100) {
			w.cancelOne()
		}
	}},
	{"only answers are lost, the leader ends before they come", func(w *World) {
		w.Lag = 4 * second
		w.Lose = func() bool { return w.often(3) }
	}, nil, func(w *World, _ int) {
		if w.often(100) {
			w.Takeover()
		}
		if w.often(100) {
			w.cancelOne()
		}
	}},
	{"all of these", func(w *World) {
		w.Lag, w.Link, w.Copies = 3*second, second, 10
		w.Lose = func() bool { return w.often(3) }
	}, nil, func(w *World, _ int) {
		switch w.Rng.IntN(400) {
		case 0, 1:
			w.Takeover()
		case 2:
			w.Silence(3, int64(w.Rng.IntN(int(30*second))))
		case 3:
			w.Deafen(3, int64(w.Rng.IntN(int(30*second))))
		case 4:
			w.Hang(3, int64(w.Rng.IntN(int(20*second))))
		case 5:
			w.Cut([]string{"x", "y"}[w.Rng.IntN(2)], int64(5+w.Rng.IntN(25))*second, w.often(2), w.often(2))
		case 6:
			w.Kill()
		case 7, 8:
			if a := w.Active(); len(a) > 0 {
				w.CancelHung(a[w.Rng.IntN(len(a))], int64(w.Rng.IntN(int(20*second))))
			}
		case 9, 10:
			w.cancelOne()
		case 11:
			w.Standstill(int64(w.Rng.IntN(int(15*second))), w.often(2))
		}
	}},
}

func (w *World) submitOne(change func(*World, *wire.Job)) {
	w.number++
	j := randomJob(w, w.number)
	if change != nil {
		change(w, &j)
	}
	if sched.Admit(w.Set, w.Catalog, &j) == nil {
		w.Submit(j)
	}
}

// TestTroublesMeet plays each meeting for two minutes over several seeds, the rules checked
// after each step. Then all troubles end, and every job that was not cancelled has to end,
// none left waiting for 90 s while there is room for it and its team is under its limit.
func TestTroublesMeet(t *testing.T) {
	for i, x := range troubles {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			runs, done, cancelled := 0, 0, 0
			for seed := uint64(1); seed <= uint64(*seeds); seed++ {
				w := world(t, 1000*uint64(i+1)+seed)
				w.Sound = true
				for k := 0; k < 6; k++ {
					w.Boot([]string{"s", "g"}[k%2], []string{"x", "y"}[k/2%2], k%3 == 0)
				}
				if x.begin != nil {
					x.begin(w)
					w.Takeover() // a core that knows the settings from the start
				}
				fail := func(step int) {
					t.Helper()
					if len(w.Broken) > 0 {
						for _, x := range w.Core.WaitingJobs(8) {
							t.Logf("%+v: %+v", x, w.jobs[x.Job])
						}
						t.Log(w.Core.Dump())
						t.Fatalf("seed %d, step %d: %s", seed, step, w.Broken[0])
					}
				}
				for step := 0; step < 2400; step++ {
					if w.often(40) && len(w.Active()) < 10 {
						w.submitOne(x.job)
					}
					x.step(w, step)
					w.Step()
					fail(step)
				}
				w.Settle()
				for _, id := range w.Active() {
					if w.jobs[id].Shape == wire.Service {
						w.Cancel(id)
					}
				}
				for step := 2400; len(w.Active()) > 0 || len(w.jobs) > 0; step++ {
					w.Step()
					fail(step)
					if step > 20_000 {
						for id, j := range w.jobs {
							t.Logf("%+v, end %q, on %v", j, w.ends[id], w.fleet.Holding(id))
						}
						t.Fatalf("seed %d: never ended: %v\n%s", seed, keys(w.jobs), w.Core.Dump())
					}
				}
				runs, done = runs+w.Runs, done+w.Done
				for _, e := range w.ends {
					if e == wire.JobCancelled {
						cancelled++
					}
				}
			}
			if runs < 40**seeds || done < 5**seeds {
				t.Errorf("too little happened to show anything: %d starts, %d jobs done, %d cancelled", runs, done, cancelled)
			}
			t.Logf("%d starts, %d jobs done, %d cancelled", runs, done, cancelled)
		})
	}
}
