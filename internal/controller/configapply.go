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

const (
	applyRetryPause = 60 * time.Millisecond
	oldestHistory   = 8 // so many of the oldest keys of the history are looked at, to be deleted
)

// errNoConfigSupport means that a controller would not obey the configuration.
var errNoConfigSupport = errors.New("runs a version that knows no configuration at run time: update it first")

// rejection is an error that ends an apply: nothing was changed, and trying again doesn't help.
type rejection struct {
	outcome    peer.ConfigOutcome
	generation uint64 // that is in force, 0 if that doesn't matter
	err        error
}

// Error implements error.
func (r *rejection) Error() string { return r.err.Error() }

// Unwrap returns the reason.
func (r *rejection) Unwrap() error { return r.err }

// response is the answer to a request that is rejected.
func (r *rejection) response() *peer.ConfigApplyResponse {
	return &peer.ConfigApplyResponse{Outcome: r.outcome, Generation: r.generation, Reason: r.err.Error()}
}

// errApplyUnnamed means that an apply has no id to know it again by.
var errApplyUnnamed = errors.New("the apply has no name")

// PeerConfigApply implements peer.Server.
func (c *Controller) PeerConfigApply(ctx context.Context, request *peer.ConfigApplyRequest) (*peer.ConfigApplyResponse, error) {
	ctx, cancel := context.WithTimeout(kvstore.Urgent(ctx), peer.ApplyTimeout)
	defer cancel()
	if err := c.checkApply(request); err != nil {
		return (&rejection{outcome: peer.ConfigInvalid, err: err}).response(), nil
	}
	a := &configApplier{
		controller: c,
		request:    request,
		change:     &dynconfig.ApplyRequest{ID: request.ID, Author: request.Author, Changes: request.Changes, IfGeneration: request.IfGeneration, At: c.now()},
	}
	return a.run(ctx), nil
}

// checkApply returns what is wrong with a request, whatever is stored.
func (c *Controller) checkApply(request *peer.ConfigApplyRequest) error {
	if request.ID == "" {
		return errApplyUnnamed
	}
	for i := range request.Changes {
		if err := dynconfig.Check(c.settings, &request.Changes[i]); err != nil {
			return err
		}
	}
	return nil
}

// configApplier carries out one apply: it reads, plans, and stores the plan on condition that nothing
// has changed since it read; otherwise it begins again.
type configApplier struct {
	controller      *Controller
	request         *peer.ConfigApplyRequest
	change          *dynconfig.ApplyRequest // as it is planned
	firstGeneration uint64                  // the first one that can be of this apply; 0: nothing was read yet

	// unresolvedVersion is the version of the generation's key that a switch without an answer was
	// conditional on. The switch may yet be applied as long as that is the key's version.
	unresolvedVersion *uint64
}

// run tries until there is an outcome or the context ends.
func (a *configApplier) run(ctx context.Context) *peer.ConfigApplyResponse {
	var last error
	for ctx.Err() == nil {
		response, err := a.attempt(ctx)
		if err == nil {
			return response
		}
		var rejected *rejection
		if errors.As(err, &rejected) {
			return rejected.response()
		}
		last = err
		sleepContext(ctx, applyRetryPause)
	}
	if a.unresolvedVersion != nil {
		return &peer.ConfigApplyResponse{Outcome: peer.ConfigUnknown, Reason: "the state service gave no answer: it may have been applied, or may yet be"}
	}
	return &peer.ConfigApplyResponse{Outcome: peer.ConfigRefused, Reason: fmt.Sprint(last)}
}

// attempt reads and stores once. After an error that is no rejection it is to be tried again.
func (a *configApplier) attempt(ctx context.Context) (*peer.ConfigApplyResponse, error) {
	state, _, err := a.controller.config.readState(ctx)
	if err != nil {
		return nil, err
	}
	// The history is read after the state: what the state shows applied is in it.
	applied, historyKeys, err := a.findApplied(ctx, state)
	if err != nil {
		return nil, err
	}
	if applied != nil {
		return appliedResponse(applied.Generation, applied.Changes), nil
	}
	if a.unresolvedVersion != nil && *a.unresolvedVersion != state.GenerationVersion {
		a.unresolvedVersion = nil // it failed its condition, and always will
	}
	if by := state.Generation.StagingApplyID; by != "" && by != a.change.ID {
		// What the other apply writes until it is taken over, history too, is to be read after that.
		return nil, errors.Join(dynconfig.ErrApplyInProgress, a.claim(ctx, state))
	}
	return a.planAndStore(ctx, state, historyKeys)
}

// planAndStore plans the change against a state and stores it.
func (a *configApplier) planAndStore(ctx context.Context, state *dynconfig.State, historyKeys []string) (*peer.ConfigApplyResponse, error) {
	if a.request.RollbackTo != nil {
		if err := a.planRollback(ctx, state, *a.request.RollbackTo); err != nil {
			return nil, err
		}
	}
	plan, err := state.Plan(a.change, historyKeys, a.controller.settings.TxnLimits())
	if err != nil {
		return nil, a.planError(state, err)
	}
	term, err := a.termCondition(ctx)
	if err != nil {
		return nil, err
	}
	if a.request.DryRun {
		return appliedResponse(plan.Generation, plan.Changes), nil
	}
	if err := a.store(ctx, state, plan, term); err != nil {
		return nil, err
	}
	a.deleteHistory(plan.ObsoleteKeys)
	_ = a.controller.config.refresh(ctx) // the watch brings it all the same
	return appliedResponse(plan.Generation, plan.Changes), nil
}

