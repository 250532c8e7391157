package controller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"dalefront/internal/dynconfig"
	"dalefront/internal/kvstore"
	"dalefront/internal/peer"
	"dalefront/internal/sched"
	"dalefront/internal/standby"
	"dalefront/wire"
)

// follower is what a node does that stands by warm: it follows the stored state, and watches
// the leader's process. docs/standby.md.
type follower struct {
	n *Controller

	mu          sync.Mutex
	copy        *standby.Copy
	restartedAt time.Time // when it last began anew
	unfitAt     time.Time // when it last did so not for the first time lately
	suspicion   standby.Suspicion
	replaced    processRef // whose term this node replaced last
	pausedUntil time.Time  // until then nothing is read: this node takes over

	replace chan uint64 // the version of a term that may be replaced
}

// processRef is a process of a node.
type processRef struct {
	label string
	id    uint64
}

// The share of the state service's requests that all standbys follow with, and the share
// of a node's memory that a copy may take.
const (
	followShare  = 0.04
	copyPage     = 500 // keys that one read of a copy asks for
	followMemory = 0.15
)

func newFollower(n *Controller) *follower {
	o := &n.settings.Operator
	w := &follower{n: n, replace: make(chan uint64, 1)}
	if o.SuspectS != nil {
		w.suspicion = standby.Suspicion{Nodes: len(n.settings.Members) + 1, Wait: int64(*o.SuspectS * 1e6), Every: 10_000_000}
	}
	return w
}

// followedPrefixes lists the prefixes that a takeover needs, in the order in which they are read;
// ends are kept of jobs whose records are there.
var followedPrefixes = []string{jobPrefix, progressPrefix, ledgerPrefix, learnedKey, scaleOutPrefix, schedulePrefix, dynconfig.Prefix}

func (w *follower) newCopy() *standby.Copy {
	keep := func(key string) bool {
		for _, p := range followedPrefixes {
			if strings.HasPrefix(key, p) {
				return true
			}
		}
		return strings.HasPrefix(key, endPrefix)
	}
	owner := func(key string) string {
		if id, ok := strings.CutPrefix(key, endPrefix); ok {
			return jobKey(id)
		}
		return ""
	}
	mb := w.n.settings.Deployment.Resources.RAMMB
	return standby.NewCopy(keep, owner, decodeStored, standby.Limits{Bytes: int(mb * followMemory * (1 << 20))})
}

// decodeStored makes of a stored value what a takeover needs of it.
func decodeStored(key string, value []byte) (any, error) {
	var err error
	switch {
	case strings.HasPrefix(key, jobPrefix):
		rec := new(jobRecord)
		err = wire.Unmarshal(value, rec)
		return rec, err
	case strings.HasPrefix(key, endPrefix):
		rec := new(endRecord)
		err = wire.Unmarshal(value, rec)
		return rec, err
	case strings.HasPrefix(key, ledgerPrefix):
		rec := new(sched.LedgerEntry)
		err = wire.Unmarshal(value, rec)
		return rec, err
	case strings.HasPrefix(key, progressPrefix):
		text := ""
		err = wire.Unmarshal(value, &text)
		return text, err
	}
	return nil, nil
}

