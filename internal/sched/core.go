// Package sched is the scheduler's core. It is pure: events and the time go
// in, effects come out; it does no I/O and reads no clock. One goroutine, the
// leader's owner, drives it.
package sched

import (
	"dalefront/internal/config"
	"dalefront/internal/dynconfig"
	"dalefront/internal/failuredomain"
	"dalefront/wire"
)

// Micros is time in whole microseconds.
type Micros = config.Micros

const second = config.Second

// Core is the scheduler's state.
type Core struct {
	settings     *config.Settings
	now          Micros
	sequence     termSequence
	termStart    Micros // start of this term
	resumedAt    Micros // end of the last standstill
	machineTypes map[string]*wire.MachineType
	jobs         jobTable
	machines     inventory
	teams        teamTable
	classes      classTable

	lease                Micros
	preemptAfter         Micros
	preemptionPolicy     string
	firstComeFirstServed bool // first come, first served

	lastPass       *pass
	gangsPlannedAt Micros // when it was last decided what is kept for gangs
	passNeeded     bool   // something happened that a pass may use

	ledger            ledger
	cordons           []dynconfig.Cordon
	generation        uint64 // version of the configuration's generation that decisions are made by
	fairnessUpdatedAt Micros // when it was last found out who is behind

	pendingEnds     []string
	forgotten       []ForgottenJob
	directCommands  []DirectCommand
	nextGang        *job                     // a gang that needs a batch for itself, served first in the next pass
	outOfCapacity   map[string]Micros        // type/zone/spot without capacity, until
	bootOutcomes    map[string][]bootOutcome // by type, the latest last
	pendingScaleOut map[string]int           // machines asked for, by type
	writeGBPerS     float64                  // GB/s
	readGBPerS      float64
	log             func(msg string, args ...any)
	listedAt        Micros
	detector        *failuredomain.Detector
	surveyed        []failuredomain.Machine // of the last survey

	Stats Stats
}

// Stats counts what the core did.
type Stats struct {
	Launches, Preemptions, Checkpoints, Kills, LeasesExpired, Errors, ScaledOut, ScaledIn int
}

// DirectCommand is a command to be sent straight to a worker.
type DirectCommand struct {
	Addr  string
	Batch wire.CommandBatch
}

// New returns the core of a term. The token rises with every term.
func New(set *config.Settings, token uint64, now Micros, cat wire.Catalog, log func(string, ...any)) *Core {
	c := &Core{
		settings: set, now: now, termStart: now, sequence: termSequence{token: token},
		machineTypes: map[string]*wire.MachineType{}, jobs: newJobTable(), machines: newInventory(),
		teams: newTeamTable(set.Deployment.Teams), classes: newClassTable(),
		ledger:        newLedger(),
		outOfCapacity: map[string]Micros{}, bootOutcomes: map[string][]bootOutcome{}, pendingScaleOut: map[string]int{},
		lease:        config.Micro(set.Deployment.Workers.LeaseS),
		preemptAfter: config.Micro(*set.Operator.EvictAfterS), preemptionPolicy: set.Operator.Eviction, firstComeFirstServed: set.Operator.Order == config.OrderArrival,
		writeGBPerS: *set.Operator.CheckpointMBS / 1000,
		readGBPerS:  *set.Operator.CheckpointMBS / 1000,
		log:         log,
	}
	c.lastPass = emptyPass(c)
	c.detector = failuredomain.New(failuredomain.Params{Zone: set.Zone, Began: now, Report: config.Micro(set.Deployment.Workers.ReportS),
		ListLag: config.Micro(set.Deployment.Cloud.ListLagS)})
	c.SetCatalog(cat)
	return c
}

// SetCatalog takes new prices and types.
func (c *Core) SetCatalog(cat wire.Catalog) {
	for i := range cat.Types {
		t := cat.Types[i]
		if old := c.machineTypes[t.Name]; old != nil {
			*old = t
		} else {
			c.machineTypes[t.Name] = &t
		}
	}
}

// Token is the term's fencing token.
func (c *Core) Token() uint64 { return c.sequence.token }
