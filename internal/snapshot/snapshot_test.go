package snapshot

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dalefront/internal/kvstore"
	"dalefront/wire"
)

var background = context.Background()

// fakeStore plays the state service: versions, conditions, a bounded memory of changes,
// and transactions that fail. Between two requests others may write.
type fakeStore struct {
	revision   uint64
	keys       map[string]wire.KeyValue
	events     []wire.Event
	keptEvents int // changes that are remembered
	before     func()
	fail       func() error // instead of a transaction, or after it
	after      bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{revision: 1, keys: map[string]wire.KeyValue{}, keptEvents: 1000}
}

func (s *fakeStore) beforeRequest() {
	if s.before != nil {
		s.before()
	}
}

func (s *fakeStore) put(k string, v any) {
	b, _ := wire.Marshal(v)
	s.revision++
	s.keys[k] = wire.KeyValue{Key: k, Value: b, Version: s.revision}
	s.record(wire.Event{Put: k, Value: b, Version: s.revision})
}

func (s *fakeStore) remove(k string) {
	s.revision++
	delete(s.keys, k)
	s.record(wire.Event{Delete: k, Version: s.revision})
}

func (s *fakeStore) record(e wire.Event) {
	s.events = append(s.events, e)
	s.events = s.events[max(0, len(s.events)-s.keptEvents):]
}

func (s *fakeStore) Get(_ context.Context, k string) (wire.KeyValue, bool, error) {
	s.beforeRequest()
	e, ok := s.keys[k]
	return e, ok, nil
}

func (s *fakeStore) Page(_ context.Context, prefix, after string, most int) (wire.KeyValuePage, error) {
	s.beforeRequest()
	out := wire.KeyValuePage{Revision: s.revision}
	for _, k := range slices.Sorted(maps.Keys(s.keys)) {
		if strings.HasPrefix(k, prefix) && k > after {
			if len(out.Items) == min(most, 7) { // small pages
				out.More = true
				break
			}
			out.Items = append(out.Items, s.keys[k])
		}
	}
	return out, nil
}

func (s *fakeStore) Watch(_ context.Context, prefix string, from uint64, _ time.Duration) (wire.Events, error) {
	s.beforeRequest()
	if len(s.events) > 0 && s.events[0].Version > from+1 {
		return wire.Events{}, kvstore.ErrCompacted
	}
	out := wire.Events{Revision: s.revision}
	for _, e := range s.events {
		if e.Version > from && strings.HasPrefix(e.Put+e.Delete, prefix) {
			out.Events = append(out.Events, e)
		}
	}
	return out, nil
}

func (s *fakeStore) Txn(_ context.Context, t wire.Txn) (wire.TxnResponse, error) {
	s.beforeRequest()
	var err error
	if s.fail != nil {
		if err = s.fail(); err != nil && !s.after {
			return wire.TxnResponse{}, err
		}
	}
	var a wire.TxnResponse
	for _, c := range t.Conditions {
		if s.keys[c.Key].Version != c.Version {
			a.FailedKeys = append(a.FailedKeys, c.Key)
		}
	}
	switch {
	case err != nil && len(a.FailedKeys) > 0:
		return wire.TxnResponse{}, err
	case len(a.FailedKeys) > 0:
		return a, kvstore.ErrConflict
	}
	for _, c := range t.Mutations {
		if c.Delete != "" {
			s.remove(c.Delete)
		} else {
			s.put(c.Put, c.Value)
		}
	}
	a.Revision = s.revision
	return a, err
}

func values(s *fakeStore) map[string]msgpack.RawMessage {
	out := map[string]msgpack.RawMessage{}
	for k, e := range s.keys {
		if !excluded(k) {
			out[k] = e.Value
		}
	}
	return out
}

func excluded(k string) bool { return k == "term" }

func equalKeys(a, b map[string]msgpack.RawMessage) bool {
	return maps.EqualFunc(a, b, func(x, y msgpack.RawMessage) bool { return bytes.Equal(x, y) })
}

// While keys are read others are written and deleted, so fast that the service now and
// then has forgotten: the copy is the state at one revision all the same, or none.
func TestTakeAtOneRevision(t *testing.T) {
	busy := 0
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 15))
		s := newFakeStore()
		s.keptEvents = 5 + rnd.IntN(60)
		at := map[uint64]map[string]msgpack.RawMessage{}
		write := func() {
			if k := fmt.Sprint("k/", rnd.IntN(60)); rnd.IntN(3) == 0 {
				s.remove(k)
			} else {
				s.put(k, rnd.IntN(1000))
			}
			at[s.revision] = values(s)
		}
		for range 100 {
			write()
		}
		s.put("term", 1)
		at[s.revision] = values(s)
		s.before = func() {
			for range rnd.IntN(6) {
				write()
			}
		}
		snap, err := Take(background, s, AllKeys, excluded, func() int64 { return 9 })
		if errors.Is(err, ErrBusy) {
			busy++
			continue
		}
		if err != nil || snap.TakenAt != 9 || !equalKeys(snap.Keys, at[snap.Revision]) || len(snap.Versions) != len(snap.Keys) {
			t.Fatalf("seed %d: %v: revision %d: %d keys, want %d", seed, err, snap.Revision, len(snap.Keys), len(at[snap.Revision]))
		}
	}
	if busy == 0 || busy > 100 {
		t.Errorf("%d of 200 were too busy: the test should see both", busy)
	}
}

