package controller

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"dalefront/internal/kvstore"
	"dalefront/internal/recurring"
	"dalefront/internal/sched"
	"dalefront/wire"
)

// leadership is the time during which this node holds the term: it owns the core and
// the loops that carry out its effects. All its writes are conditional on the
// term key, so they fail once another node holds the term.
type leadership struct {
	controller *Controller
	token      uint64
	lease      *lease
	core       *sched.Core
	ctx        context.Context
	cancel     context.CancelFunc

	// Owned by the owner goroutine.
	stalledFor       int64 // after a standstill of so long: nothing is done until the term is confirmed
	waiters          []waiter
	passes           int // scheduling passes so far
	busyCommit       bool
	busyProgress     bool
	busyStaleKeys    bool
	busyEnds         bool
	busyStatistics   bool
	busyCloud        bool
	busyCancelled    bool
	busyRecur        bool
	recurring        *recurring.Engine // nil without a calendar
	pendingEnds      []string          // jobs whose end is to be stored
	staleKeys        []string          // keys to delete
	cancelledRecords []string          // records of cancelled jobs whose tasks are gone: their users wait
	lastCloud        int64
	lastLog          int64
	lastListed       int64
	lastStatistics   int64
	chunkCounts      map[string]int    // progress chunks stored per job
	chunkVersions    map[string]uint64 // and the version of each key

	revision         uint64 // where the watch begins
	directCommands   chan sched.DirectCommand
	cloudQueue       chan func()
	scaleOutSequence int
}

const (
	// minDirects is how many direct commands may wait to be sent at least. One that finds no room
	// goes with the answer to its worker's next report.
	minDirects = 256
	// minSenders and maxSenders are how many direct commands may be on their way at a time; in
	// between it is one for so many sockets.
	minSenders, maxSenders = 4, 32
	socketsPerSender       = 200
	// cloudQueue is for how many rounds of requests to the cloud there is room; one is asked for
	// at a time.
	cloudQueue = 64
)

// hasResigned says whether this node gave up the term of a token by itself.
func (n *Controller) hasResigned(token uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resignedToken == token
}

// lead loads the stored state and acts as leader until the term is lost.
func (n *Controller) lead(ctx context.Context, token uint64, h *lease) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	plain := ctx
	ctx = kvstore.Urgent(ctx)
	r := &leadership{controller: n, token: token, lease: h, ctx: ctx, cancel: cancel, chunkCounts: map[string]int{}, chunkVersions: map[string]uint64{},
		directCommands: make(chan sched.DirectCommand, max(minDirects, n.settings.Deployment.Resources.Sockets/4)), cloudQueue: make(chan func(), cloudQueue)}
	n.observeTerm(n.settings.Label, token)
	for {
		if h.expired.Load() || ctx.Err() != nil {
			return
		}
		if _, top, _ := n.termView(); top > token {
			return
		}
		err := r.load()
		if err == nil {
			break
		}
		n.log.Info("loading failed, trying again", "err", err)
		time.Sleep(200 * time.Millisecond)
	}
	installed := make(chan bool, 1)
	n.postToOwner(func() {
		n.mu.Lock()
		ok := n.token == token
		if ok {
			n.leadingToken = token
			n.leader = n.settings.Label
		}
		n.mu.Unlock()
		if ok {
			n.leadership = r
			n.config.configureCore() // it may have changed while the state was loaded
			n.passPending = true
		}
		installed <- ok
	})
	if !<-installed {
		return
	}
	n.log.Info("acting as leader", "token", token)
	for _, p := range n.peers {
		go func() { _, _ = p.Heartbeat(ctx, n.newHeartbeat()) }()
	}
	go r.watch()
	go r.compact(plain)
	go r.snapshots(plain)
	go r.storeSnapshots(plain)
	// A worker that is cut off holds a sender up for two seconds.
	for range senders(n.settings.Deployment.Resources.Sockets) {
		go r.sendDirectCommands()
	}
	go r.runCloud()
	check := time.NewTicker(100 * time.Millisecond)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
		case <-check.C:
			if !h.expired.Load() {
				continue
			}
			n.log.Info("term lost", "token", token)
		}
		n.postToOwner(func() { r.stepDown() })
		<-ctx.Done()
		return
	}
}

