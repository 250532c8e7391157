package sched

import (
	"dalefront/internal/dynconfig"
	"dalefront/internal/failuredomain"
	"dalefront/wire"
)

// machine is a machine known from the cloud's list, the ledger or its worker's heartbeats.
type machine struct {
	machineIdentity
	cloudRecord
	workerState
	machineUsage
	machineFailures
	imageCache
	reservation

	cordon *dynconfig.Cordon // the cordon that keeps new tasks off the machine, as of the last pass
}

// machineIdentity holds the properties of a machine that don't change, and its address.
type machineIdentity struct {
	host, addr  string
	machineType *wire.MachineType
	zone        string
	spot        bool
}

// cloudRecord holds what the cloud reports about a machine.
type cloudRecord struct {
	rentedAt          Micros // time of the rental, as far as known
	lastListedAt      Micros // when a cloud list last contained the machine
	lastListedRunning Micros // latest time for which a cloud list shows the machine running
	booting           bool   // the machine was seen booting in this term, and the boot has not ended
	failed            bool
	reclaimAt         Micros // when the cloud will reclaim the machine, 0 if unknown
	scalingIn         bool   // the machine's return was requested
}

// workerState holds what the heartbeats of a machine's worker report, and when they arrived.
type workerState struct {
	registered      bool // at least one heartbeat has arrived
	confirmed       bool // a heartbeat of this incarnation carried this term's token
	leaseExpired    bool // the worker has been silent for longer than its lease
	incarnation     uint64
	sequence        uint64 // sequence number of the newest heartbeat, 0 before the first heartbeat
	lastHeartbeat   Micros // when the newest heartbeat arrived
	lastPeerContact Micros // when another controller last heard from the worker, 0 if none has reported a contact
	tokenPushedAt   Micros // when the token was last sent directly to the worker
	verdict         failuredomain.Verdict
}

// isNewer reports whether the heartbeat is newer than the newest known heartbeat. If it is not, its task list
// is outdated.
func (w *workerState) isNewer(r *wire.Heartbeat) bool {
	return r.Incarnation > w.incarnation || (r.Incarnation == w.incarnation && r.Sequence > w.sequence)
}

// isFirstOfIncarnation reports whether the heartbeat is the first one received from an incarnation that is
// known only from a ledger entry.
func (w *workerState) isFirstOfIncarnation(r *wire.Heartbeat) bool {
	return r.Incarnation == w.incarnation && w.sequence == 0
}

// recordSequence records the incarnation and sequence number of the newest heartbeat.
func (w *workerState) recordSequence(r *wire.Heartbeat) {
	w.incarnation, w.sequence = r.Incarnation, r.Sequence
}

// shiftHeartbeat moves the time of the last heartbeat forward by the given gap. No heartbeat could have been
// received during the gap, so the gap must not count as silence of the worker.
func (w *workerState) shiftHeartbeat(gap, now Micros) {
	if w.lastHeartbeat > 0 {
		w.lastHeartbeat = min(now, w.lastHeartbeat+gap)
	}
}

// machineUsage holds what placements use of a machine. Only addPlacement and removePlacement change the
// fields other than checkpointingCount, idleSince and gpusIdleSince.
type machineUsage struct {
	tasks              map[taskKey][]*placement // placements by task; a task may have several attempts
	placements         []*placement             // all placements, the oldest first
	placementCount     int
	usedCPUs, usedGPUs float64
	usedMemoryGB       float64
	usedByRank         [numRanks]resourceUse // resources in use, indexed by the rank of the jobs that use them
	checkpointingCount int                   // tasks that were writing a checkpoint at the last heartbeat
	idleSince          Micros
	gpusIdleSince      Micros // when a task that justifies a GPU machine last left, or the worker confirmed the term
}

// imageCache records the images that are believed to be on a machine.
type imageCache struct {
	cachedImages   map[string]Micros // time of the last use of each image
	fetchingImages map[string]Micros // by image being fetched at the last heartbeat: when the fetching task was placed
}

// markCached records the use of an image that is on the machine.
func (i *imageCache) markCached(image string, now Micros) { i.cachedImages[image] = now }

// resourceUse is an amount of a machine's resources that tasks use.
type resourceUse struct{ cpus, gpus, memoryGB float64 }

// add adds the usage of further tasks.
func (u *resourceUse) add(x resourceUse) {
	u.cpus, u.gpus, u.memoryGB = u.cpus+x.cpus, u.gpus+x.gpus, u.memoryGB+x.memoryGB
}

// subtract removes the usage of tasks that have left.
func (u *resourceUse) subtract(x resourceUse) {
	u.cpus, u.gpus, u.memoryGB = u.cpus-x.cpus, u.gpus-x.gpus, u.memoryGB-x.memoryGB
}

// usedBelow returns the resources used by jobs of a lower rank.
func (u *machineUsage) usedBelow(rank int) (total resourceUse) {
	for _, used := range u.usedByRank[:rank] {
		total.add(used)
	}
	return total
}

// newMachine adds a machine that the core doesn't know yet.
func (c *Core) newMachine(host, addr, typ, zone string, spot bool) *machine {
	m := &machine{
		machineIdentity: machineIdentity{host: host, addr: addr, machineType: c.machineTypes.findOrAdd(typ, zone), zone: zone, spot: spot},
		cloudRecord:     cloudRecord{rentedAt: c.now},
		machineUsage:    machineUsage{tasks: map[taskKey][]*placement{}, idleSince: c.now, gpusIdleSince: c.now},
		machineFailures: machineFailures{failedJobs: map[*job]bool{}, slowdown: 1},
		imageCache:      imageCache{cachedImages: map[string]Micros{}, fetchingImages: map[string]Micros{}},
	}
	c.machines.add(m)
	return m
}

// dropMachine removes a machine that is gone.
func (c *Core) dropMachine(m *machine) {
	c.machines.drop(m)
	c.lastPass.dropMachine(m)
}
