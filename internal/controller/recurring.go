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
	// maxDecisionsPerTxn is the maximum number of schedules that are decided in one transaction.
	maxDecisionsPerTxn = 8
	// operationsPerDecision is the number of mutations that a transaction reserves for each decision.
	operationsPerDecision = 4
	// scheduleWriteDivisor limits the rate of writes for schedules, to the key-value store's write rate
	// divided by scheduleWriteDivisor. Launches need the rest of the write rate.
	scheduleWriteDivisor = 8
	// decisionRetryDelay is the time in microseconds after which a schedule is decided again if its
	// decision could not be stored.
	decisionRetryDelay = int64(time.Second / time.Microsecond)
	// scheduleReadRetryPause is the pause before another attempt to read a schedule's state.
	scheduleReadRetryPause = 500 * time.Millisecond
)

// errTxnTooLarge means that decisions exceed the limits of one transaction.
var errTxnTooLarge = errors.New("decisions exceed the limits of one transaction")

// scheduleRunner submits the jobs of recurring schedules while this controller leads. Only the owner
// goroutine accesses its fields.
type scheduleRunner struct {
	leadership *leadership
	engine     *recurring.Engine // nil if no calendar is configured
	task       backgroundTask
}

// load creates the engine of a term from the calendar and the stored schedule states.
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
	scheduled, removed := s.engine.Count()
	c.log.Info("schedules loaded", "known", scheduled, "removed", removed)
	return nil
}

// start decides about the schedules that are due and starts to store the decisions. It does nothing while an
// earlier batch of decisions is being stored. Its methods must be called on the owner goroutine.
func (s *scheduleRunner) start() {
	if s.engine == nil || s.task.running {
		return
	}
	limit := max(1, min(s.leadership.controller.settings.Deployment.State.TxnOps/operationsPerDecision, maxDecisionsPerTxn))
	decisions := s.engine.DecideDue(time.Now().UnixMicro(), limit, coreJobs{s.leadership})
	if len(decisions) == 0 {
		return
	}
	s.leadership.startTask(&s.task, func() func() {
		s.store(decisions)
		return nil
	})
}

// store stores decisions in one transaction or, if that fails, one by one. It then waits long enough to
// keep schedules within their share of the store's write rate.
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
	sleepContext(l.ctx, seconds(float64(changes*scheduleWriteDivisor)/writeRPS))
}

// storeTogether stores decisions in one transaction and returns the version of the keys that it wrote.
// On a conflict it returns the keys whose conditions failed.
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

// addDecision adds a decision to a transaction. The transaction then fails if the schedule's state has
// changed since the decision was made. It also fails if a job with one of the decision's job IDs exists or
// has existed. If such a job is archived, addDecision returns the key of that job's end record.
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
		txn.Conditions = c.withAbsenceConditions(txn.Conditions, job.ID)
		txn.Mutations = append(txn.Mutations, wire.Mutation{Put: jobKey(job.ID), Value: jobRecord{Job: job, SubmittedAt: c.now()}})
	}
	if id := decision.Cancel; id != "" {
		txn.Conditions = c.withAbsenceConditions(append(txn.Conditions, wire.Condition{Key: endKey(id)}), id)
		txn.Mutations = append(txn.Mutations, wire.Mutation{Put: endKey(id), Value: endRecord{Status: wire.JobCancelled, EndedAt: c.now()}})
	}
	return "", nil
}

// finish updates the engine and the core after decisions were stored. It must be called on the owner
// goroutine.
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
		s.logUnsubmittedRun(&decision)
	}
}

// logUnsubmittedRun logs the last run of a decision's schedule if it was not submitted.
func (s *scheduleRunner) logUnsubmittedRun(decision *recurring.Decision) {
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

// storeOne stores a decision. If that fails, the engine decides about the schedule again. A transaction
// without a response may still be applied later, but only as long as the schedule's state is unchanged.
// The new decision is based on the state that is read back, so at most one of the two decisions is stored.
func (s *scheduleRunner) storeOne(decision recurring.Decision) {
	l := s.leadership
	failedKeys, version, err := s.storeTogether([]recurring.Decision{decision})
	if err == nil {
		l.post(func() { s.finish([]recurring.Decision{decision}, version) })
		return
	}
	_, _ = l.controller.archive.Refresh(l.ctx, failedKeys) // if this fails, the next attempt refreshes
	taken := idTaken(&decision, failedKeys)
	for l.ctx.Err() == nil {
		state, version, err := s.read(decision.Name)
		if err != nil {
			sleepContext(l.ctx, scheduleReadRetryPause)
			continue
		}
		l.post(func() { s.engine.Retry(decision, state, version, taken, time.Now().UnixMicro()+decisionRetryDelay) })
		return
	}
}

// idTaken reports whether a decision failed because another job has the ID of one of the decision's jobs.
func idTaken(decision *recurring.Decision, failedKeys []string) bool {
	if slices.Contains(failedKeys, scheduleKey(decision.Name)) {
		return false // the existing job may belong to another decision about the schedule, which was stored instead
	}
	return slices.ContainsFunc(decision.Jobs, func(job wire.Job) bool {
		return slices.Contains(failedKeys, jobKey(job.ID)) || slices.Contains(failedKeys, endKey(job.ID))
	})
}

// read reads a schedule's state and the version of its key. The version is 0 if no state is stored.
func (s *scheduleRunner) read(name string) (state recurring.State, version uint64, err error) {
	entry, found, err := s.leadership.controller.store.Get(s.leadership.ctx, scheduleKey(name))
	if err != nil || !found {
		return state, 0, err
	}
	err = wire.Unmarshal(entry.Value, &state)
	return state, entry.Version, err
}

// coreJobs implements recurring.Jobs with the core of a leadership. It must be called on the owner goroutine.
type coreJobs struct{ leadership *leadership }

// Running implements recurring.Jobs.
func (j coreJobs) Running(id string) bool { return j.leadership.core.IsActive(id) }

// Admit implements recurring.Jobs. While the machine types are unknown it admits every job. An admitted job
// waits until it can be placed.
func (j coreJobs) Admit(job *wire.Job) error {
	c := j.leadership.controller
	catalog, known := c.machineTypes()
	if !known {
		return nil
	}
	return sched.Admit(c.settings, catalog, job)
}
