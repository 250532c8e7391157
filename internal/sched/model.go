// Package sched is the scheduler's core. It is pure: events and the time go
// in, effects come out; it does no I/O and reads no clock. One goroutine, the
// leader's owner, drives it.
package sched

import (
	"cmp"
	"encoding/base64"
	"maps"
	"math"
	"slices"

	"dalefront/internal/config"
	"dalefront/internal/dynconfig"
	"dalefront/internal/failuredomain"
	"dalefront/wire"
)

// Micros is time in whole microseconds.
type Micros = config.Micros

const second = config.Second

// Rank orders priorities; a higher rank may evict a lower one.
func Rank(priority string) int {
	switch priority {
	case wire.Production:
		return 3
	case wire.High:
		return 2
	case wire.Normal:
		return 1
	}
	return 0
}

type job struct {
	id      string
	spec    wire.Job
	rank    int
	arrival Micros
	dueAt   Micros
	team    *team
	class   *class
	isLarge bool // among the largest of its class

	completed        []uint64
	completedCount   int
	dirtyChunks      map[int]bool // progress chunks not yet stored
	durableCompleted []uint64     // what is stored, so what may be cleared
	placements       map[*placement]struct{}
	placementsByTask map[int32]int // placements per task
	retryQueue       []int32
	nextUntried      int32

	backoffUntil             Micros
	failureRounds            int             // failures in a row, those of one start counted once
	failedHosts              map[string]bool // machines on which it failed since it last did well
	longestFailedRun         Micros          // the longest that a task ran before it failed
	waitingSince             Micros          // since when something waits, 0 if nothing does
	lastVacatedAt            Micros          // when the last task that ran left its machine
	preemptions              int
	startableSince           Micros // a gang: since when clearing lower priorities would let it start, 0 if it would not
	withinGuarantee          bool   // it fits its team's guarantee with the team's earlier jobs
	preemptionBackoffUntil   Micros // nothing could be cleared for it; not tried again before
	firstStartedAt           Micros // when a task was first seen running
	fullyPlacedAt            Micros // when first no task of it waited for a place
	initiallyWithinGuarantee bool   // it was within its team's guarantee when it was first looked at
	guaranteeEvaluated       bool
	checkpointedRunTime      Micros // progress saved by stops, per task at most

	// gang
	gangAttempt uint64
	gangStarted bool // a task of the attempt was seen running
	gangBroken  bool // the attempt can't complete any more

	completing  bool   // all tasks done, end not stored yet
	finalStatus string // final state, stored
}

func (j *job) hasBit(set []uint64, t int32) bool { return set[t>>6]&(1<<(t&63)) != 0 }
func (j *job) isCompleted(t int32) bool          { return j.hasBit(j.completed, t) }
func (j *job) isGang() bool                      { return j.spec.Shape == wire.Gang }
func (j *job) isOver() bool                      { return j.finalStatus != "" || j.completing }

// taskResources is what each of the job's tasks takes.
func (j *job) taskResources() resourceUse {
	return resourceUse{j.spec.CPUs, j.spec.GPUs, j.spec.MemoryGB}
}

// ChunkTasks is the number of tasks whose completion one stored value covers;
// with it the largest job's progress stays far below any value limit.
const ChunkTasks = 4096

func (j *job) encodeChunk(i int) string {
	lo, hi := i*ChunkTasks/64, min((i+1)*ChunkTasks/64, len(j.completed))
	b := make([]byte, 0, (hi-lo)*8)
	for _, w := range j.completed[lo:hi] {
		for k := 0; k < 8; k++ {
			b = append(b, byte(w>>(8*k)))
		}
	}
	return base64.StdEncoding.EncodeToString(b)
}

func (j *job) mergeChunk(i int, text string) {
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return
	}
	for k, x := range b {
		w := i*ChunkTasks/64 + k/8
		if w < len(j.completed) {
			j.completed[w] |= uint64(x) << (8 * (k % 8))
		}
	}
}

// pendingCount is the number of tasks that are neither done nor possibly placed.
func (j *job) pendingCount() int {
	if j.isOver() {
		return 0
	}
	return j.spec.Tasks - j.completedCount - len(j.placementsByTask)
}

