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
func TestTakeoverReadsSameFromCopy(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { compareTakeover(t, rand.New(rand.NewPCG(seed, 16))) })
	}
}

// compareTakeover stores a copy amid random changes and compares what is read from it with the keys.
func compareTakeover(t *testing.T, random *rand.Rand) {
	t.Helper()
	services := emulator.NewServices(wire.Catalog{})
	server := httptest.NewServer(services)
	defer server.Close()
	c := newTestController(t, services.ServeHTTP, func(set *config.Settings) { *set.Operator.FailoverSnapshotS = 60 })
	client := kvstore.New(strings.TrimPrefix(server.URL, "http://"), 1e6, 1e6, 1)
	write := func() {
		if _, err := client.Txn(context.Background(), randomChanges(random)); err != nil {
			t.Fatal(err)
		}
	}
	for range 30 {
		write()
	}
	services.Set(termKey, termRecord{Node: "a", Mark: "a.1"})
	term, _ := services.Entry(termKey)
	l := newLeadership(context.Background(), c, term.Version, &lease{})
	defer l.cancel()
	if l.loadCopy() != nil {
		t.Fatal("there is no copy yet")
	}
	snap, err := snapshot.Take(l.ctx, client, copyPrefixes, noKeys, c.now)
	if err == nil {
		err = snap.StoreCopy(l.ctx, client, snapshot.CopyOptions{Term: l.termCondition(), MaxMutations: 4, MaxValueBytes: 200})
	}
	if err != nil {
		t.Fatal(err)
	}
	for range random.IntN(20) {
		write()
	}
	copied := l.loadCopy()
	if copied == nil || copied.Revision < l.token {
		t.Fatalf("loaded %v", copied)
	}
	for _, prefix := range copyPrefixes {
		fromCopy, _, _ := (&stateReader{leadership: l, copied: copied}).list(prefix)
		read, _, err := (&stateReader{leadership: l}).list(prefix)
		if err != nil || len(fromCopy) != len(read) || len(fromCopy) > 0 && !reflect.DeepEqual(fromCopy, read) {
			t.Fatalf("%s: %v; from the copy %v, read %v", prefix, err, fromCopy, read)
		}
	}
}

// randomChanges writes and deletes a few keys, of a takeover and others.
func randomChanges(random *rand.Rand) (txn wire.Txn) {
	prefixes := []string{jobPrefix, progressPrefix, ledgerPrefix, scaleOutPrefix, schedulePrefix, endPrefix, "x/"}
	for range 1 + random.IntN(5) {
		key := fmt.Sprintf("%s%d", prefixes[random.IntN(len(prefixes))], random.IntN(20))
		if random.IntN(3) == 0 {
			txn.Mutations = append(txn.Mutations, wire.Mutation{Delete: key})
		} else {
			txn.Mutations = append(txn.Mutations, wire.Mutation{Put: key, Value: random.IntN(100)})
		}
		if random.IntN(5) == 0 {
			txn.Mutations = append(txn.Mutations, wire.Mutation{Put: statisticsKey, Value: random.IntN(100)})
		}
	}
	return txn
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

// takeover loads the state once, of so many jobs that live and jobs that are over.
func takeover(b *testing.B, live, over int, copies bool) {
	b.Helper()
	services := emulator.NewServices(wire.Catalog{})
	var requests, bytes atomic.Int64
	c := newTestController(b, func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		services.ServeHTTP(counted{w, &bytes}, r)
	}, func(set *config.Settings) {
		set.Deployment.State.TxnOps = 12
		if copies {
			*set.Operator.FailoverSnapshotS = 60
		}
	})
	for i := range live {
		job := testJob(testJobID(i))
		job.Class, job.Image, job.Tasks = "some-class", "some-image", 4
		services.Set(jobKey(job.ID), jobRecord{Job: *job, SubmittedAt: int64(i)})
		services.Set(fmt.Sprintf("%s%d.%d", ledgerPrefix, 7, i), sched.LedgerEntry{})
	}
	for i := range over {
		services.Set(endKey(fmt.Sprintf("j-9%06d", i)), testEnd(i))
	}
	services.Set(termKey, termRecord{Node: "a", Mark: "a.1"})
	term, _ := services.Entry(termKey)
	l := newLeadership(context.Background(), c, term.Version, &lease{})
	defer l.cancel()
	if copies {
		snap, err := snapshot.Take(l.ctx, c.store, copyPrefixes, noKeys, c.now)
		if err == nil {
			err = snap.StoreCopy(l.ctx, c.store, snapshot.CopyOptions{Term: l.termCondition(), MaxMutations: 4, MaxValueBytes: 16 << 10})
		}
		if err != nil {
			b.Fatal(err)
		}
	}
	requests.Store(0)
	bytes.Store(0)
	if err := l.load(); err != nil {
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
