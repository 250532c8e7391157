package sched

import (
	"errors"
	"fmt"
	"slices"

	"dalefront/internal/config"
	"dalefront/wire"
)

var (
	// ErrNoMachineType says that a job's tasks fit no machine type that it may use.
	ErrNoMachineType = errors.New("a task fits no allowed machine type")
	// ErrSpreadInOneZone says that a job asks for tasks in several zones, and may have them in one only.
	ErrSpreadInOneZone = errors.New("its tasks must be spread over zones, and may be in one only")
)

// UnknownTeamError says that a job names a team that the settings don't have.
type UnknownTeamError struct{ Team string }

func (e *UnknownTeamError) Error() string { return fmt.Sprintf("unknown team %q", e.Team) }

// OverLimitError says that the tasks of a job that must run together exceed their team's limit.
type OverLimitError struct{ Team string }

func (e *OverLimitError) Error() string { return fmt.Sprintf("more than the limit of team %q", e.Team) }

// fitsType says whether a task of the job may ever run on an empty machine of
// the type.
func fitsType(j *wire.Job, t *wire.MachineType) bool {
	if j.Types != nil && !slices.Contains(j.Types, t.Name) {
		return false
	}
	if j.Zone != nil && !slices.Contains(t.Zones, *j.Zone) {
		return false
	}
	return j.CPUs <= t.CPUs+epsilon && j.GPUs <= t.GPUs+epsilon && j.MemoryGB <= t.MemoryGB+epsilon
}

// fittingZones counts the zones in which a task of the job may run on a machine of some type.
func fittingZones(j *wire.Job, types []wire.MachineType) int {
	zones := map[string]bool{}
	for i := range types {
		if !fitsType(j, &types[i]) {
			continue
		}
		for _, zone := range types[i].Zones {
			if j.Zone == nil || *j.Zone == zone {
				zones[zone] = true
			}
		}
	}
	return len(zones)
}

// Admit says why a well-formed job can never run, or returns nil.
func Admit(settings *config.Settings, machineTypes wire.Catalog, job *wire.Job) error {
	teams := settings.Deployment.Teams
	at := slices.IndexFunc(teams, func(t config.Team) bool { return t.Name == job.Team })
	if at < 0 {
		return &UnknownTeamError{job.Team}
	}
	zones := fittingZones(job, machineTypes.Types)
	if zones == 0 {
		return ErrNoMachineType
	}
	together := 1.0 // tasks that must run at the same time: an array may run in parts
	if job.Shape != wire.Array {
		together = float64(job.Tasks)
		if job.Spread && job.Tasks > 1 && (job.OneZone || zones == 1) {
			return ErrSpreadInOneZone
		}
	}
	q := quota{Team: teams[at]}
	if !q.withinLimit(together*job.CPUs, together*job.GPUs) {
		return &OverLimitError{job.Team}
	}
	return nil
}