// nextPendingTask returns a task to place without taking it.
func (j *job) nextPendingTask() (int32, bool) {
	for len(j.retryQueue) > 0 {
		t := j.retryQueue[len(j.retryQueue)-1]
		if !j.isCompleted(t) && j.placementsByTask[t] == 0 {
			return t, true
		}
		j.retryQueue = j.retryQueue[:len(j.retryQueue)-1]
	}
	for int(j.nextUntried) < j.spec.Tasks {
		if !j.isCompleted(j.nextUntried) && j.placementsByTask[j.nextUntried] == 0 {
			return j.nextUntried, true
		}
		j.nextUntried++
	}
	return 0, false
}

// expectedRunTime is the expected run time of a task, corrected by what the class's
// tasks took compared with their owners' estimates.
func (j *job) expectedRunTime() Micros {
	return Micros(j.spec.EstimateS * j.class.runTimeRatio * float64(second))
}

// latestStart is when the job should start at the latest, as far as the aims say, and
// whether any aim can still be met. Of several aims of a kind the first that can
// still be met counts: one that is missed asks for nothing any more, and must not
// go before others. work is how long the job would keep all machines.
func (j *job) latestStart(now, work Micros) (at Micros, late bool) {
	est := j.expectedRunTime()
	at, late = math.MaxInt64, true
	first := func(n int, by func(int) Micros) {
		for i := 0; i < n; i++ {
			if s := by(i); now+work/2 <= s {
				at, late = min(at, s), false
				return
			}
		}
	}
	cl := j.class
	if j.firstStartedAt == 0 || !j.isGang() {
		first(len(cl.waitObjectives), func(i int) Micros { return j.arrival + cl.waitObjectives[i] })
	}
	first(len(cl.completionObjectives), func(i int) Micros { return j.arrival + cl.completionObjectives[i] - est })
	if j.spec.DeadlineS != nil {
		due := *j.spec.DeadlineS
		first(len(cl.deadlineFactors), func(i int) Micros { return j.arrival + config.Micro(due*cl.deadlineFactors[i]) - est })
	}
	if late {
		at = j.dueAt - est
		if len(cl.waitObjectives)+len(cl.completionObjectives) == 0 && j.spec.DeadlineS == nil {
			late = false // no aim: it takes its turn
		}
	}
	return at, late
}

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

// class is what the core learns about a class of jobs.
type class struct {
	name            string
	runTimeRatio    float64 // actual run time over estimate
	decayedArrivals float64 // decayed count of tasks that arrived
	decayedAt       Micros
	lastArrival     Micros  // when a job last arrived
	sampleJob       *job    // a recent job, for its shape
	meanTasks       float64 // tasks of a job, a mean that forgets
	service         serviceShare
	largeJobService serviceShare // of had, what the largest jobs had
	recentSizes     sizeWindow

	capacity   float64 // CPUs that its jobs have between them
	capacityAt Micros

	// what the aims ask for, the strictest first
	waitObjectives       []Micros
	completionObjectives []Micros
	deadlineFactors      []float64 // of the deadline
}

// memory of the arrival rate.
const arrivalDecayTime = 120 * second

func (c *class) recordArrival(now Micros, tasks float64) {
	c.decay(now)
	c.decayedArrivals += tasks
	if c.meanTasks == 0 {
		c.meanTasks = tasks
	}
	c.meanTasks += 0.1 * (tasks - c.meanTasks)
}

func (c *class) decay(now Micros) {
	if now > c.decayedAt {
		c.decayedArrivals *= math.Exp(-float64(now-c.decayedAt) / float64(arrivalDecayTime))
		c.decayedAt = now
	}
}

// arrivalRate is the rate at which tasks arrive. When no job has come for a while, a
// rate of more than three in that while can be excluded (with 95% confidence, for
// independent arrivals): machines are not kept for work that has ceased to come.
func (c *class) arrivalRate(now Micros) float64 {
	c.decay(now)
	rate := c.decayedArrivals / (float64(arrivalDecayTime) / float64(second))
	if c.lastArrival > 0 && now > c.lastArrival {
		rate = min(rate, 3*max(1, c.meanTasks)*float64(second)/float64(now-c.lastArrival))
	}
	return rate
}

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

	usedByRank           [4]resourceUse // of what is taken, by the jobs' priority
	passIndex            int            // in this pass: its place among the open machines, if it is one
	claimedByRank        int            // in this pass: the priority of a gang that would clear it at once
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