// suspend stops all acting after a standstill until the term was read again: in
// the meantime another node may have taken it, and reports, returns and silences
// seen from here are as old as the gap. Owner goroutine.
func (r *leadership) suspend(gap int64) {
	n := r.controller
	before := r.stalledFor
	r.stalledFor += gap
	n.mu.Lock()
	if n.leadingToken == r.token {
		n.leadingToken = 0
	}
	n.mu.Unlock()
	n.log.Info("stood still", "for_us", gap, "token", r.token)
	if before == 0 {
		go r.confirmTerm()
	}
}

// confirmTerm reads the term. While the state service is out of reach nobody can have
// taken it, unless it is out of reach for this node alone; peers that know better
// say so within their hello, and until the service answers nothing is started.
func (r *leadership) confirmTerm() {
	n := r.controller
	for tries := 0; r.ctx.Err() == nil; tries++ {
		e, found, err := n.store.Get(r.ctx, termKey)
		switch {
		case err == nil && (!found || e.Version != r.token):
			n.log.Info("term lost", "token", r.token)
			n.postToOwner(func() { r.stepDown() })
			return
		case err == nil || tries >= 12:
			n.postToOwner(r.resume)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// resume goes on after a standstill. Owner goroutine.
func (r *leadership) resume() {
	n := r.controller
	if n.leadership != r {
		return
	}
	n.mu.Lock()
	if n.token == r.token {
		n.leadingToken = r.token
	}
	n.mu.Unlock()
	r.core.ResumeAfterStall(r.stalledFor, n.now())
	r.stalledFor = 0
	n.passPending = true
}

// holdsTerm says whether the state service has just confirmed that the term is this node's: what
// is said to the cloud is, unlike what is stored, not conditional on it. A node that the
// service refuses alone may have been replaced, and a machine that it takes for silent may
// work for the next leader.
func (r *leadership) holdsTerm() bool {
	n := r.controller
	if r.ctx.Err() != nil || !n.ranRecently() {
		return false
	}
	_, err := n.store.Txn(r.ctx, wire.Txn{Conditions: []wire.Condition{r.termCondition()}})
	if errors.Is(err, kvstore.ErrConflict) {
		n.postToOwner(func() { r.stepDown() })
	}
	return err == nil && n.ranRecently()
}

// stepDown stops acting. It runs on the owner goroutine.
func (r *leadership) stepDown() {
	n := r.controller
	if n.leadership == r {
		n.leadership = nil
	}
	n.mu.Lock()
	if n.leadingToken == r.token {
		n.leadingToken = 0
	}
	n.gauges = gauges{}
	n.mu.Unlock()
	r.cancel()
}

// termCondition makes a transaction fail once another node holds the term.
func (r *leadership) termCondition() wire.Condition {
	return wire.Condition{Key: termKey, Version: r.token}
}

func (r *leadership) jobEnded(id string, value []byte) {
	if rec, err := r.controller.decodeEnd(id, value); err == nil {
		r.core.JobEnded(id, rec.Status, r.controller.now())
	}
}

// watch brings accepted and ended jobs.
func (r *leadership) watch() {
	n := r.controller
	from := r.revision
	// Each opening of the watch is a request: in a flood of small jobs every change
	// would cost one.
	every := time.Duration(8 / max(n.settings.Deployment.State.RPS, 1) * float64(time.Second))
	for r.ctx.Err() == nil {
		ev, err := n.store.Changes(r.ctx, queuePrefix, from, 5*time.Second)
		if err != nil {
			if errors.Is(err, kvstore.ErrCompacted) {
				if rev, ok := r.resyncQueue(); ok {
					from = rev
				}
			}
			select {
			case <-r.ctx.Done():
			case <-time.After(200 * time.Millisecond):
			}
			continue
		}
		from = max(from, ev.Revision)
		next := time.Now()
		if len(ev.Events) > 0 {
			next = next.Add(every)
		}
		n.postToOwner(func() {
			if n.leadership != r {
				return
			}
			for _, e := range ev.Events {
				r.applyChange(e.Put, e.Value)
			}
			n.passPending = n.passPending || len(ev.Events) > 0
		})
		time.Sleep(time.Until(next))
	}
}

// applyChange applies one changed key of the queue.
func (r *leadership) applyChange(key string, value []byte) {
	n := r.controller
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		var rec jobRecord
		if wire.Unmarshal(value, &rec) != nil {
			return
		}
		if _, over := n.rememberedFinal(id); !over { // else its record is gone, or its core knows it
			n.setKnown(id)
			r.core.AddJob(rec.Job, rec.Arrival, n.now())
		}
	} else if id, ok := strings.CutPrefix(key, endPrefix); ok {
		r.jobEnded(id, value)
	}
}

// resyncQueue reads the queue again after the watch fell too far behind.
func (r *leadership) resyncQueue() (uint64, bool) {
	n := r.controller
	jobs, rev, err := n.store.List(r.ctx, jobPrefix)
	if err != nil {
		return 0, false
	}
	ends, err := n.endsOf(r.ctx, jobs)
	if err != nil {
		return 0, false
	}
	n.postToOwner(func() {
		if n.leadership == r {
			for _, e := range append(jobs, ends...) {
				r.applyChange(e.Key, e.Value)
			}
		}
	})
	return rev, true
}

// schedule schedules and starts what follows from it. Owner goroutine.
func (r *leadership) schedule() {
	n := r.controller
	if r.stalledFor > 0 {
		return
	}
	if !r.busyCommit && n.store.Reachable(3*time.Second) {
		r.passes++
		if cm := r.core.Schedule(n.now()); cm != nil {
			r.busyCommit = true
			go r.commit(cm)
		}
	}
	r.serveWaiters()
	r.dispatchEffects()
}

// serveWaiters answers the reports that waited for launches: those whose
// machines a pass has considered and whose launches are stored.
func (r *leadership) serveWaiters() {
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if r.passes > w.passes && !r.core.HasLaunchInFlight(w.host) {
			w.fresh <- r.core.LaunchCommands(w.host)
		} else if r.passes < w.passes+4 {
			kept = append(kept, w)
		}
	}
	r.waiters = kept
}

func (r *leadership) dispatchEffects() {
	n := r.controller
	for _, d := range r.core.TakeDirectCommands() {
		select {
		case r.directCommands <- d:
		default: // the next report's answer repeats it
		}
	}
	r.pendingEnds = append(r.pendingEnds, r.core.TakeEnds()...)
	if !r.busyEnds && len(r.pendingEnds) > 0 {
		// Half of a transaction: ends leave room for launches.
		k := min(len(r.pendingEnds), max(1, n.settings.Deployment.State.TxnOps/2))
		ids := r.pendingEnds[:k:k]
		r.pendingEnds = r.pendingEnds[k:]
		r.busyEnds = true
		done := make([]int, len(ids))
		for i, id := range ids {
			_, done[i], _, _ = r.core.Counts(id)
		}
		go r.storeEnds(ids, done)
	}
	for _, f := range r.core.TakeForgotten() {
		id := f.Job
		if f.Status == wire.JobCancelled {
			r.cancelledRecords = append(r.cancelledRecords, jobKey(id))
		} else {
			r.staleKeys = append(r.staleKeys, jobKey(id))
		}
		for i := range r.chunkCounts[id] {
			r.staleKeys = append(r.staleKeys, chunkKey(id, i))
			delete(r.chunkVersions, chunkKey(id, i))
		}
		delete(r.chunkCounts, id)
	}
	if k := min(len(r.cancelledRecords), n.settings.Deployment.State.TxnOps); k > 0 && !r.busyCancelled && n.store.Reachable(3*time.Second) {
		keys := r.cancelledRecords[:k:k]
		r.cancelledRecords = r.cancelledRecords[k:]
		r.busyCancelled = true
		go r.deleteCancelled(keys)
	}
}

const (
	progressPart = 10 // of a second's changes that one write of progress may take
	tidyPart     = 6  // the same for a write that deletes what is of no more use
)

// senders is how many direct commands may be on their way at a time.
func senders(sockets int) int { return min(max(minSenders, sockets/socketsPerSender), maxSenders) }

// tick does what time brings: progress, tidying, the fleet. Owner goroutine.
func (r *leadership) tick() {
	n := r.controller
	now := n.now()
	if r.stalledFor > 0 {
		return
	}
	r.schedule()
	reachable := n.store.Reachable(3 * time.Second)
	if !r.busyProgress && reachable {
		if cs := r.core.ProgressToStore(min(n.settings.Deployment.State.TxnOps, max(1, int(n.settings.Deployment.State.WriteRPS/progressPart)))); len(cs) > 0 {
			r.busyProgress = true
			go r.storeProgress(cs, r.progressTxn(cs))
		}
	}
	if !r.busyStaleKeys && reachable && len(r.staleKeys) > 0 {
		k := min(len(r.staleKeys), n.settings.Deployment.State.TxnOps, max(1, int(n.settings.Deployment.State.WriteRPS/tidyPart)))
		keys := r.staleKeys[:k:k]
		r.staleKeys = r.staleKeys[k:]
		r.busyStaleKeys = true
		go r.deleteKeys(keys)
	}
	if reachable {
		r.submitRecurring()
	}
	if !r.busyStatistics && reachable && now-r.lastStatistics >= learnEvery {
		r.busyStatistics, r.lastStatistics = true, now
		go r.storeStatistics(r.core.Statistics(now))
	}
	blind := r.core.Blind(now)
	// Without the state service nobody could take the term, and this node's word
	// still renews leases.
	if blind && len(n.peers) > 0 && reachable {
		n.log.Info("most workers are silent: giving the term up", "token", r.token)
		n.mu.Lock()
		n.resignedToken = r.token
		n.mu.Unlock()
		r.stepDown()
		return
	}
	if !r.busyCloud && now-r.lastCloud >= 1_000_000 {
		r.lastCloud = now
		r.publishStandbys()
		r.scaleFleet(blind)
		r.publishGauges()
	}
	if now-r.lastLog > 10_000_000 {
		r.lastLog = now
		jobs, tasks := r.core.Waiting()
		n.log.Info("leader", "waiting_jobs", jobs, "waiting_tasks", tasks, "stats", fmt.Sprintf("%+v", r.core.Stats))
		n.log.Info("work", n.loopStats.take()...)
		classes, types := r.core.Usages()
		for _, u := range classes {
			n.log.Info("class", "name", u.Name, "tasks", u.Tasks)
		}
		for _, u := range types {
			n.log.Info("machines", "type", u.Name, "up", u.Up, "idle", u.Idle, "kept", u.Reserved, "tasks", u.Tasks, "free_cpus", int(u.Free))
		}
		r.logServiceShares()
		for _, w := range r.core.WaitingJobs(3) {
			n.log.Info("waits", "job", w.Job, "class", w.Class, "team", w.Team, "tasks", w.Tasks, "age_us", w.Age, "why", w.Reason, "room", w.Room, "held", w.Reserved)
		}
	}
}

func (r *leadership) sendDirectCommands() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case d := <-r.directCommands:
			if !r.controller.ranRecently() {
				continue // as old as the standstill; a report's answer repeats it
			}
			r.commandAnswered(r.controller.worker.Orders(r.ctx, d.Addr, d.Batch))
		}
	}
}

// commandAnswered hands the core what a worker said to a direct command: its report, also where it
// refused the command (409).
func (r *leadership) commandAnswered(said wire.Heartbeat, _ error) {
	if said.Host == "" {
		return
	}
	n := r.controller
	n.postToOwner(func() {
		if n.leadership == r && r.stalledFor == 0 {
			r.core.CommandAnswered(&said, n.now())
			n.passPending = n.passPending || r.core.TakePassNeeded()
		}
	})
}
