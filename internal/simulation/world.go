// Package simulation simulates the environment of the scheduler's core for tests: a durable store, a cloud,
// workers with their leases, and a network that delays and loses messages. A run is determined by one seed, and
// the rules of the protocol are checked after every step.
package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"dalefront/internal/config"
	"dalefront/internal/controller"
	"dalefront/internal/emulator"
	"dalefront/internal/sched"
	"dalefront/wire"
)

const second = config.Second

// worker is a worker's connection to the controllers. Package emulator simulates what happens on the machine,
// as in tests with real controllers. All times are in microseconds.
type worker struct {
	*emulator.Machine
	session             uint64 // the machine's incarnation at the last step
	awaitingAnswer      bool   // whether a heartbeat is in flight
	nextReport          int64  // time at which the next heartbeat is due
	answerDeadline      int64  // time at which the worker stops waiting for the response to the heartbeat in flight
	nonce               int    // nonce of the heartbeat in flight
	lastContact         int64  // time at which a heartbeat of the worker last reached the leader
	peerRenewsUntil     int64  // until this time a peer, not the leader, renews the worker's lease
	answersLostUntil    int64  // until this time no response or command reaches the worker
	reportsBlockedUntil int64  // until this time no heartbeat of the worker reaches a controller; commands reach the worker
}

// message is a heartbeat on its way to the leader.
type message struct {
	arrival    int64
	report     wire.Heartbeat
	sentAt     int64
	nonce      int
	worker     *worker
	answerLost bool // whether the response to the heartbeat is lost
}

// commandAnswer is a worker's response to a direct command, on its way to the core that sent the command.
type commandAnswer struct {
	at     int64
	core   *sched.Core
	report wire.Heartbeat
}

// jobEvent is a delayed event of a job: the watch event that tells the leader that the job has ended, or the
// deletion of the job's record.
type jobEvent struct {
	id string
	at int64
}

// machineList is the cloud's list of machines as of a point in time.
type machineList struct {
	at    int64
	hosts []wire.Machine
}

// scaleOutAnswer is the cloud's response to a scale-out request, on its way to the core that sent the request.
type scaleOutAnswer struct {
	at      int64
	core    *sched.Core
	request wire.ScaleOutRequest
	hosts   []string
}

// FailingClass is the class of jobs that fail on every machine.
const FailingClass = "broken"

// World is the simulated environment and the core under test. All times are in microseconds.
type World struct {
	Rng     *rand.Rand
	Now     int64
	Core    *sched.Core
	Set     *config.Settings
	Catalog wire.Catalog

	fleet          *emulator.Fleet
	workers        map[string]*worker
	inFlight       []message
	commandAnswers []commandAnswer
	duplicates     []message // copies of heartbeats that arrive at the next leader
	nonce          int

	// the durable store
	token       uint64
	revision    uint64
	jobs        map[string]wire.Job
	submittedAt map[string]int64
	ends        map[string]string
	progress    map[string]map[int]string
	ledger      map[string]sched.LedgerEntry

	config           configGeneration
	configDeliveries []configDelivery

	commit          *sched.Commit
	commitAnswerAt  int64
	commitApplied   bool // the transaction was applied, and the response is on its way
	pendingDeletes  []jobEvent
	watchEvents     []jobEvent
	recentLists     []machineList
	scaleOutAnswers []scaleOutAnswer

	deletedJobs          map[string]bool
	partitions           map[string]*partition
	soleController       bool                       // whether the leader is the only controller
	faultyMachines       map[*emulator.Machine]bool // machines on which every task fails
	Log                  func(...any)               // if set, called with the core's log messages
	NoFaultyMachines     bool                       // whether to add no machines on which every task fails
	MaxTxnTime           int64                      // longest duration of a transaction
	MaxReportDelay       int64                      // longest delay of a heartbeat that no fault delays
	DuplicateOneIn       int                        // if n > 0, one heartbeat in n is duplicated, plus one in 40 by random faults
	FaultsEnded          bool                       // whether all faults have ended
	TxnAnswerLate        func() bool                // if set, reports whether the response to an applied transaction is late
	NoRandomFaults       bool                       // whether only the faults that the test injects occur
	MaxMachines          int                        // number of machines of each type that the cloud offers, half of them in each zone
	BusyMachinesReturned int                        // number of machines returned while tasks ran on them
	TasksLost            int                        // number of running tasks lost to an expired lease or a returned machine
	TaskStarts           int                        // number of task starts
	FailedStarts         int                        // number of task starts that failed at once
	JobsDone             int                        // number of jobs that are done
	ConfigGenerations    int                        // number of generations of the configuration that were put in force
	StaleBatches         int                        // number of launch batches decided under a configuration no longer in force
	Violations           []string                   // violations of the protocol's rules
	lastJob              int                        // number of the last job that the test submitted
	fleetViolationsSeen  int                        // number of the fleet's violations that are already in Violations
}

