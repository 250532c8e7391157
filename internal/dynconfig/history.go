package dynconfig

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"dalefront/wire"
)

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
	ApplyID    string          `msgpack:"I"`
	Author     string          `msgpack:"Y"` // as the one who applied it said
	At         int64           `msgpack:"T"` // microseconds, time of day
	Parts      int             `msgpack:"P"` // keys of this generation
	Changes    []HistoryChange `msgpack:"C"`
}

// historyKey returns the key of a part of a generation's history.
func historyKey(generation uint64, part int) string {
	return fmt.Sprintf("%s%016x/%04x", HistoryPrefix, generation, part)
}

// HistoryCursor returns the key after which the history of a generation begins.
func HistoryCursor(generation uint64) string {
	return fmt.Sprintf("%s%016x", HistoryPrefix, generation)
}

// HistoryKeys returns the keys of the history among entries.
func HistoryKeys(entries []wire.KeyValue) (keys []string) {
	for _, entry := range entries {
		if strings.HasPrefix(entry.Key, HistoryPrefix) {
			keys = append(keys, entry.Key)
		}
	}
	return keys
}

// classifyHistory returns those of the history's keys that are of no more use once the next
// generation is in force, which has so many parts: parts of an abandoned apply that the next
// generation does not overwrite, which would count as its own, and generations that are too
// old to be kept.
func classifyHistory(keys []string, next uint64, parts int) (abandoned, obsolete []string) {
	for _, key := range keys {
		switch {
		case key >= historyKey(next, parts):
			abandoned = append(abandoned, key)
		case next > MaxHistory && key < historyKey(next-MaxHistory+1, 0):
			obsolete = append(obsolete, key)
		}
	}
	return abandoned, obsolete
}

// ReadHistory joins the stored parts, the newest generation first. Parts of an apply that was
// abandoned, of generations above the newest one, are left out.
func ReadHistory(entries []wire.KeyValue, newest uint64) (history []History, err error) {
	for _, entry := range entries {
		var part History
		if err := wire.Unmarshal(entry.Value, &part); err != nil {
			return nil, fmt.Errorf("%s: %w", entry.Key, err)
		}
		switch last := len(history) - 1; {
		case part.Generation > newest:
		case last < 0 || history[last].Generation != part.Generation:
			history = append(history, part)
		case history[last].ApplyID == part.ApplyID: // else of an apply that was abandoned
			history[last].Changes = append(history[last].Changes, part.Changes...)
		}
	}
	slices.Reverse(history)
	return history, nil
}

// Rollback returns the changes that lead back to a generation, from the history, newest
// generation first. Errors are *FutureGenerationError and *ExpiredGenerationError.
func Rollback(history []History, to uint64) ([]Change, error) {
	if len(history) == 0 || to > history[0].Generation {
		return nil, &FutureGenerationError{to}
	}
	if oldest := history[len(history)-1].Generation; to+1 < oldest {
		return nil, &ExpiredGenerationError{to, oldest}
	}
	undo := map[string]Change{}
	for _, generation := range history {
		if generation.Generation <= to {
			break
		}
		for _, change := range generation.Changes { // older ones replace newer ones
			document := Document{Kind: change.Kind, Name: change.Name, Body: change.Before}
			undo[document.ID()] = Change{Document: document, Remove: change.Before == nil}
		}
	}
	changes := make([]Change, 0, len(undo))
	for _, id := range slices.Sorted(maps.Keys(undo)) {
		changes = append(changes, undo[id])
	}
	return changes, nil
}
