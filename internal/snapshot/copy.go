package snapshot

import (
	"context"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"dalefront/wire"
)

// A copy is a snapshot that is stored in the state service itself, in parts that fit into
// values: two generations, the older of which is overwritten. A head, written last
// and deleted first, has the number of parts and their checksum. Whatever an interrupted
// writer, or a write that came late, leaves behind does not match it.

// StoredPrefix is where copies are stored; no copy contains another.
const StoredPrefix = "z/"

// maxTxnBytes bounds the values of a transaction.
const maxTxnBytes = 48 << 10

func partPrefix(generation int) string { return fmt.Sprintf("%s%d/", StoredPrefix, generation) }

func headKey(generation int) string { return partPrefix(generation) + "head" }

func partKey(generation, part int) string { return fmt.Sprintf("%s%06d", partPrefix(generation), part) }

// copyHead is the value of a copy's head. The zero value stands for no copy.
type copyHead struct {
	Revision uint64 `msgpack:"R"`
	Parts    int    `msgpack:"P"`
	Sum      string `msgpack:"S"` // of all parts' text
}

// CopyOptions bound how a copy is stored.
type CopyOptions struct {
	Term          wire.Condition                                     // holds as long as nobody else stores copies
	MaxMutations  int                                                // in a transaction
	MaxValueBytes int                                                // of a value in its text form
	Pace          func(ctx context.Context, mutations int) (ok bool) // waits after so many mutations; nil: not at all
}

// StoreCopy stores a copy in the place of the older of the two that are there. The error is
// kvstore.ErrConflict if the term's condition does not hold.
func (s *Snapshot) StoreCopy(ctx context.Context, store Store, options CopyOptions) error {
	encoded, err := s.Encode(nil)
	if err != nil {
		return err
	}
	heads, err := readHeads(ctx, store)
	if err != nil {
		return err
	}
	w := &copyWriter{store: store, options: options}
	if heads[0].Revision > heads[1].Revision {
		w.generation = 1
	}
	if err := w.write(ctx, []wire.Mutation{{Delete: headKey(w.generation)}}); err != nil {
		return err
	}
	text := base64.StdEncoding.EncodeToString(encoded)
	parts, err := w.writeParts(ctx, text)
	if err != nil {
		return err
	}
	if err := w.removePartsFrom(ctx, parts); err != nil {
		return err
	}
	head := copyHead{s.Revision, parts, textChecksum(text)}
	return w.write(ctx, []wire.Mutation{{Put: headKey(w.generation), Value: head}})
}

func textChecksum(text string) string { return hex.EncodeToString(checksum([]byte(text), nil)) }

// copyWriter writes one generation.
type copyWriter struct {
	store      Store
	options    CopyOptions
	generation int
}

// write runs a transaction under the term, and waits as long as the pace demands.
func (w *copyWriter) write(ctx context.Context, mutations []wire.Mutation) error {
	_, err := w.store.Txn(ctx, wire.Txn{Conditions: []wire.Condition{w.options.Term}, Mutations: mutations})
	if err == nil && w.options.Pace != nil && !w.options.Pace(ctx, len(mutations)) {
		return ctx.Err()
	}
	return err
}

// writeParts writes a text in parts and returns their number.
func (w *copyWriter) writeParts(ctx context.Context, text string) (parts int, err error) {
	partBytes := w.options.MaxValueBytes * 9 / 10 // the rest is for the value's encoding
	parts = (len(text) + partBytes - 1) / partBytes
	var batch []wire.Mutation
	for part := range parts {
		from, to := part*partBytes, min((part+1)*partBytes, len(text))
		batch = append(batch, wire.Mutation{Put: partKey(w.generation, part), Value: text[from:to]})
		if len(batch) == w.options.MaxMutations || (len(batch)+1)*partBytes > maxTxnBytes || part == parts-1 {
			if err := w.write(ctx, batch); err != nil {
				return 0, err
			}
			batch = nil
		}
	}
	return parts, nil
}

// removePartsFrom deletes what a longer copy has left, from a part on.
func (w *copyWriter) removePartsFrom(ctx context.Context, part int) error {
	for {
		page, err := w.store.Page(ctx, partPrefix(w.generation), partKey(w.generation, part-1), w.options.MaxMutations)
		if err != nil || len(page.Items) == 0 {
			return err
		}
		var batch []wire.Mutation
		for _, entry := range page.Items {
			if entry.Key != headKey(w.generation) {
				batch = append(batch, wire.Mutation{Delete: entry.Key})
			}
		}
		if len(batch) == 0 {
			return nil
		}
		if err := w.write(ctx, batch); err != nil {
			return err
		}
	}
}

// readHeads reads the heads of both generations.
func readHeads(ctx context.Context, store Store) (heads [generations]copyHead, err error) {
	for generation := range heads {
		entry, found, err := store.Get(ctx, headKey(generation))
		if err != nil {
			return heads, err
		}
		if found && wire.Unmarshal(entry.Value, &heads[generation]) != nil {
			heads[generation] = copyHead{} // as if it were not there
		}
	}
	return heads, nil
}

// LoadCopy returns the newest valid copy that is stored, or ErrNoCopy.
func LoadCopy(ctx context.Context, store Store) (*Snapshot, error) {
	heads, err := readHeads(ctx, store)
	if err != nil {
		return nil, err
	}
	newest := 0
	if heads[1].Revision > heads[0].Revision {
		newest = 1
	}
	for _, generation := range []int{newest, 1 - newest} {
		if heads[generation].Parts == 0 {
			continue
		}
		snap, err := loadGeneration(ctx, store, generation, heads[generation])
		if !errors.Is(err, ErrDamaged) {
			return snap, err
		}
	}
	return nil, ErrNoCopy
}

// loadGeneration reads and checks one generation.
func loadGeneration(ctx context.Context, store Store, generation int, head copyHead) (*Snapshot, error) {
	text, parts, err := readParts(ctx, store, generation, head.Parts)
	if err != nil {
		return nil, err
	}
	if parts != head.Parts || textChecksum(text) != head.Sum {
		return nil, ErrDamaged
	}
	encoded, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, ErrDamaged
	}
	snap, err := Decode(encoded, nil)
	if errors.Is(err, ErrNewer) {
		return nil, ErrDamaged // an older program can't use it, and goes on without
	}
	return snap, err
}

// readParts joins the parts of a generation up to a number, as far as they are there, and
// returns how many were.
func readParts(ctx context.Context, store Store, generation, count int) (text string, parts int, err error) {
	var joined strings.Builder
	for after := ""; parts < count; {
		page, err := store.Page(ctx, partPrefix(generation), after, pageSize)
		if err != nil {
			return "", 0, err
		}
		for _, entry := range page.Items {
			var part string
			if entry.Key == partKey(generation, parts) && wire.Unmarshal(entry.Value, &part) == nil {
				joined.WriteString(part)
				parts++
			}
			after = entry.Key
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
	}
	return joined.String(), parts, nil
}
