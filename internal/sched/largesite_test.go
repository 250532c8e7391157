package sched

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"dalefront/internal/config"
	"dalefront/wire"
)

// newSite is a bed with so many machines of type s that are up.
func newSite(t testing.TB, machines int, teams ...config.Team) *bed {
	t.Helper()
	b := newBed(t, teams...)
	for i := range machines {
		b.report(fmt.Sprintf("n-%06d", i), "s", "x", 1)
	}
	b.now += 30 * second // past what a new leader waits for
	for _, m := range b.machines.all() {
		m.lastHeartbeat = b.now
	}
	return b
}

// All machines of a large site are told of the term within some hundred passes, as at a small one.
func TestPushesFollowMachines(t *testing.T) {
	for _, test := range []struct{ machines, early, later int }{{400, 8, 16}, {1_600, 8, 16}, {8_000, 40, 80}} {
		t.Run(fmt.Sprint(test.machines), func(t *testing.T) {
			b := newSite(t, test.machines)
			pushes := func(sinceTerm Micros) int {
				b.termStart = b.now - sinceTerm
				for _, m := range b.machines.all() {
					m.confirmed, m.tokenPushedAt = false, 0
				}
				b.Schedule(b.now)
				return len(b.TakeDirectCommands())
			}
			if got := pushes(second); got != test.early {
				t.Errorf("a new leader tells %d machines in a pass, want %d", got, test.early)
			}
			if got := pushes(10 * second); got != test.later {
				t.Errorf("a leader tells %d machines in a pass, want %d", got, test.later)
			}
		})
	}
}

// A third of a large site that is dead is given back within some ten rounds.
func TestReturnsFollowMachines(t *testing.T) {
	for _, test := range []struct{ machines, first, rounds int }{{400, 100, 2}, {1_600, 100, 6}, {8_000, 500, 6}} {
		t.Run(fmt.Sprint(test.machines), func(t *testing.T) {
			b := newSite(t, test.machines)
			dead := test.machines / 3
			for _, m := range b.machines.all()[:dead] {
				m.failed = true
			}
			if got := len(b.ScaleIn(b.now, false)); got != test.first {
				t.Errorf("a round gives %d machines back, want %d", got, test.first)
			}
			rounds, left := 1, dead-test.first
			for ; left > 0 && rounds < 100; rounds++ {
				left -= len(b.ScaleIn(b.now, false))
			}
			if rounds != test.rounds {
				t.Errorf("%d rounds for %d dead machines, want %d", rounds, dead, test.rounds)
			}
		})
	}
}

// Machines that boot already for 2,000 tasks of an array don't keep a large site from renting
// for its other tasks.
func TestDemandFollowsMachines(t *testing.T) {
	for _, test := range []struct {
		up   int
		more bool
	}{{0, false}, {1_000, true}, {6_000, true}} {
		t.Run(fmt.Sprint(test.up), func(t *testing.T) {
			b := newSite(t, test.up, config.Team{Name: "a"})
			most := 20_000
			b.base.Operator.MaxMachines = &most
			for _, m := range b.machines.all() {
				m.usedCPUs = m.machineType.CPUs // full
			}
			var list []wire.Machine
			for i := range minDemand {
				list = append(list, wire.Machine{ID: fmt.Sprintf("m-%06d", i), Addr: "a", Type: "s", Zone: "x", State: wire.MachineBooting, AgeS: 1})
			}
			b.MachinesListed(list, b.now)
			b.termStart = b.now - 60*second
			b.AddJob(spec("j", "a", wire.High, 50_000, 8), b.now-20*second, b.now)
			if more := len(b.ScaleOut(b.now)) > 0; more != test.more {
				t.Errorf("with %d machines and %d that boot for the array, more are rented: %v, want %v", b.machines.count(), minDemand, more, test.more)
			}
		})
	}
}

// What is known of the teams' shares outlives a leader for as many teams as a large site has, and
// never makes the stored value too large.
func TestLearnedTeams(t *testing.T) {
	for _, test := range []struct{ teams, name, want int }{
		{49, 12, 49}, {100, 12, 100}, {200, 12, 200}, {200, 64, 106}, {2_000, 12, 213},
	} {
		t.Run(fmt.Sprintf("%d of %d bytes", test.teams, test.name), func(t *testing.T) {
			var teams []config.Team
			for i := range test.teams {
				name := fmt.Sprintf("team-%04d", i)
				teams = append(teams, config.Team{Name: name + strings.Repeat("x", test.name-len(name))})
			}
			b := newBed(t, teams...)
			for i, c := range b.teams.sorted() {
				c.service.restore(float64(1+i%97), b.now, b.now)
			}
			l := b.Statistics(b.now)
			if len(l.Teams) != test.want {
				t.Errorf("%d teams are kept, want %d", len(l.Teams), test.want)
			}
			least := map[bool]float64{true: 1e9}
			kept := map[string]bool{}
			for i, x := range l.Teams {
				kept[x.Name] = true
				least[true] = min(least[true], x.Ended)
				if i > 0 && l.Teams[i-1].Name >= x.Name {
					t.Fatalf("%s after %s", x.Name, l.Teams[i-1].Name)
				}
			}
			for _, c := range b.teams.sorted() {
				if !kept[c.Name] && c.service.decayedDone > least[true] {
					t.Errorf("%s is left out with %v jobs, another kept with %v", c.Name, c.service.decayedDone, least[true])
				}
			}
			text, err := json.Marshal(l)
			if limit := int(b.base.Deployment.State.ValueKB * 1024); err != nil || len(text) > limit {
				t.Errorf("%d bytes of at most %d: %v", len(text), limit, err)
			}
			if again := newBed(t, teams...); true {
				again.RestoreStatistics(l)
				known := 0
				for _, c := range again.teams.sorted() {
					if c.service.decayedDone > 0 {
						known++
					}
				}
				if known != test.want {
					t.Errorf("the next leader knows of %d teams, want %d", known, test.want)
				}
			}
		})
	}
}

// All teams are shown, and of the classes, whose names users choose, some.
func TestServedTeams(t *testing.T) {
	var teams []config.Team
	for i := range 100 {
		teams = append(teams, config.Team{Name: fmt.Sprintf("team-%03d", i)})
	}
	b := newBed(t, teams...)
	for i := range 100 {
		j := spec(fmt.Sprintf("j-%03d", i), fmt.Sprintf("team-%03d", i), wire.Normal, 1, 1)
		j.Class = fmt.Sprintf("class-%03d", i)
		b.AddJob(j, b.now, b.now)
	}
	shown := map[bool]int{}
	for _, s := range b.ServiceShares(50) {
		shown[s.Team]++
	}
	if shown[true] != 100 || shown[false] != 50 {
		t.Errorf("%d teams and %d classes are shown, want 100 and 50", shown[true], shown[false])
	}
}
