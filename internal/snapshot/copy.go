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

// A copy is a snapshot that is stored in the state service itself, split into parts that fit into values.
// There are two generations of copies, and a new copy overwrites the older generation. Each generation has a
// head with the number of parts and their checksum. A writer deletes the head of the generation first and
// writes the new head last. Parts that an interrupted writer or a delayed write leaves behind do not match
// the head.

// CopyPrefix is the prefix of the keys under which copies are stored. Copies do not contain these keys.
const CopyPrefix = "z/"

// maxTxnBytes is the maximum total size of the values in a transaction, in bytes.
const maxTxnBytes = 48 << 10

// generationPrefix returns the prefix of all keys of a generation.
func generationPrefix(generation int) string { return fmt.Sprintf("%s%d/", CopyPrefix, generation) }

func headKey(generation int) string { return generationPrefix(generation) + "head" }

func partKey(generation, part int) string {
	return fmt.Sprintf("%s%06d", generationPrefix(generation), part)
}

// copyHead is the value that is stored as the head of a copy. The zero value means that there is no copy.
type copyHead struct {
	Revision uint64 `msgpack:"R"`
	Parts    int    `msgpack:"P"`
	Sum      string `msgpack:"S"` // checksum of the joined texts of all parts
}

// CopyOptions are the limits and conditions under which a copy is stored.
type CopyOptions struct {
	Term          wire.Condition // condition that holds as long as no other controller stores copies
	MaxMutations  int            // maximum number of mutations in a transaction
	MaxValueBytes int            // maximum size of a value in its text form
	// Pace is called after each transaction, with the transaction's number of mutations, and waits to limit
	// the rate of writes. It returns false if the context has ended. If Pace is nil, writes are not delayed.
	Pace func(ctx context.Context, mutations int) (ok bool)
}

// StoreCopy stores the snapshot as a copy in the state service and overwrites the older of the two
// generations. The error is kvstore.ErrConflict if the term's condition does not hold.
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

// copyWriter writes one generation of copies.
type copyWriter struct {
	store      Store
	options    CopyOptions
	generation int
}

// write runs a transaction on the condition options.Term. It then waits as long as options.Pace requires.
func (w *copyWriter) write(ctx context.Context, mutations []wire.Mutation) error {
	_, err := w.store.Txn(ctx, wire.Txn{Conditions: []wire.Condition{w.options.Term}, Mutations: mutations})
	if err == nil && w.options.Pace != nil && !w.options.Pace(ctx, len(mutations)) {
		return ctx.Err()
	}
	return err
}

// writeParts splits a text into parts, writes the parts and returns their number.
func (w *copyWriter) writeParts(ctx context.Context, text string) (parts int, err error) {
	partBytes := w.options.MaxValueBytes * 9 / 10 // 1/10 is reserved for the encoding of the value
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

// removePartsFrom deletes the parts whose number is at least the given number. These parts are left from an
// earlier copy that was longer.
func (w *copyWriter) removePartsFrom(ctx context.Context, part int) error {
	for {
		page, err := w.store.Page(ctx, generationPrefix(w.generation), partKey(w.generation, part-1), w.options.MaxMutations)
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

// readHeads reads the heads of both generations. A missing or undecodable head is the zero value.
func readHeads(ctx context.Context, store Store) (heads [generations]copyHead, err error) {
	for generation := range heads {
		entry, found, err := store.Get(ctx, headKey(generation))
		if err != nil {
			return heads, err
		}
		if found && wire.Unmarshal(entry.Value, &heads[generation]) != nil {
			heads[generation] = copyHead{} // treated as missing
		}
	}
	return heads, nil
}

// LoadCopy returns the newest valid copy in the state service. The error is ErrNoCopy if no copy is valid.
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
		if !errors.Is(err, ErrCorrupt) {
			return snap, err
		}
	}
	return nil, ErrNoCopy
}

// loadGeneration reads the copy of one generation. The error is ErrCorrupt if its parts do not match the head
// or can't be decoded.
func loadGeneration(ctx context.Context, store Store, generation int, head copyHead) (*Snapshot, error) {
	text, parts, err := readParts(ctx, store, generation, head.Parts)
	if err != nil {
		return nil, err
	}
	if parts != head.Parts || textChecksum(text) != head.Sum {
		return nil, ErrCorrupt
	}
	encoded, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, ErrCorrupt
	}
	snap, err := Decode(encoded, nil)
	if errors.Is(err, ErrNewerVersion) {
		return nil, ErrCorrupt // a copy by a newer version of the program is skipped like a corrupt copy
	}
	return snap, err
}

// readParts reads the parts of a generation in order, at most the given number of them. It stops at the first
// missing part. It returns the joined text and the number of the parts that were read.
func readParts(ctx context.Context, store Store, generation, count int) (text string, parts int, err error) {
	var joined strings.Builder
	for after := ""; parts < count; {
		page, err := store.Page(ctx, generationPrefix(generation), after, pageSize)
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
