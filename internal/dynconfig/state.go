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

// Keys and key prefixes of the stored configuration. Controllers watch Prefix, which does not include
// the history.
const (
	Prefix         = "c/"
	GenerationKey  = "c/g"
	DocumentPrefix = "c/d/"
	HistoryPrefix  = "ch/"
)

// Generation is the value of GenerationKey. The version of this key changes with every change of the
// configuration. Transactions that store the launch of a task are conditional on this version.
type Generation struct {
	Number  uint64 `msgpack:"N"`
	ApplyID string `msgpack:"A"` // ID of the apply that created the generation
	At      int64  `msgpack:"T"` // Unix time in microseconds

	// StagingApplyID is the ID of the apply that is writing pending versions of documents. The pending
	// versions become active with the next generation. Pending versions of other applies are removed
	// before that generation becomes active.
	StagingApplyID string `msgpack:"S,omitempty"`
}

// DocumentVersion is the content of a document as of the generation that stored it.
type DocumentVersion struct {
	Generation uint64             `msgpack:"G"`
	Body       msgpack.RawMessage `msgpack:"B,omitempty"`
	Removed    bool               `msgpack:"R,omitempty"`
}

// Record is the value of a document's key. The version in Pending is active from its generation on. Before
// that generation, the version in Current is active. A document whose active version is nil or has Removed
// set does not exist.
type Record struct {
	Current *DocumentVersion `msgpack:"C,omitempty"`
	Pending *DocumentVersion `msgpack:"P,omitempty"`
}

// versionAt returns the document's version that is active at a generation. It returns nil if the document
// does not exist at that generation.
func (r *Record) versionAt(generation uint64) *DocumentVersion {
	version := r.Current
	if r.Pending != nil && r.Pending.Generation <= generation {
		version = r.Pending
	}
	if version == nil || version.Removed {
		return nil
	}
	return version
}

// hasAbandonedVersion reports whether the record has a pending version of a later generation than the
// given active generation. Such a version was left behind by an abandoned configuration change.
func (r *Record) hasAbandonedVersion(generation uint64) bool {
	return r.Pending != nil && r.Pending.Generation > generation
}

// State is the stored configuration, without its history, as of one revision of the state
// service. The zero value is the state when nothing is stored.
type State struct {
	Generation        Generation
	GenerationVersion uint64 // version of GenerationKey; 0: the key does not exist

	records map[string]Record // by key
}

// NewState returns the state that consists of the given entries. All entries must have been read at one
// revision.
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

// Apply returns the state after the events of a watch. The events must include all changes up to one
// revision. The receiver is not changed.
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

// Documents returns the active documents, sorted by kind and name.
func (s *State) Documents() (documents []Document) {
	for key, record := range s.records {
		version := record.versionAt(s.Generation.Number)
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

// Find returns the active document with a kind and name. It returns nil if the document does not exist.
func (s *State) Find(kind, name string) *Document {
	record, ok := s.records[documentKey(kind, name)]
	if !ok {
		return nil
	}
	version := record.versionAt(s.Generation.Number)
	if version == nil {
		return nil
	}
	return &Document{Kind: kind, Name: name, Body: version.Body}
}
