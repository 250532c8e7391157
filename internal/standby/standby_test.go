package standby

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// The first standby is in another zone than the leader, the next in none that has one.
// A controller that comes and goes, restarts or can't follow is replaced once and not
// taken back before it had a rest; while nothing is wrong nothing changes.
func TestChoosing(t *testing.T) {
	c := &Choosing{Zone: "x", Count: 1, Silent: 5 * second, Rest: 30 * second}
	now := 100 * second
	members := func() []Member {
		return []Member{{Label: "a", Zone: "x", Heard: now}, {Label: "b", Zone: "y", Heard: now}, {Label: "c", Zone: "z", Heard: now}, {Label: "d", Zone: "y", Heard: now}}
	}
	v := View{Token: 7}
	choose := func(what string, ms []Member, want ...string) {
		t.Helper()
		next, changed := c.Choose(v, ms, now)
		if !slices.Equal(next.Standbys, want) || changed != !slices.Equal(v.Standbys, want) || changed != (next.Number > v.Number) {
			t.Errorf("%s: %+v after %+v, changed %v, want %v", what, next, v, changed, want)
		}
		v = next
	}
	choose("at first", members(), "b")
	ms := members()
	ms[1].Heard = now - 4*second
	choose("silent for a moment", ms, "b")
	ms[1].Heard = now - 6*second
	choose("silent for long", ms, "c")
	choose("back again", members(), "c")
	ms = members()
	ms[2].Unfit = now - second
	choose("it could not follow", ms, "b")
	ms = members()
	ms[1].Ends, ms[2].Unfit = 3, now-second
	choose("it keeps ending", ms, "d")
	ms[3].Heard, ms[0].Heard = 0, 0
	choose("only bad ones are left", ms, "b")
	choose("nobody answers", []Member{{Label: "b"}})
	c.Count = 3
	choose("three", members(), "b", "c", "a")
	c.Count = 0
	choose("none", members())
	if old := (View{Token: 6, Number: 99}); old.Newer(&v) || !v.Newer(&old) || v.Newer(&v) {
		t.Error("a view of an older term is newer")
	}
	for seed := uint64(1); seed <= 50; seed++ { // flapping ones don't make the view churn
		r := rand.New(rand.NewPCG(seed, 1))
		c, v, changes, now := &Choosing{Zone: "x", Count: 2, Silent: 5 * second, Rest: 30 * second}, View{}, 0, 100*second
		unfit := map[string]Micros{}
		for range 600 {
			now += second
			ms := members()
			for i := range ms {
				ms[i].Heard = now
				if ms[i].Label < "c" && r.IntN(10) == 0 {
					unfit[ms[i].Label] = now
				}
				ms[i].Unfit = unfit[ms[i].Label]
			}
			next, changed := c.Choose(v, ms, now)
			if changed {
				changes++
			}
			v = next
		}
		if changes > 12 {
			t.Errorf("seed %d: %d views in ten minutes", seed, changes)
		}
	}
}

// A leader is taken for ended only if its connection broke, it answers nothing for a
// while, and the others, of whom enough can be asked, don't reach it either; or at once if
// another process answers for its node.
func TestSuspicion(t *testing.T) {
	type step func(s *Suspicion)
	broke := func(s *Suspicion) { s.Broke(10 * second) }
	tried := func(s *Suspicion) { s.Tried(10*second, 0) }
	asked := func(label string, reached bool) step { return func(s *Suspicion) { s.Asked(label, reached) } }
	for _, c := range []struct {
		name  string
		nodes int
		at    Micros
		steps []step
		want  bool
	}{
		{"all evidence, three nodes", 3, 10*second + 300_000, []step{broke, tried, tried, asked("c", false)}, true},
		{"too soon", 3, 10*second + 200_000, []step{broke, tried, tried, asked("c", false)}, false},
		{"the connection holds", 3, 20 * second, []step{tried, tried, asked("c", false)}, false},
		{"tried once", 3, 20 * second, []step{broke, tried, asked("c", false)}, false},
		{"nobody can be asked: refused connections everywhere", 3, 20 * second, []step{broke, tried, tried}, false},
		{"another reaches it", 3, 20 * second, []step{broke, tried, tried, asked("c", true)}, false},
		{"one reaches it after another did not", 5, 20 * second, []step{broke, tried, tried, asked("c", false), asked("d", true)}, false},
		{"one of three others", 5, 20 * second, []step{broke, tried, tried, asked("c", false)}, false},
		{"the same one twice", 5, 20 * second, []step{broke, tried, tried, asked("c", false), asked("c", false)}, false},
		{"two of three others", 5, 20 * second, []step{broke, tried, tried, asked("c", false), asked("d", false)}, true},
		{"it answered again", 3, 20 * second, []step{broke, tried, tried, asked("c", false), func(s *Suspicion) { s.Leader(7, 1) }}, false},
	} {
		s := &Suspicion{Nodes: c.nodes, Wait: 250_000, Every: 10 * second}
		s.Leader(7, 1)
		for _, f := range c.steps {
			f(s)
		}
		if s.Suspects(c.at) != c.want {
			t.Errorf("%s: suspects %v", c.name, !c.want)
		}
	}
	s := &Suspicion{Nodes: 3, Wait: 250_000, Every: 10 * second}
	s.Leader(7, 1)
	if s.Tried(second, 1) || !s.Tried(second, 2) {
		t.Error("another process of its node is not told from the one that took the term")
	}
	now, replaced := second, 0
	for range 3600 { // however often it is wrong, it is bounded how often it may be
		if now += second; s.MayReplace(now) {
			s.Replaced(now)
			s.Wrong()
			replaced++
		}
	}
	if replaced > 12 || replaced < 6 {
		t.Errorf("%d replacements in an hour of wrong suspicions", replaced)
	}
}

// Each check fails by itself on what it is for, so that none can be left out.
func TestEachCheckIsNeeded(t *testing.T) {
	good := Facts{Token: 40, Highest: 40, Revision: 41, Compared: 7, Keys: 9, Awake: true, Reached: true, Lease: true}
	if ok, why := Passes(&good); !ok {
		t.Fatal(why)
	}
	bad := map[string]func(*Facts){
		"term kept":            func(f *Facts) { f.Lease = false },
		"awake":                func(f *Facts) { f.Awake = false },
		"store reached":        func(f *Facts) { f.Reached = false },
		"highest token":        func(f *Facts) { f.Highest = 41 },
		"revision of the term": func(f *Facts) { f.Revision = 39 },
		"no doubt":             func(f *Facts) { f.Doubt = "lost" },
		"compared":             func(f *Facts) { f.Compared = 0 },
	}
	for _, c := range Checks {
		f := good
		spoil := bad[c.Name]
		if spoil == nil {
			t.Errorf("nothing fails %q", c.Name)
			continue
		}
		spoil(&f)
		if ok, why := Passes(&f); ok || !strings.HasPrefix(why, c.Name+": ") {
			t.Errorf("%s: passes %v, %q", c.Name, ok, why)
		}
		n := 0
		for _, other := range Checks {
			if other.Fail(&f) != "" {
				n++
			}
		}
		if n != 1 {
			t.Errorf("%s: %d checks fail", c.Name, n)
		}
	}
	if len(bad) != len(Checks) {
		t.Error(fmt.Sprint(len(Checks), " checks, ", len(bad), " ways to fail"))
	}
}
