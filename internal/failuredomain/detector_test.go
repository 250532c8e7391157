package failuredomain

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the random surveys, so that the verdict is the same
// every time; rapid prints it when one fails.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, v := range map[string]string{"rapid.seed": "13", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const began = 1000 * second

func params() Params {
	return Params{ObserverZone: "a", StartedAt: began, ReportInterval: 4 * second, ListLag: 4 * second}
}

// site is ten machines in each of three zones, one controller in a and b, none in c.
func site(now Micros, silent func(zone string, i int) Micros) (ms []Machine, cs []Controller) {
	for _, z := range []string{"a", "b", "c"} {
		for i := range 10 {
			ms = append(ms, Machine{Zone: z, ReportedHere: true, LastHeard: now - silent(z, i)})
		}
	}
	return ms, []Controller{{"a", now - second}, {"b", now - min(silent("b", 0), silent("b", 9))}}
}

func TestDiagnoses(t *testing.T) {
	now := began + 500*second
	quiet := func(zones string, by Micros) func(string, int) Micros {
		return func(z string, i int) Micros {
			for _, r := range zones {
				if string(r) == z {
					return by
				}
			}
			return Micros(i) * second / 3
		}
	}
	for _, c := range []struct {
		name    string
		silent  func(string, int) Micros
		m       Machine
		want    Verdict
		working bool
	}{
		{"nothing is silent", quiet("", 0), Machine{Zone: "b", LastHeard: now - 5*second}, Reachable, false},
		{"late, but no more than one node that did not answer", quiet("b", 10*second), Machine{Zone: "b", LastHeard: now - 10*second}, Reachable, false},
		{"one by itself", quiet("", 0), Machine{Zone: "b", LastHeard: now - 20*second}, Undetermined, false},
		{"listed long after", quiet("", 0), Machine{Zone: "b", LastHeard: now - 60*second, ListedRunning: now - 10*second}, Hung, false},
		{"listed as failed", quiet("b", 40*second), Machine{Zone: "b", LastHeard: now - 40*second, ListedFailed: true}, Dead, false},
		{"with its zone, a controller inside", quiet("b", 30*second), Machine{Zone: "b", LastHeard: now - 30*second}, Partitioned, true},
		{"with its zone, no controller inside", quiet("c", 30*second), Machine{Zone: "c", LastHeard: now - 30*second}, Partitioned, false},
		{"two zones of three", quiet("bc", 30*second), Machine{Zone: "c", LastHeard: now - 30*second}, Partitioned, false},
		{"everything", quiet("abc", 30*second), Machine{Zone: "c", LastHeard: now - 30*second}, ObserverIsolated, false},
		{"the observer's own zone", quiet("a", 30*second), Machine{Zone: "a", LastHeard: now - 30*second}, Undetermined, false},
	} {
		d := New(params())
		ms, cs := site(now, c.silent)
		d.Update(now, ms, cs)
		f := d.Diagnose(now, c.m)
		if f.Verdict != c.want || f.LeasesRenewed != c.working {
			t.Errorf("%s: %v, working %v (%s), want %v, %v", c.name, f.Verdict, f.LeasesRenewed, f.Evidence, c.want, c.working)
		}
		if f.Verdict == Partitioned && (f.SilentSince < now-32*second || f.SilentSince > now-28*second) {
			t.Errorf("%s: silent since %d s ago", c.name, (now-f.SilentSince)/second)
		}
	}
}

// A report that was held back and comes late must not move the time since which the
// zone is silent, nor end the cut.
func TestLateHeartbeat(t *testing.T) {
	now := began + 500*second
	d := New(params())
	ms, cs := site(now, func(z string, i int) Micros {
		if z == "b" && i > 0 {
			return 40 * second
		}
		return 0
	})
	cs[1].LastHeard = now - 40*second
	if ch := d.Update(now, ms, cs); len(ch) != 1 || !ch[0].Partitioned || now-ch[0].Since < 39*second {
		t.Errorf("changes %+v", ch)
	}
	if ch := d.Update(now+second, ms, cs); len(ch) != 0 || !d.IsPartitioned("b") {
		t.Errorf("changed to %+v", ch)
	}
}

