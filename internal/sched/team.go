package sched

import (
	"cmp"
	"maps"
	"slices"

	"dalefront/internal/config"
)

// teamTable holds the teams that the settings define and the teams of jobs that were accepted under earlier
// settings.
type teamTable struct {
	byName map[string]*team
}

func newTeamTable(teams []config.Team) teamTable {
	t := teamTable{byName: map[string]*team{}}
	t.configure(teams)
	return t
}

// configure applies new limits and guarantees. The teams' current use is kept, and so are teams that the
// settings no longer define.
func (t *teamTable) configure(teams []config.Team) {
	for _, settings := range teams {
		if known := t.byName[settings.Name]; known != nil {
			known.Team = settings
		} else {
			t.byName[settings.Name] = newTeam(settings)
		}
	}
}

// find returns the team with the name, or nil if it is unknown.
func (t *teamTable) find(name string) *team { return t.byName[name] }

// findOrAdd returns the team with the name. It adds an unknown team without a limit or guarantee. The team of
// a job is unknown if the job was accepted under earlier settings.
func (t *teamTable) findOrAdd(name string) *team {
	if t.byName[name] == nil {
		t.byName[name] = newTeam(config.Team{Name: name})
	}
	return t.byName[name]
}

// sorted returns the teams, sorted by name.
func (t *teamTable) sorted() []*team {
	return slices.SortedFunc(maps.Values(t.byName), func(a, b *team) int { return cmp.Compare(a.Name, b.Name) })
}

// any reports whether f holds for any team.
func (t *teamTable) any(f func(*team) bool) bool {
	for _, tm := range t.byName {
		if f(tm) {
			return true
		}
	}
	return false
}

// team holds the quota and the service share of a team of users.
type team struct {
	quota
	service serviceShare
}

func newTeam(settings config.Team) *team { return &team{quota: quota{Team: settings}} }
