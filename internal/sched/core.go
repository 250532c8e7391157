package sched

import (
	"dalefront/internal/config"
	"dalefront/wire"
)

// Micros is time in whole microseconds.
type Micros = config.Micros

const second = config.Second

// Core is the scheduler's state in one leader's term. Each part of it owns its fields. The decisions that use
// several parts are methods of Core, and the package has one file for each kind of decision.
type Core struct {
	clock
	policy
	interPassState

	sequence     termSequence
	machineTypes catalog
	machines     inventory
	jobs         jobTable
	teams        teamTable
	classes      classTable
	ledger       ledger
	outbox       outbox
	detector     failureMonitor
	boots        bootHistory
	bandwidth    checkpointBandwidth

	listedAt Micros // when the cloud's list of machines was last received
	cloud    cloudCapacity

	log func(msg string, args ...any)

	// Stats is read by the owner of the core.
	Stats Stats
}

// interPassState is the state that a pass leaves for later passes.
type interPassState struct {
	lastPass          *pass  // never nil
	nextGang          *job   // a gang that needs a batch for itself and is served first in the next pass
	gangsPlannedAt    Micros // when reservations for gangs were last planned
	fairnessUpdatedAt Micros // when the underserved classes and teams were last determined
}

// Stats counts the core's actions and observed faults in a term.
type Stats struct {
	Launches, Preemptions, Checkpoints, Kills, LeasesExpired, Errors, ScaledOut, ScaledIn int
}

// New returns the core of a term. The token is the term's fencing token, which rises with every term.
func New(settings *config.Settings, token uint64, now Micros, machineTypes wire.Catalog, log func(string, ...any)) *Core {
	c := &Core{
		clock:        clock{now: now, termStart: now},
		policy:       newPolicy(settings),
		sequence:     termSequence{token: token},
		machineTypes: catalog{},
		machines:     newInventory(),
		jobs:         newJobTable(),
		teams:        newTeamTable(settings.Deployment.Teams),
		classes:      newClassTable(),
		ledger:       newLedger(),
		detector:     newFailureMonitor(settings, now),
		boots:        bootHistory{},
		bandwidth:    newCheckpointBandwidth(*settings.Operator.CheckpointMBPerS),
		cloud:        newCloudCapacity(),
		log:          log,
	}
	c.lastPass = emptyPass(c)
	c.SetCatalog(machineTypes)
	return c
}

// Token is the term's fencing token.
func (c *Core) Token() uint64 { return c.sequence.token }

// SetCatalog updates the machine types and their prices.
func (c *Core) SetCatalog(machineTypes wire.Catalog) { c.machineTypes.update(machineTypes.Types) }

// catalog holds machine types by name: the types that can be rented, and the types of known machines that the
// cloud doesn't offer any more.
type catalog map[string]*wire.MachineType

// update adds new types and updates known ones in place, so that machines see the changes. Types that are not
// offered any more stay.
func (cat catalog) update(types []wire.MachineType) {
	for _, t := range types {
		if known := cat[t.Name]; known != nil {
			*known = t
		} else {
			cat[t.Name] = &t
		}
	}
}

// findOrAdd returns the type with the name. If the cloud doesn't offer it, findOrAdd adds a type without
// capacity.
func (cat catalog) findOrAdd(name, zone string) *wire.MachineType {
	if cat[name] == nil {
		cat[name] = &wire.MachineType{Name: name, Zones: []string{zone}}
	}
	return cat[name]
}

// clock holds the time of the current event, and the times of the events from which durations are measured.
type clock struct {
	now       Micros
	termStart Micros
	resumedAt Micros // when the controller last resumed after a stall, 0 if it never stalled
}

// ResumeAfterStall handles a stall of the controller that lasted for the given gap. The stall must not count
// as silence of the workers, so the times of the last heartbeats, and the times since which machines are
// idle, are shifted by the gap. For a while no run times are sampled (see
// canSampleTimes), since events during the stall were noticed late.
func (c *Core) ResumeAfterStall(gap, now Micros) {
	c.now, c.resumedAt = now, now
	c.outbox.requestPass()
	for _, m := range c.machines.all() {
		m.shiftHeartbeat(gap, now)
		m.idleSince = min(now, m.idleSince+gap)
	}
}

// canSampleTimes reports whether durations measured now are reliable. Events observed shortly after a stall or
// a takeover may have happened long before.
func (c *Core) canSampleTimes() bool {
	return c.now-max(c.resumedAt, c.termStart) >= 2*config.Micro(c.settings.Deployment.Workers.HeartbeatIntervalS)+second
}

// checkpointBandwidth holds the bandwidths at which checkpoints are written and read, in GB/s.
type checkpointBandwidth struct {
	write float64 // moving average of observations, initially the configured value
	read  float64 // the configured value
}

const (
	megabytesPerGB       = 1000
	bandwidthWeight      = 0.2 // weight of a new observation in the moving average
	minCheckpointSeconds = 0.5 // shorter checkpoints say little about the bandwidth
)

func newCheckpointBandwidth(megabytesPerSecond float64) checkpointBandwidth {
	return checkpointBandwidth{write: megabytesPerSecond / megabytesPerGB, read: megabytesPerSecond / megabytesPerGB}
}

// observeWrite updates the write bandwidth with a checkpoint of the given size in GB that took the given
// number of seconds.
func (b *checkpointBandwidth) observeWrite(memoryGB, seconds float64) {
	if seconds > 0 && memoryGB > 0 {
		b.write += bandwidthWeight * (memoryGB/max(seconds, minCheckpointSeconds) - b.write)
	}
}
