package standby

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"dalefront/wire"
)

// fakeStore is a store with all that ever changed in it.
type fakeStore struct {
	keys     map[string]wire.KeyValue
	events   []wire.Event
	revision uint64
}

var prefixes = []string{"q/a/", "p/", "l/"}

func (h *fakeStore) change(r *rand.Rand) {
	h.revision++
	for range 1 + r.IntN(3) {
		k := fmt.Sprintf("%s%02d", []string{"q/a/", "q/a/", "q/e/", "p/", "l/", "other/"}[r.IntN(6)], r.IntN(20))
		if slices.ContainsFunc(h.events, func(e wire.Event) bool { return e.Version == h.revision && e.Put+e.Delete == k }) {
			continue
		}
		if _, there := h.keys[k]; there && r.IntN(3) == 0 {
			delete(h.keys, k)
			h.events = append(h.events, wire.Event{Delete: k, Version: h.revision})
			continue
		}
		v, _ := msgpack.Marshal(r.IntN(1000))
		h.keys[k] = wire.KeyValue{Key: k, Value: v, Version: h.revision}
		h.events = append(h.events, wire.Event{Put: k, Value: v, Version: h.revision})
	}
	if len(h.events) == 0 || h.events[len(h.events)-1].Version != h.revision {
		h.revision-- // nothing happened
	}
}

func (h *fakeStore) since(rev uint64) (ev wire.Events) {
	ev.Revision = h.revision
	for _, e := range h.events {
		if e.Version > rev {
			ev.Events = append(ev.Events, e)
		}
	}
	return ev
}

