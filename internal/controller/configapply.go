package controller

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"dalefront/internal/dynconfig"
	"dalefront/internal/kvstore"
	"dalefront/internal/peer"
	"dalefront/wire"
)

// applier carries out one apply: it reads, plans, and stores the plan on condition that
// nothing has changed since it read; otherwise it begins again.
type applier struct {
	n     *Controller
	q     *dynconfig.Request
	ask   *peer.ConfigApplyRequest
	first uint64 // generation at the first read; 0: not read yet

	// The version of the generation's key that a switch without an answer was conditional on.
	// It may yet arrive as long as that is the key's version.
	unknown *uint64
}

var errEarlierVersion = errors.New("runs a version that knows no configuration at run time: update it first")

// PeerConfigApply implements peer.Server.
func (c *Controller) PeerConfigApply(ctx context.Context, ask *peer.ConfigApplyRequest) (*peer.ConfigApplyResponse, error) {
	ctx, cancel := context.WithTimeout(kvstore.Urgent(ctx), peer.ApplyTimeout)
	defer cancel()
	if ask.ID == "" {
		return &peer.ConfigApplyResponse{Outcome: peer.ConfigInvalid, Reason: "the apply has no name"}, nil
	}
	for i := range ask.Changes {
		if err := dynconfig.Check(c.settings, &ask.Changes[i]); err != nil {
			return &peer.ConfigApplyResponse{Outcome: peer.ConfigInvalid, Reason: err.Error()}, nil
		}
	}
	a := &applier{n: c, ask: ask, q: &dynconfig.Request{ID: ask.ID, By: ask.Author, Changes: ask.Changes, IfGeneration: ask.IfGeneration, At: c.now()}}
	return a.run(ctx), nil
}

// applyPause is how long an apply waits before it tries again.
const applyPause = 60 * time.Millisecond

func (a *applier) run(ctx context.Context) *peer.ConfigApplyResponse {
	var last error
	for ctx.Err() == nil {
		answer, err := a.try(ctx)
		if answer != nil {
			return answer
		}
		last = err
		sleepContext(ctx, applyPause)
	}
	if a.unknown != nil {
		return &peer.ConfigApplyResponse{Outcome: peer.ConfigUnknown, Reason: "the state service gave no answer: it may have been applied, or may yet be"}
	}
	return &peer.ConfigApplyResponse{Outcome: peer.ConfigRefused, Reason: fmt.Sprint(last)}
}

// try reads and stores once. It returns no answer if it is to be tried again.
func (a *applier) try(ctx context.Context) (*peer.ConfigApplyResponse, error) {
	s, _, err := a.n.config.read(ctx)
	if err != nil {
		return nil, err
	}
	// The history is read after the state: what the state shows applied is in it.
	done, keys, err := a.history(ctx, s)
	if err != nil || done != nil {
		return done, err
	}
	if a.unknown != nil && *a.unknown != s.GenerationVersion {
		a.unknown = nil // it failed its condition, and always will
	}
	if by := s.Generation.Staging; by != "" && by != a.q.ID {
		// What it has written until it is taken over, history too, is to be read after that.
		return nil, errors.Join(dynconfig.ErrStaging, a.claim(ctx, s))
	}
	if a.ask.RollbackTo != nil {
		if answer, err := a.rollBack(ctx, s); answer != nil || err != nil {
			return answer, err
		}
	}
	plan, err := s.Plan(a.q, keys, a.n.settings.TxnLimits())
	if err != nil {
		return a.unplanned(s, err)
	}
	term, err := a.term(ctx)
	if errors.Is(err, errEarlierVersion) {
		return &peer.ConfigApplyResponse{Outcome: peer.ConfigRefused, Reason: err.Error()}, nil
	} else if err != nil {
		return nil, err
	}
	if a.ask.DryRun {
		return &peer.ConfigApplyResponse{Outcome: peer.ConfigApplied, Generation: plan.Generation, Changes: plan.Changes}, nil
	}
	if err := a.store(ctx, s, plan, term); err != nil {
		return nil, err
	}
	a.tidy(plan.Tidy)
	_ = a.n.config.refresh(ctx) // the watch brings it all the same
	return &peer.ConfigApplyResponse{Outcome: peer.ConfigApplied, Generation: plan.Generation, Changes: plan.Changes}, nil
}

// unplanned answers a request that can't be planned, or lets it be tried again: while an
// earlier transaction of it may yet arrive nothing is final.
func (a *applier) unplanned(s *dynconfig.State, err error) (*peer.ConfigApplyResponse, error) {
	outcome := peer.ConfigInvalid
	switch {
	case errors.Is(err, dynconfig.ErrStaging):
		return nil, err
	case errors.Is(err, dynconfig.ErrNoChange):
		outcome = peer.ConfigUnchanged
	case errors.Is(err, dynconfig.ErrGeneration):
		outcome = peer.ConfigStale
	}
	if a.unknown != nil {
		return nil, err
	}
	return &peer.ConfigApplyResponse{Outcome: outcome, Generation: s.Generation.Number, Reason: err.Error()}, nil
}

