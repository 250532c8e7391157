package controller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dalefront/internal/api"
	"dalefront/internal/kvstore"
	"dalefront/wire"
)

// lookup is a question whether a job was accepted and whether it has ended.
type lookup struct {
	id    string
	known bool // accepted, as this node knows
	done  chan<- lookupResult
}

// conds is how many conditions it takes.
func (l lookup) conds() int {
	if l.known {
		return 2
	}
	return 3
}

// lookupResult answers a lookup, as of a moment after it was asked.
type lookupResult struct {
	accepted, ended bool
	archived        bool
	st              wire.JobStatus // with the leader's counts, if it is not ended
	err             error
}

const (
	maxLookups    = 4096 // more are refused at once
	lookupWorkers = 4    // batches at the same time
	lookupShare   = 0.35 // of the requests that the state service takes, for all nodes' lookups
)

// lookUpJob asks together with others. Hundreds of users polling, each with a read of
// its own, would use up the requests that the state service takes from all nodes,
// and then nobody can renew a term; a transaction that only compares looks at many
// jobs for the price of one.
func (c *Controller) lookUpJob(ctx context.Context, id string, known bool) lookupResult {
	done := make(chan lookupResult, 1)
	select {
	case c.lookupQueue <- lookup{id, known, done}:
	default:
		return lookupResult{err: api.ErrUnavailable}
	}
	select {
	case v := <-done:
		return v
	case <-ctx.Done():
		return lookupResult{err: api.ErrUnavailable}
	}
}

// lookupPace is how many batches of lookups this node may send: together the
// nodes use some third of what the service takes. The wait for the next batch is
// some tenths of a second at most, and only while more is asked.
func (c *Controller) lookupPace() *rate.Limiter {
	per := c.settings.Deployment.State.RPS * lookupShare / float64(len(c.settings.Members)+1)
	return rate.NewLimiter(rate.Limit(max(per, 1)), max(2, int(per)))
}

// lookupLoop answers lookups in batches. What a batch takes was asked before the
// read begins, so its answers are as fresh as a read for each would be.
func (c *Controller) lookupLoop(ctx context.Context, pace *rate.Limiter) {
	most := 4 * c.settings.Deployment.State.TxnOps
	for {
		var batch []lookup
		select {
		case <-ctx.Done():
			return
		case l := <-c.lookupQueue:
			batch = append(batch, l)
		}
		if pace.Wait(ctx) != nil {
			return
		}
		for conds := batch[0].conds(); conds+3 <= most && len(c.lookupQueue) > 0; {
			select {
			case l := <-c.lookupQueue:
				batch = append(batch, l)
				conds += l.conds()
			default:
				conds = most
			}
		}
		c.lookUpBatch(ctx, batch)
	}
}

// lookUpBatch answers a batch with one read, and one question to the leader for the
// counts to show.
func (c *Controller) lookUpBatch(ctx context.Context, batch []lookup) {
	ctx, cancel := context.WithTimeout(ctx, 1200*time.Millisecond)
	var back sync.WaitGroup // lookups that go on in the archive
	defer func() { go func() { back.Wait(); cancel() }() }()
	var txn wire.Txn
	asked := map[string]bool{}
	ask := func(key string) {
		if !asked[key] {
			asked[key] = true
			txn.Conditions = append(txn.Conditions, wire.Condition{Key: key})
		}
	}
	for _, l := range batch {
		ask(jobKey(l.id))
		ask(endKey(l.id))
		if !l.known {
			if guard := c.archive.Guard(l.id); !asked[guard.Key] {
				asked[guard.Key] = true
				txn.Conditions = append(txn.Conditions, guard)
			}
		}
	}
	a, err := c.store.Txn(ctx, txn)
	if err != nil && !errors.Is(err, kvstore.ErrConflict) {
		for _, l := range batch {
			l.done <- lookupResult{err: err}
		}
		return
	}
	// The keys that exist: both are looked at in one moment, and a job's record is
	// deleted only after its end was created, so that finding neither means that
	// its end was archived or that it was never accepted.
	exists := map[string]bool{}
	for _, k := range a.FailedKeys {
		exists[k] = true
	}
	var running []string
	for _, l := range batch {
		if exists[jobKey(l.id)] {
			running = append(running, l.id)
		}
	}
	counts := c.taskCounts(ctx, running)
	for _, l := range batch {
		if !exists[jobKey(l.id)] && !exists[endKey(l.id)] {
			moved := l.known || exists[c.archive.Guard(l.id).Key]
			back.Go(func() { l.done <- c.lookUpArchive(ctx, l, moved) })
			continue
		}
		v := lookupResult{accepted: exists[jobKey(l.id)], ended: exists[endKey(l.id)], st: wire.JobStatus{ID: l.id, Status: wire.JobQueued}}
		if st, ok := counts[l.id]; ok {
			v.st = st
		}
		if !l.known && exists[jobKey(l.id)] {
			c.setKnown(l.id)
		}
		l.done <- v
	}
}

// taskCounts asks for the counts that only the leader has; without it jobs are
// shown as queued.
func (c *Controller) taskCounts(ctx context.Context, ids []string) map[string]wire.JobStatus {
	if len(ids) == 0 {
		return nil
	}
	sts := c.localCounts(ctx, ids)
	term := c.term.view()
	if p := c.peers[term.leader]; p != nil && !term.isLeading() {
		if a, err := p.Counts(ctx, ids); err == nil {
			sts = a.Jobs
		}
	}
	out := make(map[string]wire.JobStatus, len(sts))
	for _, st := range sts {
		out[st.ID] = st
	}
	return out
}

// readEnd reads the end of a job that is known to have one.
func (c *Controller) readEnd(ctx context.Context, id string) (endRecord, error) {
	if st, ok := c.rememberedFinal(id); ok {
		return endFromStatus(st), nil
	}
	e, found, err := c.store.Get(ctx, endKey(id))
	if err != nil {
		return endRecord{}, err
	}
	if found {
		return c.decodeEnd(id, e.Value)
	}
	a, err := c.archive.LookFresh(ctx, id) // moved meanwhile
	if err == nil && !a.Found {
		err = fmt.Errorf("the end of %s is missing", id)
	}
	if err != nil {
		return endRecord{}, err
	}
	return endFromStatus(c.rememberArchived(a.Record)), nil
}