// New returns a world with the given settings and catalog.
func New(seed uint64, set *config.Settings, cat wire.Catalog) *World {
	w := &World{MaxMachines: 12, MaxTxnTime: 400_000, MaxReportDelay: 20_000,
		Rng: rand.New(rand.NewPCG(seed, 1)), Now: 1_000 * second, Set: set, Catalog: cat,
		workers: map[string]*worker{}, jobs: map[string]wire.Job{}, submittedAt: map[string]int64{}, ends: map[string]string{},
		progress: map[string]map[int]string{}, ledger: map[string]sched.LedgerEntry{},
		deletedJobs: map[string]bool{}, partitions: map[string]*partition{}, faultyMachines: map[*emulator.Machine]bool{},
	}
	w.fleet = emulator.NewFleet(seed, set, cat, 1<<20, emulator.SimulatedAddr)
	w.fleet.Step(w.Now)
	w.fleet.RejectsLaunch = func() bool { return w.Rng.IntN(60) == 0 }
	w.fleet.TaskFails = func(m *emulator.Machine, j *wire.Job, starts bool) bool {
		if !starts {
			return !w.NoRandomFaults && w.Rng.IntN(3000) == 0
		}
		if fails := j.Class == FailingClass || w.faultyMachines[m]; !fails {
			return false
		}
		w.FailedStarts++
		return true
	}
	w.Takeover()
	return w
}

// Takeover starts another leader, which reads its state from the store alone. The previous leader's memory
// and its requests in flight are lost. Heartbeats in the network remain.
func (w *World) Takeover() {
	w.revision++
	w.token = w.revision
	if w.commit != nil && !w.commitApplied && w.Rng.IntN(2) == 0 {
		w.apply(w.commit) // the transaction was applied before the takeover
		w.revision++
		w.token = w.revision
	}
	w.commit, w.commitApplied = nil, false
	for _, d := range w.pendingDeletes {
		if w.Rng.IntN(2) == 0 {
			w.deleteJob(d.id) // the deletion was applied before the takeover
		}
	}
	w.pendingDeletes = nil
	c := sched.New(w.Set, w.token, w.Now, w.Catalog, func(msg string, args ...any) {
		if w.Log != nil {
			w.Log(fmt.Sprintf("%.3f s: %s", float64(w.Now)/1e6, msg), args)
		}
	})
	w.configDeliveries = nil
	w.applyConfig(c, w.config) // the new leader has read the configuration from the store with everything else
	for _, id := range sortedKeys(w.jobs) {
		c.AddJob(w.jobs[id], w.submittedAt[id], w.Now)
	}
	for _, id := range sortedKeys(w.progress) {
		for i, t := range w.progress[id] {
			c.SetProgress(id, i, t)
		}
	}
	c.RecoverLedger(w.ledger)
	for _, id := range sortedKeys(w.jobs) {
		if st := w.ends[id]; st != "" {
			c.JobEnded(id, st, w.Now)
		}
	}
	for _, h := range sortedKeys(w.workers) {
		if k := w.workers[h]; k.lastContact > 0 && w.Rng.IntN(4) > 0 {
			c.RecordPeerContact(h, k.lastContact) // a peer had received a heartbeat of the worker
		}
	}
	w.Core = c
	for _, m := range w.duplicates { // each copy arrives when the new leader starts, or up to 3 s later
		m.arrival = w.Now + int64(w.Rng.IntN(2)*w.Rng.IntN(int(3*second)))
		w.inFlight = append(w.inFlight, m)
	}
	w.duplicates = nil
}

