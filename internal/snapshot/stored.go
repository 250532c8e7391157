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

// A copy can also be stored in the state service itself, in parts that fit into
// values: two generations, the older of which is written over. A head, written last
// and deleted first, tells how many parts there are, and their checksum. Whatever a
// writer that stopped, or a write that came late, leaves behind does not match it.

// StoredPrefix is where such copies are kept; no copy contains another.
const StoredPrefix = "z/"

// ErrNone means that no whole copy is stored.
var ErrNone = errors.New("snapshot: no whole copy is stored")

func headKey(generation int) string { return fmt.Sprintf("%s%d/head", StoredPrefix, generation) }
func partPrefix(generation int) string {
	return fmt.Sprintf("%s%d/", StoredPrefix, generation)
}
func partKey(generation, part int) string { return fmt.Sprintf("%s%06d", partPrefix(generation), part) }

type head struct {
	Revision uint64 `msgpack:"R"`
	Parts    int    `msgpack:"P"`
	Sum      string `msgpack:"S"`
}

// StoreOptions bound how a copy is stored.
type StoreOptions struct {
	Term  wire.Condition                                   // holds as long as nobody else stores
	Ops   int                                              // changes in a transaction
	Value int                                              // bytes of a value in its text form
	Pace  func(ctx context.Context, changes int) (ok bool) // waits after so many changes; nil: not at all
}

const txnRoom = 48 << 10 // bytes of values in a transaction

// Store stores a copy in the place of the older of the two that are there.
func (s *Snapshot) Store(ctx context.Context, to Store, o StoreOptions) error {
	b, err := s.Encode(nil)
	if err != nil {
		return err
	}
	heads, err := readHeads(ctx, to)
	if err != nil {
		return err
	}
	g := 0
	if heads[0].Revision > heads[1].Revision {
		g = 1
	}
	run := func(changes []wire.Mutation) error {
		_, err := to.Txn(ctx, wire.Txn{Conditions: []wire.Condition{o.Term}, Mutations: changes})
		if err == nil && o.Pace != nil && !o.Pace(ctx, len(changes)) {
			return ctx.Err()
		}
		return err
	}
	if err := run([]wire.Mutation{{Delete: headKey(g)}}); err != nil {
		return err
	}
	text := base64.StdEncoding.EncodeToString(b)
	each := o.Value * 9 / 10
	parts := (len(text) + each - 1) / each
	var batch []wire.Mutation
	for i := range parts {
		batch = append(batch, wire.Mutation{Put: partKey(g, i), Value: text[i*each : min((i+1)*each, len(text))]})
		if len(batch) == o.Ops || (len(batch)+1)*each > txnRoom || i == parts-1 {
			if err := run(batch); err != nil {
				return err
			}
			batch = nil
		}
	}
	if err := s.trim(ctx, to, g, parts, o.Ops, run); err != nil {
		return err
	}
	return run([]wire.Mutation{{Put: headKey(g), Value: head{s.Revision, parts, hex.EncodeToString(checksum([]byte(text), nil))}}})
}

// trim deletes what a longer copy has left.
func (s *Snapshot) trim(ctx context.Context, to Store, g, parts, ops int, run func([]wire.Mutation) error) error {
	for {
		page, err := to.Page(ctx, partPrefix(g), partKey(g, parts-1), ops)
		if err != nil || len(page.Items) == 0 {
			return err
		}
		var batch []wire.Mutation
		for _, e := range page.Items {
			if e.Key != headKey(g) {
				batch = append(batch, wire.Mutation{Delete: e.Key})
			}
		}
		if len(batch) == 0 {
			return nil
		}
		if err := run(batch); err != nil {
			return err
		}
	}
}

func readHeads(ctx context.Context, from Store) (heads [generations]head, err error) {
	for g := range heads {
		e, found, err := from.Get(ctx, headKey(g))
		if err != nil {
			return heads, err
		}
		if found && wire.Unmarshal(e.Value, &heads[g]) != nil {
			heads[g] = head{} // as if it were not there
		}
	}
	return heads, nil
}

// Load returns the newest whole copy that is stored, or ErrNone.
func Load(ctx context.Context, from Store) (*Snapshot, error) {
	heads, err := readHeads(ctx, from)
	if err != nil {
		return nil, err
	}
	first := 0
	if heads[1].Revision > heads[0].Revision {
		first = 1
	}
	for _, g := range []int{first, 1 - first} {
		if heads[g].Parts == 0 {
			continue
		}
		snap, err := load(ctx, from, g, heads[g])
		if !errors.Is(err, ErrDamaged) {
			return snap, err
		}
	}
	return nil, ErrNone
}

func load(ctx context.Context, from Store, g int, h head) (*Snapshot, error) {
	var text strings.Builder
	parts := 0
	for after := ""; parts < h.Parts; {
		page, err := from.Page(ctx, partPrefix(g), after, pageSize)
		if err != nil {
			return nil, err
		}
		for _, e := range page.Items {
			var part string
			if e.Key == partKey(g, parts) && wire.Unmarshal(e.Value, &part) == nil {
				text.WriteString(part)
				parts++
			}
			after = e.Key
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
	}
	if parts != h.Parts || hex.EncodeToString(checksum([]byte(text.String()), nil)) != h.Sum {
		return nil, ErrDamaged
	}
	b, err := base64.StdEncoding.DecodeString(text.String())
	if err != nil {
		return nil, ErrDamaged
	}
	snap, err := Decode(b, nil)
	if errors.Is(err, ErrNewer) {
		return nil, ErrDamaged // an older program can't use it, and goes on without
	}
	return snap, err
}
