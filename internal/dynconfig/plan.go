package dynconfig

import (
	"fmt"
	"maps"
	"slices"

	"dalefront/wire"
)

// Bounds of what is stored.
const (
	MaxDocuments      = 2000
	MaxHistory        = 200 // generations whose history is kept
	maxCleanedKeys    = 4   // keys without a document that are deleted along with a change
	conditionsPerTxn  = 3   // of each transaction of a plan: generation, leadership, and one more
	reservedVersion   = 1 << 60
	reservedPartCount = 1 << 20 // values as long as any that occur, to compute sizes with
)

// ApplyRequest is what an apply asks for.
type ApplyRequest struct {
	ID           string // idempotency key: repeated requests with it take effect once
	Author       string
	Changes      []Change
	IfGeneration *uint64 // fail if another one is in force
	At           int64   // microseconds, time of day
}

// Plan is how a request is carried out: Claim, then each of the StageBatches, then Activate,
// each a transaction conditional on the version that GenerationKey has got from the one
// before it. A plan that fits one transaction has only Activate. After that, ObsoleteKeys
// may be deleted at any time.
type Plan struct {
	Generation   uint64
	Claim        []wire.Mutation
	StageBatches [][]wire.Mutation
	Activate     []wire.Mutation
	ObsoleteKeys []string
	Changes      []HistoryChange
}

// Claim returns the change of GenerationKey by which an apply takes over from one that is
// writing pending versions. Everything has to be read again after it: what the other wrote
// until then is there, and nothing can be added to it.
func (s *State) Claim(applyID string) []wire.Mutation {
	claimed := s.Generation
	claimed.StagingApplyID = applyID
	return []wire.Mutation{{Put: GenerationKey, Value: claimed}}
}

// Plan plans a request against the state and the oldest and newest keys of the history. It
// changes nothing. Documents are not checked again. Errors are ErrGenerationChanged,
// ErrApplyInProgress, ErrNoChange, ErrTooLarge and *DocumentCountError.
func (s *State) Plan(request *ApplyRequest, historyKeys []string, limits wire.TxnLimits) (*Plan, error) {
	if request.IfGeneration != nil && *request.IfGeneration != s.Generation.Number {
		return nil, &GenerationMismatchError{InForce: s.Generation.Number, Wanted: *request.IfGeneration}
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

// differences returns what changes do to the documents in force.
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

// planner makes a plan from the differences that it is to bring about.
type planner struct {
	state   *State
	request *ApplyRequest
	limits  wire.TxnLimits
	plan    Plan
}

// planMutations plans the transactions: one, if it fits the limits.
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

// replaceDocuments returns the changes of documents as one transaction stores them.
func (p *planner) replaceDocuments() (mutations []wire.Mutation) {
	for _, change := range p.plan.Changes {
		key := documentKey(change.Kind, change.Name)
		if change.After == nil {
			mutations = append(mutations, wire.Mutation{Delete: key})
			continue
		}
		current := &Version{Generation: p.plan.Generation, Body: change.After}
		mutations = append(mutations, wire.Mutation{Put: key, Value: Record{Current: current}})
	}
	return mutations
}

// stageDocuments returns the changes of documents as pending versions, which are not in
// force before the new generation is.
func (p *planner) stageDocuments() (mutations []wire.Mutation) {
	for _, change := range p.plan.Changes {
		key := documentKey(change.Kind, change.Name)
		old := p.state.records[key]
		mutations = append(mutations, wire.Mutation{Put: key, Value: Record{
			Current: old.inForce(p.state.Generation.Number),
			Pending: &Version{Generation: p.plan.Generation, Body: change.After, Removed: change.After == nil},
		}})
	}
	return mutations
}

// cleanRecords rewrites the records of unchanged documents that have versions of an
// abandoned apply, since the new generation would put them in force, and deletes some of
// those that hold nothing.
func (p *planner) cleanRecords() (mutations []wire.Mutation) {
	changed := map[string]bool{}
	for _, change := range p.plan.Changes {
		changed[documentKey(change.Kind, change.Name)] = true
	}
	generation := p.state.Generation.Number
	deleted := 0
	for _, key := range slices.Sorted(maps.Keys(p.state.records)) {
		record := p.state.records[key]
		current := record.inForce(generation)
		switch {
		case changed[key]:
		case current == nil && (record.abandoned(generation) || deleted < maxCleanedKeys):
			deleted++
			mutations = append(mutations, wire.Mutation{Delete: key})
		case record.abandoned(generation):
			mutations = append(mutations, wire.Mutation{Put: key, Value: Record{Current: current}})
		}
	}
	return mutations
}

// planBatches divides mutations into as many transactions as they take.
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

// fits reports whether a transaction of these mutations is within the limits.
func (p *planner) fits(mutations []wire.Mutation) bool {
	txn := wire.Txn{Mutations: mutations}
	for range conditionsPerTxn {
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: GenerationKey, Version: reservedVersion})
	}
	return p.limits.Check(txn) == nil
}

// historyMutations stores what the generation does in as many keys as that takes.
func (p *planner) historyMutations() (mutations []wire.Mutation, err error) {
	generation, changes := p.plan.Generation, p.plan.Changes
	part := func(changes []HistoryChange) History {
		return History{Generation: generation, ApplyID: p.request.ID, Author: p.request.Author, At: p.request.At, Parts: reservedPartCount, Changes: changes}
	}
	var parts []History
	first := 0 // change of the part that is being filled
	for i, change := range changes {
		filled := wire.Mutation{Put: historyKey(generation, len(parts)), Value: part(changes[first : i+1])}
		if p.fits([]wire.Mutation{filled}) {
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
