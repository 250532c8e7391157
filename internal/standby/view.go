package standby

import (
	"cmp"
	"slices"
)

// View says, for one term, which controllers are standbys and in which order they
// try to take over. The leader publishes it in its heartbeats. No safety depends on it: a
// controller with an old view follows the state without need, or tries to become leader a
// moment sooner or later than it should.
type View struct {
	Token    uint64   `msgpack:"t"` // of the leader that published it
	Number   uint64   `msgpack:"n"` // rises within a term
	Standbys []string `msgpack:"s"` // the first of them goes first
}

// Newer reports whether the view supersedes another one.
func (v *View) Newer(than *View) bool {
	return v.Token > than.Token || (v.Token == than.Token && v.Number > than.Number)
}

// Rank returns a controller's position among the standbys, -1 if it is none.
func (v *View) Rank(label string) int { return slices.Index(v.Standbys, label) }

// Member is what the leader knows of another controller.
type Member struct {
	Label, Zone    string
	LastHeard      Micros // when it last answered, 0 if it never did
	RecentRestarts int
	UnfitAt        Micros // when it last showed that it can't follow: behind, cut off, short of memory; 0 if never
}

// Selector selects the standbys.
type Selector struct {
	Zone  string // the leader's
	Count int    // of standbys
	// MaxSilence is how long a standby may fail to answer before it is replaced, if another
	// controller answers. It should be several times a heartbeat's interval: a silent
	// controller may be well, and a new standby has to read the whole state.
	MaxSilence Micros
	// Cooldown is for how long a controller that was unfit is selected only if there is no
	// other.
	Cooldown Micros
}

// unstableRestarts is the number of recent restarts from which on a controller is
// unstable.
const unstableRestarts = 2

// fitness grades a controller as a standby. The lowest is the best.
type fitness int

const (
	fit      fitness = iota
	unstable         // restarted often lately
	unfit            // could not follow lately
	silent           // can't be selected
)

func (s *Selector) fitness(member *Member, now Micros) fitness {
	switch {
	case member.LastHeard == 0 || now-member.LastHeard > s.MaxSilence:
		return silent
	case member.UnfitAt > 0 && now-member.UnfitAt < s.Cooldown:
		return unfit
	case member.RecentRestarts >= unstableRestarts:
		return unstable
	}
	return fit
}

// Select returns the view that follows one, and whether it differs. Standbys that answer
// and are fit stay, so that a controller that comes and goes changes nothing; new ones are
// preferred in zones that have neither the leader nor another standby.
func (s *Selector) Select(old View, members []Member, now Micros) (next View, changed bool) {
	byLabel := map[string]*Member{}
	for i := range members {
		byLabel[members[i].Label] = &members[i]
	}
	var standbys []string
	zones := map[string]bool{s.Zone: true}
	for _, label := range old.Standbys {
		member := byLabel[label]
		if member != nil && s.fitness(member, now) == fit && len(standbys) < s.Count {
			standbys = append(standbys, label)
			zones[member.Zone] = true
		}
	}
	for len(standbys) < s.Count {
		best := s.bestCandidate(members, standbys, zones, now)
		if best == nil {
			break
		}
		standbys = append(standbys, best.Label)
		zones[best.Zone] = true
	}
	if slices.Equal(standbys, old.Standbys) {
		return old, false
	}
	return View{Token: old.Token, Number: old.Number + 1, Standbys: standbys}, true
}

// bestCandidate returns the member that is best added to the standbys, whose zones and
// the leader's are given; nil if there is none.
func (s *Selector) bestCandidate(members []Member, standbys []string, zones map[string]bool, now Micros) *Member {
	sharesZone := func(member *Member) int {
		if zones[member.Zone] {
			return 1
		}
		return 0
	}
	var best *Member
	for i := range members {
		member := &members[i]
		if slices.Contains(standbys, member.Label) || s.fitness(member, now) == silent {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(s.fitness(member, now), s.fitness(best, now)),
			cmp.Compare(sharesZone(member), sharesZone(best)),
			cmp.Compare(member.Label, best.Label)) < 0 {
			best = member
		}
	}
	return best
}
