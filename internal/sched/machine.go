package sched

import (
	"dalefront/internal/dynconfig"
	"dalefront/internal/failuredomain"
	"dalefront/wire"
)

// machine is a machine as it is known by the cloud's list, the ledger or its worker's heartbeats.
type machine struct {
	machineIdentity
	cloudRecord
	workerState
	machineUsage
	machineFailures
	imageCache
	reservation

	cordon *dynconfig.Cordon // that keeps new tasks off, as of the last pass
}

// machineIdentity is what a machine is.
type machineIdentity struct {
	host, addr  string
	machineType *wire.MachineType
	zone        string
	spot        bool
}

// cloudRecord is what the cloud says of a machine.
type cloudRecord struct {
	rentedAt          Micros // when it was rented, as far as known
	lastListedAt      Micros // when a list last showed it
	lastListedRunning Micros // the latest moment of which a list shows it running
	booting           bool   // it was seen to boot in this term, and its boot has not ended
	failed            bool
	reclaimAt         Micros // when the cloud takes it, 0 if unknown
	scalingIn         bool   // its return was asked for
}

// workerState is what the heartbeats of a machine's worker say, and how long there was none.
type workerState struct {
	registered      bool // a heartbeat came, ever
	confirmed       bool // a heartbeat of this incarnation carried this term's token
	leaseExpired    bool // silent beyond its lease
	incarnation     uint64
	sequence        uint64 // of the newest heartbeat, 0 before the first
	lastHeartbeat   Micros // when the newest heartbeat came
	lastPeerContact Micros // when another controller last heard from it, 0 if none said so
	tokenPushedAt   Micros // when the token was last sent straight to it
	verdict         failuredomain.Verdict
}

// isNewer says whether the heartbeat was made after the newest one that is known. Another one's
// task list is older than what is known.
func (w *workerState) isNewer(r *wire.Heartbeat) bool {
	return r.Incarnation > w.incarnation || (r.Incarnation == w.incarnation && r.Sequence > w.sequence)
}

// isFirst says whether no heartbeat of its incarnation is known yet, only a ledger entry.
func (w *workerState) isFirst(r *wire.Heartbeat) bool {
	return r.Incarnation == w.incarnation && w.sequence == 0
}

// accept takes the number of the newest heartbeat.
func (w *workerState) accept(r *wire.Heartbeat) {
	w.incarnation, w.sequence = r.Incarnation, r.Sequence
}

// shiftHeartbeat moves the last heartbeat by a time for which nobody could have heard one.
func (w *workerState) shiftHeartbeat(gap, now Micros) {
	if w.lastHeartbeat > 0 {
		w.lastHeartbeat = min(now, w.lastHeartbeat+gap)
	}
}

// machineUsage is what placements take of a machine. Only addPlacement and removePlacement change it
// but for the two times.
type machineUsage struct {
	tasks              map[taskKey][]*placement // attempts by task
	placements         []*placement             // all of them, the oldest first
	placementCount     int
	usedCPUs, usedGPUs float64
	usedMemoryGB       float64
	usedByRank         [numRanks]resourceUse // of what is taken, by the jobs' ranks
	savingCount        int                   // tasks that save, by the last heartbeat
	idleSince          Micros
	gpusIdleSince      Micros // since when no task is on it that a GPU machine is kept for
}

// imageCache is the images that are believed to be on a machine.
type imageCache struct {
	cachedImages   map[string]Micros // by last use
	fetchingImages map[string]Micros // being fetched by the last heartbeat, and since when
}

// markCached notes that an image is there.
func (i *imageCache) markCached(image string, now Micros) { i.cachedImages[image] = now }

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
func (u *machineUsage) usedBelow(rank int) (total resourceUse) {
	for _, used := range u.usedByRank[:rank] {
		total.add(used)
	}
	return total
}

// newMachine takes a machine that is not known yet.
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

// dropMachine forgets a machine that is gone.
func (c *Core) dropMachine(m *machine) {
	c.machines.drop(m)
	c.lastPass.dropMachine(m)
}