func someSnapshot(n int) *Snapshot {
	s := &Snapshot{Revision: 5000, TakenAt: 1, Keys: map[string]msgpack.RawMessage{}, Versions: map[string]uint64{}}
	for i := range n {
		b, _ := wire.Marshal(map[string]any{"N": i})
		k := fmt.Sprintf("q/e/j-%04d", i)
		s.Keys[k], s.Versions[k] = b, uint64(i+1)
	}
	return s
}

// Every changed byte of a file is noticed, every cut, another key, a newer version.
func TestFiles(t *testing.T) {
	key := DeriveKey([]byte("secret"))
	for _, k := range [][]byte{nil, key} {
		s := someSnapshot(20)
		b, err := s.Encode(k)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(b, k); err != nil || got.Revision != s.Revision || !equalKeys(got.Keys, s.Keys) {
			t.Fatalf("%v: %v became %v", err, s, got)
		}
		for i := range b {
			for _, flip := range []byte{1, 2, 4, 8, 16, 32, 64, 128, 255} {
				b[i] ^= flip
				if _, err := Decode(b, k); !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNewer) && !errors.Is(err, ErrWrongKey) {
					t.Fatalf("byte %d, flip %d: %v", i, flip, err)
				}
				b[i] ^= flip
			}
			if _, err := Decode(b[:i], k); err == nil {
				t.Fatalf("cut to %d bytes it passed", i)
			}
		}
		for _, other := range [][]byte{nil, key, DeriveKey([]byte("another"))} {
			if _, err := Decode(b, other); (err == nil) != bytes.Equal(other, k) {
				t.Errorf("with another key: %v", err)
			}
		}
	}
	b, _ := someSnapshot(1).Encode(nil)
	b[len(magic)]++
	if _, err := Decode(b, nil); !errors.Is(err, ErrNewer) {
		t.Errorf("got %v, want %v", err, ErrNewer)
	}
}

// Two whole generations are kept. What a writer that died has left is never taken for
// a snapshot, and a torn file doesn't push out a whole one.
func TestGenerations(t *testing.T) {
	dir := t.TempDir()
	for i := range int64(4) {
		s := someSnapshot(3)
		s.TakenAt = i
		if i == 2 { // torn, and half written
			b, _ := s.Encode(nil)
			if err := errors.Join(os.WriteFile(filepath.Join(dir, fmt.Sprintf("%020d-%020d%s", i, 5000, fileSuffix)), b[:len(b)/2], 0o600),
				os.WriteFile(filepath.Join(dir, ".snapshot-1"), b, 0o600)); err != nil {
				t.Fatal(err)
			}
			continue
		}
		if _, err := s.SaveFile(dir, nil); err != nil {
			t.Fatal(err)
		}
		files, err := ListFiles(dir, nil)
		if err != nil || files[0].Snapshot.TakenAt != i {
			t.Fatalf("%v: %v", err, files)
		}
	}
	var whole []int64
	files, _ := ListFiles(dir, nil)
	for _, f := range files {
		if f.Err == nil {
			whole = append(whole, f.Snapshot.TakenAt)
		} else if !errors.Is(f.Err, ErrDamaged) {
			t.Error(f.Err)
		}
	}
	if !slices.Equal(whole, []int64{3, 1}) {
		t.Errorf("kept %v", whole)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, ".snapshot-*")); len(left) > 0 {
		t.Errorf("left: %v", left)
	}
}

// A restore is broken off at every write, before and after it, and begun again; in the
// end the keys are those of the snapshot, and revisions go on above it.
func TestRestoreResumes(t *testing.T) {
	snap := someSnapshot(50)
	snap.Revision = 30
	o := RestoreOptions{MaxMutations: 6, MinRevision: 40}
	stopped := errors.New("stopped")
	for _, after := range []bool{false, true} {
		for _, what := range []error{stopped, kvstore.ErrOutcomeUnknown, kvstore.ErrRefused} {
			for at := 0; ; at++ {
				s := newFakeStore()
				n := 0
				s.after = after
				s.fail = func() error {
					n++
					if n == at+1 {
						return what
					}
					return nil
				}
				var d RestoreResult
				err := stopped
				for tries := 0; errors.Is(err, stopped) && tries < 3; tries++ {
					d, err = Restore(background, s, snap, o)
				}
				if errors.Is(err, ErrNotEmpty) && d.Written == 0 && after {
					err, d.Revision = nil, s.revision // stopped after the last write: there is nothing to go on with
				}
				if err != nil || !equalKeys(values(s), snap.Keys) || d.Revision <= 40 || s.revision <= 40 {
					t.Fatalf("after: %v, %v at %d: %v, %+v", after, what, at, err, d)
				}
				if n <= at {
					break
				}
			}
		}
	}
}