// sortedKeys returns the sorted keys of a map.
func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// apply runs a commit's transaction and reports whether it was applied.
func (w *World) apply(cm *sched.Commit) bool {
	for _, id := range cm.Jobs {
		if w.ends[id] != "" {
			return false
		}
	}
	if cm.Generation != w.config.version {
		w.StaleBatches++
		return false
	}
	w.checkLaunches(cm)
	w.revision++
	for _, e := range cm.Entries {
		w.ledger[e.Name] = e.LedgerEntry
	}
	for _, n := range cm.Drop {
		delete(w.ledger, n)
	}
	return true
}

// checkLimits checks a batch's transaction against the limits of the state service, which would reject a larger
// transaction on every attempt.
func (w *World) checkLimits(cm *sched.Commit) {
	txn := controller.CommitTxn(cm, wire.Condition{Key: "term", Version: w.token})
	for i := range cm.Jobs { // in the worst case each job has its own manifest
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: fmt.Sprintf("a/m/%02x", i), Version: w.revision})
	}
	if err := w.Set.TxnLimits().Check(txn); err != nil {
		w.violation("transaction exceeds the limits: %v", err)
	}
}

// Boot adds a machine.
func (w *World) Boot(typ, zone string, spot bool) { w.boot(typ, zone, spot) }

// boot adds a machine and returns its worker, whose first heartbeat is due within a second.
func (w *World) boot(typ, zone string, spot bool) *worker {
	k := &worker{Machine: w.fleet.Boot(typ, zone, spot), nextReport: w.Now + int64(w.Rng.IntN(int(second)))}
	w.workers[k.View().Host] = k
	return k
}

// Submit accepts a job.
func (w *World) Submit(j wire.Job) {
	w.jobs[j.ID], w.submittedAt[j.ID] = j, w.Now
	w.fleet.Upload(j)
	w.Core.AddJob(j, w.Now, w.Now)
}

// Cancel cancels a job that has not ended.
func (w *World) Cancel(id string) {
	if w.ends[id] == "" {
		w.ends[id] = wire.JobCancelled // the user is told of it only once the job's record is deleted
		w.watchEvents = append(w.watchEvents, jobEvent{id, w.Now + int64(w.Rng.IntN(int(4*second)))})
	}
}

// Active returns the IDs of the jobs that have not ended.
func (w *World) Active() []string {
	var out []string
	for _, id := range sortedKeys(w.jobs) {
		if w.ends[id] == "" {
			out = append(out, id)
		}
	}
	return out
}

// violation records that a rule of the protocol was violated.
func (w *World) violation(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%.3f s: ", float64(w.Now)/1e6)+fmt.Sprintf(format, args...))
}

// Kill kills a random machine.
func (w *World) Kill() {
	if hs := sortedKeys(w.workers); len(hs) > 0 {
		w.workers[hs[w.Rng.IntN(len(hs))]].Die()
	}
}

// Step advances the time by 1 to 100 ms, runs all events that are due and checks the rules.
func (w *World) Step() {
	w.advance()
	w.deliverReports()
	w.leaderStep()
	w.CollectViolations()
}

// advance advances the time by 1 to 100 ms and runs the machines and their workers.
func (w *World) advance() {
	w.Now += int64(1+w.Rng.IntN(100)) * 1000
	w.fleet.Step(w.Now)
	for _, h := range sortedKeys(w.workers) {
		w.workerStep(w.workers[h])
	}
}

// workerStep sends a worker's next heartbeat when the heartbeat is due.
func (w *World) workerStep(k *worker) {
	v := k.View()
	if v.Dead || !v.Up || w.Now < v.Hung {
		return
	}
	if k.session != v.Session { // the lease expired and a new incarnation began
		k.session, k.nextReport = v.Session, w.Now
	}
	if v.Changed {
		k.nextReport = min(k.nextReport, w.Now+second/2)
	}
	if k.awaitingAnswer && w.Now > k.answerDeadline {
		k.awaitingAnswer = false
		k.nextReport = w.Now + second
	}
	if !k.awaitingAnswer && w.Now >= k.nextReport {
		w.sendReport(k)
	}
}

