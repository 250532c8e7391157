package node

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"dalefront/internal/recur"
	"dalefront/internal/sched"
	"dalefront/internal/state"
	"dalefront/wire"
)

// leadership is the time during which this node holds the term: it owns the core and
// the loops that carry out its effects. All its writes are conditional on the
// term key, so they fail once another node holds the term.
type leadership struct {
	n      *Node
	token  uint64
	lease  *lease
	core   *sched.Core
	ctx    context.Context
	cancel context.CancelFunc

	// Owned by the owner goroutine.
	doubt         int64 // after a standstill of so long: nothing is done until the term is confirmed
	waiters       []waiter
	passes        int // scheduling passes so far
	busyCommit    bool
	busyProgress  bool
	busyTidy      bool
	busyEnds      bool
	busyLearned   bool
	busyCloud     bool
	busyCancelled bool
	busyRecur     bool
	recur         *recur.Engine // nil without a calendar
	ends          []string      // jobs whose end is to be stored
	tidy          []string      // keys to delete
	cancelled     []string      // records of cancelled jobs whose tasks are gone: their users wait
	lastCloud     int64
	lastLog       int64
	lastListed    int64
	lastLearned   int64
	chunks        map[string]int    // progress chunks stored per job
	chunkAt       map[string]uint64 // and the version of each key

	revision uint64 // where the watch begins
	directs  chan sched.Direct
	cloudQ   chan func()
	hireSeq  int
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

// resigned says whether this node gave up the term of a token by itself.
func (n *Node) resigned(token uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gaveUp == token
}

// lead loads the stored state and acts as leader until the term is lost.
func (n *Node) lead(ctx context.Context, token uint64, h *lease) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	plain := ctx
	ctx = state.Urgent(ctx)
	r := &leadership{n: n, token: token, lease: h, ctx: ctx, cancel: cancel, chunks: map[string]int{}, chunkAt: map[string]uint64{},
		directs: make(chan sched.Direct, max(minDirects, n.set.Deployment.Resources.Sockets/4)), cloudQ: make(chan func(), cloudQueue)}
	n.learn(n.set.Label, token)
	for {
		if h.dead.Load() || ctx.Err() != nil {
			return
		}
		if _, top, _ := n.view(); top > token {
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
	n.post(func() {
		n.mu.Lock()
		ok := n.token == token
		if ok {
			n.leading = token
			n.leader = n.set.Label
		}
		n.mu.Unlock()
		if ok {
			n.leadership = r
			n.config.configureCore() // it may have changed while the state was loaded
			n.dirty = true
		}
		installed <- ok
	})
	if !<-installed {
		return
	}
	n.log.Info("acting as leader", "token", token)
	for _, p := range n.peers {
		go func() { _, _ = p.Hello(ctx, n.hello()) }()
	}
	go r.watch()
	go r.compact(plain)
	go r.snapshots(plain)
	go r.copies(plain)
	// A worker that is cut off holds a sender up for two seconds.
	for range senders(n.set.Deployment.Resources.Sockets) {
		go r.sendDirects()
	}
	go r.runCloud()
	check := time.NewTicker(100 * time.Millisecond)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
		case <-check.C:
			if !h.dead.Load() {
				continue
			}
			n.log.Info("term lost", "token", token)
		}
		n.post(func() { r.end() })
		<-ctx.Done()
		return
	}
}

// doubts stops all acting after a standstill until the term was read again: in
// the meantime another node may have taken it, and reports, returns and silences
// seen from here are as old as the gap. Owner goroutine.
func (r *leadership) doubts(gap int64) {
	n := r.n
	before := r.doubt
	r.doubt += gap
	n.mu.Lock()
	if n.leading == r.token {
		n.leading = 0
	}
	n.mu.Unlock()
	n.log.Info("stood still", "for_us", gap, "token", r.token)
	if before == 0 {
		go r.confirm()
	}
}