// Copies are stored in the state service one after the other, broken off at every
// write and late at some. What is loaded is one of them, whole, and the newest if the
// last one came to its end; never a mixture.
func TestStoredCopies(t *testing.T) {
	stopped := errors.New("stopped")
	for at := 0; at < 60; at++ {
		for _, after := range []bool{false, true} {
			s := newFakeStore()
			s.put("term", 1)
			term := wire.Condition{Key: "term", Version: s.keys["term"].Version}
			n := 0
			s.after = after
			s.fail = func() error {
				if n++; n == at+1 {
					return stopped
				}
				return nil
			}
			var newest *Snapshot
			for round := range 5 {
				snap := someSnapshot(10 + 60*(round%3))
				snap.Revision, snap.Keys["extra"] = uint64(100+round), msgpack.RawMessage{0xa1, byte('a' + round)}
				err := snap.StoreCopy(background, s, CopyOptions{Term: term, MaxMutations: 4, MaxValueBytes: 300})
				if err == nil {
					newest = snap
				} else if !errors.Is(err, stopped) {
					t.Fatal(err)
				}
				got, err := LoadCopy(background, s)
				switch {
				case err != nil:
					if newest != nil || !errors.Is(err, ErrNoCopy) {
						t.Fatalf("at %d, after: %v, round %d: %v", at, after, round, err)
					}
				case got.Revision == snap.Revision && equalKeys(got.Keys, snap.Keys):
				case newest == nil || got.Revision != newest.Revision || !equalKeys(got.Keys, newest.Keys):
					t.Fatalf("at %d, after: %v, round %d: loaded %v, stored %v", at, after, round, got, newest)
				}
			}
			// A part of some other copy arrives late: the other generation is loaded.
			for k := range s.keys {
				if strings.HasPrefix(k, StoredPrefix) && strings.HasSuffix(k, "/000001") {
					s.put(k, "AAAA")
					break
				}
			}
			got, err := LoadCopy(background, s)
			if n > at && (errors.Is(err, ErrNoCopy) || err == nil && got.Revision >= 102) {
				continue // one round was broken off
			}
			if err != nil || got.Revision < 103 || string(got.Keys["extra"][1:]) != string(rune('a'+got.Revision-100)) {
				t.Fatalf("with a strange part: %v, %v", got, err)
			}
		}
	}
	s := newFakeStore()
	if err := someSnapshot(3).StoreCopy(background, s, CopyOptions{Term: wire.Condition{Key: "term", Version: 7}, MaxMutations: 4, MaxValueBytes: 300}); !errors.Is(err, kvstore.ErrConflict) || len(s.keys) > 0 {
		t.Errorf("without the term: %v", err)
	}
}

// What is there is never overwritten.
func TestRestoreRefuses(t *testing.T) {
	snap := someSnapshot(10)
	s := newFakeStore()
	s.put("q/e/j-0003", "another")
	before := s.revision
	if _, err := Restore(background, s, snap, RestoreOptions{MaxMutations: 6}); !errors.Is(err, ErrNotEmpty) || s.revision != before {
		t.Errorf("got %v after %d changes, want %v", err, s.revision-before, ErrNotEmpty)
	}
	d, err := Restore(background, s, snap, RestoreOptions{MaxMutations: 6, Merge: true})
	if !errors.Is(err, ErrDiffers) || d.Written != 9 {
		t.Errorf("got %+v, %v; want %v", d, err, ErrDiffers)
	}
	other := someSnapshot(11)
	if _, err := Restore(background, s, other, RestoreOptions{MaxMutations: 6, Merge: true}); !errors.Is(err, ErrNotEmpty) {
		t.Errorf("into a restore of another snapshot: %v, want %v", err, ErrNotEmpty)
	}
}

func TestDiff(t *testing.T) {
	a, b := someSnapshot(5), someSnapshot(6)
	delete(b.Keys, "q/e/j-0001")
	b.Keys["q/e/j-0002"] = a.Keys["q/e/j-0003"]
	want := []Difference{{"q/e/j-0001", "removed"}, {"q/e/j-0002", "changed"}, {"q/e/j-0005", "added"}}
	if got := Diff(a, b); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A file from anywhere must be refused or read, nothing else.
func FuzzDecode(f *testing.F) {
	b, _ := someSnapshot(3).Encode(nil)
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		b = append(slices.Clone(b), checksum(b, nil)...) // past the checksum
		if s, err := Decode(b, nil); err == nil {
			_ = s.CountByKind()
		}
	})
}
