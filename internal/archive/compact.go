package archive

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"dalefront/internal/kvstore"
	"dalefront/wire"
)

// End is a job's end as it is stored under a key of its own.
type End struct {
	Record
	At int64 // microseconds, time of day
}

// Limits bound what a compactor does.
type Limits struct {
	Ops   int   // changes in a transaction
	Value int   // bytes of a value in its text form
	After int64 // age at which ends are moved, in microseconds
	Batch int   // ends moved at once; maxBatch if 0
}

// Source says where ends and jobs are stored.
type Source struct {
	EndPrefix, JobPrefix string
	// Decode reads the value of an end's key.
	Decode func(id string, value []byte) (End, error)
	// Term is the condition that holds as long as this compactor is the only one.
	Term func() wire.Condition
	// Now is the time of day in microseconds.
	Now func() int64
}

// ErrDeposed means that another compactor may be at work.
var ErrDeposed = errors.New("archive: the term is lost")

// Bounds of a compactor's work.
const (
	maxBuffered = 50_000    // ends read and not yet moved
	maxBatch    = 1000      // ends moved at once
	minBatch    = 16        // fewer in a shard stay where they are
	pageSize    = 500       // ends read at once
	valueRoom   = 14 * 1024 // three leaves and a manifest fit into a transaction
	maxParts    = 3
)

// Counts is what a compactor has done.
type Counts struct {
	Moved, Dropped, Switches, Requests int
	Differing                          int // ends that are not what the archive says: left alone
}

// Compactor moves ends into the archive, step by step. Only the holder of the term
// may run one. Nothing is kept but in the state service, so that another one goes on
// wherever this one stopped.
type Compactor struct {
	r      *Reader
	src    Source
	lim    Limits
	cursor string // the last end read
	listed bool   // all ends have been read
	ends   [shards][]end
	held   int // ends in them
	full   [shards]bool
	batch  int
	drops  []string // keys of ends that the archive answers for

	Counts Counts
}

type end struct {
	number
	answer
}

// NewCompactor returns a compactor that begins with a look at all ends.
func NewCompactor(r *Reader, src Source, lim Limits) *Compactor {
	lim.Value = min(lim.Value*9/10, valueRoom)
	lim.Batch = cmp.Or(lim.Batch, maxBatch)
	return &Compactor{r: r, src: src, lim: lim, batch: lim.Batch}
}

// Step does one piece of work and returns how many changes it made. It is idle when
// all ends have been looked at and those that are due are moved; the next step
// begins anew. An error leaves everything as it may be found: the next step finds
// out what was done.
func (c *Compactor) Step(ctx context.Context) (changes int, idle bool, err error) {
	switch shard := c.fullest(); {
	case len(c.drops) > 0:
		return c.drop(ctx)
	case !c.listed && c.held < maxBuffered:
		return 0, false, c.list(ctx)
	case shard >= 0:
		changes, err = c.move(ctx, shard)
		return changes, false, err
	}
	// What is left is too little to be worth a leaf, or came after its page was read.
	idle = c.listed
	for s := range c.ends {
		c.ends[s], c.full[s] = nil, false
	}
	c.held, c.batch = 0, c.lim.Batch
	if c.listed {
		c.cursor, c.listed = "", false
	}
	return 0, idle, nil
}

// fullest returns the shard with the most ends to be moved, or -1.
func (c *Compactor) fullest() int {
	best := -1
	for s := range c.ends {
		if len(c.ends[s]) >= minBatch && !c.full[s] && (best < 0 || len(c.ends[s]) > len(c.ends[best])) {
			best = s
		}
	}
	return best
}