// sendReport sends a worker's heartbeat, which may be delayed, duplicated or lost.
func (w *World) sendReport(k *worker) {
	w.nonce++
	r := k.Report()
	k.awaitingAnswer, k.answerDeadline, k.nonce = true, w.Now+4*second, w.nonce
	k.nextReport = w.Now + config.Micro(w.Set.Deployment.Workers.HeartbeatIntervalS)
	m := message{arrival: w.Now + int64(w.Rng.IntN(int(w.MaxReportDelay))), report: r, sentAt: w.Now, nonce: w.nonce, worker: k}
	outcome := w.Rng.IntN(40)
	if w.NoRandomFaults {
		outcome = 39
	}
	switch outcome {
	case 0: // delayed, possibly for longer than the worker waits for the response
		m.arrival += int64(w.Rng.IntN(int(30 * second)))
	case 1:
		m.answerLost = true
	case 2:
		return // the heartbeat is lost
	case 3: // for up to 20 s a peer renews the lease under the same token
		k.peerRenewsUntil = w.Now + int64(w.Rng.IntN(int(20*second)))
	}
	if w.DuplicateOneIn > 0 && w.Rng.IntN(w.DuplicateOneIn) == 0 {
		outcome = 4
	}
	switch outcome {
	case 4: // a duplicate arrives later, possibly after the lease time and in another incarnation or under another leader
		duplicate := m
		duplicate.arrival += 2*second + int64(w.Rng.IntN(int(2*config.Micro(w.Set.Deployment.Workers.LeaseS))))
		duplicate.nonce = 0 // no worker waits for the response to the duplicate
		if w.Rng.IntN(2) == 0 {
			w.duplicates = append(w.duplicates, duplicate)
		} else {
			w.inFlight = append(w.inFlight, duplicate)
		}
	case 5: // in one of 24 such cases, responses are lost for up to 30 s while heartbeats arrive
		if w.Rng.IntN(24) == 0 {
			k.answersLostUntil = w.Now + int64(w.Rng.IntN(int(30*second)))
		}
	}
	if w.blockedByPartition(k, m) || w.Now < k.reportsBlockedUntil {
		return
	}
	if w.Now < k.peerRenewsUntil && r.FencingToken > 0 && !w.soleController {
		k.awaitingAnswer = false
		k.Renew()
		return
	}
	w.inFlight = append(w.inFlight, m)
}

// deliverReports delivers the heartbeats that are due to the leader, and the leader's responses to the workers.
func (w *World) deliverReports() {
	slices.SortStableFunc(w.inFlight, func(a, b message) int { return cmp.Compare(a.arrival, b.arrival) })
	for len(w.inFlight) > 0 && w.inFlight[0].arrival <= w.Now {
		m := w.inFlight[0]
		w.inFlight = w.inFlight[1:]
		if m.report.FencingToken > w.Core.Token() {
			continue // the worker's token is newer than the leader's: a real controller responds with 421
		}
		a := w.Core.Heartbeat(&m.report, w.Now)
		k := m.worker
		k.lastContact = w.Now
		v := k.View()
		if m.answerLost || w.Now < k.answersLostUntil || v.Dead || w.Now < v.Hung || w.activePartition(v.Zone) != nil || !k.awaitingAnswer || k.nonce != m.nonce {
			continue
		}
		k.awaitingAnswer = false
		if a.FencingToken > v.Token {
			k.nextReport = min(k.nextReport, w.Now+second/2)
		}
		k.HandleResponse(&a, m.report.Incarnation, m.sentAt)
	}
}

