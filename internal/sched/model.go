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

type taskKey struct {
	job  *job
	task int32
}

// placement is a task that may be on a machine. It counts against quota, room
// and place rules from before its launch is stored until proof that it is gone.
type placement struct {
	taskKey
	attempt uint64
	m       *machine
	session uint64 // of the worker, when it was placed
	entry   *entry // where it is stored

	stored  bool // the write-ahead record is durable
	loaded  bool // from a record of an earlier term: never launched again
	seen    bool // a report showed it
	sent    bool // its launch went with an answer, which may have arrived
	state   string
	placed  Micros
	running Micros // when it was first seen running, 0 before

	stop       bool   // to be stopped
	checkpoint bool   // stop with enough grace to save
	queued     bool   // its checkpoint waits for another one on the machine
	stopSent   Micros // when the stop was first given
	evictee    bool   // stopped to make room
}

func (p *placement) order() wire.Order {
	grace := 0.0
	if p.checkpoint {
		grace = p.job.spec.SaveS + 1
	}
	return wire.Order{Op: wire.Stop, Task: wire.TaskName(p.job.id, p.task), Attempt: p.attempt, GraceS: &grace}
}

type job struct {
	id      string
	spec    wire.Job
	rank    int
	arrival Micros
	due     Micros
	team    *team
	class   *class
	large   bool // among the largest of its class

	done       []uint64
	doneCount  int
	dirty      map[int]bool // progress chunks not yet stored
	storedDone []uint64     // what is stored, so what may be cleared
	placements map[*placement]struct{}
	count      map[int32]int // placements per task
	retry      []int32
	cursor     int32

	notBefore  Micros
	rounds     int             // failures in a row, those of one start counted once
	errorHosts map[string]bool // machines on which it failed since it last did well
	failAfter  Micros          // the longest that a task ran before it failed
	waitSince  Micros          // since when something waits, 0 if nothing does
	leftAt     Micros          // when the last task that ran left its machine
	evictions  int
	imminent   Micros // a gang: since when clearing lower priorities would let it start, 0 if it would not
	within     bool   // it fits its team's guarantee with the team's earlier jobs
	noRoomTill Micros // nothing could be cleared for it; not tried again before
	first      Micros // when a task was first seen running
	placedAt   Micros // when first no task of it waited for a place
	guaranteed bool   // it was within its team's guarantee when it was first looked at
	looked     bool
	savedRun   Micros // progress saved by stops, per task at most

	// gang
	attempt uint64
	started bool // a task of the attempt was seen running
	broken  bool // the attempt can't complete any more

	finishing bool   // all tasks done, end not stored yet
	ended     string // final state, stored
}

func (j *job) has(set []uint64, t int32) bool { return set[t>>6]&(1<<(t&63)) != 0 }
func (j *job) isDone(t int32) bool            { return j.has(j.done, t) }
func (j *job) gang() bool                     { return j.spec.Shape == wire.Gang }
func (j *job) over() bool                     { return j.ended != "" || j.finishing }

// ChunkTasks is the number of tasks whose completion one stored value covers;
// with it the largest job's progress stays far below any value limit.
const ChunkTasks = 4096

func (j *job) chunk(i int) string {
	lo, hi := i*ChunkTasks/64, min((i+1)*ChunkTasks/64, len(j.done))
	b := make([]byte, 0, (hi-lo)*8)
	for _, w := range j.done[lo:hi] {
		for k := 0; k < 8; k++ {
			b = append(b, byte(w>>(8*k)))
		}
	}
	return base64.StdEncoding.EncodeToString(b)
}

func (j *job) setChunk(i int, text string) {
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return
	}
	for k, x := range b {
		w := i*ChunkTasks/64 + k/8
		if w < len(j.done) {
			j.done[w] |= uint64(x) << (8 * (k % 8))
		}
	}
}

// pending is the number of tasks that are neither done nor possibly placed.
func (j *job) pending() int {
	if j.over() {
		return 0
	}
	return j.spec.Tasks - j.doneCount - len(j.count)
}

// next returns a task to place without taking it.
func (j *job) next() (int32, bool) {
	for len(j.retry) > 0 {
		t := j.retry[len(j.retry)-1]
		if !j.isDone(t) && j.count[t] == 0 {
			return t, true
		}
		j.retry = j.retry[:len(j.retry)-1]
	}
	for int(j.cursor) < j.spec.Tasks {
		if !j.isDone(j.cursor) && j.count[j.cursor] == 0 {
			return j.cursor, true
		}
		j.cursor++
	}
	return 0, false
}

