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
			t.byName[settings.Name] = &team{Team: settings}
		}
	}
}

// find returns a known team, or nil.
func (t *teamTable) find(name string) *team { return t.byName[name] }

// findOrAdd returns a team, a new one without limit or guarantee if it isn't known: its job was
// accepted under other settings.
func (t *teamTable) findOrAdd(name string) *team {
	if t.byName[name] == nil {
		t.byName[name] = &team{Team: config.Team{Name: name}}
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

// team is a team's limits and guarantee, and what it uses of them.
type team struct {
	config.Team
	service            serviceShare
	usedCPUs, usedGPUs float64 // in use, or possibly so

	// of these, what has been told to stop
	releasingCPUs, releasingGPUs float64
}

const epsilon = 1e-6

// addUse counts what a placed task takes.
func (t *team) addUse(use resourceUse) {
	t.usedCPUs += use.cpus
	t.usedGPUs += use.gpus
}

// removeUse gives back what a released task took. releasing says whether it had been told to stop.
func (t *team) removeUse(use resourceUse, releasing bool) {
	t.usedCPUs -= use.cpus
	t.usedGPUs -= use.gpus
	if releasing {
		t.releasingCPUs -= use.cpus
		t.releasingGPUs -= use.gpus
	}
}

// addReleasing counts what a task that is told to stop is going to give back.
func (t *team) addReleasing(use resourceUse) {
	t.releasingCPUs += use.cpus
	t.releasingGPUs += use.gpus
}

// withinLimit says whether the team's limit leaves room; 0 means no limit.
func (t *team) withinLimit(cpus, gpus float64) bool {
	return (t.CPUsMax == 0 || t.usedCPUs+cpus <= t.CPUsMax+epsilon) && (t.GPUsMax == 0 || t.usedGPUs+gpus <= t.GPUsMax+epsilon)
}

// withinGuarantee says whether the team has a guarantee that this use stays within.
func (t *team) withinGuarantee(cpus, gpus float64) bool {
	if t.CPUs == 0 && t.GPUs == 0 {
		return false
	}
	return (t.CPUs == 0 || t.usedCPUs+cpus <= t.CPUs+epsilon) && (t.GPUs == 0 || t.usedGPUs+gpus <= t.GPUs+epsilon)
}

// exceedsGuarantee says whether the team uses more than its guarantee, what is leaving
// apart.
func (t *team) exceedsGuarantee() bool {
	return (t.CPUs > 0 && t.usedCPUs-t.releasingCPUs > t.CPUs+epsilon) || (t.GPUs > 0 && t.usedGPUs-t.releasingGPUs > t.GPUs+epsilon) || (t.CPUs == 0 && t.GPUs == 0)
}