// leaderStep runs one step of the core and executes its effects. Transactions may be delayed or rejected.
func (w *World) leaderStep() {
	c := w.Core
	w.deliverCloudAnswers()
	w.deliverConfig(c)
	for len(w.watchEvents) > 0 && w.watchEvents[0].at <= w.Now {
		id := w.watchEvents[0].id
		w.watchEvents = w.watchEvents[1:]
		c.JobEnded(id, w.ends[id], w.Now)
	}
	if w.commit == nil && w.Rng.IntN(3) == 0 {
		if cm := c.Schedule(w.Now); cm != nil {
			w.checkLimits(cm)
			w.commit, w.commitAnswerAt = cm, w.Now+int64(w.Rng.IntN(int(w.MaxTxnTime)))
			w.commitApplied = w.TxnAnswerLate != nil && w.TxnAnswerLate() && w.apply(cm)
		}
	}
	if w.commit != nil && w.Now >= w.commitAnswerAt {
		cm, stored := w.commit, w.commitApplied
		w.commit, w.commitApplied = nil, false
		if stored || (w.NoRandomFaults || w.Rng.IntN(20) > 0) && w.apply(cm) {
			c.CommitStored(cm, w.Now)
		} else {
			for _, id := range cm.Jobs {
				if w.ends[id] != "" {
					c.JobEnded(id, w.ends[id], w.Now)
				}
			}
			w.applyConfig(c, w.config) // the leader reads the configuration to find which condition failed
			c.CommitRejected(cm, w.Now)
		}
	}
	w.deliverDirectCommands(c)
	left := w.commandAnswers[:0]
	for _, s := range w.commandAnswers {
		if s.core == c && s.at <= w.Now {
			c.CommandAnswered(&s.report, w.Now)
		} else if s.core == c {
			left = append(left, s)
		}
	}
	w.commandAnswers = left
	for _, id := range c.TakeCompletedJobs() {
		if w.ends[id] == "" {
			w.fleet.ObserveStatus(wire.JobStatus{ID: id, Status: wire.JobDone})
			w.ends[id] = wire.JobDone
			w.JobsDone++
		}
		c.JobEnded(id, w.ends[id], w.Now)
	}
	if w.Rng.IntN(10) == 0 {
		for _, ch := range c.ProgressToStore(4) {
			if w.progress[ch.Job] == nil {
				w.progress[ch.Job] = map[int]string{}
			}
			w.progress[ch.Job][ch.Index] = ch.Text
			c.ProgressStored(ch)
		}
	}
	for _, job := range c.TakePurgeable() {
		w.pendingDeletes = append(w.pendingDeletes, jobEvent{job.Job, w.Now + int64(w.Rng.IntN(int(w.MaxTxnTime)))})
		if hosts := w.fleet.MachinesWithJob(job.Job); len(hosts) > 0 {
			w.violation("job purgeable too early: tasks of %s are on %v", job.Job, hosts)
		}
	}
	later := w.pendingDeletes[:0]
	for _, d := range w.pendingDeletes {
		if d.at <= w.Now {
			w.deleteJob(d.id)
		} else {
			later = append(later, d)
		}
	}
	w.pendingDeletes = later
	if w.Rng.IntN(10) == 0 {
		c.DetectFailures(w.Now, w.controllers())
		if back := c.ScaleIn(w.Now, c.IsObserverIsolated(w.Now)); len(back) > 0 {
			for _, h := range back {
				w.returnMachine(h)
			}
			c.MachinesReturned(back, w.Now)
		}
	}
	if w.Rng.IntN(20) == 0 {
		for _, h := range c.ScaleOut(w.Now) {
			var hosts []string
			for i := 0; i < h.Count && w.machineCount(h.Type, h.Zone) < w.MaxMachines/2; i++ {
				k := w.boot(h.Type, h.Zone, h.Spot)
				hosts = append(hosts, k.View().Host)
				if w.Rng.IntN(8) == 0 {
					k.PreventBoot()
				}
				w.faultyMachines[k.Machine] = !w.NoFaultyMachines && w.Rng.IntN(10) == 0
			}
			// Machines may be up before the response that names them arrives.
			w.scaleOutAnswers = append(w.scaleOutAnswers, scaleOutAnswer{w.Now + int64(w.Rng.IntN(int(4*second))), c, h, hosts})
		}
	}
}

// machineCount returns the number of machines of a type in a zone.
func (w *World) machineCount(typ, zone string) (n int) {
	for _, k := range w.workers {
		if v := k.View(); v.Type == typ && v.Zone == zone {
			n++
		}
	}
	return n
}

// deliverDirectCommands delivers a core's direct commands to the workers.
func (w *World) deliverDirectCommands(c *sched.Core) {
	for _, d := range c.TakeDirectCommands() {
		for _, o := range d.Batch.Commands {
			if o.Op != wire.Stop { // direct commands may be executed minutes late, which is safe only for a stop
				w.violation("direct command %s for %s: only a stop may be sent directly", o.Op, o.Task)
			}
		}
		for _, h := range sortedKeys(w.workers) {
			k := w.workers[h]
			if v := k.View(); h+":1" != d.Addr || w.activePartition(v.Zone) != nil || w.Now < k.answersLostUntil || w.Rng.IntN(2) == 0 {
				continue
			}
			if r := w.fleet.Command(d.Addr, &d.Batch); r != nil && w.Rng.IntN(4) > 0 {
				w.commandAnswers = append(w.commandAnswers, commandAnswer{w.Now + int64(w.Rng.IntN(int(2*second))), c, *r})
			}
		}
	}
}

