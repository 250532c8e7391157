package dynconfig

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"dalefront/wire"
)

// HistoryChange is the change of one document by a generation, which is a numbered version of the whole
// configuration. A nil Before means that the document was created. A nil After means that it was removed.
type HistoryChange struct {
	Kind   string             `msgpack:"K"`
	Name   string             `msgpack:"N"`
	Before msgpack.RawMessage `msgpack:"B,omitempty"`
	After  msgpack.RawMessage `msgpack:"A,omitempty"`
}

// History is the record of the changes that a generation made. A record that exceeds the state
// service's limits is split into parts, each of which is stored under its own key.
type History struct {
	Generation uint64          `msgpack:"G"`
	ApplyID    string          `msgpack:"I"`
	Author     string          `msgpack:"Y"` // as stated in the request
	At         int64           `msgpack:"T"` // Unix time in microseconds
	Parts      int             `msgpack:"P"` // number of parts of this generation
	Changes    []HistoryChange `msgpack:"C"`
}

// historyKey returns the key of a part of a generation's history.
func historyKey(generation uint64, part int) string {
	return fmt.Sprintf("%s%016x/%04x", HistoryPrefix, generation, part)
}

// HistoryCursor returns the pagination cursor for a list that begins with the history of a generation.
func HistoryCursor(generation uint64) string {
	return fmt.Sprintf("%s%016x", HistoryPrefix, generation)
}

// HistoryKeys returns the keys of the entries that belong to the history.
func HistoryKeys(entries []wire.KeyValue) (keys []string) {
	for _, entry := range entries {
		if strings.HasPrefix(entry.Key, HistoryPrefix) {
			keys = append(keys, entry.Key)
		}
	}
	return keys
}

// classifyHistory returns the history keys that must be deleted when the next generation is stored with
// the given number of parts. Abandoned keys hold parts of an abandoned configuration change that the next
// generation does not overwrite. If the abandoned keys stayed, they could be read as parts of the next
// generation. Obsolete keys belong to all generations except the newest MaxHistory generations.
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

// ReadHistory joins the stored parts of each generation and returns the newest generation first. It
// skips the parts that abandoned configuration changes have left behind. Such parts belong to a generation
// above the newest generation, or have another apply ID than the first part of their generation.
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
		case history[last].ApplyID == part.ApplyID: // otherwise an abandoned change has left the part
			history[last].Changes = append(history[last].Changes, part.Changes...)
		}
	}
	slices.Reverse(history)
	return history, nil
}

// Rollback returns the changes that restore the configuration of an earlier generation. The history
// must have the newest generation first. Errors are *FutureGenerationError and *ExpiredGenerationError.
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
		for _, change := range generation.Changes { // an older change of a document replaces newer ones
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
