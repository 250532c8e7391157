package dynconfig

import (
	"fmt"
	"maps"
	"slices"

	"dalefront/wire"
)

// Limits on the stored configuration, and constants of the transactions of a plan.
const (
	MaxDocuments            = 2000
	MaxHistory              = 200 // number of generations whose history is retained
	maxEmptyRecordDeletions = 4   // maximum number of records without a document that one change also deletes
	conditionsPerTxn        = 3   // conditions assumed for each transaction: generation, leadership and one more
)

// Placeholders for values that are not known yet when the size of a transaction is computed. Their
// encoding is at least as long as that of any real value.
const (
	placeholderVersion   = 1 << 60
	placeholderPartCount = 1 << 20
)

// ApplyRequest is a request to change the configuration.
type ApplyRequest struct {
	ID           string // idempotency key: repeated requests with the same ID take effect once
	Author       string
	Changes      []Change
	IfGeneration *uint64 // if not nil, the request fails unless this generation is active
	At           int64   // Unix time in microseconds
}

// Plan is the sequence of transactions that carries out a request: Claim, each of the StageBatches,
// and Activate. Each transaction is conditional on the version that GenerationKey has after the
// transaction before it. A plan that fits in one transaction has only Activate. Once Activate has
// succeeded, ObsoleteKeys can be deleted at any time.
type Plan struct {
	Generation   uint64
	Claim        []wire.Mutation
	StageBatches [][]wire.Mutation
	Activate     []wire.Mutation
	ObsoleteKeys []string
	Changes      []HistoryChange
}

// Claim returns the mutation of GenerationKey by which a configuration change supersedes another
// configuration change that is writing pending versions. After the mutation, the transactions of the other
// change fail. Its earlier transactions have changed the store, so the caller must read the state and the
// history again.
func (s *State) Claim(applyID string) []wire.Mutation {
	claimed := s.Generation
	claimed.StagingApplyID = applyID
	return []wire.Mutation{{Put: GenerationKey, Value: claimed}}
}

// Plan plans a request that changes the state. historyKeys must include the oldest and the newest keys
// of the stored history. Plan does not modify the state and does not validate the documents. Errors are
// ErrGenerationChanged, ErrApplyInProgress, ErrNoChange, ErrTooLarge and *DocumentCountError.
func (s *State) Plan(request *ApplyRequest, historyKeys []string, limits wire.TxnLimits) (*Plan, error) {
	if request.IfGeneration != nil && *request.IfGeneration != s.Generation.Number {
		return nil, &GenerationMismatchError{Active: s.Generation.Number, Expected: *request.IfGeneration}
	}
	if s.Generation.StagingApplyID != "" && s.Generation.StagingApplyID != request.ID {
		return nil, ErrApplyInProgress
	}
	p := planner{state: s, request: request, limits: limits}
	p.plan.Generation = s.Generation.Number + 1
	p.plan.Changes = s.differences(request.Changes)
	if len(p.plan.Changes) == 0 {
		return nil, ErrNoChange
	}
	if count := len(s.Documents()) + len(p.plan.Changes); count > MaxDocuments {
		return nil, &DocumentCountError{count, MaxDocuments}
	}
	if err := p.planMutations(historyKeys); err != nil {
		return nil, err
	}
	return &p.plan, nil
}

// differences compares the changes with the active documents and returns the changes that have an
// effect.
func (s *State) differences(changes []Change) (differences []HistoryChange) {
	for i := range changes {
		change := &changes[i]
		difference := HistoryChange{Kind: change.Kind, Name: change.Name}
		if old := s.Find(change.Kind, change.Name); old != nil {
			difference.Before = old.Body
		}
		if !change.Remove {
			difference.After = change.Body
		}
		if !slices.Equal(difference.Before, difference.After) {
			differences = append(differences, difference)
		}
	}
	return differences
}

// planner builds the plan of one request.
type planner struct {
	state   *State
	request *ApplyRequest
	limits  wire.TxnLimits
	plan    Plan
}

// planMutations plans a single transaction if all mutations fit in one. Otherwise it plans a claim
// (unless the request has made its claim already), batches that stage the changes, and the activation.
func (p *planner) planMutations(historyKeys []string) error {
	next := Generation{Number: p.plan.Generation, ApplyID: p.request.ID, At: p.request.At}
	activate := wire.Mutation{Put: GenerationKey, Value: next}
	history, err := p.historyMutations()
	if err != nil {
		return err
	}
	abandoned, obsolete := classifyHistory(historyKeys, p.plan.Generation, len(history))
	p.plan.ObsoleteKeys = obsolete
	p.plan.Activate = slices.Concat(p.replaceDocuments(), p.cleanRecords(), history, []wire.Mutation{activate}, deletions(abandoned))
	if p.fits(p.plan.Activate) {
		return nil
	}
	p.plan.Activate = []wire.Mutation{activate}
	if p.state.Generation.StagingApplyID == "" {
		p.plan.Claim = p.state.Claim(p.request.ID)
	}
	return p.planBatches(slices.Concat(p.cleanRecords(), p.stageDocuments(), history, deletions(abandoned)))
}