// follow keeps a copy of the stored state while this node stands by.
func (w *follower) follow(ctx context.Context) {
	n := w.n
	standbys := float64(max(1, *n.settings.Operator.Standbys))
	every := seconds(standbys / (followShare * n.settings.Deployment.State.RPS))
	store := paced{n.store, seconds(standbys / (0.1 * n.settings.Deployment.State.RPS))}
	audit := time.Now()
	for ctx.Err() == nil {
		if n.peerTable.standbyRank() < 0 || n.term.view().isLeading() || *n.settings.Operator.Standbys == 0 {
			w.mu.Lock()
			w.copy = nil
			w.mu.Unlock()
			sleepContext(ctx, 250*time.Millisecond)
			continue
		}
		w.mu.Lock()
		c, rests := w.copy, time.Until(w.pausedUntil)
		doubt := "it was not read yet"
		var from uint64
		if c != nil {
			doubt, from = c.Doubt(), c.Revision()
		}
		w.mu.Unlock()
		if rests > 0 {
			sleepContext(ctx, rests)
			continue
		}
		if doubt != "" {
			if c != nil {
				w.restart(doubt)
				sleepContext(ctx, time.Second+time.Duration(rand.Int64N(int64(2*time.Second))))
			}
			if !w.begin(ctx, store) {
				sleepContext(ctx, time.Second)
			}
			continue
		}
		next := time.Now().Add(every)
		ev, err := n.store.Changes(ctx, "", from, 2*time.Second)
		w.applyEvents(c, ev, err)
		if err != nil {
			sleepContext(ctx, 300*time.Millisecond)
		} else if time.Since(audit) > 2*time.Second {
			audit = time.Now()
			w.audit(ctx, c)
		}
		sleepContext(ctx, time.Until(next))
	}
}

// restart throws a copy away that is in doubt.
func (w *follower) restart(doubt string) {
	w.n.log.Info("standby begins anew", "why", doubt)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.copy = nil
	if time.Since(w.restartedAt) < 30*time.Second {
		w.unfitAt = time.Now() // not for the first time lately
	}
	w.restartedAt = time.Now()
}

// begin reads the state whole and says whether it could.
func (w *follower) begin(ctx context.Context, store paced) bool {
	n := w.n
	began := time.Now()
	c, err := w.read(ctx, store)
	if err != nil {
		n.log.Debug("standby can't read the state", "err", err)
		return false
	}
	keys, bytes := c.Size()
	n.log.Info("stands by", "revision", c.Revision(), "keys", keys, "bytes", bytes, "took_us", time.Since(began).Microseconds())
	w.mu.Lock()
	w.copy = c
	w.mu.Unlock()
	return true
}

// applyEvents feeds a copy with the answer of a watch.
func (w *follower) applyEvents(c *standby.Copy, ev wire.Events, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil:
		c.Apply(ev, w.n.now())
	case errors.Is(err, kvstore.ErrCompacted):
		c.Lost("the store no longer tells what has changed")
	}
}

// audit compares the next range of the copy with the store.
func (w *follower) audit(ctx context.Context, c *standby.Copy) {
	w.mu.Lock()
	r := c.NextAudit(followedPrefixes)
	w.mu.Unlock()
	w.compare(ctx, c, r)
}

