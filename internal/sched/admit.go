package sched

import (
	"fmt"
	"maps"

	"dalefront/internal/config"
	"dalefront/wire"
)

// fitsType says whether a task of the job may ever run on an empty machine of
// the type.
func fitsType(j *wire.Job, t *wire.MachineType) bool {
	if j.Types != nil {
		ok := false
		for _, n := range j.Types {
			ok = ok || n == t.Name
		}
		if !ok {
			return false
		}
	}
	if j.Zone != nil {
		ok := false
		for _, z := range t.Zones {
			ok = ok || z == *j.Zone
		}
		if !ok {
			return false
		}
	}
	return j.CPUs <= t.CPUs+epsilon && j.GPUs <= t.GPUs+epsilon && j.MemoryGB <= t.MemoryGB+epsilon
}

// Admit says why a well-formed job can never run, or returns nil.
func Admit(set *config.Settings, cat wire.Catalog, j *wire.Job) error {
	var tm *config.Team
	for i := range set.Deployment.Teams {
		if set.Deployment.Teams[i].Name == j.Team {
			tm = &set.Deployment.Teams[i]
		}
	}
	if tm == nil {
		return fmt.Errorf("unknown team %q", j.Team)
	}
	zones := map[string]bool{} // in which a task fits
	for i := range cat.Types {
		if t := &cat.Types[i]; fitsType(j, t) {
			for _, z := range t.Zones {
				zones[z] = zones[z] || j.Zone == nil || *j.Zone == z
			}
		}
	}
	maps.DeleteFunc(zones, func(_ string, in bool) bool { return !in })
	if len(zones) == 0 {
		return fmt.Errorf("a task fits no allowed machine type")
	}
	n := 1.0
	if j.Shape != wire.Array {
		n = float64(j.Tasks)
		// An array may run in halves; these need all their tasks at once.
		if j.Spread && j.Tasks > 1 && (j.OneZone || len(zones) == 1) {
			return fmt.Errorf("its tasks must be spread over zones, and may be in one only")
		}
	}
	t := team{Team: *tm}
	if !t.withinLimit(n*j.CPUs, n*j.GPUs) {
		return fmt.Errorf("more than the limit of team %q", j.Team)
	}
	return nil
}
