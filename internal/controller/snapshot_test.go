package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"

	"dalefront/internal/config"
	"dalefront/internal/emulator"
	"dalefront/internal/kvstore"
	"dalefront/internal/sched"
	"dalefront/internal/snapshot"
	"dalefront/wire"
)

// A takeover reads the same from a copy and what has changed since as from the keys,
// whatever was written and deleted in between and beside it.
func TestCopyIsTheSame(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 16))
		svc := emulator.NewServices(wire.Catalog{})
		srv := httptest.NewServer(svc)
		n := newTestController(t, svc.ServeHTTP, func(set *config.Settings) { *set.Operator.FailoverSnapshotS = 60 })
		client := kvstore.New(strings.TrimPrefix(srv.URL, "http://"), 1e6, 1e6, 1)
		write := func(k int) {
			var txn wire.Txn
			for range k {
				key := fmt.Sprintf("%s%d", []string{jobPrefix, progressPrefix, ledgerPrefix, scaleOutPrefix, schedulePrefix, endPrefix, "x/"}[rnd.IntN(7)], rnd.IntN(20))
				if rnd.IntN(3) == 0 {
					txn.Mutations = append(txn.Mutations, wire.Mutation{Delete: key})
				} else {
					txn.Mutations = append(txn.Mutations, wire.Mutation{Put: key, Value: rnd.IntN(100)})
				}
				if rnd.IntN(5) == 0 {
					txn.Mutations = append(txn.Mutations, wire.Mutation{Put: statisticsKey, Value: rnd.IntN(100)})
				}
			}
			if _, err := client.Txn(context.Background(), txn); err != nil {
				t.Fatal(err)
			}
		}
		for range 30 {
			write(1 + rnd.IntN(5))
		}
		svc.Set(termKey, termRecord{Node: "a", Mark: "a.1"})
		e, _ := svc.Entry(termKey)
		r := newLeadership(context.Background(), n, e.Version, &lease{})
		if r.loadCopy() != nil {
			t.Fatal("there is no copy yet")
		}
		snap, err := snapshot.Take(r.ctx, client, copyPrefixes, noKeys, n.now)
		if err == nil {
			err = snap.StoreCopy(r.ctx, client, snapshot.CopyOptions{Term: r.termCondition(), MaxMutations: 4, MaxValueBytes: 200})
		}
		if err != nil {
			t.Fatal(err)
		}
		for range rnd.IntN(20) {
			write(1 + rnd.IntN(5))
		}
		copied := r.loadCopy()
		if copied == nil || copied.Revision < r.token {
			t.Fatalf("seed %d: loaded %v", seed, copied)
		}
		for _, prefix := range copyPrefixes {
			a, _, _ := (&stateReader{leadership: r, copied: copied}).list(prefix)
			b, _, err := (&stateReader{leadership: r}).list(prefix)
			if err != nil || len(a) != len(b) || len(a) > 0 && !reflect.DeepEqual(a, b) {
				t.Fatalf("seed %d, %s: %v; from the copy %v, read %v", seed, prefix, err, a, b)
			}
		}
		srv.Close()
	}
}

// BenchmarkTakeover counts what a new leader asks of the key-value store, with and
// without a copy, for some numbers of live jobs and of jobs that are over.
func BenchmarkTakeover(b *testing.B) {
	for _, live := range []int{1000, 10_000} {
		for _, over := range []int{0, 100_000} {
			for _, copies := range []bool{false, true} {
				b.Run(fmt.Sprintf("live=%d/over=%d/copy=%v", live, over, copies), func(b *testing.B) {
					for b.Loop() {
						takeover(b, live, over, copies)
					}
				})
			}
		}
	}
}

func takeover(b *testing.B, live, over int, copies bool) {
	svc := emulator.NewServices(wire.Catalog{})
	var requests, bytes atomic.Int64
	n := newTestController(b, func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		svc.ServeHTTP(counted{w, &bytes}, r)
	}, func(set *config.Settings) {
		set.Deployment.State.TxnOps = 12
		if copies {
			*set.Operator.FailoverSnapshotS = 60
		}
	})
	for i := range live {
		j := testJob(testJobID(i))
		j.Class, j.Image, j.Tasks = "some-class", "some-image", 4
		svc.Set(jobKey(j.ID), jobRecord{Job: *j, SubmittedAt: int64(i)})
		svc.Set(fmt.Sprintf("%s%d.%d", ledgerPrefix, 7, i), sched.LedgerEntry{})
	}
	for i := range over {
		svc.Set(endKey(fmt.Sprintf("j-9%06d", i)), testEnd(i))
	}
	svc.Set(termKey, termRecord{Node: "a", Mark: "a.1"})
	e, _ := svc.Entry(termKey)
	r := newLeadership(context.Background(), n, e.Version, &lease{})
	if copies {
		snap, err := snapshot.Take(r.ctx, n.store, copyPrefixes, noKeys, n.now)
		if err == nil {
			err = snap.StoreCopy(r.ctx, n.store, snapshot.CopyOptions{Term: r.termCondition(), MaxMutations: 4, MaxValueBytes: 16 << 10})
		}
		if err != nil {
			b.Fatal(err)
		}
	}
	requests.Store(0)
	bytes.Store(0)
	if err := r.load(); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(requests.Load()), "requests")
	b.ReportMetric(float64(bytes.Load())/1024, "KB")
}

// counted counts the bytes of answers.
type counted struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (c counted) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.ResponseWriter.Write(b)
}