// When a zone comes back its workers find their controllers one after the other.
func TestZoneRecovers(t *testing.T) {
	now := began + 500*second
	d := New(params())
	cut := func(z string, _ int) Micros {
		if z == "b" {
			return 30 * second
		}
		return 0
	}
	ms, cs := site(now, cut)
	d.Update(now, ms, cs)
	now += 5 * second
	ms, cs = site(now, func(z string, i int) Micros {
		if z == "b" && i < 4 {
			return 35 * second
		}
		return 0
	})
	if ch := d.Update(now, ms, cs); len(ch) != 1 || ch[0].Partitioned || ch[0].Duration != 35*second {
		t.Fatalf("changes %+v", ch)
	}
	late := Machine{Zone: "b", LastHeard: now - 35*second}
	if f := d.Diagnose(now, late); f.Verdict != Partitioned || !f.LeasesRenewed {
		t.Errorf("%v at once, want it to be given time", f.Verdict)
	}
	if f := d.Diagnose(now+20*second, late); f.Verdict != Undetermined {
		t.Errorf("%v twenty seconds later", f.Verdict)
	}
}

// With nothing known a silence is expected to last as long again; what was seen of
// earlier ones moves that, and a mass event counts once.
func TestExpectedRemaining(t *testing.T) {
	var e silenceLengths
	if got := e.expectedRemaining(20 * second); got != 20*second {
		t.Errorf("%d s with nothing known", got/second)
	}
	for i := range Micros(80) {
		e.add(100*second+i*10_000, 30*second+i*10_000)
	}
	if len(e.lengths) != 1 {
		t.Errorf("one event counts %d times", len(e.lengths))
	}
	if got := e.expectedRemaining(20 * second); got != 15*second {
		t.Errorf("%d s after a silence of 30 s was seen", got/second)
	}
	if got := e.expectedRemaining(40 * second); got != 40*second {
		t.Errorf("%d s beyond all that was seen", got/second)
	}
}

// TestRandomObservations checks, on random surveys one after the other, what must hold whatever
// is heard: the observer's own zone is never found to be cut off, nor is any while
// nothing elsewhere is heard or while a controller in it answers; what reports is
// serving; and a new observer that remembers expects the same.
func TestRandomObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(params())
		now := began
		for range rapid.IntRange(1, 12).Draw(t, "surveys") {
			now += Micros(rapid.IntRange(1, 40).Draw(t, "gap")) * second
			ages := rapid.SliceOfN(rapid.IntRange(0, 90), 30, 30).Draw(t, "ages")
			for _, z := range []int{0, 1, 2} {
				if rapid.IntRange(0, 2).Draw(t, "together") == 0 {
					for i := range 10 {
						ages[z*10+i] = ages[z*10]
					}
				}
			}
			ms, cs := site(now, func(z string, i int) Micros { return Micros(ages[int(z[0]-'a')*10+i]) * second })
			cs[1].LastHeard = now - Micros(rapid.IntRange(0, 60).Draw(t, "controller"))*second
			d.Update(now, ms, cs)
			if d.IsPartitioned("a") {
				t.Fatal("the observer's own zone is cut off")
			}
			for _, m := range ms {
				f := d.Diagnose(now, m)
				heard := now-m.LastHeard <= d.params.SilenceThreshold()
				if heard != (f.Verdict == Reachable) {
					t.Fatalf("heard %d s ago: %v", (now-m.LastHeard)/second, f.Verdict)
				}
				if f.Verdict != Reachable && f.ExpectedSilence <= 0 {
					t.Fatalf("%v is expected for %d us more", f.Verdict, f.ExpectedSilence)
				}
			}
			var silent int
			for _, m := range ms {
				if now-m.LastHeard > d.params.SilenceThreshold() {
					silent++
				}
			}
			if silent == len(ms) && !d.IsObserverIsolated() {
				t.Fatal("everything is silent and the fault is looked for elsewhere")
			}
		}
		e := New(params())
		e.Restore(d.History())
		for _, s := range []Micros{1, 20, 60} {
			if a, b := d.partitions.expectedRemaining(s*second), e.partitions.expectedRemaining(s*second); a != b {
				t.Fatalf("after %d s of a cut %d us are expected, before %d", s, b, a)
			}
		}
	})
}
