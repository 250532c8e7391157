package sched

import (
	"cmp"
	"maps"
	"slices"

	"dalefront/internal/config"
)

// teamTable is the teams that the settings name, and those of jobs that were accepted under others.
type teamTable struct {
	byName map[string]*team
}

func newTeamTable(teams []config.Team) teamTable {
	t := teamTable{byName: map[string]*team{}}
	t.configure(teams)
	return t
}

// configure takes new limits and guarantees. What teams use stays, and so do teams that
// the settings don't name any more.
func (t *teamTable) configure(teams []config.Team) {
	for _, settings := range teams {
		if known := t.byName[settings.Name]; known != nil {
			known.Team = settings
		} else {
			t.byName[settings.Name] = newTeam(settings)
		}
	}
}

// find returns a known team, or nil.
func (t *teamTable) find(name string) *team { return t.byName[name] }

// findOrAdd returns a team, a new one without limit or guarantee if it isn't known: its job was
// accepted under other settings.
func (t *teamTable) findOrAdd(name string) *team {
	if t.byName[name] == nil {
		t.byName[name] = newTeam(config.Team{Name: name})
	}
	return t.byName[name]
}

// sorted returns the teams by name.
func (t *teamTable) sorted() []*team {
	return slices.SortedFunc(maps.Values(t.byName), func(a, b *team) int { return cmp.Compare(a.Name, b.Name) })
}

// any says whether f holds for any team.
func (t *teamTable) any(f func(*team) bool) bool {
	for _, tm := range t.byName {
		if f(tm) {
			return true
		}
	}
	return false
}

// team is a team of users.
type team struct {
	quota
	service serviceShare
}

func newTeam(settings config.Team) *team { return &team{quota: quota{Team: settings}} }
