package controller

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"dalefront/internal/kvstore"
	"dalefront/internal/recurring"
	"dalefront/internal/sched"
	"dalefront/wire"
)

// loadSchedules makes the engine of a term from the calendar and what is stored.
func (l *leadership) loadSchedules(entries []wire.KeyValue) error {
	c := l.controller
	if c.calendar == nil {
		return nil
	}
	states, versions := map[string]recurring.State{}, map[string]uint64{}
	for _, e := range entries {
		name := strings.TrimPrefix(e.Key, schedulePrefix)
		var st recurring.State
		if err := wire.Unmarshal(e.Value, &st); err != nil {
			return fmt.Errorf("schedule %s: %w", name, err)
		}
		states[name], versions[name] = st, e.Version
	}
	l.recurring = recurring.New(c.calendar, states, versions)
	known, gone := l.recurring.Len()
	c.log.Info("schedules", "known", known, "removed", gone)
	return nil
}

// jobs answers the engine from the core. Owner goroutine.
type jobs struct{ r *leadership }

func (j jobs) Running(id string) bool { return j.r.core.IsActive(id) }

func (j jobs) Admit(job *wire.Job) error {
	cat, ok := j.r.controller.machineTypes()
	if !ok {
		return nil // it waits as any job does
	}
	return sched.Admit(j.r.controller.settings, cat, job)
}

// submitRecurring decides what is due and has it stored, one batch at a time: as many
// schedules as a transaction takes, two changes for each that runs. Owner goroutine.
func (l *leadership) submitRecurring() {
	if l.recurring == nil || l.recurringRuns.running {
		return
	}
	most := max(1, min(l.controller.settings.Deployment.State.TxnOps/4, 8))
	if ds := l.recurring.Due(time.Now().UnixMicro(), most, jobs{l}); len(ds) > 0 {
		l.startTask(&l.recurringRuns, func() func() {
			l.storeRuns(ds)
			return nil
		})
	}
}

// storeRuns stores decisions together or, if that is refused, one by one. What the
// service takes is shared with launches: a batch waits until its changes are no more
// than an eighth of it.
func (l *leadership) storeRuns(ds []recurring.Decision) {
	c := l.controller
	changes := 0
	for _, d := range ds {
		changes += 1 + len(d.Jobs)
	}
	if _, version, err := l.storeDecisions(ds); err == nil {
		c.owner.post(func() { l.runsStored(ds, version) })
	} else {
		for _, d := range ds {
			l.storeOne(d)
		}
	}
	select {
	case <-l.ctx.Done():
	case <-time.After(time.Duration(float64(changes) * 8 / max(c.settings.Deployment.State.WriteRPS, 1) * float64(time.Second))):
	}
}

// storeDecisions runs one transaction: each schedule's state is what the decision
// rests on, no job of the ids exists or ever did, and the term is this node's.
func (l *leadership) storeDecisions(ds []recurring.Decision) (failed []string, version uint64, err error) {
	c := l.controller
	txn := wire.Txn{Conditions: []wire.Condition{l.termCondition()}}
	for _, d := range ds {
		key := scheduleKey(d.Name)
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: key, Version: d.Version})
		if d.State == nil {
			txn.Mutations = append(txn.Mutations, wire.Mutation{Delete: key})
			continue
		}
		txn.Mutations = append(txn.Mutations, wire.Mutation{Put: key, Value: d.State})
		for _, j := range d.Jobs {
			a, err := c.archive.Look(l.ctx, j.ID)
			if err != nil {
				return nil, 0, err
			}
			if a.Found { // by a job of long ago
				return []string{endKey(j.ID)}, 0, kvstore.ErrConflict
			}
			txn.Conditions = c.withArchiveGuards(append(txn.Conditions, wire.Condition{Key: jobKey(j.ID)}, wire.Condition{Key: endKey(j.ID)}), j.ID)
			txn.Mutations = append(txn.Mutations, wire.Mutation{Put: jobKey(j.ID), Value: jobRecord{Job: j, SubmittedAt: c.now()}})
		}
		if d.Cancel != "" {
			txn.Conditions = c.withArchiveGuards(append(txn.Conditions, wire.Condition{Key: endKey(d.Cancel)}), d.Cancel)
			txn.Mutations = append(txn.Mutations, wire.Mutation{Put: endKey(d.Cancel), Value: endRecord{Status: wire.JobCancelled, EndedAt: c.now()}})
		}
	}
	if len(txn.Mutations) > c.settings.Deployment.State.TxnOps || len(txn.Conditions) > 4*c.settings.Deployment.State.TxnOps {
		return nil, 0, errors.New("too much for one transaction")
	}
	a, err := c.store.Txn(l.ctx, txn)
	return a.FailedKeys, a.Revision, err
}

// runsStored tells the engine and the core. Owner goroutine.
func (l *leadership) runsStored(ds []recurring.Decision, version uint64) {
	c := l.controller
	if c.owner.leadership != l {
		return
	}
	for _, d := range ds {
		l.recurring.Stored(d, version)
		for _, j := range d.Jobs {
			c.statuses.addAccepted(j.ID)
			l.core.AddJob(j, c.now(), c.now())
			c.log.Info("scheduled run", "schedule", d.Name, "job", j.ID)
			c.owner.requestPass()
		}
		if d.State != nil && len(d.State.Runs) > 0 {
			if last := d.State.Runs[len(d.State.Runs)-1]; last.Status != wire.RunSubmitted {
				c.log.Info("schedule", "schedule", d.Name, "status", last.Status, "reason", last.Reason,
					"at", time.UnixMicro(last.At).UTC().Format(time.RFC3339))
			}
		}
	}
}

// storeOne stores a decision, or finds out why it is not stored. Without an answer it
// may be applied even later, but only as long as the schedule's state is the same: so
// what is read back is decided upon anew, and one of the two is refused.
func (l *leadership) storeOne(d recurring.Decision) {
	c := l.controller
	failed, version, err := l.storeDecisions([]recurring.Decision{d})
	if err == nil {
		c.owner.post(func() { l.runsStored([]recurring.Decision{d}, version) })
		return
	}
	_, _ = c.archive.Refresh(l.ctx, failed) // if that fails, the next try does
	taken := false                          // by a job that is not of this schedule
	for _, j := range d.Jobs {
		taken = taken || slices.Contains(failed, jobKey(j.ID)) || slices.Contains(failed, endKey(j.ID))
	}
	taken = taken && !slices.Contains(failed, scheduleKey(d.Name))
	for l.ctx.Err() == nil {
		e, found, err := c.store.Get(l.ctx, scheduleKey(d.Name))
		var st recurring.State
		if err == nil && found {
			err = wire.Unmarshal(e.Value, &st)
		}
		if err == nil {
			if !found {
				e.Version = 0
			}
			c.owner.post(func() {
				if c.owner.leadership == l {
					l.recurring.Again(d, st, e.Version, taken, time.Now().UnixMicro()+1_000_000)
				}
			})
			return
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}
