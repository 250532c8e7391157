package controller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"dalefront/internal/config"
	"dalefront/internal/emulator"
	"dalefront/internal/sched"
	"dalefront/internal/standby"
	"dalefront/wire"
)

// standbyFixture is a node at a played state service, in which it is the leader's writer too.
type standbyFixture struct {
	*Controller
	t        testing.TB
	services *emulator.Services
	ctx      context.Context
	rng      *rand.Rand
	term     uint64
	jobs     []string
	changes  int
}

func newStandbyFixture(t testing.TB, seed uint64) *standbyFixture {
	t.Helper()
	w := &standbyFixture{t: t, rng: rand.New(rand.NewPCG(seed, 23))}
	w.services = emulator.NewServices(wire.Catalog{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := 1.0
	zero, one := 0.0, 1
	n := newTestController(t, w.services.ServeHTTP, func(set *config.Settings) {
		o := &set.Operator
		o.PreemptionDelayS, o.CheckpointMBPerS, o.Standbys, o.SuspectS, o.FailoverSnapshotS = &f, &f, &one, &f, &zero
	})
	n.catalog.set(wire.Catalog{Types: []wire.MachineType{{Name: "s", CPUs: 8, MemoryGB: 64, Zones: []string{"x"}}}})
	n.owner.lastRun.Store(n.now())
	w.Controller, w.ctx = n, ctx
	w.takeTerm()
	return w
}

// write stores changes under the present term.
func (w *standbyFixture) write(then ...wire.Mutation) {
	w.t.Helper()
	if _, err := w.store.Txn(w.ctx, wire.Txn{Conditions: []wire.Condition{{Key: termKey, Version: w.term}}, Mutations: then}); err != nil {
		w.t.Fatal(err)
	}
}

// takeTerm replaces the term.
func (w *standbyFixture) takeTerm() {
	w.t.Helper()
	a, err := w.store.Txn(w.ctx, wire.Txn{Conditions: []wire.Condition{{Key: termKey, Version: w.term}}, Mutations: []wire.Mutation{{Put: termKey, Value: termRecord{Node: "a", Mark: fmt.Sprint(w.term)}}}})
	if err != nil {
		w.t.Fatal(err)
	}
	w.term = a.Revision
	w.observeTerm("a", w.term)
}

// change lets something happen to jobs, progress, ledger, ends, hires and what was learned.
func (w *standbyFixture) change(times int) {
	for range times {
		w.changes++
		r := w.rng
		pick := func() string { return w.jobs[r.IntN(len(w.jobs))] }
		switch k := r.IntN(10); {
		case k < 3 || len(w.jobs) == 0:
			id := fmt.Sprintf("j-%06d", w.changes)
			w.jobs = append(w.jobs, id)
			j := wire.Job{ID: id, Class: "c", Team: "a", Shape: []string{wire.Array, wire.Gang}[r.IntN(2)], Priority: wire.Normal, Tasks: 1 + r.IntN(9), CPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 60}
			w.write(wire.Mutation{Put: jobKey(id), Value: jobRecord{Job: j, SubmittedAt: w.now()}})
		case k < 6:
			e := sched.LedgerEntry{Hosts: []sched.LedgerHost{{Host: fmt.Sprintf("n-%02d", r.IntN(9)), Type: "s", Zone: "x", Incarnation: 1}},
				Runs: []sched.LedgerRun{{Job: pick(), Attempt: uint64(w.changes), Tasks: []int32{int32(r.IntN(9))}}}}
			w.write(wire.Mutation{Put: ledgerPrefix + fmt.Sprintf("%016x.%08x", w.term, w.changes), Value: e})
		case k < 7:
			w.write(wire.Mutation{Put: progressKey(pick(), 0), Value: "AQAAAAAAAAA="})
		case k < 8:
			id := pick()
			_, _ = w.store.Txn(w.ctx, wire.Txn{Conditions: []wire.Condition{{Key: endKey(id)}}, Mutations: []wire.Mutation{{Put: endKey(id), Value: endRecord{Status: wire.JobDone, EndedAt: w.now(), TasksDone: 1}}}})
		case k < 9:
			if es, _, _ := w.store.List(w.ctx, ledgerPrefix); len(es) > 0 {
				w.write(wire.Mutation{Delete: es[r.IntN(len(es))].Key})
			}
		default:
			w.write(wire.Mutation{Put: learnedKey, Value: sched.Statistics{At: w.now(), Write: 0.1 + r.Float64()}}, wire.Mutation{Put: scaleOutPrefix + fmt.Sprint(w.changes), Value: "x"})
		}
		if r.IntN(12) == 0 { // a job that is over and gone
			id := pick()
			if _, over, _ := w.store.Get(w.ctx, endKey(id)); over {
				w.write(wire.Mutation{Delete: jobKey(id)})
			}
		}
	}
}

// reignNow is a term of this node that has not loaded anything yet.
func (w *standbyFixture) startLeadership() *leadership {
	return newLeadership(w.ctx, w.Controller, w.term, &lease{})
}

// follow reads the state as a standby does, and lets things happen while it follows.
func (w *standbyFixture) follow(rounds int) *standby.Copy {
	w.t.Helper()
	c, err := w.follower.read(w.ctx, paced{w.store, 0})
	if err != nil {
		w.t.Fatal(err)
	}
	w.follower.copy = c
	for range rounds {
		w.change(w.rng.IntN(6))
		ev, err := w.store.Watch(w.ctx, "", c.Revision(), 0)
		w.follower.applyEvents(c, ev, err)
		if w.rng.IntN(4) == 0 {
			w.follower.audit(w.ctx, c)
		}
		if c.Err() != nil {
			w.t.Fatal("a valid copy became invalid: ", c.Err())
		}
	}
	return c
}

// From the same store a warm and a cold takeover build the same core, whatever happened
// while it was followed and however far behind it was when the term was taken.
func TestWarmTakeoverEqualsCold(t *testing.T) {
	loads := 0
	for seed := uint64(1); seed <= 12; seed++ {
		w := newStandbyFixture(t, seed)
		w.change(40)
		w.follow(12)
		w.change(w.rng.IntN(30)) // the copy lags
		w.takeTerm()
		cold := w.startLeadership()
		read, err := cold.read()
		if err != nil {
			t.Fatal(err)
		}
		warm := w.startLeadership()
		copied, why := w.follower.takeOver(w.ctx, w.term, warm.lease)
		if copied == nil {
			t.Fatalf("seed %d: %s", seed, why)
		}
		want, err1 := cold.build(read)
		got, err2 := warm.build(copied)
		if err1 != nil || err2 != nil {
			t.Fatal(err1, err2)
		}
		a, b := strings.Split(want.Dump(), "\n"), strings.Split(got.Dump(), "\n")
		for i := range a {
			if i >= len(b) || a[i] != b[i] {
				t.Fatalf("seed %d: warm has\n%s\ncold\n%s", seed, b[min(i, len(b)-1)], a[i])
			}
		}
		loads += len(a)
		if fmt.Sprint(cold.staleKeys.keys) != fmt.Sprint(warm.staleKeys.keys) || fmt.Sprint(cold.progress.counts) != fmt.Sprint(warm.progress.counts) {
			t.Fatalf("seed %d: to be tidied up: %v and %v", seed, cold.staleKeys.keys, warm.staleKeys.keys)
		}
	}
	if loads < 300 {
		t.Fatalf("only %d lines were compared", loads)
	}
}

// What is wrong with a copy, or with the node that has it, leads to the cold path: an
// entry lost, doubled, stale or torn in the part that is compared, a term that it does not
// reach, a lost hold, a standstill, a higher token.
func TestDoubtfulCopyIsNotUsed(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(w *standbyFixture, c *standby.Copy, h *lease)
	}{
		{"nothing", nil},
		{"entry lost", func(w *standbyFixture, c *standby.Copy, _ *lease) {
			c.Keep = func(k string) bool { return !strings.HasPrefix(k, ledgerPrefix) && !strings.HasPrefix(k, jobPrefix) }
			w.change(20) // what is created now is missed
			ev, err := w.store.Watch(w.ctx, "", c.Revision(), 0)
			w.follower.applyEvents(c, ev, err)
			c.Keep = func(string) bool { return true }
		}},
		{"hold lost", func(_ *standbyFixture, _ *standby.Copy, h *lease) { h.expired.Store(true) }},
		{"standstill", func(w *standbyFixture, _ *standby.Copy, _ *lease) { w.owner.lastRun.Store(w.now() - 3*stallThreshold) }},
		{"higher token", func(w *standbyFixture, _ *standby.Copy, _ *lease) { w.observeTerm("b", w.term+1000) }},
		{"no store", func(w *standbyFixture, _ *standby.Copy, _ *lease) { w.services.SetDown(true) }},
		{"compacted", func(w *standbyFixture, c *standby.Copy, _ *lease) { c.Invalidate(errors.New("compacted")) }},
	} {
		w := newStandbyFixture(t, 5)
		w.change(60)
		copied := w.follow(5)
		h := &lease{}
		w.takeTerm()
		w.owner.lastRun.Store(w.now())
		if c.do != nil {
			c.do(w, copied, h)
		}
		s, why := w.follower.takeOver(w.ctx, w.term, h)
		if (s != nil) != (c.do == nil) {
			t.Errorf("%s: a copy is used %v: %s", c.name, s != nil, why)
		}
	}
}

// BenchmarkWarmTakeover is what a takeover takes from the term to a core, cold and warm.
func BenchmarkWarmTakeover(b *testing.B) {
	for _, jobs := range []int{300, 3000, 10_000} {
		w := newStandbyFixture(b, 1)
		w.settings.Deployment.State.RPS = 1e6
		for i := range jobs {
			id := fmt.Sprintf("j-%06d", i)
			j := wire.Job{ID: id, Class: "c", Team: "a", Shape: wire.Array, Priority: wire.Normal, Tasks: 20, CPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 60}
			e := sched.LedgerEntry{Hosts: []sched.LedgerHost{{Host: fmt.Sprintf("n-%06d", i), Type: "s", Zone: "x", Incarnation: 1}}, Runs: []sched.LedgerRun{{Job: id, Attempt: 1, Tasks: []int32{1, 2, 3, 4}}}}
			w.write(wire.Mutation{Put: jobKey(id), Value: jobRecord{Job: j, SubmittedAt: w.now()}}, wire.Mutation{Put: ledgerPrefix + id, Value: e})
		}
		run := func(name string, load func(r *leadership) *stored) {
			b.Run(fmt.Sprint(name, "/", jobs), func(b *testing.B) {
				var took, most config.Micros
				n := 0
				for b.Loop() {
					w.owner.lastRun.Store(w.now())
					w.takeTerm()
					r := w.startLeadership()
					began := time.Now()
					if _, err := r.build(load(r)); err != nil {
						b.Fatal(err)
					}
					us := time.Since(began).Microseconds()
					took, most = took+us, max(most, us)
					n++
				}
				b.ReportMetric(float64(took)/float64(n)/1000, "ms")
				b.ReportMetric(float64(most)/1000, "ms-most")
			})
		}
		run("cold", func(r *leadership) *stored {
			s, err := r.read()
			if err != nil {
				b.Fatal(err)
			}
			return s
		})
		copied := w.follow(0)
		run("warm", func(r *leadership) *stored {
			w.follower.copy = copied
			s, why := w.follower.takeOver(w.ctx, r.token, r.lease)
			if s == nil {
				b.Fatal(why)
			}
			return s
		})
	}
}