// estimate is the expected run time of a task, corrected by what the class's
// tasks took compared with their owners' estimates.
func (j *job) estimate() Micros {
	return Micros(j.spec.EstimateS * j.class.ratio * float64(second))
}

// start is when the job should start at the latest, as far as the aims say, and
// whether any aim can still be met. Of several aims of a kind the first that can
// still be met counts: one that is missed asks for nothing any more, and must not
// go before others. work is how long the job would keep all machines.
func (j *job) start(now, work Micros) (at Micros, late bool) {
	est := j.estimate()
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
	if j.first == 0 || !j.gang() {
		first(len(cl.waits), func(i int) Micros { return j.arrival + cl.waits[i] })
	}
	first(len(cl.finishes), func(i int) Micros { return j.arrival + cl.finishes[i] - est })
	if j.spec.DeadlineS != nil {
		due := *j.spec.DeadlineS
		first(len(cl.times), func(i int) Micros { return j.arrival + config.Micro(due*cl.times[i]) - est })
	}
	if late {
		at = j.due - est
		if len(cl.waits)+len(cl.finishes) == 0 && j.spec.DeadlineS == nil {
			late = false // no aim: it takes its turn
		}
	}
	return at, late
}

type team struct {
	config.Team
	had        served
	cpus, gpus float64 // in use, or possibly so

	// of these, what has been told to stop
	leavingCPUs, leavingGPUs float64
}

const eps = 1e-6

// allows says whether the team's limit leaves room; 0 means no limit.
func (t *team) allows(cpus, gpus float64) bool {
	return (t.CPUsMax == 0 || t.cpus+cpus <= t.CPUsMax+eps) && (t.GPUsMax == 0 || t.gpus+gpus <= t.GPUsMax+eps)
}

// guarantees says whether the team has a guarantee that this use stays within.
func (t *team) guarantees(cpus, gpus float64) bool {
	if t.CPUs == 0 && t.GPUs == 0 {
		return false
	}
	return (t.CPUs == 0 || t.cpus+cpus <= t.CPUs+eps) && (t.GPUs == 0 || t.gpus+gpus <= t.GPUs+eps)
}

// beyond says whether the team uses more than its guarantee, what is leaving
// apart.
func (t *team) beyond() bool {
	return (t.CPUs > 0 && t.cpus-t.leavingCPUs > t.CPUs+eps) || (t.GPUs > 0 && t.gpus-t.leavingGPUs > t.GPUs+eps) || (t.CPUs == 0 && t.GPUs == 0)
}

// class is what the core learns about a class of jobs.
type class struct {
	name     string
	ratio    float64 // actual run time over estimate
	arrivals float64 // decayed count of tasks that arrived
	at       Micros
	last     Micros  // when a job last arrived
	sample   *job    // a recent job, for its shape
	size     float64 // tasks of a job, a mean that forgets
	had      served
	large    served // of had, what the largest jobs had
	sizes    sizes

	capacity   float64 // CPUs that its jobs have between them
	capacityAt Micros

	// what the aims ask for, the strictest first
	waits    []Micros
	finishes []Micros
	times    []float64 // of the deadline
}

// memory of the arrival rate.
const rateMemory = 120 * second

func (c *class) arrive(now Micros, tasks float64) {
	c.decay(now)
	c.arrivals += tasks
	if c.size == 0 {
		c.size = tasks
	}
	c.size += 0.1 * (tasks - c.size)
}

func (c *class) decay(now Micros) {
	if now > c.at {
		c.arrivals *= math.Exp(-float64(now-c.at) / float64(rateMemory))
		c.at = now
	}
}

// perSecond is the rate at which tasks arrive. When no job has come for a while, a
// rate of more than three in that while can be excluded (with 95% confidence, for
// independent arrivals): machines are not kept for work that has ceased to come.
func (c *class) perSecond(now Micros) float64 {
	c.decay(now)
	rate := c.arrivals / (float64(rateMemory) / float64(second))
	if c.last > 0 && now > c.last {
		rate = min(rate, 3*max(1, c.size)*float64(second)/float64(now-c.last))
	}
	return rate
}