func appliedResponse(generation uint64, changes []dynconfig.HistoryChange) *peer.ConfigApplyResponse {
	return &peer.ConfigApplyResponse{Outcome: peer.ConfigApplied, Generation: generation, Changes: changes}
}

// planError makes a rejection of what a plan failed for, unless it is to be tried again: while an
// earlier transaction of the apply may yet be applied nothing is final.
func (a *configApplier) planError(state *dynconfig.State, err error) error {
	if errors.Is(err, dynconfig.ErrApplyInProgress) || a.unresolvedVersion != nil {
		return err
	}
	outcome := peer.ConfigInvalid
	switch {
	case errors.Is(err, dynconfig.ErrNoChange):
		outcome = peer.ConfigUnchanged
	case errors.Is(err, dynconfig.ErrGenerationChanged):
		outcome = peer.ConfigStale
	}
	return &rejection{outcome: outcome, generation: state.Generation.Number, err: err}
}

// findApplied returns the generation of this apply, if it is in force already, and otherwise the
// oldest and newest keys of the history. An apply that is requested for the first time can only be
// there since its first read.
func (a *configApplier) findApplied(ctx context.Context, state *dynconfig.State) (*dynconfig.History, []string, error) {
	store := a.controller.store
	oldest, err := store.Page(ctx, dynconfig.HistoryPrefix, "", oldestHistory)
	if err != nil {
		return nil, nil, err
	}
	if a.firstGeneration == 0 {
		a.firstGeneration = state.Generation.Number + 1
	}
	from := a.firstGeneration
	if a.request.Retry {
		from = 0
	}
	newest, err := store.Page(ctx, dynconfig.HistoryPrefix, dynconfig.HistoryCursor(from), configPage)
	if err != nil {
		return nil, nil, err
	}
	history, err := dynconfig.ReadHistory(newest.Items, state.Generation.Number)
	if err != nil {
		return nil, nil, err
	}
	for i := range history {
		if history[i].ApplyID == a.change.ID {
			return &history[i], nil, nil
		}
	}
	return nil, dynconfig.HistoryKeys(append(oldest.Items, newest.Items...)), nil
}

// claim takes the generation's key over from an apply that is writing, or that ended while it wrote.
func (a *configApplier) claim(ctx context.Context, state *dynconfig.State) error {
	_, err := a.controller.store.Txn(ctx, wire.Txn{
		Conditions: []wire.Condition{generationCondition(state.GenerationVersion)},
		Mutations:  state.Claim(a.change.ID),
	})
	return err
}

// planRollback makes the changes those that lead back to a generation.
func (a *configApplier) planRollback(ctx context.Context, state *dynconfig.State, to uint64) error {
	history, err := a.controller.config.readHistory(ctx, state)
	if err != nil {
		return err
	}
	if a.change.Changes, err = dynconfig.Rollback(history, to); err != nil {
		return &rejection{outcome: peer.ConfigInvalid, err: err}
	}
	return nil
}

// termCondition is the condition that the leader, if there is one, stores launches on condition of
// the generation, and stays the leader until the change is stored. It is rejected while a controller
// doesn't support that.
func (a *configApplier) termCondition(ctx context.Context) (wire.Condition, error) {
	entry, found, err := a.controller.store.Get(ctx, termKey)
	if err != nil {
		return wire.Condition{}, err
	}
	unsupporting := a.controller.config.peersWithoutSupport()
	if found {
		var term termRecord
		if err := wire.Unmarshal(entry.Value, &term); err != nil {
			return wire.Condition{}, err
		}
		if !term.SupportsConfig {
			unsupporting = []string{term.Node}
		}
	}
	if len(unsupporting) > 0 {
		err := fmt.Errorf("%s %w", strings.Join(unsupporting, ", "), errNoConfigSupport)
		return wire.Condition{}, &rejection{outcome: peer.ConfigRefused, err: err}
	}
	return wire.Condition{Key: termKey, Version: entry.Version}, nil // version 0: there is no term, and none may begin
}

// store carries a plan out. Whatever of it has no answer is found by reading again.
func (a *configApplier) store(ctx context.Context, state *dynconfig.State, plan *dynconfig.Plan, term wire.Condition) error {
	store := a.controller.store
	version := state.GenerationVersion
	if plan.Claim != nil {
		response, err := store.Txn(ctx, wire.Txn{Conditions: []wire.Condition{generationCondition(version)}, Mutations: plan.Claim})
		if err != nil {
			return err
		}
		version = response.Revision
	}
	for _, batch := range plan.StageBatches {
		if _, err := store.Txn(ctx, wire.Txn{Conditions: []wire.Condition{generationCondition(version)}, Mutations: batch}); err != nil {
			return err
		}
	}
	_, err := store.Txn(ctx, wire.Txn{Conditions: []wire.Condition{generationCondition(version), term}, Mutations: plan.Activate})
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		a.unresolvedVersion = &version
	}
	return err
}

// deleteHistory deletes old history in the background: nothing depends on when, and the next apply
// finds what is left.
func (a *configApplier) deleteHistory(keys []string) {
	if len(keys) == 0 {
		return
	}
	var txn wire.Txn
	for _, key := range keys[:min(len(keys), a.controller.settings.Deployment.State.TxnOps)] {
		txn.Mutations = append(txn.Mutations, wire.Mutation{Delete: key})
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), peer.ApplyTimeout)
		defer cancel()
		_, _ = a.controller.store.Txn(ctx, txn)
	}()
}