// compare reads a range of the store, brings the copy at least as far and compares it.
func (w *follower) compare(ctx context.Context, c *standby.Copy, r standby.Range) (compared int) {
	page, err := w.n.store.Page(ctx, r.Prefix, r.After, r.Most)
	if err != nil || !w.catchUp(ctx, c, page.Revision) {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return c.Audit(r, page, followedPrefixes)
}

// catchUp brings a copy to a revision at least.
func (w *follower) catchUp(ctx context.Context, c *standby.Copy, revision uint64) bool {
	for range 5 {
		w.mu.Lock()
		at, doubt := c.Revision(), c.Doubt()
		w.mu.Unlock()
		if doubt != "" || at >= revision {
			return doubt == ""
		}
		ev, err := w.n.store.Changes(ctx, "", at, 0)
		w.applyEvents(c, ev, err)
		if err != nil && !errors.Is(err, kvstore.ErrCompacted) {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return false
}

// read reads the state whole.
func (w *follower) read(ctx context.Context, store paced) (*standby.Copy, error) {
	n := w.n
	var all, jobs []wire.KeyValue
	var first uint64
	for _, prefix := range followedPrefixes {
		for after := ""; ; {
			page, err := store.Page(ctx, prefix, after, copyPage)
			if err != nil {
				return nil, err
			}
			if first == 0 {
				first = page.Revision
			}
			all = append(all, page.Items...)
			if prefix == jobPrefix {
				jobs = append(jobs, page.Items...)
			}
			if !page.More || len(page.Items) == 0 {
				break
			}
			after = page.Items[len(page.Items)-1].Key
		}
	}
	ends, err := n.readEnds(ctx, jobs)
	if err != nil {
		return nil, err
	}
	c := w.newCopy()
	c.Begin(append(all, ends...), first, n.now())
	return c, nil
}

// takeOver returns what the copy has of the stored state, brought up to the term that this
// node has just taken, or nil and why the state has to be read instead.
func (w *follower) takeOver(ctx context.Context, token uint64, h *lease) (*stored, string) {
	n := w.n
	w.mu.Lock()
	c := w.copy
	w.pausedUntil = time.Now().Add(3 * time.Second)
	w.mu.Unlock()
	if c == nil {
		return nil, "this node did not stand by"
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	w.catchUp(ctx, c, token)
	w.mu.Lock()
	sample := c.Sample([]string{jobPrefix, ledgerPrefix}, rand.New(rand.NewPCG(rand.Uint64(), token)))
	w.mu.Unlock()
	compared := w.compare(ctx, c, sample)
	highest := n.term.view().token
	w.mu.Lock()
	defer w.mu.Unlock()
	f := standby.Facts{Token: token, Highest: highest, Revision: c.Revision(), Doubt: c.Doubt(), Compared: compared, Keys: sample.Keys,
		Awake: n.owner.ranRecently(), Reached: n.store.Reachable(time.Second), Lease: !h.expired.Load()}
	if ok, why := standby.Passes(&f); !ok {
		return nil, why
	}
	w.copy = nil // what was read belongs to the term now
	return storedOf(c), ""
}

// publishStandbys chooses who stands by, once a second. Owner goroutine.
func (l *leadership) publishStandbys() {
	c := l.controller
	choosing := standby.Choosing{Zone: c.settings.Zone, Count: *c.settings.Operator.Standbys, Silent: 5_000_000, Rest: 30_000_000}
	next, changed := c.peerTable.chooseStandbys(&choosing, l.token, c.settings.Members, c.now())
	if changed {
		c.log.Info("who stands by", "standbys", fmt.Sprint(next.Standbys), "number", next.Number)
	}
}

// acceptStandbyView takes a view that a peer's heartbeat brought.
func (c *Controller) acceptStandbyView(h *peer.Heartbeat) {
	if h.StandbyView != nil && !c.term.view().isLeading() && len(h.StandbyView.Standbys) <= len(c.settings.Members)+1 {
		c.peerTable.acceptStandbyView(h.StandbyView)
	}
}

// candidateDelay is how long this node lets those go first that stand by warm, or before it.
func (c *Controller) candidateDelay() time.Duration {
	const each = 60 * time.Millisecond
	return time.Duration(c.peerTable.aliveBefore(time.Now())) * each
}

// watchLeader notices the end of the leader's process, while this node stands by, and
// lets the term be replaced without waiting for the lease.
func (w *follower) watchLeader(ctx context.Context) {
	n := w.n
	if w.suspicion.Wait <= 0 || len(n.peers) < 2 {
		return
	}
	const look = 40 * time.Millisecond
	was := ""
	connected := false
	for ; ctx.Err() == nil; time.Sleep(look) {
		term := n.term.view()
		leader, token := term.leader, term.token
		p := n.peers[leader]
		if term.isLeading() || p == nil || n.peerTable.standbyRank() < 0 {
			was, connected = "", false
			continue
		}
		born := n.peerTable.process(leader)
		heard := time.Since(n.peerTable.lastSeen(leader))
		acts := n.term.leaderProcess()
		w.mu.Lock()
		if acts.token == token && acts.process != 0 && born == acts.process && heard < time.Second {
			w.suspicion.Leader(token, born)
		}
		w.mu.Unlock()
		if leader != was {
			was, connected = leader, p.Connected()
			continue
		}
		if now := p.Connected(); now || !connected {
			connected = now
			continue
		}
		if acts.token != token {
			continue // it never said that it acts: nothing to replace
		}
		if !w.leaderEnded(ctx, leader, p, token, acts.process) {
			connected = p.Connected()
			continue
		}
		select {
		case w.replace <- token:
		default:
		}
		was = ""
	}
}

// leaderEnded gathers evidence that the process of the leader has ended, and says whether it
// suffices to replace its term.
func (w *follower) leaderEnded(ctx context.Context, leader string, p *peer.Client, token, born uint64) bool {
	n := w.n
	w.mu.Lock()
	w.suspicion.Broke(n.now())
	may := w.suspicion.MayReplace(n.now())
	limit := time.Duration(w.suspicion.Wait)*time.Microsecond + time.Second
	w.mu.Unlock()
	if !may {
		return false
	}
	for began := time.Now(); time.Since(began) < limit && ctx.Err() == nil; time.Sleep(30 * time.Millisecond) {
		if n.term.view().token != token || !n.owner.ranRecently() {
			return false
		}
		p.ResetBackoff()
		a, err := p.Probe(ctx, n.newHeartbeat())
		if err == nil && a.ProcessID == born {
			return false
		}
		answered := uint64(0)
		if err == nil {
			answered = a.ProcessID
		}
		w.mu.Lock()
		another := w.suspicion.Tried(n.now(), answered)
		w.mu.Unlock()
		if !another {
			w.askOthers(ctx, leader, born)
		}
		w.mu.Lock()
		enough := another || w.suspicion.Suspects(n.now())
		if enough {
			w.suspicion.Replaced(n.now())
			w.replaced = processRef{leader, born}
		}
		w.mu.Unlock()
		if enough {
			n.log.Info("the leader's process is taken for ended", "node", leader, "token", token, "another_process", another)
			return true
		}
	}
	return false
}

// askOthers asks all other controllers whether they reach the leader's process.
func (w *follower) askOthers(ctx context.Context, leader string, born uint64) {
	n := w.n
	var all sync.WaitGroup
	for label, p := range n.peers {
		if label == leader {
			continue
		}
		all.Go(func() {
			h := n.newHeartbeat()
			h.Probe, h.ProbeProcessID = leader, born
			a, err := p.Heartbeat(ctx, h)
			if err != nil || a.Probe != leader {
				return // it can't be asked, or is of a version that does not know the question
			}
			w.mu.Lock()
			w.suspicion.Asked(label, a.Reached)
			w.mu.Unlock()
		})
	}
	all.Wait()
}

// reachesProcess answers whether this node reaches a process of another one.
func (c *Controller) reachesProcess(ctx context.Context, label string, born uint64) bool {
	if label == c.settings.Label {
		return c.processID == born
	}
	p := c.peers[label]
	if p == nil {
		return false
	}
	p.ResetBackoff()
	a, err := p.Probe(ctx, c.newHeartbeat())
	return err == nil && a.ProcessID == born
}

// leaderIsAlive notes that a process said hello: if this node had taken it for ended and replaced
// its term, that was wrong.
func (w *follower) leaderIsAlive(label string, born uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if born != 0 && w.replaced == (processRef{label, born}) {
		w.replaced = processRef{}
		w.suspicion.Wrong()
		w.n.log.Warn("the leader's process had not ended", "node", label)
	}
}

// unfit says whether this node could not follow lately.
func (w *follower) unfit() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.unfitAt.IsZero() && time.Since(w.unfitAt) < 10*time.Second
}

// ready says whether there is a copy that is good, as far as known.
func (w *follower) ready() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.copy != nil && w.copy.Doubt() == ""
}

// lag is how far the copy is behind, and whether there is one that is good.
func (w *follower) lag() (keys, bytes int, us int64, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.copy == nil || w.copy.Doubt() != "" {
		return 0, 0, 0, false
	}
	keys, bytes = w.copy.Size()
	return keys, bytes, w.n.now() - w.copy.Seen(), true
}
