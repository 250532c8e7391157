package archive

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"

	"dalefront/internal/kvstore"
	"dalefront/wire"
)

var errKilled = errors.New("the process is dead")

// outcome is what becomes of a transaction with changes.
type outcome int

const (
	applied      outcome = iota
	refused              // 503: not executed, ever
	lostAnswer           // executed, nobody is told
	lostRequest          // not executed, nobody is told
	late                 // executed some requests later, nobody is told
	killedBefore         // the process dies before it is executed
	killedAfter          // and after
	outcomes
)

// fakeStore plays the state service: versions, conditions, and answers that fail.
type fakeStore struct {
	ops, value int
	revision   uint64
	keys       map[string]wire.KeyValue
	sorted     []string // all keys there ever were; nil until they are listed
	late       []wire.Txn
	writes     int
	bytes      int // sent and received
	requests   int
	next       func(write int) outcome
	dead       bool
	after      func() // looks at the keys after every change
}

func newFakeStore(ops, value int) *fakeStore {
	return &fakeStore{ops: ops, value: value, revision: 1, keys: map[string]wire.KeyValue{}}
}

func (m *fakeStore) Get(_ context.Context, key string) (wire.KeyValue, bool, error) {
	if m.dead {
		return wire.KeyValue{}, false, errKilled
	}
	m.requests++
	m.deliverLate()
	e, ok := m.keys[key]
	m.bytes += len(e.Value)
	return e, ok, nil
}

func (m *fakeStore) Page(_ context.Context, prefix, after string, most int) (wire.KeyValuePage, error) {
	if m.dead {
		return wire.KeyValuePage{}, errKilled
	}
	m.requests++
	m.deliverLate()
	if m.sorted == nil {
		for k := range m.keys {
			m.sorted = append(m.sorted, k)
		}
		slices.Sort(m.sorted)
	}
	out := wire.KeyValuePage{Revision: m.revision}
	size := 0
	for _, k := range m.sorted[sort.SearchStrings(m.sorted, max(prefix, after)):] {
		if !strings.HasPrefix(k, prefix) || k <= after {
			if k > prefix && !strings.HasPrefix(k, prefix) {
				break
			}
			continue
		}
		if _, there := m.keys[k]; !there {
			continue
		}
		if len(out.Items) == most || size > 512<<10 {
			out.More = true
			break
		}
		out.Items = append(out.Items, m.keys[k])
		size += len(k) + len(m.keys[k].Value)
	}
	m.bytes += size
	return out, nil
}

// deliverLate executes what was held back.
func (m *fakeStore) deliverLate() {
	held := m.late
	m.late = nil
	for _, t := range held {
		_, _ = m.apply(t)
	}
}

func (m *fakeStore) Txn(_ context.Context, t wire.Txn) (wire.TxnResponse, error) {
	if m.dead {
		return wire.TxnResponse{}, errKilled
	}
	m.requests++
	if len(t.Mutations) > m.ops || len(t.Conditions) > 4*m.ops {
		panic(fmt.Sprintf("transaction with %d conditions and %d changes", len(t.Conditions), len(t.Mutations)))
	}
	o := applied
	if len(t.Mutations) > 0 {
		m.writes++
		if m.next != nil {
			o = m.next(m.writes)
		}
	}
	if o != late {
		m.deliverLate()
	}
	switch o {
	case refused:
		return wire.TxnResponse{}, kvstore.ErrRefused
	case lostRequest:
		return wire.TxnResponse{}, kvstore.ErrOutcomeUnknown
	case late:
		m.late = append(m.late, t)
		return wire.TxnResponse{}, kvstore.ErrOutcomeUnknown
	case killedBefore:
		m.dead = true
		return wire.TxnResponse{}, errKilled
	}
	a, err := m.apply(t)
	switch o {
	case lostAnswer:
		return wire.TxnResponse{}, kvstore.ErrOutcomeUnknown
	case killedAfter:
		m.dead = true
		return wire.TxnResponse{}, errKilled
	}
	return a, err
}

func (m *fakeStore) apply(t wire.Txn) (wire.TxnResponse, error) {
	a := wire.TxnResponse{}
	for _, c := range t.Conditions {
		if m.keys[c.Key].Version != c.Version {
			a.FailedKeys = append(a.FailedKeys, c.Key)
		}
	}
	if len(a.FailedKeys) > 0 {
		return a, kvstore.ErrConflict
	}
	if len(t.Mutations) > 0 {
		m.revision++
	}
	size := 0
	for _, c := range t.Mutations {
		if c.Delete != "" {
			delete(m.keys, c.Delete)
			continue
		}
		b, err := wire.Marshal(c.Value)
		if err != nil || len(b) > m.value {
			panic(fmt.Sprintf("%s: value of %d bytes: %v", c.Put, len(b), err))
		}
		size += len(b)
		m.addSorted(c.Put)
		m.keys[c.Put] = wire.KeyValue{Key: c.Put, Value: b, Version: m.revision}
	}
	if size > 64<<10 {
		panic(fmt.Sprintf("transaction of %d bytes", size))
	}
	m.bytes += size
	a.Revision = m.revision
	if m.after != nil && len(t.Mutations) > 0 {
		m.after()
	}
	return a, nil
}

// addSorted adds a key to those that are listed.
func (m *fakeStore) addSorted(key string) {
	if m.sorted == nil {
		return
	}
	if i, there := slices.BinarySearch(m.sorted, key); !there {
		m.sorted = slices.Insert(m.sorted, i, key)
	}
}

// size is what is stored under a prefix.
func (m *fakeStore) size(prefix string) (keys, bytes int) {
	for k, e := range m.keys {
		if strings.HasPrefix(k, prefix) {
			keys++
			bytes += len(k) + len(e.Value)
		}
	}
	return keys, bytes
}

// put stores a value, as some earlier process would have.
func (m *fakeStore) put(key string, v any) {
	b, err := wire.Marshal(v)
	if err != nil {
		panic(err)
	}
	m.revision++
	m.addSorted(key)
	m.keys[key] = wire.KeyValue{Key: key, Value: b, Version: m.revision}
}