func (h *fakeStore) page(prefix, after string, most int) (p wire.KeyValuePage) {
	p.Revision = h.revision
	for k, e := range h.keys {
		if strings.HasPrefix(k, prefix) && k > after {
			p.Items = append(p.Items, e)
		}
	}
	slices.SortFunc(p.Items, func(a, b wire.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	if len(p.Items) > most {
		p.Items, p.More = p.Items[:most], true
	}
	return p
}

func isKept(key string) bool {
	return strings.HasPrefix(key, "q/") || strings.HasPrefix(key, "p/") || strings.HasPrefix(key, "l/")
}

func ownerOf(key string) string {
	if id, ok := strings.CutPrefix(key, "q/e/"); ok {
		return "q/a/" + id
	}
	return ""
}

func decode(_ string, v []byte) (any, error) {
	var n int
	err := msgpack.Unmarshal(v, &n)
	return n, err
}

// loadCopy reads a store page by page while it changes, as a standby does.
func (h *fakeStore) loadCopy(r *rand.Rand, limit int) *Copy {
	var all []wire.KeyValue
	var first uint64
	for _, p := range prefixes {
		for after := ""; ; {
			page := h.page(p, after, 7)
			if first == 0 {
				first = page.Revision
			}
			all = append(all, page.Items...)
			if !page.More {
				break
			}
			after = page.Items[len(page.Items)-1].Key
			for range r.IntN(3) {
				h.change(r)
			}
		}
	}
	for _, e := range slices.Clone(all) { // ends of the jobs that were read, one by one
		if id, ok := strings.CutPrefix(e.Key, "q/a/"); ok {
			if end, there := h.keys["q/e/"+id]; there {
				all = append(all, end)
			}
			if r.IntN(5) == 0 {
				h.change(r)
			}
		}
	}
	c := NewCopy(isKept, ownerOf, decode, Limits{MaxBytes: limit})
	c.Load(all, first, 1)
	return c
}

// difference says how a copy differs from the store at the copy's revision, which must be the
// store's; nothing if it does not.
func (h *fakeStore) difference(c *Copy) string {
	want := map[string]uint64{}
	for k, e := range h.keys {
		if o := ownerOf(k); isKept(k) && (o == "" || h.keys[o].Version > 0) {
			want[k] = e.Version
		}
	}
	got := map[string]uint64{}
	for k, it := range c.items {
		got[k] = it.Version
		if k, ok := h.keys[k]; ok && !slices.Equal(k.Value, it.Value) {
			return k.Key + " has another value"
		}
	}
	// An end that was there before, or with, its job's record is not followed: no record is
	// created for a job that has ended.
	for k := range want {
		if _, ok := got[k]; !ok && strings.HasPrefix(k, "q/e/") && h.keys[ownerOf(k)].Version >= h.keys[k].Version {
			delete(want, k)
		}
	}
	if !reflect.DeepEqual(got, want) {
		return fmt.Sprintf("it has %v, not %v", got, want)
	}
	return ""
}

// A copy that was begun while the state changed, and followed in answers of any size, is
// the state. What is lost, doubled, late, torn or out of order on the way is found out or
// harmless.
func TestCopyFollowsOrFails(t *testing.T) {
	faults := []string{"none", "lost", "lost answer", "doubled", "late", "torn", "swapped", "cut short"}
	found := map[string]int{}
	for seed := uint64(1); seed <= 400; seed++ {
		r := rand.New(rand.NewPCG(seed, 23))
		fault := faults[seed%uint64(len(faults))]
		h := &fakeStore{keys: map[string]wire.KeyValue{}}
		for range 30 {
			h.change(r)
		}
		c := h.loadCopy(r, 0)
		var last wire.Events
		at := 3 + r.IntN(5)
		for step := range 12 {
			for range 1 + r.IntN(5) {
				h.change(r)
			}
			ev := h.since(c.Revision())
			if step == at && len(ev.Events) > 0 {
				k := r.IntN(len(ev.Events))
				switch fault {
				case "lost": // all of a revision: one key of several is what an audit is for
					v := ev.Events[k].Version
					ev.Events = slices.DeleteFunc(ev.Events, func(e wire.Event) bool { return e.Version == v })
				case "lost answer":
					continue // the next one tells it all
				case "doubled":
					c.Apply(ev, 2)
				case "late":
					c.Apply(ev, 2)
					ev = last
				case "torn":
					if ev.Events[k].Put == "" || !isKept(ev.Events[k].Put) {
						continue
					}
					ev.Events[k].Value = ev.Events[k].Value[:len(ev.Events[k].Value)-1]
				case "swapped":
					a, b := ev.Events[0], ev.Events[len(ev.Events)-1]
					if a.Version == b.Version {
						continue
					}
					ev.Events[0], ev.Events[len(ev.Events)-1] = b, a
				case "cut short":
					ev.Events = ev.Events[:len(ev.Events)-1]
				}
			}
			c.Apply(ev, 2)
			last = ev
		}
		if c.Err() != nil {
			found[fault]++
			if fault == "none" || fault == "doubled" || fault == "late" || fault == "lost answer" {
				t.Fatalf("seed %d, %s: a valid copy became invalid: %s", seed, fault, c.Err())
			}
			continue
		}
		c.Apply(h.since(c.Revision()), 3)
		if w := h.difference(c); w != "" && fault != "cut short" {
			t.Fatalf("seed %d, %s: %s", seed, fault, w)
		} else if w != "" {
			// A key of a revision of several is missing: the audit finds it.
			for range 20 {
				rg := c.NextAuditRange(prefixes)
				c.Audit(rg, h.page(rg.Prefix, rg.After, rg.Limit), prefixes)
			}
			if c.Err() == nil && !strings.Contains(w, "q/e/") {
				t.Fatalf("seed %d, %s: never found out: %s", seed, fault, w)
			}
			found[fault]++
		}
	}
	for _, f := range []string{"lost", "swapped"} {
		if found[f] < 20 {
			t.Errorf("%s: found out only %d times", f, found[f])
		}
	}
}

// One entry lost, doubled, stale or torn in the copy itself is found by one round of
// audits, whatever changes meanwhile; a good copy passes any number of them.
func TestAuditsFindDifferences(t *testing.T) {
	for seed := uint64(1); seed <= 200; seed++ {
		r := rand.New(rand.NewPCG(seed, 24))
		h := &fakeStore{keys: map[string]wire.KeyValue{}}
		for range 60 {
			h.change(r)
		}
		c := h.loadCopy(r, 0)
		c.Apply(h.since(c.Revision()), 2)
		round := func() {
			for from := c.AuditRounds(); c.AuditRounds() == from && c.Err() == nil; {
				rg := c.NextAuditRange(prefixes)
				rg.Limit = 5
				page := h.page(rg.Prefix, rg.After, rg.Limit)
				for range r.IntN(2) {
					h.change(r)
				}
				c.Apply(h.since(c.Revision()), 2)
				c.Audit(rg, page, prefixes)
			}
		}
		round()
		if c.Err() != nil {
			t.Fatalf("seed %d: a valid copy became invalid: %s", seed, c.Err())
		}
		keys := slices.DeleteFunc(slices.Concat(c.Keys("l/"), c.Keys("q/a/")), func(k string) bool { return h.keys[k].Key == "" })
		if len(keys) == 0 {
			continue
		}
		k := keys[r.IntN(len(keys))]
		it := c.items[k]
		switch seed % 4 {
		case 0:
			delete(c.items, k)
		case 1:
			c.items["l/99"] = it
		case 2:
			it.Version--
			c.items[k] = it
		case 3:
			it.Value = append(slices.Clone(it.Value), 0)
			c.items[k] = it
		}
		// Nothing else changes: a key that is written anew is right again.
		for from := c.AuditRounds(); c.AuditRounds() < from+2 && c.Err() == nil; {
			rg := c.NextAuditRange(prefixes)
			c.Audit(rg, h.page(rg.Prefix, rg.After, rg.Limit), prefixes)
		}
		if c.Err() == nil {
			t.Fatalf("seed %d: %s is wrong and was not found", seed, k)
		}
	}
}

// What a copy may take of the memory is bounded, and what it can't read makes it invalid.
func TestCopyLimits(t *testing.T) {
	c := NewCopy(isKept, ownerOf, decode, Limits{MaxBytes: 100})
	if !errors.Is(c.Err(), ErrNotLoaded) {
		t.Error("a copy that was never read is valid")
	}
	v, _ := msgpack.Marshal(strings.Repeat("x", 10))
	c.Decode = func(string, []byte) (any, error) { return nil, nil }
	c.Load([]wire.KeyValue{{Key: "l/1", Value: v, Version: 1}}, 1, 1)
	for i := range 20 {
		c.Apply(wire.Events{Revision: uint64(i + 2), Events: []wire.Event{{Put: fmt.Sprint("l/", i), Value: v, Version: uint64(i + 2)}}}, 2)
	}
	var tooLarge *SizeError
	if !errors.As(c.Err(), &tooLarge) || tooLarge.LimitBytes != 100 || !strings.Contains(tooLarge.Error(), "bytes") {
		t.Errorf("error: %v", c.Err())
	}
	torn := errors.New("torn")
	c.Decode = func(string, []byte) (any, error) { return nil, torn }
	c.Load([]wire.KeyValue{{Key: "l/1", Value: v, Version: 1}}, 1, 1)
	if !errors.Is(c.Err(), torn) || !strings.Contains(c.Err().Error(), "torn") {
		t.Errorf("error: %v", c.Err())
	}
}
