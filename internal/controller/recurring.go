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

const (
	// maxDecisions is how many schedules are decided in one transaction at most, and
	// operationsPerDecision how many of its changes each may take.
	maxDecisions          = 8
	operationsPerDecision = 4
	// scheduleParts: runs of schedules take one in so many of the changes that the store takes, since
	// launches need the others.
	scheduleParts = 8
	// decisionDelay is when a schedule is decided again whose decision could not be stored, in
	// microseconds.
	decisionDelay = int64(time.Second / time.Microsecond)
	// scheduleReadPause is the pause before the state of a schedule is read again.
	scheduleReadPause = 500 * time.Millisecond
)

// errTxnTooLarge means that decisions don't fit into one transaction.
var errTxnTooLarge = errors.New("too much for one transaction")

// scheduleRunner submits the jobs of recurring schedules while this controller leads. Its fields are
// owned by the owner goroutine.
type scheduleRunner struct {
	leadership *leadership
	engine     *recurring.Engine // nil without a calendar
	task       backgroundTask
}

// load makes the engine of a term from the calendar and the stored states.
func (s *scheduleRunner) load(entries []wire.KeyValue) error {
	c := s.leadership.controller
	if c.calendar == nil {
		return nil
	}
	states, versions := map[string]recurring.State{}, map[string]uint64{}
	for _, entry := range entries {
		name := strings.TrimPrefix(entry.Key, schedulePrefix)
		var state recurring.State
		if err := wire.Unmarshal(entry.Value, &state); err != nil {
			return fmt.Errorf("schedule %s: %w", name, err)
		}
		states[name], versions[name] = state, entry.Version
	}
	s.engine = recurring.NewEngine(c.calendar, states, versions)
	known, gone := s.engine.Count()
	c.log.Info("schedules loaded", "known", known, "removed", gone)
	return nil
}

// start decides what is due and has it stored, one batch at a time. Owner goroutine.
func (s *scheduleRunner) start() {
	if s.engine == nil || s.task.running {
		return
	}
	limit := max(1, min(s.leadership.controller.settings.Deployment.State.TxnOps/operationsPerDecision, maxDecisions))
	decisions := s.engine.Due(time.Now().UnixMicro(), limit, coreJobs{s.leadership})
	if len(decisions) == 0 {
		return
	}
	s.leadership.startTask(&s.task, func() func() {
		s.store(decisions)
		return nil
	})
}

// store stores decisions together or, if that fails, one by one, and waits for as long as their
// changes take of the share of schedules.
func (s *scheduleRunner) store(decisions []recurring.Decision) {
	l := s.leadership
	if _, version, err := s.storeTogether(decisions); err == nil {
		l.post(func() { s.finish(decisions, version) })
	} else {
		for _, decision := range decisions {
			s.storeOne(decision)
		}
	}
	changes := 0
	for _, decision := range decisions {
		changes += 1 + len(decision.Jobs)
	}
	writeRPS := max(l.controller.settings.Deployment.State.WriteRPS, 1)
	sleepContext(l.ctx, seconds(float64(changes*scheduleParts)/writeRPS))
}

// storeTogether stores decisions in one transaction, and returns its version. If that is refused it
// returns the keys whose conditions failed.
func (s *scheduleRunner) storeTogether(decisions []recurring.Decision) (failedKeys []string, version uint64, err error) {
	l := s.leadership
	txn := wire.Txn{Conditions: []wire.Condition{l.termCondition()}}
	for i := range decisions {
		archivedKey, err := s.addDecision(&txn, &decisions[i])
		if err != nil {
			return nil, 0, err
		}
		if archivedKey != "" {
			return []string{archivedKey}, 0, kvstore.ErrConflict
		}
	}
	operations := l.controller.settings.Deployment.State.TxnOps
	if len(txn.Mutations) > operations || len(txn.Conditions) > conditionsPerOperation*operations {
		return nil, 0, errTxnTooLarge
	}
	response, err := l.controller.store.Txn(l.ctx, txn)
	return response.FailedKeys, response.Revision, err
}