type machine struct {
	host, addr string
	kind       *wire.MachineType
	zone       string
	spot       bool

	born      Micros // when it was rented, as far as known
	listed    Micros // when a list last showed it
	up        bool   // a report came, ever
	booting   bool   // it was seen to boot in this term, and its boot has not ended
	confirmed bool   // a report carried this leader's token in this session
	session   uint64
	seq       uint64
	lastHello Micros // when the newest report came
	told      Micros // when another controller last heard it, 0 if none said so
	running   Micros // the latest moment of which a list shows it running
	verdict   failuredomain.Verdict
	pushed    Micros            // when the token was last sent straight to it
	cordon    *dynconfig.Cordon // that keeps new tasks off, as of the last pass
	recallAt  Micros            // when the cloud takes it, 0 if unknown
	returning bool
	lost      bool // silent beyond its lease
	failed    bool
	bad       bool
	errJobs   map[*job]bool // that failed on it since a task last completed there
	avoid     Micros        // place nothing before
	slow      float64       // how its tasks' run times compare with the usual, 1 is usual

	byRank         [4]use // of what is taken, by the jobs' priority
	at             int    // in this pass: its place among the open machines, if it is one
	wantedBy       int    // in this pass: the priority of a gang that would clear it at once
	tasks          map[taskKey][]*placement
	placed         []*placement // all of them, the oldest first
	n              int
	cpus, gpus     float64
	mem            float64
	images         map[string]Micros // images believed present, by last use
	idleSince      Micros
	gpusIdle       Micros // since when no task is on it that a graphics machine is kept for
	reserved       *job
	reservedTill   Micros
	heldAt         Micros // when it was last decided that it is kept
	reservedFor    Micros // when that job is expected to use it, 0 at once
	checkpoints    int
	fetchingImages map[string]Micros
}

// use is what tasks take of a machine.
type use struct{ cpus, gpus, mem float64 }

// below is what is taken by jobs of a lower rank.
func (m *machine) below(rank int) (u use) {
	for _, x := range m.byRank[:rank] {
		u.cpus, u.gpus, u.mem = u.cpus+x.cpus, u.gpus+x.gpus, u.mem+x.mem
	}
	return u
}

// each calls f with the machine's placements, the oldest first. f may free any of them:
// free never changes a list that is being read.
func (m *machine) each(f func(*placement)) {
	for _, p := range m.placed {
		if _, ok := p.job.placements[p]; ok {
			f(p)
		}
	}
}

func (m *machine) find(k taskKey, attempt uint64) *placement {
	for _, p := range m.tasks[k] {
		if p.attempt == attempt {
			return p
		}
	}
	return nil
}

// Core is the scheduler's state.
type Core struct {
	set        *config.Settings
	now        Micros
	token      uint64
	seq        uint64
	since      Micros // start of this term
	woke       Micros // end of the last standstill
	types      map[string]*wire.MachineType
	jobs       map[string]*job
	machines   map[string]*machine
	gone       map[string]Micros // machines whose return was confirmed, and when
	teams      map[string]*team
	classes    map[string]*class
	progressed string   // the job whose progress was last handed out
	sorted     []*class // the classes by name; nil when one came or went

	lease      Micros
	evictAfter Micros
	eviction   string
	byArrival  bool // first come, first served

	order   []*machine // all, by name
	open    []*machine // those that may get launches in this pass
	roomy   []*machine // of these, those with room for anything that waits
	cleared int        // jobs that looked for victims in this pass
	calm    bool       // enough machines are known in this pass to evict on others
	planned Micros     // when it was last decided what is kept for gangs
	changed bool       // something happened that a pass may use

	// the ledger
	entries    map[string]*entry
	spent      []*entry            // nothing of them is left
	fragile    map[string]struct{} // they name returned machines
	considered []considered        // of the machine that was looked at last, kept to be used again
	cordons    []dynconfig.Cordon
	generation uint64       // version of the configuration's generation that decisions are made by
	strays     []*placement // found on machines, not in any entry
	kept       Micros       // when the books were last kept
	reckoned   Micros       // when it was last found out who is behind
	ranks      [4]int       // placements by their jobs' rank

	ends   []string
	forget []Forgotten
	direct []Direct
	commit *Commit
	staged *Commit // the next part of a batch of which one is stored
	turn   *job    // a gang that needs a batch for itself, served first in the next pass
	gpus   gpuView
	// as a pass sees them
	ranking   []*class                 // classes above the lowest priority whose jobs arrive
	claimants []*job                   // jobs that wait within their teams' guarantees
	ordinary  map[string]bool          // types wanted by waiting jobs that may not use spot machines
	refused   map[string]Micros        // type/zone/spot without capacity, until
	boots     map[string][]bootOutcome // by type, the latest last
	hiring    map[string]int           // machines asked for, by type
	bwWrite   float64                  // GB/s
	bwRead    float64
	log       func(msg string, args ...any)
	listedAt  Micros
	domains   *failuredomain.Detector
	seen      []failuredomain.Machine // of the last survey
	told      map[string]Micros       // what other controllers heard of machines not yet known here

	Stats Stats
}