// replaceDocuments returns the mutations that change the documents in a single transaction.
func (p *planner) replaceDocuments() (mutations []wire.Mutation) {
	for _, change := range p.plan.Changes {
		key := documentKey(change.Kind, change.Name)
		if change.After == nil {
			mutations = append(mutations, wire.Mutation{Delete: key})
			continue
		}
		current := &DocumentVersion{Generation: p.plan.Generation, Body: change.After}
		mutations = append(mutations, wire.Mutation{Put: key, Value: Record{Current: current}})
	}
	return mutations
}

// stageDocuments returns the mutations that store the changed documents as pending versions, which
// become active together with the new generation.
func (p *planner) stageDocuments() (mutations []wire.Mutation) {
	for _, change := range p.plan.Changes {
		key := documentKey(change.Kind, change.Name)
		old := p.state.records[key]
		mutations = append(mutations, wire.Mutation{Put: key, Value: Record{
			Current: old.versionAt(p.state.Generation.Number),
			Pending: &DocumentVersion{Generation: p.plan.Generation, Body: change.After, Removed: change.After == nil},
		}})
	}
	return mutations
}

// cleanRecords returns the mutations that remove the pending versions of an abandoned configuration change
// from the records of unchanged documents. The new generation would activate these versions. cleanRecords
// also deletes records without a document, until maxEmptyRecordDeletions records are deleted.
func (p *planner) cleanRecords() (mutations []wire.Mutation) {
	changed := map[string]bool{}
	for _, change := range p.plan.Changes {
		changed[documentKey(change.Kind, change.Name)] = true
	}
	generation := p.state.Generation.Number
	deleted := 0
	for _, key := range slices.Sorted(maps.Keys(p.state.records)) {
		record := p.state.records[key]
		current := record.versionAt(generation)
		switch {
		case changed[key]:
		case current == nil && (record.hasAbandonedVersion(generation) || deleted < maxEmptyRecordDeletions):
			deleted++
			mutations = append(mutations, wire.Mutation{Delete: key})
		case record.hasAbandonedVersion(generation):
			mutations = append(mutations, wire.Mutation{Put: key, Value: Record{Current: current}})
		}
	}
	return mutations
}

// planBatches splits mutations into transactions that are within the limits.
func (p *planner) planBatches(mutations []wire.Mutation) error {
	var batch []wire.Mutation
	for _, mutation := range mutations {
		if !p.fits([]wire.Mutation{mutation}) {
			return fmt.Errorf("%s: %w", mutation.Put, ErrTooLarge)
		}
		if !p.fits(append(slices.Clone(batch), mutation)) {
			p.plan.StageBatches = append(p.plan.StageBatches, batch)
			batch = nil
		}
		batch = append(batch, mutation)
	}
	if len(batch) > 0 {
		p.plan.StageBatches = append(p.plan.StageBatches, batch)
	}
	return nil
}

// fits reports whether a transaction with these mutations is within the limits.
func (p *planner) fits(mutations []wire.Mutation) bool {
	txn := wire.Txn{Mutations: mutations}
	for range conditionsPerTxn {
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: GenerationKey, Version: placeholderVersion})
	}
	return p.limits.Check(txn) == nil
}

// historyMutations returns the mutations that store the generation's history, split into as many parts
// as the limits require.
func (p *planner) historyMutations() (mutations []wire.Mutation, err error) {
	generation, changes := p.plan.Generation, p.plan.Changes
	part := func(changes []HistoryChange) History {
		return History{Generation: generation, ApplyID: p.request.ID, Author: p.request.Author, At: p.request.At, Parts: placeholderPartCount, Changes: changes}
	}
	var parts []History
	first := 0 // index of the first change in the current part
	for i, change := range changes {
		candidate := wire.Mutation{Put: historyKey(generation, len(parts)), Value: part(changes[first : i+1])}
		if p.fits([]wire.Mutation{candidate}) {
			continue
		}
		if i == first {
			return nil, &DocumentError{change.Kind, change.Name, ErrTooLarge}
		}
		parts = append(parts, part(changes[first:i]))
		first = i
	}
	parts = append(parts, part(changes[first:]))
	for i := range parts {
		parts[i].Parts = len(parts)
		mutations = append(mutations, wire.Mutation{Put: historyKey(generation, i), Value: parts[i]})
	}
	return mutations, nil
}

func deletions(keys []string) (mutations []wire.Mutation) {
	for _, key := range keys {
		mutations = append(mutations, wire.Mutation{Delete: key})
	}
	return mutations
}
