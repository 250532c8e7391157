package dynconfig

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"dalefront/wire"
)

// Bounds of what is stored.
const (
	MaxDocuments   = 2000
	KeptHistory    = 200 // generations
	mostTidied     = 4   // keys of no more use that go along with a change
	conditionsEach = 3   // of each transaction of a plan: generation, leadership, and one more
)

var (
	// ErrNoChange means that all documents are as the changes want them.
	ErrNoChange = errors.New("nothing changes")
	// ErrStaging means that another apply is writing pending versions, or was when it ended:
	// whoever plans must first take GenerationKey over, and then read again.
	ErrStaging = errors.New("another change is being stored")
	// ErrGeneration means that the generation is another than the one asked for.
	ErrGeneration = errors.New("the configuration has changed")
)

// Request is what an apply asks for.
type Request struct {
	ID           string // names the apply; repeated with the same name it takes effect once
	By           string
	Changes      []Change
	IfGeneration *uint64 // fail if another one is in force
	At           int64   // microseconds, time of day
}

// Plan is how a request is carried out: Stage, then each of the Batches, then Switch, each a
// transaction conditional on the version that GenerationKey has got from the one before it.
// A plan that fits one transaction has only Switch. After that, Tidy may be deleted at any
// time.
type Plan struct {
	Generation uint64
	Stage      []wire.Mutation
	Batches    [][]wire.Mutation
	Switch     []wire.Mutation
	Tidy       []string
	Changes    []HistoryChange
}

// Claim is the change of GenerationKey by which an apply takes over from one that is writing
// pending versions. Everything is to be read again after it: what the other wrote until then
// is there, and nothing can be added to it.
func (s *State) Claim(id string) []wire.Mutation {
	staging := s.Generation
	staging.Staging = id
	return []wire.Mutation{{Put: GenerationKey, Value: staging}}
}

// Plan plans a request against the state, and the oldest and newest keys of the history. It
// changes nothing. Documents are not checked again.
func (s *State) Plan(q *Request, history []string, limits wire.TxnLimits) (*Plan, error) {
	if q.IfGeneration != nil && *q.IfGeneration != s.Generation.Number {
		return nil, fmt.Errorf("%w: generation %d is in force, not %d", ErrGeneration, s.Generation.Number, *q.IfGeneration)
	}
	if s.Generation.Staging != "" && s.Generation.Staging != q.ID {
		return nil, ErrStaging
	}
	p := &Plan{Generation: s.Generation.Number + 1}
	s.differences(q, p)
	if len(p.Changes) == 0 {
		return nil, ErrNoChange
	}
	if n := len(s.Documents()) + len(p.Changes); n > MaxDocuments {
		return nil, fmt.Errorf("%d documents, of %d at most", n, MaxDocuments)
	}
	generation := Generation{Number: p.Generation, Apply: q.ID, At: q.At}
	records := s.replaced(p)
	past, err := historyOf(p, q, limits)
	if err != nil {
		return nil, err
	}
	stale := s.staleHistory(history, p.Generation, len(past))
	p.Switch = slices.Concat(records, past, []wire.Mutation{{Put: GenerationKey, Value: generation}})
	p.Switch = append(p.Switch, deletions(stale.abandoned)...)
	p.Tidy = stale.old
	if fits(limits, p.Switch) {
		return p, nil
	}
	return p, s.stage(p, q, generation, slices.Concat(past, deletions(stale.abandoned)), limits)
}

// differences finds what the request changes.
func (s *State) differences(q *Request, p *Plan) {
	for i := range q.Changes {
		c := &q.Changes[i]
		old := s.Find(c.Kind, c.Name)
		h := HistoryChange{Kind: c.Kind, Name: c.Name}
		if old != nil {
			h.Before = old.Body
		}
		if !c.Remove {
			h.After = c.Body
		}
		if !slices.Equal(h.Before, h.After) {
			p.Changes = append(p.Changes, h)
		}
	}
}

// replaced is the documents as one transaction stores them. Versions that an abandoned apply
// has left go, since the new generation would put them in force.
func (s *State) replaced(p *Plan) (out []wire.Mutation) {
	changed := map[string]bool{}
	for _, c := range p.Changes {
		key := documentKey(c.Kind, c.Name)
		changed[key] = true
		if c.After == nil {
			out = append(out, wire.Mutation{Delete: key})
			continue
		}
		out = append(out, wire.Mutation{Put: key, Value: Record{Current: &Version{Generation: p.Generation, Body: c.After}}})
	}
	return append(out, s.cleaned(func(key string) bool { return changed[key] })...)
}