// Stats counts what the core did.
type Stats struct {
	Launches, Evictions, Checkpoints, Kills, LeasesLost, Errors, Hired, Returned int
}

// Direct is a command to be sent straight to a worker.
type Direct struct {
	Addr   string
	Orders wire.DirectOrders
}

// New returns the core of a term. The token rises with every term.
func New(set *config.Settings, token uint64, now Micros, cat wire.Catalog, log func(string, ...any)) *Core {
	c := &Core{
		set: set, now: now, since: now, token: token,
		types: map[string]*wire.MachineType{}, jobs: map[string]*job{}, machines: map[string]*machine{}, gone: map[string]Micros{},
		teams: map[string]*team{}, classes: map[string]*class{},
		entries: map[string]*entry{}, fragile: map[string]struct{}{}, ordinary: map[string]bool{},
		refused: map[string]Micros{}, boots: map[string][]bootOutcome{}, hiring: map[string]int{},
		lease:      config.Micro(set.Deployment.Workers.LeaseS),
		evictAfter: config.Micro(*set.Operator.EvictAfterS), eviction: set.Operator.Eviction, byArrival: set.Operator.Order == config.OrderArrival,
		bwWrite: *set.Operator.CheckpointMBS / 1000,
		bwRead:  *set.Operator.CheckpointMBS / 1000,
		log:     log,
		told:    map[string]Micros{},
	}
	c.domains = failuredomain.New(failuredomain.Params{Zone: set.Zone, Began: now, Report: config.Micro(set.Deployment.Workers.ReportS),
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
		if old := c.types[t.Name]; old != nil {
			*old = t
		} else {
			c.types[t.Name] = &t
		}
	}
}

// Token is the term's token.
// inOrder returns the jobs that f selects, by id. The same events give the same effects
// in the same order, so that a run can be played again: where the order shows, maps are
// not read as they come.
func (c *Core) inOrder(f func(*job) bool) (out []*job) {
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

// ordered returns the job's placements by task and attempt.
func (j *job) ordered() []*placement {
	ps := slices.Collect(maps.Keys(j.placements))
	byTask(ps)
	return ps
}

func byTask(ps []*placement) {
	slices.SortFunc(ps, func(a, b *placement) int {
		return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt), cmp.Compare(a.m.host, b.m.host))
	})
}

// eachClass returns the classes by name: sums of what they need round alike each time.
func (c *Core) eachClass() []*class {
	if c.sorted == nil {
		c.sorted = slices.SortedFunc(maps.Values(c.classes), func(a, b *class) int { return cmp.Compare(a.name, b.name) })
	}
	return c.sorted
}

func (c *Core) Token() uint64 { return c.token }

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
			c.sorted = nil
		}
		cl = &class{name: name, ratio: 1, at: c.now}
		for _, o := range c.set.Deployment.Objectives {
			if o.Class != name {
				continue
			}
			switch o.Kind {
			case "wait":
				cl.waits = append(cl.waits, config.Micro(o.WithinS))
			case "finished":
				cl.finishes = append(cl.finishes, config.Micro(o.WithinS))
			case "deadline":
				cl.times = append(cl.times, max(1, o.Times))
			}
		}
		if len(cl.times) == 0 {
			cl.times = []float64{1} // a deadline is one without an aim too
		}
		slices.Sort(cl.waits)
		slices.Sort(cl.finishes)
		slices.Sort(cl.times)
		c.classes[name] = cl
		c.sorted = nil
	}
	return cl
}
