package node

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"dalefront/internal/cloud"
	"dalefront/internal/sched"
	"dalefront/internal/state"
	"dalefront/wire"
)

// reign is the time during which this node holds the term: it owns the core and
// the loops that carry out its effects. All its writes are conditional on the
// term key, so they fail once another node holds the term.
type reign struct {
	n      *Node
	token  uint64
	hold   *hold
	core   *sched.Core
	ctx    context.Context
	cancel context.CancelFunc

	// Owned by the owner goroutine.
	waiters      []waiter
	passes       int // scheduling passes so far
	busyCommit   bool
	busyProgress bool
	busyTidy     bool
	busyCloud    bool
	tidy         []string // keys to delete
	lastCloud    int64
	lastLog      int64
	lastListed   int64
	chunks       map[string]int // progress chunks stored per job

	revision uint64 // where the watch begins
	directs  chan sched.Direct
	cloudQ   chan func()
	hireSeq  int
}

// resignedTokens remembers the last term this node gave up by itself.
func (n *Node) resigned(token uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gaveUp == token
}

// reignOver loads the stored state and acts as overseer until the term is lost.
func (n *Node) reignOver(ctx context.Context, token uint64, h *hold) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &reign{n: n, token: token, hold: h, ctx: ctx, cancel: cancel, chunks: map[string]int{},
		directs: make(chan sched.Direct, 256), cloudQ: make(chan func(), 64)}
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
			n.reigning = token
			n.leader = n.set.Label
		}
		n.mu.Unlock()
		if ok {
			n.reign = r
			n.dirty = true
		}
		installed <- ok
	})
	if !<-installed {
		return
	}
	n.log.Info("acting as overseer", "token", token)
	for _, p := range n.peers {
		go func() { _, _ = p.Hello(ctx, n.hello()) }()
	}
	go r.watch()
	for i := 0; i < 4; i++ {
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

// end stops acting. It runs on the owner goroutine.
func (r *reign) end() {
	n := r.n
	if n.reign == r {
		n.reign = nil
	}
	n.mu.Lock()
	if n.reigning == r.token {
		n.reigning = 0
	}
	n.shown = snapshot{}
	n.mu.Unlock()
	r.cancel()
}

// termCond makes a transaction fail once another node holds the term.
func (r *reign) termCond() wire.Cond { return wire.Cond{Key: termKey, Version: r.token} }

// load builds the core from the stored records. From the moment the term was
// taken nobody else can change them but by accepting and ending jobs, which the
// watch brings.
func (r *reign) load() error {
	n := r.n
	cat, _ := n.types()
	now := n.now()
	core := sched.New(n.set, r.token, now, cat, func(msg string, args ...any) { n.log.Info(msg, args...) })
	jobs, rev, err := n.state.List(r.ctx, jobPrefix)
	if err != nil {
		return err
	}
	for _, e := range jobs {
		var rec jobRecord
		if wire.Unmarshal(e.Value, &rec) == nil {
			core.AddJob(rec.Job, rec.Arrival, now)
			n.setKnown(rec.Job.ID)
		}
	}
	chunks, _, err := n.state.List(r.ctx, donePrefix)
	if err != nil {
		return err
	}
	for _, e := range chunks {
		id, idx, _ := strings.Cut(strings.TrimPrefix(e.Key, donePrefix), "/")
		i, err := strconv.Atoi(idx)
		var text string
		if _, _, _, known := core.Counts(id); !known {
			r.tidy = append(r.tidy, e.Key) // left by a job that is over and gone
		} else if err == nil && wire.Unmarshal(e.Value, &text) == nil {
			core.SetProgress(id, i, text)
			r.chunks[id] = max(r.chunks[id], i+1)
		}
	}
	entries, _, err := n.state.List(r.ctx, ledgerPrefix)
	if err != nil {
		return err
	}
	ledger := make(map[string]sched.Entry, len(entries))
	for _, e := range entries {
		var entry sched.Entry
		if err := wire.Unmarshal(e.Value, &entry); err != nil {
			return fmt.Errorf("ledger entry %s: %w", e.Key, err)
		}
		ledger[strings.TrimPrefix(e.Key, ledgerPrefix)] = entry
	}
	core.Load(ledger)
	hires, _, err := n.state.List(r.ctx, hirePrefix)
	if err != nil {
		return err
	}
	for _, e := range hires {
		// The machines of a hire whose answer was lost show up in the list and
		// in reports, and are adopted; the name is never used again.
		r.tidy = append(r.tidy, e.Key)
	}
	if err := r.loadEnds(core, jobs); err != nil {
		return err
	}
	r.core, r.revision = core, rev
	return nil
}

// loadEnds asks which of the jobs have ended, many at a time: a transaction
// without writes only compares.
func (r *reign) loadEnds(core *sched.Core, jobs []wire.Entry) error {
	n := r.n
	most := 4 * n.set.Deployment.State.TxnOps
	for len(jobs) > 0 {
		part := jobs[:min(most, len(jobs))]
		jobs = jobs[len(part):]
		var txn wire.Txn
		for _, e := range part {
			txn.If = append(txn.If, wire.Cond{Key: endKey(strings.TrimPrefix(e.Key, jobPrefix))})
		}
		a, err := n.state.Multi(r.ctx, txn)
		if err == nil {
			continue
		}
		if !errors.Is(err, state.ErrConflict) {
			return err
		}
		for _, k := range a.Failed {
			id := strings.TrimPrefix(k, endPrefix)
			e, found, err := n.state.Get(r.ctx, k)
			if err != nil || !found {
				return fmt.Errorf("end of %s: %v", id, err)
			}
			if err := r.ended(core, id, e.Value); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *reign) ended(core *sched.Core, id string, value []byte) error {
	var rec endRecord
	if err := wire.Unmarshal(value, &rec); err != nil {
		return err
	}
	r.n.remember(wire.JobStatus{ID: id, Status: rec.Status, Done: rec.Done})
	core.Ended(id, rec.Status, rec.At, r.n.now())
	return nil
}

// watch brings accepted and ended jobs.
func (r *reign) watch() {
	n := r.n
	from := r.revision
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
		if len(ev.Events) == 0 {
			continue
		}
		n.post(func() {
			if n.reign != r {
				return
			}
			for _, e := range ev.Events {
				r.take(e.Put, e.Value)
			}
			n.dirty = true
		})
	}
}

// take applies one changed key of the queue.
func (r *reign) take(key string, value []byte) {
	n := r.n
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		var rec jobRecord
		if _, over := n.final(id); !over && wire.Unmarshal(value, &rec) == nil {
			n.setKnown(id)
			r.core.AddJob(rec.Job, rec.Arrival, n.now())
		}
	} else if id, ok := strings.CutPrefix(key, endPrefix); ok {
		_ = r.ended(r.core, id, value)
	}
}

// reread reads the queue again after the watch fell too far behind.
func (r *reign) reread() (uint64, bool) {
	n := r.n
	jobs, rev, err := n.state.List(r.ctx, jobPrefix)
	if err != nil {
		return 0, false
	}
	var ended []wire.Entry
	for _, e := range jobs {
		id := strings.TrimPrefix(e.Key, jobPrefix)
		end, found, err := n.state.Get(r.ctx, endKey(id))
		if err != nil {
			return 0, false
		}
		if found {
			ended = append(ended, end)
		}
	}
	n.post(func() {
		if n.reign == r {
			for _, e := range append(jobs, ended...) {
				r.take(e.Key, e.Value)
			}
		}
	})
	return rev, true
}

// pass schedules and starts what follows from it. Owner goroutine.
func (r *reign) pass() {
	n := r.n
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
func (r *reign) serveWaiters() {
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

func (r *reign) effects() {
	for _, d := range r.core.Directs() {
		select {
		case r.directs <- d:
		default: // the next report's answer repeats it
		}
	}
	for _, id := range r.core.Ends() {
		go r.storeEnd(id)
	}
	for _, id := range r.core.Forgotten() {
		r.tidy = append(r.tidy, jobKey(id))
		for i := range r.chunks[id] {
			r.tidy = append(r.tidy, chunkKey(id, i))
		}
		delete(r.chunks, id)
	}
}

// tick does what time brings: progress, tidying, the fleet. Owner goroutine.
func (r *reign) tick() {
	n := r.n
	now := n.now()
	r.pass()
	reachable := n.state.Reachable(3 * time.Second)
	if !r.busyProgress && reachable {
		if cs := r.core.Progress(min(n.set.Deployment.State.TxnOps, max(1, int(n.set.Deployment.State.WriteRPS/10)))); len(cs) > 0 {
			r.busyProgress = true
			go r.storeProgress(cs)
		}
	}
	if !r.busyTidy && reachable && len(r.tidy) > 0 {
		k := min(len(r.tidy), n.set.Deployment.State.TxnOps, max(1, int(n.set.Deployment.State.WriteRPS/6)))
		keys := r.tidy[:k:k]
		r.tidy = r.tidy[k:]
		r.busyTidy = true
		go r.deleteKeys(keys)
	}
	blind := r.core.Blind(now)
	if blind && len(n.peers) > 0 {
		n.log.Info("most workers are silent: giving the term up", "token", r.token)
		n.mu.Lock()
		n.gaveUp = r.token
		n.mu.Unlock()
		r.end()
		return
	}
	if !r.busyCloud && now-r.lastCloud >= 1_000_000 {
		r.lastCloud = now
		r.fleet(blind)
		r.show()
	}
	if now-r.lastLog > 10_000_000 {
		r.lastLog = now
		jobs, tasks := r.core.Waiting()
		n.log.Info("overseer", "waiting_jobs", jobs, "waiting_tasks", tasks, "stats", fmt.Sprintf("%+v", r.core.Stats))
		classes, types := r.core.Uses()
		for _, u := range classes {
			n.log.Info("class", "name", u.Name, "tasks", u.Tasks)
		}
		for _, u := range types {
			n.log.Info("machines", "type", u.Name, "up", u.Up, "idle", u.Idle, "kept", u.Held, "tasks", u.Tasks, "free_cpus", int(u.Free))
		}
		for _, w := range r.core.Waits(3) {
			n.log.Info("waits", "job", w.Job, "class", w.Class, "team", w.Team, "tasks", w.Tasks, "age_us", w.Age, "why", w.Why, "room", w.Room, "held", w.Held)
		}
	}
}

// commit stores a write-ahead batch. While its outcome is unknown it is asked
// again under the same conditions: its entries are created once, so that only one
// copy can ever be applied.
func (r *reign) commit(cm *sched.Commit) {
	n := r.n
	txn := wire.Txn{If: []wire.Cond{r.termCond()}}
	for _, e := range cm.Entries {
		txn.If = append(txn.If, wire.Cond{Key: ledgerPrefix + e.Name})
		txn.Then = append(txn.Then, wire.Change{Put: ledgerPrefix + e.Name, Value: e.Entry})
	}
	for _, name := range cm.Drop {
		txn.Then = append(txn.Then, wire.Change{Delete: ledgerPrefix + name})
	}
	for _, id := range cm.Jobs {
		txn.If = append(txn.If, wire.Cond{Key: endKey(id)})
	}
	unknown := false
	for r.ctx.Err() == nil {
		a, err := n.state.Multi(r.ctx, txn)
		switch {
		case err == nil:
			r.commitDone(cm, true)
			return
		case errors.Is(err, state.ErrUnknown):
			unknown = true
		case errors.Is(err, state.ErrConflict):
			r.conflict(cm, a.Failed)
			return
		case !unknown:
			// Refused: it was not executed and never will be.
			n.log.Debug("commit refused", "err", err)
			r.commitDone(cm, false)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (r *reign) commitDone(cm *sched.Commit, ok bool) {
	n := r.n
	n.post(func() {
		if n.reign != r {
			return
		}
		r.busyCommit = false
		if ok {
			r.core.Committed(cm, n.now())
		} else {
			r.core.Refused(cm, n.now())
		}
		r.serveWaiters()
		n.dirty = true
	})
}

// conflict finds out why a batch failed: the term is lost, a job has ended, or
// an earlier copy of the same batch was applied after all.
func (r *reign) conflict(cm *sched.Commit, failed []string) {
	n := r.n
	for r.ctx.Err() == nil {
		again, applied := false, false
		for _, k := range failed {
			e, found, err := n.state.Get(r.ctx, k)
			if err != nil {
				again = true
				break
			}
			switch {
			case k == termKey:
				if !found || e.Version != r.token {
					n.post(func() { r.end() })
					return
				}
			case strings.HasPrefix(k, endPrefix) && found:
				n.post(func() {
					if n.reign == r {
						_ = r.ended(r.core, strings.TrimPrefix(k, endPrefix), e.Value)
					}
				})
			case strings.HasPrefix(k, ledgerPrefix):
				applied = applied || found
			}
		}
		if !again {
			r.commitDone(cm, applied)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// storeEnd makes a job done, unless it was cancelled before.
func (r *reign) storeEnd(id string) {
	n := r.n
	ctx, cancel := context.WithTimeout(r.ctx, 4*time.Second)
	defer cancel()
	count := 0
	n.do(ctx, func() {
		if n.reign == r {
			_, count, _, _ = r.core.Counts(id)
		}
	})
	st, err := n.createEnd(ctx, id, wire.JobDone, count, []wire.Cond{r.termCond()})
	if err != nil {
		time.Sleep(150 * time.Millisecond)
	}
	n.post(func() {
		if n.reign != r {
			return
		}
		if err != nil {
			r.core.RetryEnd(id)
		} else {
			r.core.Ended(id, st.Status, n.now(), n.now())
		}
		n.dirty = true
	})
}

func (r *reign) storeProgress(cs []sched.Chunk) {
	n := r.n
	txn := wire.Txn{If: []wire.Cond{r.termCond()}}
	for _, c := range cs {
		txn.Then = append(txn.Then, wire.Change{Put: chunkKey(c.Job, c.Index), Value: c.Text})
	}
	_, err := n.state.Multi(r.ctx, txn)
	// What completes meanwhile goes with the next one. Launches wait for every
	// change stored before them, and a result that is not stored yet is only
	// reported once more.
	time.Sleep(time.Second)
	n.post(func() {
		r.busyProgress = false
		if n.reign != r || err != nil {
			return
		}
		for _, c := range cs {
			if _, _, _, known := r.core.Counts(c.Job); !known {
				r.tidy = append(r.tidy, chunkKey(c.Job, c.Index)) // forgotten meanwhile
				continue
			}
			r.chunks[c.Job] = max(r.chunks[c.Job], c.Index+1)
			r.core.ProgressStored(c)
		}
	})
}

func (r *reign) deleteKeys(keys []string) {
	n := r.n
	txn := wire.Txn{If: []wire.Cond{r.termCond()}}
	for _, k := range keys {
		txn.Then = append(txn.Then, wire.Change{Delete: k})
	}
	_, err := n.state.Multi(r.ctx, txn)
	time.Sleep(time.Second)
	n.post(func() {
		r.busyTidy = false
		if err != nil && !errors.Is(err, state.ErrConflict) {
			r.tidy = append(r.tidy, keys...)
		}
	})
}

func (r *reign) sendDirects() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case d := <-r.directs:
			_, _ = r.n.worker.Orders(r.ctx, d.Addr, d.Orders)
		}
	}
}

// fleet decides about machines. Owner goroutine.
func (r *reign) fleet(blind bool) {
	n := r.n
	now := n.now()
	returns := r.core.Returns(now, blind)
	var hires []wire.Hire
	if n.state.Reachable(3 * time.Second) {
		hires = r.core.Hires(now)
	}
	for i := range hires {
		r.hireSeq++
		// The token makes the name unique over terms, the number within one.
		hires[i].Request = fmt.Sprintf("r-%d-%d", r.token, r.hireSeq)
	}
	list := r.lastList(now)
	if len(returns) == 0 && len(hires) == 0 && !list {
		return
	}
	r.busyCloud = true
	select {
	case r.cloudQ <- func() { r.cloudRound(returns, hires, list) }:
	default:
		r.busyCloud = false
	}
}

func (r *reign) lastList(now int64) bool {
	every := int64(max(2, r.n.set.Deployment.Cloud.ListLagS/2) * 1e6)
	if now-r.lastListed < every {
		return false
	}
	r.lastListed = now
	return true
}

func (r *reign) runCloud() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case f := <-r.cloudQ:
			f()
		}
	}
}

func (r *reign) cloudRound(returns []string, hires []wire.Hire, list bool) {
	n := r.n
	defer n.post(func() { r.busyCloud = false; n.dirty = true })
	if len(returns) > 0 {
		err := n.cloud.Return(r.ctx, returns)
		n.post(func() {
			if n.reign != r {
				return
			}
			if err != nil {
				r.core.ReturnFailed(returns, n.now())
			} else {
				r.core.Gone(returns, n.now())
			}
			n.dirty = true
		})
	}
	r.hireAll(hires)
	if list {
		ms, err := n.cloud.List(r.ctx)
		if err != nil {
			n.log.Info("machine list", "err", err)
			return
		}
		n.post(func() {
			if n.reign == r {
				r.core.Machines(ms, n.now())
			}
		})
	}
}

// hireAll stores the names of a round's requests, in one write, and then asks for
// the machines, side by side: none waits behind a slow answer to another.
func (r *reign) hireAll(hires []wire.Hire) {
	if len(hires) == 0 {
		return
	}
	n := r.n
	key := hirePrefix + hires[0].Request
	_, stored := n.state.Multi(r.ctx, wire.Txn{If: []wire.Cond{r.termCond()}, Then: []wire.Change{{Put: key, Value: hires}}})
	var all sync.WaitGroup
	for _, h := range hires {
		all.Go(func() {
			var hosts []string
			err := stored
			if err == nil {
				hosts, err = r.hire(h)
			}
			n.log.Info("hire", "type", h.Type, "zone", h.Zone, "spot", h.Spot, "count", h.Count, "got", len(hosts), "err", err)
			n.post(func() {
				if n.reign != r {
					return
				}
				if err != nil {
					r.core.HireFailed(h, errors.Is(err, cloud.ErrNoCapacity), n.now())
				} else {
					r.core.Hired(h, hosts, n.now())
				}
			})
		})
	}
	all.Wait()
	n.post(func() { r.tidy = append(r.tidy, key) })
}

func (r *reign) hire(h wire.Hire) ([]string, error) {
	for i := 0; ; i++ {
		hosts, err := r.n.cloud.Hire(r.ctx, h)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) || i == 2 || r.ctx.Err() != nil {
			return hosts, err
		}
		time.Sleep(300 * time.Millisecond) // the same name: it rents once
	}
}
