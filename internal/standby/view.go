package standby

import (
	"cmp"
	"slices"
)

// View says, for one term, who stands by warm and in which order. The leader publishes
// it in its hellos. It decides nothing that must be right: a controller with an old view
// stands by without need, or tries for the term a moment sooner or later than it should.
type View struct {
	Token    uint64   `msgpack:"t"` // of the leader that published it
	Number   uint64   `msgpack:"n"` // rises within a term
	Standbys []string `msgpack:"s"` // the first of them goes first
}

// Newer says whether a view takes the place of another one.
func (v *View) Newer(than *View) bool {
	return v.Token > than.Token || (v.Token == than.Token && v.Number > than.Number)
}

// Rank is a controller's place among the standbys, -1 if it is none.
func (v *View) Rank(label string) int { return slices.Index(v.Standbys, label) }

// Member is what the leader knows of another controller.
type Member struct {
	Label, Zone string
	Heard       Micros // when it last answered, 0 if it never did
	Ends        int    // how often it was started anew lately
	Unfit       Micros // when it last showed that it can't follow: behind, cut off, short of memory; 0 if never
}

// Choosing is how standbys are chosen.
type Choosing struct {
	Zone  string // the leader's
	Count int    // how many are to stand by
	// Silent is after how long without an answer a controller is replaced, if another
	// answers: several times what a hello takes. A suspicion is no death, and choosing
	// anew makes somebody read the whole state.
	Silent Micros
	// Rest is for how long one that was unfit is chosen only if there is no other.
	Rest Micros
}

// fewEnds is how often a standby may have ended lately.
const fewEnds = 2

// Choose returns the view that follows one, and whether it differs. Those who stand by
// stay, as long as they answer and are fit, so that a controller that comes and goes
// changes nothing; new ones are preferred in zones that have neither the leader nor
// another standby.
func (c *Choosing) Choose(old View, members []Member, now Micros) (View, bool) {
	bad := func(m *Member) int {
		switch {
		case m.Heard == 0 || now-m.Heard > c.Silent:
			return 3
		case m.Unfit > 0 && now-m.Unfit < c.Rest:
			return 2
		case m.Ends >= fewEnds:
			return 1
		}
		return 0
	}
	by := map[string]*Member{}
	for i := range members {
		by[members[i].Label] = &members[i]
	}
	var kept []string
	zones := map[string]bool{c.Zone: true}
	for _, label := range old.Standbys {
		if m := by[label]; m != nil && bad(m) == 0 && len(kept) < c.Count {
			kept = append(kept, label)
			zones[m.Zone] = true
		}
	}
	for len(kept) < c.Count {
		var best *Member
		var bestKey [2]int
		for i := range members {
			m := &members[i]
			if slices.Contains(kept, m.Label) || bad(m) >= 3 {
				continue
			}
			key := [2]int{bad(m), 0}
			if zones[m.Zone] {
				key[1] = 1
			}
			if best == nil || cmp.Or(cmp.Compare(key[0], bestKey[0]), cmp.Compare(key[1], bestKey[1]), cmp.Compare(m.Label, best.Label)) < 0 {
				best, bestKey = m, key
			}
		}
		if best == nil {
			break
		}
		kept = append(kept, best.Label)
		zones[best.Zone] = true
	}
	if slices.Equal(kept, old.Standbys) {
		return old, false
	}
	return View{Token: old.Token, Number: old.Number + 1, Standbys: kept}, true
}