// oldestHistory is how many of the oldest keys of the history are looked at, to be tidied.
const oldestHistory = 8

// history looks whether this apply is in force already, and returns the oldest and newest
// keys of the history. An apply that is asked for the first time can only be there since its
// first read.
func (a *applier) history(ctx context.Context, s *dynconfig.State) (*peer.ConfigApplyResponse, []string, error) {
	oldest, err := a.n.store.Page(ctx, dynconfig.HistoryPrefix, "", oldestHistory)
	if err != nil {
		return nil, nil, err
	}
	if a.first == 0 {
		a.first = s.Generation.Number + 1
	}
	from := a.first
	if a.ask.Retry {
		from = 0
	}
	newest, err := a.n.store.Page(ctx, dynconfig.HistoryPrefix, dynconfig.HistoryBefore(from), configPage)
	if err != nil {
		return nil, nil, err
	}
	history, err := dynconfig.ReadHistory(newest.Items, s.Generation.Number)
	if err != nil {
		return nil, nil, err
	}
	for _, h := range history {
		if h.Apply == a.q.ID {
			return &peer.ConfigApplyResponse{Outcome: peer.ConfigApplied, Generation: h.Generation, Changes: h.Changes}, nil, nil
		}
	}
	return nil, dynconfig.HistoryKeys(append(oldest.Items, newest.Items...)), nil
}

// claim takes the generation's key over from an apply that is writing, or that ended while it
// wrote.
func (a *applier) claim(ctx context.Context, s *dynconfig.State) error {
	_, err := a.n.store.Txn(ctx, wire.Txn{Conditions: []wire.Condition{generationCond(s.GenerationVersion)}, Mutations: s.Claim(a.q.ID)})
	return err
}

// rollBack makes the request's changes those that lead back to a generation.
func (a *applier) rollBack(ctx context.Context, s *dynconfig.State) (*peer.ConfigApplyResponse, error) {
	history, err := a.n.config.history(ctx, s)
	if err != nil {
		return nil, err
	}
	if a.q.Changes, err = dynconfig.RollBack(history, *a.ask.RollbackTo); err != nil {
		return &peer.ConfigApplyResponse{Outcome: peer.ConfigInvalid, Reason: err.Error()}, nil
	}
	return nil, nil
}

// term is the condition that the leader, if there is one, stores launches on condition of the
// generation, and stays the leader until the change is stored.
func (a *applier) term(ctx context.Context) (wire.Condition, error) {
	e, found, err := a.n.store.Get(ctx, termKey)
	if err != nil {
		return wire.Condition{}, err
	}
	old := a.n.config.earlierPeers()
	if found {
		var t termRecord
		if err := wire.Unmarshal(e.Value, &t); err != nil {
			return wire.Condition{}, err
		}
		if !t.SupportsConfig {
			old = []string{t.Node}
		}
	}
	if len(old) > 0 {
		return wire.Condition{}, fmt.Errorf("%s %w", strings.Join(old, ", "), errEarlierVersion)
	}
	return wire.Condition{Key: termKey, Version: e.Version}, nil // version 0: there is none, and none may come
}

// store carries a plan out. Whatever of it has no answer is found by reading again.
func (a *applier) store(ctx context.Context, s *dynconfig.State, plan *dynconfig.Plan, term wire.Condition) error {
	version := s.GenerationVersion
	if plan.Stage != nil {
		answer, err := a.n.store.Txn(ctx, wire.Txn{Conditions: []wire.Condition{generationCond(version)}, Mutations: plan.Stage})
		if err != nil {
			return err
		}
		version = answer.Revision
	}
	for _, batch := range plan.Batches {
		if _, err := a.n.store.Txn(ctx, wire.Txn{Conditions: []wire.Condition{generationCond(version)}, Mutations: batch}); err != nil {
			return err
		}
	}
	_, err := a.n.store.Txn(ctx, wire.Txn{Conditions: []wire.Condition{generationCond(version), term}, Mutations: plan.Switch})
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		a.unknown = &version
	}
	return err
}

// tidy deletes old history, in the background: nothing depends on when.
func (a *applier) tidy(keys []string) {
	if len(keys) == 0 {
		return
	}
	var txn wire.Txn
	for _, k := range keys[:min(len(keys), a.n.settings.Deployment.State.TxnOps)] {
		txn.Mutations = append(txn.Mutations, wire.Mutation{Delete: k})
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), peer.ApplyTimeout)
		defer cancel()
		_, _ = a.n.store.Txn(ctx, txn) // the next apply finds what is left
	}()
}
