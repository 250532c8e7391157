package sched

import (
	"errors"
	"fmt"
	"slices"

	"dalefront/internal/config"
	"dalefront/wire"
)

var (
	// ErrNoMachineType is returned for a job whose tasks fit none of the machine types that it may use.
	ErrNoMachineType = errors.New("a task fits no allowed machine type")
	// ErrSpreadInOneZone is returned for a job that must be spread over zones but may run in one zone only.
	ErrSpreadInOneZone = errors.New("its tasks must be spread over zones, and may be in one only")
)

// UnknownTeamError is returned for a job of a team that the settings don't define.
type UnknownTeamError struct{ Team string }

func (e *UnknownTeamError) Error() string { return fmt.Sprintf("unknown team %q", e.Team) }

// OverLimitError is returned for a job whose tasks must run together and exceed the limit of its team.
type OverLimitError struct{ Team string }

func (e *OverLimitError) Error() string {
	return fmt.Sprintf("more than the limit of team %q", e.Team)
}

// fitsType reports whether a task of the job can run on an empty machine of the type.
func fitsType(j *wire.Job, t *wire.MachineType) bool {
	if j.Types != nil && !slices.Contains(j.Types, t.Name) {
		return false
	}
	if j.Zone != nil && !slices.Contains(t.Zones, *j.Zone) {
		return false
	}
	return j.CPUs <= t.CPUs+epsilon && j.GPUs <= t.GPUs+epsilon && j.MemoryGB <= t.MemoryGB+epsilon
}

// countFittingZones returns the number of zones in which a task of the job can run on a machine of at least
// one of the given types.
func countFittingZones(j *wire.Job, types []wire.MachineType) int {
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

// Admit returns an error that says why a well-formed job can never run, or nil if it can.
func Admit(settings *config.Settings, machineTypes wire.Catalog, job *wire.Job) error {
	teams := settings.Deployment.Teams
	i := slices.IndexFunc(teams, func(t config.Team) bool { return t.Name == job.Team })
	if i < 0 {
		return &UnknownTeamError{job.Team}
	}
	zones := countFittingZones(job, machineTypes.Types)
	if zones == 0 {
		return ErrNoMachineType
	}
	concurrentTasks := 1.0 // number of tasks that must run at the same time; an array may run one task at a time
	if job.Shape != wire.Array {
		concurrentTasks = float64(job.Tasks)
		if job.Spread && job.Tasks > 1 && (job.OneZone || zones == 1) {
			return ErrSpreadInOneZone
		}
	}
	q := quota{Team: teams[i]}
	if !q.withinLimit(concurrentTasks*job.CPUs, concurrentTasks*job.GPUs) {
		return &OverLimitError{job.Team}
	}
	return nil
}