// StallLeader stalls the leader for the given gap in microseconds while everything else continues.
//
// If lost is set and the stall lasts for more than 2 s, the leader loses its leadership and another leader
// takes over. The stalled leader then resumes without noticing the change. Its commands and its requests to return
// machines are still sent, and its writes are rejected.
//
// If lost is not set, the leader is the only controller, so that no peer renews leases during the stall. The
// leader notices the gap when it resumes, and continues to lead.
func (w *World) StallLeader(gap int64, lost bool) {
	old := w.Core
	replaced := false
	w.soleController = !lost
	defer func() { w.soleController = false }()
	for from := w.Now; w.Now < from+gap; w.CollectViolations() {
		w.advance()
		if lost && !replaced && w.Now > from+2*second {
			w.Takeover()
			replaced = true
		}
		if replaced {
			w.deliverReports()
			w.leaderStep()
		}
	}
	if !replaced {
		old.ResumeAfterStall(gap, w.Now)
		return
	}
	for _, h := range sortedKeys(w.workers) {
		v := w.workers[h].View()
		old.Heartbeat(&wire.Heartbeat{Host: h, Addr: h + ":1", Type: v.Type, Zone: v.Zone, Spot: v.Spot, Incarnation: v.Session, Sequence: v.Seq, FencingToken: old.Token()}, w.Now)
	}
	if cm := old.Schedule(w.Now); cm != nil {
		old.CommitRejected(cm, w.Now)
	}
	w.deliverDirectCommands(old)
	back := old.ScaleIn(w.Now, old.IsObserverIsolated(w.Now))
	for _, h := range back[:min(3, len(back))] {
		w.returnMachine(h)
	}
}

// deliverCloudAnswers delivers the cloud's lists of machines and the responses to scale-out requests. The
// lists lag, and a list may be older than the list delivered before it.
func (w *World) deliverCloudAnswers() {
	if w.Rng.IntN(30) == 0 {
		w.recentLists = append(w.recentLists, machineList{w.Now, w.fleet.List()})
	}
	for len(w.recentLists) > 0 && w.Now-w.recentLists[0].at > 2*config.Micro(w.Set.Deployment.Cloud.ListLagS) {
		w.recentLists = w.recentLists[1:]
	}
	if w.Rng.IntN(40) == 0 && len(w.recentLists) > 0 {
		w.Core.MachinesListed(w.recentLists[w.Rng.IntN(len(w.recentLists))].hosts, w.Now)
	}
	left := w.scaleOutAnswers[:0]
	for _, h := range w.scaleOutAnswers {
		switch {
		case h.core != w.Core: // the core that sent the request is gone; its successor finds the machines in the cloud's list
		case h.at > w.Now:
			left = append(left, h)
		default:
			w.Core.ScaledOut(h.request, h.hosts, w.Now)
		}
	}
	w.scaleOutAnswers = left
}

// CollectViolations copies the fleet's counts and the violations that the fleet found since the last call.
// Once all faults have ended, it also checks how long jobs have waited.
func (w *World) CollectViolations() {
	c := w.fleet.Summary().Counts
	w.TaskStarts, w.TasksLost = c.Started, c.Forgotten
	seen := w.fleet.Violations()
	w.Violations = append(w.Violations, seen[w.fleetViolationsSeen:]...)
	w.fleetViolationsSeen = len(seen)
	if w.FaultsEnded {
		w.fleet.CheckWaitingJobs(w.Active())
	}
}

// deleteJob deletes a job's record. If the job was cancelled, its user is told of the cancellation from
// this time on.
func (w *World) deleteJob(id string) {
	delete(w.jobs, id)
	delete(w.progress, id)
	w.deletedJobs[id] = true
	if w.ends[id] == wire.JobCancelled {
		w.fleet.ObserveStatus(wire.JobStatus{ID: id, Status: wire.JobCancelled})
	}
	if hosts := w.fleet.MachinesWithJob(id); len(hosts) > 0 {
		w.violation("record deleted too early: tasks of %s are on %v", id, hosts)
	}
}