// list reads the next ends and keeps those that are old enough and whose job's
// record is gone. Such a record can't come back: accepting a job is conditional on
// its end's absence and, once that is gone, on the manifest.
func (c *Compactor) list(ctx context.Context) error {
	c.Counts.Requests++
	page, err := c.r.store.Page(ctx, c.src.EndPrefix, c.cursor, pageSize)
	if err != nil {
		return err
	}
	var due []end
	for _, e := range page.Items {
		id := e.Key[len(c.src.EndPrefix):]
		n, err := parseID(id)
		if err != nil {
			continue // not written by this program
		}
		x, err := c.src.Decode(id, e.Value)
		if err != nil {
			return fmt.Errorf("%s: %w", e.Key, err)
		}
		if x.At <= c.src.Now()-c.lim.After && (x.Status == wire.JobDone || x.Status == wire.JobCancelled) {
			due = append(due, end{n, answer{x.Status, x.Done}})
		}
	}
	jobs := make([]string, len(due))
	for i, e := range due {
		jobs[i] = c.src.JobPrefix + e.id()
	}
	c.Counts.Requests += (len(jobs) + 4*c.lim.Ops - 1) / (4 * c.lim.Ops)
	there, err := kvstore.ExistingKeys(ctx, c.r.store, jobs, c.lim.Ops)
	if err != nil {
		return err
	}
	for i, e := range due {
		if !there[jobs[i]] {
			s := e.shard()
			c.ends[s] = append(c.ends[s], e)
			c.held++
		}
	}
	if len(page.Items) > 0 {
		c.cursor = page.Items[len(page.Items)-1].Key
	}
	c.listed = !page.More || len(page.Items) == 0
	return nil
}

// drop deletes the keys of ends that the archive answers for. That may be done any
// number of times and at any later moment: an answer once archived stays.
func (c *Compactor) drop(ctx context.Context) (int, bool, error) {
	k := min(len(c.drops), c.lim.Ops)
	txn := wire.Txn{Conditions: []wire.Condition{c.src.Term()}}
	for _, key := range c.drops[:k] {
		txn.Mutations = append(txn.Mutations, wire.Mutation{Delete: key})
	}
	c.Counts.Requests++
	_, err := c.r.store.Txn(ctx, txn)
	if errors.Is(err, kvstore.ErrConflict) {
		return 0, false, ErrDeposed
	}
	if err != nil {
		return 0, false, err
	}
	c.drops = c.drops[k:]
	c.Counts.Dropped += k
	return k, false, nil
}

// move puts ends of one shard into the leaf that most of them belong to, and switches
// the manifest: one transaction, conditional on the term and on the manifest from
// which it was made. Their keys go afterwards, so that at every moment an answer is
// in at least one place, and in both it is the same.
func (c *Compactor) move(ctx context.Context, shard int) (changes int, err error) {
	v := c.r.view(shard)
	old := v.m
	if old == nil {
		old = &manifest{}
	}
	ends := c.ends[shard]
	slices.SortFunc(ends, func(a, b end) int { return compare(a.number, b.number) })
	at, ends := c.choose(old, ends)

	l := &leaf{}
	if len(old.leaves) > 0 {
		key := leafKey(shard, old.leaves[at].name)
		c.Counts.Requests++
		got, found, err := c.r.leaf(ctx, key)
		if err != nil {
			return 0, err
		}
		if !found { // the manifest is not the latest
			return 0, c.r.refresh(ctx, shard)
		}
		l = got
	}
	var fresh []number
	var done []string
	for _, e := range ends {
		switch there, ok := l.find(e.number); {
		case !ok:
			fresh = append(fresh, e.number)
			l.insert(e.number, e.answer)
			done = append(done, c.src.EndPrefix+e.id())
		case there == e.answer:
			done = append(done, c.src.EndPrefix+e.id())
		default: // never seen; nothing is overwritten or deleted
			c.Counts.Differing++
		}
	}
	if len(fresh) > 0 {
		changes, err = c.swap(ctx, shard, v, old, at, l, fresh)
		if err != nil || changes == 0 {
			return changes, err
		}
		c.Counts.Moved += len(fresh)
	}
	c.drops = append(c.drops, done...)
	c.forget(shard, ends)
	return changes, nil
}

// choose picks the leaf with the most ends, and those of them that go at once.
func (c *Compactor) choose(m *manifest, ends []end) (at int, chosen []end) {
	for i := 0; i < len(ends); {
		leaf, k := m.leafOf(ends[i].number), i
		for k < len(ends) && m.leafOf(ends[k].number) == leaf {
			k++
		}
		if k-i > len(chosen) {
			at, chosen = leaf, ends[i:k]
		}
		i = k
	}
	return at, chosen[:min(len(chosen), c.batch)]
}

