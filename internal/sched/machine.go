package sched

import (
	"dalefront/internal/dynconfig"
	"dalefront/internal/failuredomain"
	"dalefront/wire"
)

// machine is a machine as it is known by the cloud's list, the ledger or its worker's heartbeats.
type machine struct {
	host, addr  string
	machineType *wire.MachineType
	zone        string
	spot        bool

	rentedAt          Micros // when it was rented, as far as known
	lastListedAt      Micros // when a list last showed it
	registered        bool   // a report came, ever
	booting           bool   // it was seen to boot in this term, and its boot has not ended
	confirmed         bool   // a report carried this leader's token in this session
	incarnation       uint64
	sequence          uint64
	lastHeartbeat     Micros // when the newest report came
	lastPeerContact   Micros // when another controller last heard it, 0 if none said so
	lastListedRunning Micros // the latest moment of which a list shows it running
	verdict           failuredomain.Verdict
	tokenPushedAt     Micros            // when the token was last sent straight to it
	cordon            *dynconfig.Cordon // that keeps new tasks off, as of the last pass
	reclaimAt         Micros            // when the cloud takes it, 0 if unknown
	scalingIn         bool
	leaseExpired      bool // silent beyond its lease
	failed            bool
	quarantined       bool
	failedJobs        map[*job]bool // that failed on it since a task last completed there
	avoidUntil        Micros        // place nothing before
	slowdown          float64       // how its tasks' run times compare with the usual, 1 is usual

	usedByRank           [numRanks]resourceUse // of what is taken, by the jobs' priority
	passIndex            int                   // in this pass: its place among the open machines, if it is one
	claimedByRank        int                   // in this pass: the priority of a gang that would clear it at once
	tasks                map[taskKey][]*placement
	placements           []*placement // all of them, the oldest first
	placementCount       int
	usedCPUs, usedGPUs   float64
	usedMemoryGB         float64
	cachedImages         map[string]Micros // images believed present, by last use
	idleSince            Micros
	gpusIdleSince        Micros // since when no task is on it that a graphics machine is kept for
	reservedFor          *job
	reservedUntil        Micros
	reservationCheckedAt Micros // when it was last decided that it is kept
	reservationStart     Micros // when that job is expected to use it, 0 at once
	savingCount          int
	fetchingImages       map[string]Micros
}

// resourceUse is what tasks take of a machine.
type resourceUse struct{ cpus, gpus, mem float64 }

// add adds what further tasks take.
func (u *resourceUse) add(x resourceUse) {
	u.cpus, u.gpus, u.mem = u.cpus+x.cpus, u.gpus+x.gpus, u.mem+x.mem
}

// subtract takes away what tasks that left took.
func (u *resourceUse) subtract(x resourceUse) {
	u.cpus, u.gpus, u.mem = u.cpus-x.cpus, u.gpus-x.gpus, u.mem-x.mem
}

// usedBelow is what is taken by jobs of a lower rank.
func (m *machine) usedBelow(rank int) (u resourceUse) {
	for _, x := range m.usedByRank[:rank] {
		u.add(x)
	}
	return u
}

// newMachine takes a machine that is not known yet.
func (c *Core) newMachine(host, addr, typ, zone string, spot bool) *machine {
	m := &machine{
		slowdown: 1, host: host, addr: addr, machineType: c.machineType(typ, zone), zone: zone, spot: spot,
		rentedAt: c.now, idleSince: c.now, gpusIdleSince: c.now,
		tasks: map[taskKey][]*placement{}, cachedImages: map[string]Micros{}, fetchingImages: map[string]Micros{}, failedJobs: map[*job]bool{},
	}
	c.machines.add(m)
	return m
}

// machineType returns a type of the catalog. One that the catalog doesn't have has no room.
func (c *Core) machineType(name, zone string) *wire.MachineType {
	if c.machineTypes[name] == nil {
		c.machineTypes[name] = &wire.MachineType{Name: name, Zones: []string{zone}}
	}
	return c.machineTypes[name]
}

// dropMachine forgets a machine that is gone.
func (c *Core) dropMachine(m *machine) {
	c.machines.drop(m)
	c.lastPass.dropMachine(m)
}
