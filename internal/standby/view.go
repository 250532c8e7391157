package standby

import (
	"cmp"
	"slices"
)

// View lists, for one term, the standbys in the order in which they try to take over. The leader
// publishes the view in its heartbeats. Safety does not depend on the view: a controller with an old
// view follows the state needlessly, or tries to become leader slightly too early or too late.
type View struct {
	Token    uint64   `msgpack:"t"` // token of the leader that published the view
	Number   uint64   `msgpack:"n"` // increases within a term
	Standbys []string `msgpack:"s"` // labels of the standbys, in the order in which they try to take over
}

// Newer reports whether the view supersedes another view.
func (v *View) Newer(other *View) bool {
	return v.Token > other.Token || (v.Token == other.Token && v.Number > other.Number)
}

// Rank returns the position of a controller among the standbys, or -1 if the controller is not a standby.
func (v *View) Rank(label string) int { return slices.Index(v.Standbys, label) }

// Member is the leader's observation of another controller.
type Member struct {
	Label, Zone    string
	LastHeard      Micros // when the controller last responded to the leader; 0 if never
	RecentRestarts int
	UnfitAt        Micros // last failure to follow the stored state (lag, lost connection, memory limit); 0 if none
}

// Selector selects the standbys.
type Selector struct {
	LeaderZone string // zone of the leader
	Count      int    // number of standbys to select
	// MaxSilence is the time without a response from a standby after which another controller replaces
	// it. MaxSilence should be several heartbeat intervals, because a silent controller may be healthy and
	// a new standby has to read the whole state.
	MaxSilence Micros
	// Cooldown is the time after a controller failed to follow the stored state. During this time the
	// controller is selected only if no better candidate is left.
	Cooldown Micros
}

// unstableRestarts is the number of recent restarts from which a controller counts as unstable.
const unstableRestarts = 2

// fitness grades a controller as a candidate for standby. A lower grade is better.
type fitness int

const (
	fit      fitness = iota
	unstable         // restarted often recently
	unfit            // failed to follow the stored state within the last Selector.Cooldown
	silent           // does not respond; can't be selected
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

// Select returns the next view, and whether it differs from the old view. Standbys of the old view that
// are fit stay standbys. Other controllers that come and go therefore do not change the view. New
// standbys are preferably in zones that have neither the leader nor another standby.
func (s *Selector) Select(old View, members []Member, now Micros) (next View, changed bool) {
	byLabel := map[string]*Member{}
	for i := range members {
		byLabel[members[i].Label] = &members[i]
	}
	var standbys []string
	zones := map[string]bool{s.LeaderZone: true}
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

// bestCandidate returns the member to add to the standbys, or nil if no member is suitable. The parameter
// zones has the zones of the leader and of the standbys.
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