// addDecision adds a decision to a transaction: on condition that the schedule's state is the one
// that was decided upon, and that no job of the ids exists or ever did. If the archive has one of
// them it returns the key of its end.
func (s *scheduleRunner) addDecision(txn *wire.Txn, decision *recurring.Decision) (archivedKey string, err error) {
	c := s.leadership.controller
	key := scheduleKey(decision.Name)
	txn.Conditions = append(txn.Conditions, wire.Condition{Key: key, Version: decision.Version})
	if decision.State == nil {
		txn.Mutations = append(txn.Mutations, wire.Mutation{Delete: key})
		return "", nil
	}
	txn.Mutations = append(txn.Mutations, wire.Mutation{Put: key, Value: decision.State})
	for _, job := range decision.Jobs {
		answer, err := c.archive.Lookup(s.leadership.ctx, job.ID)
		if err != nil {
			return "", err
		}
		if answer.Found {
			return endKey(job.ID), nil
		}
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: jobKey(job.ID)}, wire.Condition{Key: endKey(job.ID)})
		txn.Conditions = c.withArchiveGuards(txn.Conditions, job.ID)
		txn.Mutations = append(txn.Mutations, wire.Mutation{Put: jobKey(job.ID), Value: jobRecord{Job: job, SubmittedAt: c.now()}})
	}
	if id := decision.Cancel; id != "" {
		txn.Conditions = c.withArchiveGuards(append(txn.Conditions, wire.Condition{Key: endKey(id)}), id)
		txn.Mutations = append(txn.Mutations, wire.Mutation{Put: endKey(id), Value: endRecord{Status: wire.JobCancelled, EndedAt: c.now()}})
	}
	return "", nil
}

// finish has the engine and the core know of stored decisions. Owner goroutine.
func (s *scheduleRunner) finish(decisions []recurring.Decision, version uint64) {
	l := s.leadership
	c := l.controller
	for _, decision := range decisions {
		s.engine.Committed(decision, version)
		for _, job := range decision.Jobs {
			c.statuses.addAccepted(job.ID)
			l.core.AddJob(job, c.now(), c.now())
			c.log.Info("scheduled run", "schedule", decision.Name, "job", job.ID)
			c.owner.requestPass()
		}
		s.logLastRun(&decision)
	}
}

// logLastRun logs a run that was not submitted.
func (s *scheduleRunner) logLastRun(decision *recurring.Decision) {
	if decision.State == nil || len(decision.State.Runs) == 0 {
		return
	}
	last := decision.State.Runs[len(decision.State.Runs)-1]
	if last.Status == wire.RunSubmitted {
		return
	}
	at := time.UnixMicro(last.At).UTC().Format(time.RFC3339)
	s.leadership.controller.log.Info("schedule run decided", "schedule", decision.Name, "status", last.Status, "reason", last.Reason, "at", at)
}

// storeOne stores a decision, or finds out why it is not stored. Without an answer it may be applied
// even later, but only as long as the schedule's state is the same: so what is read back is decided
// upon anew, and one of the two is refused.
func (s *scheduleRunner) storeOne(decision recurring.Decision) {
	l := s.leadership
	failedKeys, version, err := s.storeTogether([]recurring.Decision{decision})
	if err == nil {
		l.post(func() { s.finish([]recurring.Decision{decision}, version) })
		return
	}
	_, _ = l.controller.archive.Refresh(l.ctx, failedKeys) // if that fails, the next try does
	taken := idTaken(&decision, failedKeys)
	for l.ctx.Err() == nil {
		state, version, err := s.read(decision.Name)
		if err != nil {
			sleepContext(l.ctx, scheduleReadPause)
			continue
		}
		l.post(func() { s.engine.Retry(decision, state, version, taken, time.Now().UnixMicro()+decisionDelay) })
		return
	}
}

// idTaken says whether a decision failed since the id of one of its jobs is that of another job.
func idTaken(decision *recurring.Decision, failedKeys []string) bool {
	if slices.Contains(failedKeys, scheduleKey(decision.Name)) {
		return false // the job is perhaps of the decision that was stored in its place
	}
	return slices.ContainsFunc(decision.Jobs, func(job wire.Job) bool {
		return slices.Contains(failedKeys, jobKey(job.ID)) || slices.Contains(failedKeys, endKey(job.ID))
	})
}

// read reads the state of a schedule and its version, 0 if there is none.
func (s *scheduleRunner) read(name string) (state recurring.State, version uint64, err error) {
	entry, found, err := s.leadership.controller.store.Get(s.leadership.ctx, scheduleKey(name))
	if err != nil || !found {
		return state, 0, err
	}
	err = wire.Unmarshal(entry.Value, &state)
	return state, entry.Version, err
}

// coreJobs implements recurring.Jobs. Owner goroutine.
type coreJobs struct{ leadership *leadership }

// Running implements recurring.Jobs.
func (j coreJobs) Running(id string) bool { return j.leadership.core.IsActive(id) }

// Admit implements recurring.Jobs. While the machine types are not known a job waits as any does.
func (j coreJobs) Admit(job *wire.Job) error {
	c := j.leadership.controller
	catalog, known := c.machineTypes()
	if !known {
		return nil
	}
	return sched.Admit(c.settings, catalog, job)
}
