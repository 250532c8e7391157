package dynconfig

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"dalefront/wire"
)

// Where configuration is stored. What controllers follow has one prefix, history another.
const (
	Prefix         = "c/"
	GenerationKey  = "c/g"
	DocumentPrefix = "c/d/"
	HistoryPrefix  = "ch/"
)

// Generation is the value of GenerationKey. The version of that key is what transactions that
// store launches are conditional on: it changes with every change of configuration.
type Generation struct {
	Number uint64 `msgpack:"N"`
	Apply  string `msgpack:"A"` // names the apply that made it
	At     int64  `msgpack:"T"` // microseconds, time of day

	// Staging names the apply that is writing pending versions of documents, which the next
	// write of this key puts in force. Nobody else's pending versions exist then.
	Staging string `msgpack:"S,omitempty"`
}

// Version is a document as of the generation that stored it.
type Version struct {
	Generation uint64             `msgpack:"G"`
	Body       msgpack.RawMessage `msgpack:"B,omitempty"`
	Removed    bool               `msgpack:"R,omitempty"`
}

// Record is the value of a document's key. Pending is in force from its generation on; before
// that, Current is, or nothing.
type Record struct {
	Current *Version `msgpack:"C,omitempty"`
	Pending *Version `msgpack:"P,omitempty"`
}

// inForce is the document at a generation, nil for none.
func (r *Record) inForce(generation uint64) *Version {
	v := r.Current
	if r.Pending != nil && r.Pending.Generation <= generation {
		v = r.Pending
	}
	if v == nil || v.Removed {
		return nil
	}
	return v
}

// abandoned says whether the record has a version that no generation puts in force any more.
func (r *Record) abandoned(generation uint64) bool {
	return r.Pending != nil && r.Pending.Generation > generation
}

// State is the stored configuration, without its history, as of one revision of the state
// service. The zero value is one with nothing stored.
type State struct {
	Generation        Generation
	GenerationVersion uint64 // of GenerationKey; 0: it does not exist

	records map[string]Record // by key
}

// NewState returns the state that consists of these keys, read in one moment.
func NewState(entries []wire.KeyValue) (*State, error) {
	s := &State{records: map[string]Record{}}
	for _, e := range entries {
		if err := s.put(e.Key, e.Value, e.Version); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *State) put(key string, value []byte, version uint64) error {
	switch {
	case key == GenerationKey:
		var g Generation
		if err := wire.Unmarshal(value, &g); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		s.Generation, s.GenerationVersion = g, version
	case strings.HasPrefix(key, DocumentPrefix):
		var r Record
		if err := wire.Unmarshal(value, &r); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		s.records[key] = r
	}
	return nil
}

// Apply returns the state after the changes that a watch has told, all of them up to a
// revision. The state itself stays as it is.
func (s *State) Apply(events []wire.Event) (*State, error) {
	next := &State{Generation: s.Generation, GenerationVersion: s.GenerationVersion, records: maps.Clone(s.records)}
	if next.records == nil {
		next.records = map[string]Record{}
	}
	for _, e := range events {
		switch {
		case e.Delete == GenerationKey:
			next.Generation, next.GenerationVersion = Generation{}, 0
		case e.Delete != "":
			delete(next.records, e.Delete)
		default:
			if err := next.put(e.Put, e.Value, e.Version); err != nil {
				return nil, err
			}
		}
	}
	return next, nil
}

// Documents are those in force, in order.
func (s *State) Documents() (out []Document) {
	for key, r := range s.records {
		v := r.inForce(s.Generation.Number)
		kind, name, ok := parseKey(key)
		if v != nil && ok {
			out = append(out, Document{Kind: kind, Name: name, Body: v.Body})
		}
	}
	slices.SortFunc(out, func(a, b Document) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
	return out
}

// Find returns a document that is in force, nil for none.
func (s *State) Find(kind, name string) *Document {
	r, ok := s.records[documentKey(kind, name)]
	if !ok {
		return nil
	}
	if v := r.inForce(s.Generation.Number); v != nil {
		return &Document{Kind: kind, Name: name, Body: v.Body}
	}
	return nil
}

// HistoryChange is what a generation did to a document; nil is none.
type HistoryChange struct {
	Kind   string             `msgpack:"K"`
	Name   string             `msgpack:"N"`
	Before msgpack.RawMessage `msgpack:"B,omitempty"`
	After  msgpack.RawMessage `msgpack:"A,omitempty"`
}

// History is what is kept of a generation, in as many keys as its size needs.
type History struct {
	Generation uint64          `msgpack:"G"`
	Apply      string          `msgpack:"I"`
	By         string          `msgpack:"Y"` // as the one who applied it said
	At         int64           `msgpack:"T"` // microseconds, time of day
	Parts      int             `msgpack:"P"` // keys of this generation
	Changes    []HistoryChange `msgpack:"C"`
}

// historyKey is where a part of a generation's history is stored.
func historyKey(generation uint64, part int) string {
	return fmt.Sprintf("%s%016x/%04x", HistoryPrefix, generation, part)
}

// ReadHistory joins the stored parts, the newest generation first. Parts of an apply that was
// abandoned, of generations above the newest one, are left out.
func ReadHistory(entries []wire.KeyValue, newest uint64) (out []History, err error) {
	for _, e := range entries {
		var h History
		if err := wire.Unmarshal(e.Value, &h); err != nil {
			return nil, fmt.Errorf("%s: %w", e.Key, err)
		}
		switch last := len(out) - 1; {
		case h.Generation > newest:
		case last < 0 || out[last].Generation != h.Generation:
			out = append(out, h)
		case out[last].Apply == h.Apply: // else of an apply that was abandoned
			out[last].Changes = append(out[last].Changes, h.Changes...)
		}
	}
	slices.Reverse(out)
	return out, nil
}

// RollBack returns the changes that lead back to a generation, from its history, the newest
// generation first.
func RollBack(history []History, to uint64) ([]Change, error) {
	if len(history) == 0 || to > history[0].Generation {
		return nil, fmt.Errorf("there has been no generation %d", to)
	}
	if oldest := history[len(history)-1].Generation; to+1 < oldest {
		return nil, fmt.Errorf("generation %d is too long ago: history begins at %d", to, oldest)
	}
	undo := map[string]Change{}
	for _, h := range history {
		if h.Generation <= to {
			break
		}
		for _, c := range h.Changes { // older ones replace newer ones
			d := Document{Kind: c.Kind, Name: c.Name, Body: c.Before}
			undo[d.ID()] = Change{Document: d, Remove: c.Before == nil}
		}
	}
	out := make([]Change, 0, len(undo))
	for _, id := range slices.Sorted(maps.Keys(undo)) {
		out = append(out, undo[id])
	}
	return out, nil
}

// HistoryBefore is the key after which the history of a generation begins.
func HistoryBefore(generation uint64) string {
	return fmt.Sprintf("%s%016x", HistoryPrefix, generation)
}