// confirm reads the term. While the state service is out of reach nobody can have
// taken it, unless it is out of reach for this node alone; peers that know better
// say so within their hello, and until the service answers nothing is started.
func (r *leadership) confirm() {
	n := r.n
	for tries := 0; r.ctx.Err() == nil; tries++ {
		e, found, err := n.state.Get(r.ctx, termKey)
		switch {
		case err == nil && (!found || e.Version != r.token):
			n.log.Info("term lost", "token", r.token)
			n.post(func() { r.end() })
			return
		case err == nil || tries >= 12:
			n.post(r.resume)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// resume goes on after a standstill. Owner goroutine.
func (r *leadership) resume() {
	n := r.n
	if n.leadership != r {
		return
	}
	n.mu.Lock()
	if n.token == r.token {
		n.leading = r.token
	}
	n.mu.Unlock()
	r.core.Slept(r.doubt, n.now())
	r.doubt = 0
	n.dirty = true
}

// mine says whether the state service has just confirmed that the term is this node's: what
// is said to the cloud is, unlike what is stored, not conditional on it. A node that the
// service refuses alone may have been replaced, and a machine that it takes for silent may
// work for the next leader.
func (r *leadership) mine() bool {
	n := r.n
	if r.ctx.Err() != nil || !n.awake() {
		return false
	}
	_, err := n.state.Multi(r.ctx, wire.Txn{If: []wire.Cond{r.termCond()}})
	if errors.Is(err, state.ErrConflict) {
		n.post(func() { r.end() })
	}
	return err == nil && n.awake()
}

// end stops acting. It runs on the owner goroutine.
func (r *leadership) end() {
	n := r.n
	if n.leadership == r {
		n.leadership = nil
	}
	n.mu.Lock()
	if n.leading == r.token {
		n.leading = 0
	}
	n.shown = gauges{}
	n.mu.Unlock()
	r.cancel()
}

// termCond makes a transaction fail once another node holds the term.
func (r *leadership) termCond() wire.Cond { return wire.Cond{Key: termKey, Version: r.token} }

func (r *leadership) ended(id string, value []byte) {
	if rec, err := r.n.decodeEnd(id, value); err == nil {
		r.core.Ended(id, rec.Status, r.n.now())
	}
}

// watch brings accepted and ended jobs.
func (r *leadership) watch() {
	n := r.n
	from := r.revision
	// Each opening of the watch is a request: in a flood of small jobs every change
	// would cost one.
	every := time.Duration(8 / max(n.set.Deployment.State.RPS, 1) * float64(time.Second))
	for r.ctx.Err() == nil {
		ev, err := n.state.Changes(r.ctx, queuePrefix, from, 5*time.Second)
		if err != nil {
			if errors.Is(err, state.ErrCompacted) {
				if rev, ok := r.reread(); ok {
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
		n.post(func() {
			if n.leadership != r {
				return
			}
			for _, e := range ev.Events {
				r.take(e.Put, e.Value)
			}
			n.dirty = n.dirty || len(ev.Events) > 0
		})
		time.Sleep(time.Until(next))
	}
}

// take applies one changed key of the queue.
func (r *leadership) take(key string, value []byte) {
	n := r.n
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		var rec jobRecord
		if wire.Unmarshal(value, &rec) != nil {
			return
		}
		if _, over := n.final(id); !over { // else its record is gone, or its core knows it
			n.setKnown(id)
			r.core.AddJob(rec.Job, rec.Arrival, n.now())
		}
	} else if id, ok := strings.CutPrefix(key, endPrefix); ok {
		r.ended(id, value)
	}
}

// reread reads the queue again after the watch fell too far behind.
func (r *leadership) reread() (uint64, bool) {
	n := r.n
	jobs, rev, err := n.state.List(r.ctx, jobPrefix)
	if err != nil {
		return 0, false
	}
	ends, err := n.endsOf(r.ctx, jobs)
	if err != nil {
		return 0, false
	}
	n.post(func() {
		if n.leadership == r {
			for _, e := range append(jobs, ends...) {
				r.take(e.Key, e.Value)
			}
		}
	})
	return rev, true
}

// pass schedules and starts what follows from it. Owner goroutine.
func (r *leadership) pass() {
	n := r.n
	if r.doubt > 0 {
		return
	}
	if !r.busyCommit && n.state.Reachable(3*time.Second) {
		r.passes++
		if cm := r.core.Schedule(n.now()); cm != nil {
			r.busyCommit = true
			go r.commit(cm)
		}
	}
	r.serveWaiters()
	r.effects()
}

// serveWaiters answers the reports that waited for launches: those whose
// machines a pass has considered and whose launches are stored.
func (r *leadership) serveWaiters() {
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if r.passes > w.passes && !r.core.InFlight(w.host) {
			w.fresh <- r.core.Launches(w.host)
		} else if r.passes < w.passes+4 {
			kept = append(kept, w)
		}
	}
	r.waiters = kept
}

func (r *leadership) effects() {
	n := r.n
	for _, d := range r.core.Directs() {
		select {
		case r.directs <- d:
		default: // the next report's answer repeats it
		}
	}
	r.ends = append(r.ends, r.core.Ends()...)
	if !r.busyEnds && len(r.ends) > 0 {
		// Half of a transaction: ends leave room for launches.
		k := min(len(r.ends), max(1, n.set.Deployment.State.TxnOps/2))
		ids := r.ends[:k:k]
		r.ends = r.ends[k:]
		r.busyEnds = true
		done := make([]int, len(ids))
		for i, id := range ids {
			_, done[i], _, _ = r.core.Counts(id)
		}
		go r.storeEnds(ids, done)
	}
	for _, f := range r.core.Forgotten() {
		id := f.Job
		if f.Status == wire.JobCancelled {
			r.cancelled = append(r.cancelled, jobKey(id))
		} else {
			r.tidy = append(r.tidy, jobKey(id))
		}
		for i := range r.chunks[id] {
			r.tidy = append(r.tidy, chunkKey(id, i))
			delete(r.chunkAt, chunkKey(id, i))
		}
		delete(r.chunks, id)
	}
	if k := min(len(r.cancelled), n.set.Deployment.State.TxnOps); k > 0 && !r.busyCancelled && n.state.Reachable(3*time.Second) {
		keys := r.cancelled[:k:k]
		r.cancelled = r.cancelled[k:]
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
	n := r.n
	now := n.now()
	if r.doubt > 0 {
		return
	}
	r.pass()
	reachable := n.state.Reachable(3 * time.Second)
	if !r.busyProgress && reachable {
		if cs := r.core.Progress(min(n.set.Deployment.State.TxnOps, max(1, int(n.set.Deployment.State.WriteRPS/progressPart)))); len(cs) > 0 {
			r.busyProgress = true
			go r.storeProgress(cs, r.progressTxn(cs))
		}
	}
	if !r.busyTidy && reachable && len(r.tidy) > 0 {
		k := min(len(r.tidy), n.set.Deployment.State.TxnOps, max(1, int(n.set.Deployment.State.WriteRPS/tidyPart)))
		keys := r.tidy[:k:k]
		r.tidy = r.tidy[k:]
		r.busyTidy = true
		go r.deleteKeys(keys)
	}
	if reachable {
		r.recurring()
	}
	if !r.busyLearned && reachable && now-r.lastLearned >= learnEvery {
		r.busyLearned, r.lastLearned = true, now
		go r.storeLearned(r.core.Learned(now))
	}
	blind := r.core.Blind(now)
	// Without the state service nobody could take the term, and this node's word
	// still renews leases.
	if blind && len(n.peers) > 0 && reachable {
		n.log.Info("most workers are silent: giving the term up", "token", r.token)
		n.mu.Lock()
		n.gaveUp = r.token
		n.mu.Unlock()
		r.end()
		return
	}
	if !r.busyCloud && now-r.lastCloud >= 1_000_000 {
		r.lastCloud = now
		r.publish()
		r.fleet(blind)
		r.show()
	}
	if now-r.lastLog > 10_000_000 {
		r.lastLog = now
		jobs, tasks := r.core.Waiting()
		n.log.Info("leader", "waiting_jobs", jobs, "waiting_tasks", tasks, "stats", fmt.Sprintf("%+v", r.core.Stats))
		n.log.Info("work", n.work.take()...)
		classes, types := r.core.Uses()
		for _, u := range classes {
			n.log.Info("class", "name", u.Name, "tasks", u.Tasks)
		}
		for _, u := range types {
			n.log.Info("machines", "type", u.Name, "up", u.Up, "idle", u.Idle, "kept", u.Held, "tasks", u.Tasks, "free_cpus", int(u.Free))
		}
		r.tellServed()
		for _, w := range r.core.Waits(3) {
			n.log.Info("waits", "job", w.Job, "class", w.Class, "team", w.Team, "tasks", w.Tasks, "age_us", w.Age, "why", w.Why, "room", w.Room, "held", w.Held)
		}
	}
}

func (r *leadership) sendDirects() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case d := <-r.directs:
			if !r.n.awake() {
				continue // as old as the standstill; a report's answer repeats it
			}
			r.answered(r.n.worker.Orders(r.ctx, d.Addr, d.Orders))
		}
	}
}

// answered hands the core what a worker said to a direct command: its report, also where it
// refused the command (409).
func (r *leadership) answered(said wire.Report, _ error) {
	if said.Host == "" {
		return
	}
	n := r.n
	n.post(func() {
		if n.leadership == r && r.doubt == 0 {
			r.core.Answered(&said, n.now())
			n.dirty = n.dirty || r.core.Changed()
		}
	})
}