// Core is the scheduler's state.
type Core struct {
	settings         *config.Settings
	now              Micros
	sequence         termSequence
	termStart        Micros // start of this term
	resumedAt        Micros // end of the last standstill
	machineTypes     map[string]*wire.MachineType
	jobs             map[string]*job
	machines         map[string]*machine
	returnedMachines map[string]Micros // machines whose return was confirmed, and when
	teams            map[string]*team
	classes          map[string]*class
	lastProgressJob  string   // the job whose progress was last handed out
	sortedClasses    []*class // the classes by name; nil when one came or went

	lease                Micros
	preemptAfter         Micros
	preemptionPolicy     string
	firstComeFirstServed bool // first come, first served

	machinesByName []*machine // all, by name
	lastPass       *pass
	gangsPlannedAt Micros // when it was last decided what is kept for gangs
	passNeeded     bool   // something happened that a pass may use

	ledger            ledger
	cordons           []dynconfig.Cordon
	generation        uint64 // version of the configuration's generation that decisions are made by
	fairnessUpdatedAt Micros // when it was last found out who is behind
	placementsByRank  [4]int // placements by their jobs' rank

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
	peerContacts    map[string]Micros       // what other controllers heard of machines not yet known here

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
		machineTypes: map[string]*wire.MachineType{}, jobs: map[string]*job{}, machines: map[string]*machine{}, returnedMachines: map[string]Micros{},
		teams: map[string]*team{}, classes: map[string]*class{},
		ledger:        newLedger(),
		outOfCapacity: map[string]Micros{}, bootOutcomes: map[string][]bootOutcome{}, pendingScaleOut: map[string]int{},
		lease:        config.Micro(set.Deployment.Workers.LeaseS),
		preemptAfter: config.Micro(*set.Operator.EvictAfterS), preemptionPolicy: set.Operator.Eviction, firstComeFirstServed: set.Operator.Order == config.OrderArrival,
		writeGBPerS:  *set.Operator.CheckpointMBS / 1000,
		readGBPerS:   *set.Operator.CheckpointMBS / 1000,
		log:          log,
		peerContacts: map[string]Micros{},
	}
	c.lastPass = emptyPass(c)
	c.detector = failuredomain.New(failuredomain.Params{Zone: set.Zone, Began: now, Report: config.Micro(set.Deployment.Workers.ReportS),
		ListLag: config.Micro(set.Deployment.Cloud.ListLagS)})
	for _, t := range set.Deployment.Teams {
		c.teams[t.Name] = &team{Team: t}
	}
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

// jobsByID returns the jobs that f selects, by id. The same events give the same effects
// in the same order, so that a run can be played again: where the order shows, maps are
// not read as they come.
func (c *Core) jobsByID(f func(*job) bool) (out []*job) {
	for _, j := range c.jobs {
		if f(j) {
			out = append(out, j)
		}
	}
	byID(out)
	return out
}

func byID(js []*job) {
	slices.SortFunc(js, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
}

// classesByName returns the classes by name: sums of what they need round alike each time.
func (c *Core) classesByName() []*class {
	if c.sortedClasses == nil {
		c.sortedClasses = slices.SortedFunc(maps.Values(c.classes), func(a, b *class) int { return cmp.Compare(a.name, b.name) })
	}
	return c.sortedClasses
}

// Token is the term's fencing token.
func (c *Core) Token() uint64 { return c.sequence.token }

// maxClasses bounds what is remembered of classes of jobs.
const maxClasses = 500

func (c *Core) classOf(name string) *class {
	cl := c.classes[name]
	if cl == nil {
		if len(c.classes) >= maxClasses {
			// Users choose the names: forget those that nothing runs under.
			used := map[string]bool{}
			for _, j := range c.jobs {
				used[j.spec.Class] = true
			}
			for n := range c.classes {
				if !used[n] {
					delete(c.classes, n)
				}
			}
			c.sortedClasses = nil
		}
		cl = &class{name: name, runTimeRatio: 1, decayedAt: c.now}
		for _, o := range c.settings.Deployment.Objectives {
			if o.Class != name {
				continue
			}
			switch o.Kind {
			case "wait":
				cl.waitObjectives = append(cl.waitObjectives, config.Micro(o.WithinS))
			case "finished":
				cl.completionObjectives = append(cl.completionObjectives, config.Micro(o.WithinS))
			case "deadline":
				cl.deadlineFactors = append(cl.deadlineFactors, max(1, o.Times))
			}
		}
		if len(cl.deadlineFactors) == 0 {
			cl.deadlineFactors = []float64{1} // a deadline is one without an aim too
		}
		slices.Sort(cl.waitObjectives)
		slices.Sort(cl.completionObjectives)
		slices.Sort(cl.deadlineFactors)
		c.classes[name] = cl
		c.sortedClasses = nil
	}
	return cl
}
