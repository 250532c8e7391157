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
	return Params{Zone: "a", Began: began, Report: 4 * second, ListLag: 4 * second}
}

// site is ten machines in each of three zones, one controller in a and b, none in c.
func site(now Micros, silent func(zone string, i int) Micros) (ms []Machine, cs []Controller) {
	for _, z := range []string{"a", "b", "c"} {
		for i := range 10 {
			ms = append(ms, Machine{Zone: z, Mine: true, Heard: now - silent(z, i)})
		}
	}
	return ms, []Controller{{"a", now - second}, {"b", now - min(silent("b", 0), silent("b", 9))}}
}

func TestVerdicts(t *testing.T) {
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
		{"nothing is silent", quiet("", 0), Machine{Zone: "b", Heard: now - 5*second}, Serving, false},
		{"late, but no more than one node that did not answer", quiet("b", 10*second), Machine{Zone: "b", Heard: now - 10*second}, Serving, false},
		{"one by itself", quiet("", 0), Machine{Zone: "b", Heard: now - 20*second}, Unclear, false},
		{"listed long after", quiet("", 0), Machine{Zone: "b", Heard: now - 60*second, Running: now - 10*second}, Hung, false},
		{"listed as failed", quiet("b", 40*second), Machine{Zone: "b", Heard: now - 40*second, Failed: true}, Dead, false},
		{"with its zone, a controller inside", quiet("b", 30*second), Machine{Zone: "b", Heard: now - 30*second}, Cut, true},
		{"with its zone, no controller inside", quiet("c", 30*second), Machine{Zone: "c", Heard: now - 30*second}, Cut, false},
		{"two zones of three", quiet("bc", 30*second), Machine{Zone: "c", Heard: now - 30*second}, Cut, false},
		{"everything", quiet("abc", 30*second), Machine{Zone: "c", Heard: now - 30*second}, Blind, false},
		{"the observer's own zone", quiet("a", 30*second), Machine{Zone: "a", Heard: now - 30*second}, Unclear, false},
	} {
		d := New(params())
		ms, cs := site(now, c.silent)
		d.Survey(now, ms, cs)
		f := d.Judge(now, c.m)
		if f.Verdict != c.want || f.Working != c.working {
			t.Errorf("%s: %v, working %v (%s), want %v, %v", c.name, f.Verdict, f.Working, f.Evidence, c.want, c.working)
		}
		if f.Verdict == Cut && (f.Since < now-32*second || f.Since > now-28*second) {
			t.Errorf("%s: silent since %d s ago", c.name, (now-f.Since)/second)
		}
	}
}

// A report that was held back and comes late must not move the time since which the
// zone is silent, nor end the cut.
func TestLateReport(t *testing.T) {
	now := began + 500*second
	d := New(params())
	ms, cs := site(now, func(z string, i int) Micros {
		if z == "b" && i > 0 {
			return 40 * second
		}
		return 0
	})
	cs[1].Heard = now - 40*second
	if ch := d.Survey(now, ms, cs); len(ch) != 1 || !ch[0].Cut || now-ch[0].Since < 39*second {
		t.Errorf("changes %+v", ch)
	}
	if ch := d.Survey(now+second, ms, cs); len(ch) != 0 || !d.IsCut("b") {
		t.Errorf("changed to %+v", ch)
	}
}

// When a zone comes back its workers find their controllers one after the other.
func TestZoneComesBack(t *testing.T) {
	now := began + 500*second
	d := New(params())
	cut := func(z string, _ int) Micros {
		if z == "b" {
			return 30 * second
		}
		return 0
	}
	ms, cs := site(now, cut)
	d.Survey(now, ms, cs)
	now += 5 * second
	ms, cs = site(now, func(z string, i int) Micros {
		if z == "b" && i < 4 {
			return 35 * second
		}
		return 0
	})
	if ch := d.Survey(now, ms, cs); len(ch) != 1 || ch[0].Cut || ch[0].Lasted != 35*second {
		t.Fatalf("changes %+v", ch)
	}
	late := Machine{Zone: "b", Heard: now - 35*second}
	if f := d.Judge(now, late); f.Verdict != Cut || !f.Working {
		t.Errorf("%v at once, want it to be given time", f.Verdict)
	}
	if f := d.Judge(now+20*second, late); f.Verdict != Unclear {
		t.Errorf("%v twenty seconds later", f.Verdict)
	}
}

// With nothing known a silence is expected to last as long again; what was seen of
// earlier ones moves that, and a mass event counts once.
func TestExpectation(t *testing.T) {
	var e episodes
	if got := e.remaining(20 * second); got != 20*second {
		t.Errorf("%d s with nothing known", got/second)
	}
	for i := range Micros(80) {
		e.add(100*second+i*10_000, 30*second+i*10_000)
	}
	if len(e.lengths) != 1 {
		t.Errorf("one event counts %d times", len(e.lengths))
	}
	if got := e.remaining(20 * second); got != 15*second {
		t.Errorf("%d s after a silence of 30 s was seen", got/second)
	}
	if got := e.remaining(40 * second); got != 40*second {
		t.Errorf("%d s beyond all that was seen", got/second)
	}
}

// TestSurveys checks, on random surveys one after the other, what must hold whatever
// is heard: the observer's own zone is never found to be cut off, nor is any while
// nothing elsewhere is heard or while a controller in it answers; what reports is
// serving; and a new observer that remembers expects the same.
func TestSurveys(t *testing.T) {
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
			cs[1].Heard = now - Micros(rapid.IntRange(0, 60).Draw(t, "controller"))*second
			d.Survey(now, ms, cs)
			if d.IsCut("a") {
				t.Fatal("the observer's own zone is cut off")
			}
			for _, m := range ms {
				f := d.Judge(now, m)
				heard := now-m.Heard <= d.p.Silence()
				if heard != (f.Verdict == Serving) {
					t.Fatalf("heard %d s ago: %v", (now-m.Heard)/second, f.Verdict)
				}
				if f.Verdict != Serving && f.Expect <= 0 {
					t.Fatalf("%v is expected for %d us more", f.Verdict, f.Expect)
				}
			}
			var silent int
			for _, m := range ms {
				if now-m.Heard > d.p.Silence() {
					silent++
				}
			}
			if silent == len(ms) && !d.IsBlind() {
				t.Fatal("everything is silent and the fault is looked for elsewhere")
			}
		}
		e := New(params())
		e.Remember(d.Memory())
		for _, s := range []Micros{1, 20, 60} {
			if a, b := d.cuts.remaining(s*second), e.cuts.remaining(s*second); a != b {
				t.Fatalf("after %d s of a cut %d us are expected, before %d", s, b, a)
			}
		}
	})
}
