package sched

import (
	"dalefront/internal/config"
	"dalefront/wire"
)

// Micros is time in whole microseconds.
type Micros = config.Micros

const second = config.Second

// Core is the scheduler's state in a term. Each part owns its fields; the files of the package
// each have one concern of the decisions about them.
type Core struct {
	clock
	policy
	passMemory

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

	listedAt Micros // when the cloud's list last came
	cloud    cloudCapacity

	log func(msg string, args ...any)

	// Stats is read by the owner.
	Stats Stats
}

// passMemory is what passes leave for later ones.
type passMemory struct {
	lastPass          *pass  // never nil
	nextGang          *job   // a gang that needs a batch for itself, served first in the next pass
	gangsPlannedAt    Micros // when it was last decided what is kept for gangs
	fairnessUpdatedAt Micros // when it was last found out who is underserved
}

// Stats counts what the core did.
type Stats struct {
	Launches, Preemptions, Checkpoints, Kills, LeasesExpired, Errors, ScaledOut, ScaledIn int
}

// New returns the core of a term. The token rises with every term.
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

// SetCatalog takes new prices and types.
func (c *Core) SetCatalog(machineTypes wire.Catalog) { c.machineTypes.update(machineTypes.Types) }

// catalog is the machine types that can be rented, and those of machines that the cloud doesn't offer any
// more, by name.
type catalog map[string]*wire.MachineType

// update takes new prices and types. Machines keep the types that they have.
func (cat catalog) update(types []wire.MachineType) {
	for _, t := range types {
		if known := cat[t.Name]; known != nil {
			*known = t
		} else {
			cat[t.Name] = &t
		}
	}
}

// findOrAdd returns a type. One that the cloud doesn't offer has no room.
func (cat catalog) findOrAdd(name, zone string) *wire.MachineType {
	if cat[name] == nil {
		cat[name] = &wire.MachineType{Name: name, Zones: []string{zone}}
	}
	return cat[name]
}

// clock is the time of the event that is handled, and what times are measured from.
type clock struct {
	now       Micros
	termStart Micros
	resumedAt Micros // when the controller last went on after a stall, 0 if it never stalled
}

// ResumeAfterStall says that the controller stood still for so long. Its own absence is not
// the workers' silence: what was measured against the clock goes on from where it
// was, and what took the gap to be noticed teaches nothing about run times.
func (c *Core) ResumeAfterStall(gap, now Micros) {
	c.now, c.resumedAt = now, now
	c.outbox.requestPass()
	for _, m := range c.machines.all() {
		m.shiftHeartbeat(gap, now)
		m.idleSince = min(now, m.idleSince+gap)
	}
}

// canSampleTimes says whether times measured now mean anything: shortly after a
// stall or a takeover what is seen may have happened long before.
func (c *Core) canSampleTimes() bool {
	return c.now-max(c.resumedAt, c.termStart) >= 2*config.Micro(c.settings.Deployment.Workers.ReportS)+second
}

// checkpointBandwidth is how fast checkpoints are written and read, in GB/s.
type checkpointBandwidth struct {
	write float64 // at first as set, then as observed
	read  float64 // as set
}

const (
	megabytesPerGB     = 1000
	bandwidthWeight    = 0.2 // of a new observation
	shortestCheckpoint = 0.5 // seconds; a shorter one says little about the bandwidth
)

func newCheckpointBandwidth(megabytesPerSecond float64) checkpointBandwidth {
	return checkpointBandwidth{write: megabytesPerSecond / megabytesPerGB, read: megabytesPerSecond / megabytesPerGB}
}

// observeWrite takes a checkpoint that was seen to take so many seconds.
func (b *checkpointBandwidth) observeWrite(memoryGB, seconds float64) {
	if seconds > 0 && memoryGB > 0 {
		b.write += bandwidthWeight * (memoryGB/max(seconds, shortestCheckpoint) - b.write)
	}
}
