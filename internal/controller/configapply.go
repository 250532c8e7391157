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
	applyRetryPause   = 60 * time.Millisecond
	oldestHistoryKeys = 8 // number of oldest history keys that a configuration change reads to find obsolete keys
)

// errNoConfigSupport means that a controller's version would ignore the stored configuration.
var errNoConfigSupport = errors.New("runs a version that knows no configuration at run time: update it first")

// rejection is an error that ends a configuration change: nothing was changed, and an immediate retry would
// fail too.
type rejection struct {
	outcome    peer.ConfigOutcome
	generation uint64 // generation in force, or 0 if the reason doesn't depend on the generation
	err        error
}

// Error implements error.
func (r *rejection) Error() string { return r.err.Error() }

// Unwrap returns the reason.
func (r *rejection) Unwrap() error { return r.err }

// response returns the response to a rejected request.
func (r *rejection) response() *peer.ConfigApplyResponse {
	return &peer.ConfigApplyResponse{Outcome: r.outcome, Generation: r.generation, Reason: r.err.Error()}
}

// errMissingApplyID means that a request for a configuration change has no ID. The ID is needed to recognize
// retries of the request.
var errMissingApplyID = errors.New("the apply has no name")

// PeerConfigApply implements peer.Server.
func (c *Controller) PeerConfigApply(ctx context.Context, request *peer.ConfigApplyRequest) (*peer.ConfigApplyResponse, error) {
	ctx, cancel := context.WithTimeout(kvstore.Urgent(ctx), peer.ApplyTimeout)
	defer cancel()
	if err := c.checkApply(request); err != nil {
		return (&rejection{outcome: peer.ConfigInvalid, err: err}).response(), nil
	}
	a := &configApplier{
		controller:  c,
		request:     request,
		planRequest: &dynconfig.ApplyRequest{ID: request.ID, Author: request.Author, Changes: request.Changes, IfGeneration: request.IfGeneration, At: c.now()},
	}
	return a.run(ctx), nil
}

// checkApply validates a request independently of the stored configuration.
func (c *Controller) checkApply(request *peer.ConfigApplyRequest) error {
	if request.ID == "" {
		return errMissingApplyID
	}
	for i := range request.Changes {
		if err := dynconfig.Check(c.settings, &request.Changes[i]); err != nil {
			return err
		}
	}
	return nil
}

// configApplier carries out one request for a configuration change: it reads the stored configuration, plans
// the change, and stores the plan on condition that nothing has changed since the read. If something has
// changed, it starts again.
type configApplier struct {
	controller      *Controller
	request         *peer.ConfigApplyRequest
	planRequest     *dynconfig.ApplyRequest // input of the plan
	firstGeneration uint64                  // lowest generation that this request may have created; 0 before the first read

	// unresolvedVersion belongs to an activation, the transaction that puts a new generation in force, whose
	// outcome is unknown. It is the version of the generation key that the activation requires. As long as
	// the key has this version, the activation may still be applied.
	unresolvedVersion *uint64
}

// run retries until there is an outcome or the context ends.
func (a *configApplier) run(ctx context.Context) *peer.ConfigApplyResponse {
	var lastErr error
	for ctx.Err() == nil {
		response, err := a.attempt(ctx)
		if err == nil {
			return response
		}
		var rejected *rejection
		if errors.As(err, &rejected) {
			return rejected.response()
		}
		lastErr = err
		sleepContext(ctx, applyRetryPause)
	}
	if a.unresolvedVersion != nil {
		return &peer.ConfigApplyResponse{Outcome: peer.ConfigUnknown, Reason: "the state service gave no answer: it may have been applied, or may yet be"}
	}
	return &peer.ConfigApplyResponse{Outcome: peer.ConfigRefused, Reason: fmt.Sprint(lastErr)}
}

// attempt makes one attempt to read, plan and store. The caller retries after an error other than a
// rejection.
func (a *configApplier) attempt(ctx context.Context) (*peer.ConfigApplyResponse, error) {
	state, _, err := a.controller.config.readState(ctx)
	if err != nil {
		return nil, err
	}
	// The history is read after the state, so it includes every generation up to that of the state.
	applied, historyKeys, err := a.findApplied(ctx, state)
	if err != nil {
		return nil, err
	}
	if applied != nil {
		return appliedResponse(applied.Generation, applied.Changes), nil
	}
	if a.unresolvedVersion != nil && *a.unresolvedVersion != state.GenerationVersion {
		a.unresolvedVersion = nil // the condition of the unresolved activation failed and can't hold again
	}
	if otherID := state.Generation.StagingApplyID; otherID != "" && otherID != a.planRequest.ID {
		// The other configuration change may write documents and history until the claim is stored, so the
		// next attempt reads the documents and the history again.
		return nil, errors.Join(dynconfig.ErrApplyInProgress, a.claim(ctx, state))
	}
	return a.planAndStore(ctx, state, historyKeys)
}

