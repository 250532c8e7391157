package standby

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// The first standby is in another zone than the leader, the next in none that has one.
// A controller that comes and goes, restarts or can't follow is replaced once and not
// taken back before it had a rest; while nothing is wrong nothing changes.
func TestSelector(t *testing.T) {
	c := &Selector{Zone: "x", Count: 1, MaxSilence: 5 * second, Cooldown: 30 * second}
	now := 100 * second
	members := func() []Member {
		return []Member{{Label: "a", Zone: "x", LastHeard: now}, {Label: "b", Zone: "y", LastHeard: now}, {Label: "c", Zone: "z", LastHeard: now}, {Label: "d", Zone: "y", LastHeard: now}}
	}
	v := View{Token: 7}
	choose := func(what string, ms []Member, want ...string) {
		t.Helper()
		next, changed := c.Select(v, ms, now)
		if !slices.Equal(next.Standbys, want) || changed != !slices.Equal(v.Standbys, want) || changed != (next.Number > v.Number) {
			t.Errorf("%s: %+v after %+v, changed %v, want %v", what, next, v, changed, want)
		}
		v = next
	}
	choose("at first", members(), "b")
	ms := members()
	ms[1].LastHeard = now - 4*second
	choose("silent for a moment", ms, "b")
	ms[1].LastHeard = now - 6*second
	choose("silent for long", ms, "c")
	choose("back again", members(), "c")
	ms = members()
	ms[2].UnfitAt = now - second
	choose("it could not follow", ms, "b")
	ms = members()
	ms[1].RecentRestarts, ms[2].UnfitAt = 3, now-second
	choose("it keeps ending", ms, "d")
	ms[3].LastHeard, ms[0].LastHeard = 0, 0
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
		c, v, changes, now := &Selector{Zone: "x", Count: 2, MaxSilence: 5 * second, Cooldown: 30 * second}, View{}, 0, 100*second
		unfit := map[string]Micros{}
		for range 600 {
			now += second
			ms := members()
			for i := range ms {
				ms[i].LastHeard = now
				if ms[i].Label < "c" && r.IntN(10) == 0 {
					unfit[ms[i].Label] = now
				}
				ms[i].UnfitAt = unfit[ms[i].Label]
			}
			next, changed := c.Select(v, ms, now)
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
func TestFailureDetector(t *testing.T) {
	type step func(s *FailureDetector)
	broke := func(s *FailureDetector) { s.RecordConnectionLoss(10 * second) }
	tried := func(s *FailureDetector) { s.RecordProbe(0) }
	asked := func(label string, reached bool) step {
		return func(s *FailureDetector) { s.RecordPeerProbe(label, reached) }
	}
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
		{"it answered again", 3, 20 * second, []step{broke, tried, tried, asked("c", false), func(s *FailureDetector) { s.RecordHeartbeat(7, 1) }}, false},
	} {
		s := &FailureDetector{Controllers: c.nodes, MinSilence: 250_000, MinInterval: 10 * second}
		s.RecordHeartbeat(7, 1)
		for _, f := range c.steps {
			f(s)
		}
		if s.Suspects(c.at) != c.want {
			t.Errorf("%s: suspects %v", c.name, !c.want)
		}
	}
	s := &FailureDetector{Controllers: 3, MinSilence: 250_000, MinInterval: 10 * second}
	s.RecordHeartbeat(7, 1)
	if s.RecordProbe(1) || !s.RecordProbe(2) {
		t.Error("another process of its node is not told from the one that took the term")
	}
	now, replaced := second, 0
	for range 3600 { // however often it is wrong, it is bounded how often it may be
		if now += second; s.MayReplace(now) {
			s.RecordReplacement(now)
			s.RecordFalsePositive()
			replaced++
		}
	}
	if replaced > 12 || replaced < 6 {
		t.Errorf("%d replacements in an hour of wrong suspicions", replaced)
	}
}

// Each check fails by itself on what it is for, so that none can be left out.
func TestEachCheckIsNeeded(t *testing.T) {
	good := TakeoverState{Token: 40, HighestToken: 40, Revision: 41, ComparedKeys: 7, SampleKeys: 9, RanRecently: true, StoreReachable: true, LeaseHeld: true}
	if err := RunChecks(&good); err != nil {
		t.Fatal(err)
	}
	bad := map[string]func(*TakeoverState){
		"term kept":            func(f *TakeoverState) { f.LeaseHeld = false },
		"awake":                func(f *TakeoverState) { f.RanRecently = false },
		"store reached":        func(f *TakeoverState) { f.StoreReachable = false },
		"highest token":        func(f *TakeoverState) { f.HighestToken = 41 },
		"revision of the term": func(f *TakeoverState) { f.Revision = 39 },
		"no doubt":             func(f *TakeoverState) { f.CopyErr = ErrHistoryLost },
		"compared":             func(f *TakeoverState) { f.ComparedKeys = 0 },
	}
	for _, c := range Checks {
		f := good
		spoil := bad[c.Name]
		if spoil == nil {
			t.Errorf("nothing fails %q", c.Name)
			continue
		}
		spoil(&f)
		err := RunChecks(&f)
		var failed *CheckError
		if !errors.As(err, &failed) || failed.Check != c.Name || !strings.HasPrefix(err.Error(), c.Name+": ") {
			t.Errorf("%s: %v", c.Name, err)
		}
		n := 0
		for _, other := range Checks {
			if other.Failure(&f) != "" {
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