// swap stores the parts of a new leaf and the manifest that names them.
func (c *Compactor) swap(ctx context.Context, shard int, v view, old *manifest, at int, l *leaf, fresh []number) (changes int, err error) {
	parts, texts := l.split(c.lim.Value)
	if len(parts) > min(maxParts, c.lim.Ops-2) {
		if c.batch == 1 {
			return 0, fmt.Errorf("archive: %d changes in a transaction and %d bytes in a value are too few", c.lim.Ops, c.lim.Value)
		}
		c.batch /= 2 // tried again with less
		return 0, nil
	}
	m := &manifest{next: old.next}
	txn := wire.Txn{Conditions: []wire.Condition{c.src.Term(), {Key: manifestKey(shard), Version: v.version}}}
	var refs []leafRef
	for i, p := range parts {
		refs = append(refs, leafRef{m.next, len(p.numbers), p.numbers[0]})
		txn.Mutations = append(txn.Mutations, wire.Mutation{Put: leafKey(shard, m.next), Value: texts[i]})
		m.next++
	}
	if len(old.leaves) > 0 {
		txn.Mutations = append(txn.Mutations, wire.Mutation{Delete: leafKey(shard, old.leaves[at].name)})
		m.leaves = append(append(append(m.leaves, old.leaves[:at]...), refs...), old.leaves[at+1:]...)
	} else {
		m.leaves = refs
	}
	if m.filter, err = c.filter(ctx, shard, old, m, at, l, fresh); err != nil {
		if errors.Is(err, errFull) {
			c.full[shard] = true
			return 0, nil
		}
		return 0, err
	}
	text := m.encode()
	if len(text) > c.lim.Value {
		c.full[shard] = true
		return 0, nil
	}
	txn.Mutations = append(txn.Mutations, wire.Mutation{Put: manifestKey(shard), Value: text})
	c.Counts.Requests++
	a, err := c.r.store.Txn(ctx, txn)
	if err := c.failed(ctx, shard, err); err != nil {
		return 0, err
	}
	c.r.set(shard, view{a.Revision, m})
	c.Counts.Switches++
	return len(txn.Mutations), nil
}

// failed looks into a transaction that was not, or not surely, applied. The manifest
// is read again, and the ends stay listed: whether they were moved shows when they
// are tried again.
func (c *Compactor) failed(ctx context.Context, shard int, err error) error {
	if err == nil {
		return nil
	}
	if rerr := c.r.refresh(ctx, shard); rerr != nil {
		return rerr
	}
	if errors.Is(err, kvstore.ErrConflict) {
		c.Counts.Requests++
		if _, terr := c.r.store.Txn(ctx, wire.Txn{Conditions: []wire.Condition{c.src.Term()}}); errors.Is(terr, kvstore.ErrConflict) {
			return ErrDeposed
		}
	}
	return err
}

// filter returns the filter of a new manifest. When it has to be made anew, all
// leaves are read: that happens each time their number has doubled.
func (c *Compactor) filter(ctx context.Context, shard int, old, m *manifest, at int, l *leaf, fresh []number) (filter, error) {
	bare := manifest{next: m.next, leaves: m.leaves}
	room := (c.lim.Value-len(bare.encode()))*3/4 - 64 // base64, and the filter's own head
	if room < c.lim.Value/8 {
		return filter{}, errFull
	}
	if f, ok := old.filter.with(fresh, m.count(), room); ok {
		return f, nil
	}
	all := slices.Clone(l.numbers)
	for i, ref := range old.leaves {
		if i == at {
			continue
		}
		c.Counts.Requests++
		other, found, err := c.r.leaf(ctx, leafKey(shard, ref.name))
		if err != nil {
			return filter{}, err
		}
		if !found {
			return filter{}, fmt.Errorf("%s: %w: missing", leafKey(shard, ref.name), ErrDamaged)
		}
		all = append(all, other.numbers...)
	}
	return newBloom(all, room), nil
}

func (c *Compactor) forget(shard int, moved []end) {
	c.held -= len(moved)
	gone := make(map[number]bool, len(moved))
	for _, e := range moved {
		gone[e.number] = true
	}
	c.ends[shard] = slices.DeleteFunc(slices.Clone(c.ends[shard]), func(e end) bool { return gone[e.number] })
}
