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
	Number  uint64 `msgpack:"N"`
	ApplyID string `msgpack:"A"` // names the apply that made it
	At      int64  `msgpack:"T"` // microseconds, time of day

	// StagingApplyID names the apply that is writing pending versions of documents, which the next
	// write of this key puts in force. Nobody else's pending versions exist then.
	StagingApplyID string `msgpack:"S,omitempty"`
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
	version := r.Current
	if r.Pending != nil && r.Pending.Generation <= generation {
		version = r.Pending
	}
	if version == nil || version.Removed {
		return nil
	}
	return version
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
	for _, entry := range entries {
		if err := s.put(entry.Key, entry.Value, entry.Version); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *State) put(key string, value []byte, version uint64) error {
	switch {
	case key == GenerationKey:
		var generation Generation
		if err := wire.Unmarshal(value, &generation); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		s.Generation, s.GenerationVersion = generation, version
	case strings.HasPrefix(key, DocumentPrefix):
		var record Record
		if err := wire.Unmarshal(value, &record); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		s.records[key] = record
	}
	return nil
}

// Apply returns the state after the changes that a watch brought, all of them up to a
// revision. The state itself stays as it is.
func (s *State) Apply(events []wire.Event) (*State, error) {
	next := &State{Generation: s.Generation, GenerationVersion: s.GenerationVersion, records: maps.Clone(s.records)}
	if next.records == nil {
		next.records = map[string]Record{}
	}
	for _, event := range events {
		switch {
		case event.Delete == GenerationKey:
			next.Generation, next.GenerationVersion = Generation{}, 0
		case event.Delete != "":
			delete(next.records, event.Delete)
		default:
			if err := next.put(event.Put, event.Value, event.Version); err != nil {
				return nil, err
			}
		}
	}
	return next, nil
}

// Documents returns the documents in force, in order.
func (s *State) Documents() (documents []Document) {
	for key, record := range s.records {
		version := record.inForce(s.Generation.Number)
		kind, name, ok := parseDocumentKey(key)
		if version != nil && ok {
			documents = append(documents, Document{Kind: kind, Name: name, Body: version.Body})
		}
	}
	slices.SortFunc(documents, func(a, b Document) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return documents
}

// Find returns a document that is in force, nil for none.
func (s *State) Find(kind, name string) *Document {
	record, ok := s.records[documentKey(kind, name)]
	if !ok {
		return nil
	}
	version := record.inForce(s.Generation.Number)
	if version == nil {
		return nil
	}
	return &Document{Kind: kind, Name: name, Body: version.Body}
}