// cleaned rewrites the records, but for some, that have versions of an abandoned apply, and
// deletes some of those that hold nothing.
func (s *State) cleaned(but func(key string) bool) (out []wire.Mutation) {
	tidied := 0
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		r := s.records[key]
		v := r.inForce(s.Generation.Number)
		switch {
		case but(key):
		case v == nil && (r.abandoned(s.Generation.Number) || tidied < mostTidied):
			tidied++
			out = append(out, wire.Mutation{Delete: key})
		case r.abandoned(s.Generation.Number):
			out = append(out, wire.Mutation{Put: key, Value: Record{Current: v}})
		}
	}
	return out
}

// stage plans a change that is too large for one transaction: documents get pending versions
// in as many transactions as that takes, and the last write puts all in force.
func (s *State) stage(p *Plan, q *Request, next Generation, past []wire.Mutation, limits wire.TxnLimits) error {
	if s.Generation.Staging == "" {
		p.Stage = s.Claim(q.ID)
	}
	var writes []wire.Mutation
	changed := map[string]bool{}
	for _, c := range p.Changes {
		key := documentKey(c.Kind, c.Name)
		changed[key] = true
		old := s.records[key]
		writes = append(writes, wire.Mutation{Put: key, Value: Record{
			Current: old.inForce(s.Generation.Number),
			Pending: &Version{Generation: p.Generation, Body: c.After, Removed: c.After == nil},
		}})
	}
	writes = slices.Concat(s.cleaned(func(key string) bool { return changed[key] }), writes, past)
	var batch []wire.Mutation
	for _, w := range writes {
		if !fits(limits, []wire.Mutation{w}) {
			return fmt.Errorf("%s: too large for the state service", w.Put)
		}
		if !fits(limits, append(slices.Clone(batch), w)) {
			p.Batches = append(p.Batches, batch)
			batch = nil
		}
		batch = append(batch, w)
	}
	if len(batch) > 0 {
		p.Batches = append(p.Batches, batch)
	}
	p.Switch = []wire.Mutation{{Put: GenerationKey, Value: next}}
	return nil
}

// fits says whether a transaction with the conditions of a plan is within the limits.
func fits(limits wire.TxnLimits, changes []wire.Mutation) bool {
	txn := wire.Txn{Mutations: changes}
	for range conditionsEach {
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: GenerationKey, Version: 1 << 60})
	}
	return limits.Check(txn) == nil
}

// historyOf cuts what a generation did into as many keys as that takes.
func historyOf(p *Plan, q *Request, limits wire.TxnLimits) (out []wire.Mutation, err error) {
	var parts []History
	one := func(changes []HistoryChange) History {
		return History{Generation: p.Generation, Apply: q.ID, By: q.By, At: q.At, Parts: 1 << 20, Changes: changes}
	}
	from := 0
	for i := range p.Changes {
		whole := wire.Mutation{Put: historyKey(p.Generation, len(parts)), Value: one(p.Changes[from : i+1])}
		if fits(limits, []wire.Mutation{whole}) {
			continue
		}
		if i == from {
			return nil, fmt.Errorf("%s %q: too large for the state service", p.Changes[i].Kind, p.Changes[i].Name)
		}
		parts = append(parts, one(p.Changes[from:i]))
		from = i
	}
	parts = append(parts, one(p.Changes[from:]))
	for i := range parts {
		parts[i].Parts = len(parts)
		out = append(out, wire.Mutation{Put: historyKey(p.Generation, i), Value: parts[i]})
	}
	return out, nil
}

// stale is history that is of no more use.
type stale struct {
	abandoned []string // parts of an apply that never came into force, not overwritten now
	old       []string
}

func (s *State) staleHistory(keys []string, next uint64, parts int) (out stale) {
	for _, key := range keys {
		switch {
		case key >= historyKey(next, parts):
			out.abandoned = append(out.abandoned, key)
		case next > KeptHistory && key < historyKey(next-KeptHistory+1, 0):
			out.old = append(out.old, key)
		}
	}
	return out
}

func deletions(keys []string) (out []wire.Mutation) {
	for _, k := range keys {
		out = append(out, wire.Mutation{Delete: k})
	}
	return out
}

// HistoryKeys are the keys of the history among entries.
func HistoryKeys(entries []wire.KeyValue) (out []string) {
	for _, e := range entries {
		if strings.HasPrefix(e.Key, HistoryPrefix) {
			out = append(out, e.Key)
		}
	}
	return out
}