// planAndStore plans the change against a state and stores the plan.
func (a *configApplier) planAndStore(ctx context.Context, state *dynconfig.State, historyKeys []string) (*peer.ConfigApplyResponse, error) {
	if a.request.RollbackTo != nil {
		if err := a.planRollback(ctx, state, *a.request.RollbackTo); err != nil {
			return nil, err
		}
	}
	plan, err := state.Plan(a.planRequest, historyKeys, a.controller.settings.TxnLimits())
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
	_ = a.controller.config.refresh(ctx) // if this fails, the watch delivers the change
	return appliedResponse(plan.Generation, plan.Changes), nil
}

func appliedResponse(generation uint64, changes []dynconfig.HistoryChange) *peer.ConfigApplyResponse {
	return &peer.ConfigApplyResponse{Outcome: peer.ConfigApplied, Generation: generation, Changes: changes}
}

// planError turns a planning error into a rejection. It returns the error unchanged if the attempt is to be
// repeated. The attempt is repeated while another configuration change is in progress. It is also repeated
// while an earlier transaction of this configuration change may still be applied, because until then no
// outcome is final.
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

// findApplied returns the history of the generation that this request has created, if that generation is
// already in force. Otherwise it returns the oldest and newest keys of the history. A request that is not a
// retry can only have created a generation after its first read, so older generations are not searched.
func (a *configApplier) findApplied(ctx context.Context, state *dynconfig.State) (*dynconfig.History, []string, error) {
	store := a.controller.store
	oldest, err := store.Page(ctx, dynconfig.HistoryPrefix, "", oldestHistoryKeys)
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
	newest, err := store.Page(ctx, dynconfig.HistoryPrefix, dynconfig.HistoryCursor(from), configPageSize)
	if err != nil {
		return nil, nil, err
	}
	history, err := dynconfig.ReadHistory(newest.Items, state.Generation.Number)
	if err != nil {
		return nil, nil, err
	}
	for i := range history {
		if history[i].ApplyID == a.planRequest.ID {
			return &history[i], nil, nil
		}
	}
	return nil, dynconfig.HistoryKeys(append(oldest.Items, newest.Items...)), nil
}

// claim takes over the generation key from another configuration change that is writing pending versions, or
// that was interrupted while writing them.
func (a *configApplier) claim(ctx context.Context, state *dynconfig.State) error {
	_, err := a.controller.store.Txn(ctx, wire.Txn{
		Conditions: []wire.Condition{generationCondition(state.GenerationVersion)},
		Mutations:  state.Claim(a.planRequest.ID),
	})
	return err
}

// planRollback replaces the requested changes by the changes that restore the given generation.
func (a *configApplier) planRollback(ctx context.Context, state *dynconfig.State, generation uint64) error {
	history, err := a.controller.config.readHistory(ctx, state)
	if err != nil {
		return err
	}
	if a.planRequest.Changes, err = dynconfig.Rollback(history, generation); err != nil {
		return &rejection{outcome: peer.ConfigInvalid, err: err}
	}
	return nil
}

// termCondition checks the leader, if there is one, and returns the condition that the term doesn't change
// until the configuration is stored. The checked leader is therefore still the leader when the configuration
// is stored, and makes its launches conditional on the generation. The request is rejected if the leader or a
// peer doesn't support run-time configuration.
func (a *configApplier) termCondition(ctx context.Context) (wire.Condition, error) {
	entry, found, err := a.controller.store.Get(ctx, termKey)
	if err != nil {
		return wire.Condition{}, err
	}
	outdated := a.controller.config.peersWithoutSupport()
	if found {
		var term termRecord
		if err := wire.Unmarshal(entry.Value, &term); err != nil {
			return wire.Condition{}, err
		}
		if !term.SupportsConfig {
			outdated = []string{term.Node}
		}
	}
	if len(outdated) > 0 {
		err := fmt.Errorf("%s %w", strings.Join(outdated, ", "), errNoConfigSupport)
		return wire.Condition{}, &rejection{outcome: peer.ConfigRefused, err: err}
	}
	return wire.Condition{Key: termKey, Version: entry.Version}, nil // version 0 requires that no term exists
}

// store carries out a plan. After an unknown outcome, the next attempt reads whether the plan was applied.
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

// deleteHistory deletes obsolete history keys in the background. Nothing depends on when they are deleted,
// and the next configuration change finds the keys that are left.
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
