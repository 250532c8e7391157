package controller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"dalefront/internal/api"
	"dalefront/internal/config"
	"dalefront/internal/peer"
	"dalefront/wire"
)

// testNode is a node that holds no term, at a state service and a cloud that answer as h
// does. Its settings are changed before the first goroutine reads them.
func testNode(t testing.TB, h http.HandlerFunc, change ...func(*config.Settings)) *Controller {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	set, err := config.Parse([]byte(`
label = "a"
serve_on = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
[endpoints]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[deployment.workers]
report_s = 1.5
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 30.0
[deployment.state]
rps = 1000.0
write_rps = 1000.0
value_kb = 16.0
txn_ops = 12
[deployment.cloud]
rps = 100.0
[deployment.resources]
ram_mb = 100.0
sockets = 500
`))
	if err != nil {
		t.Fatal(err)
	}
	set.Endpoints.State = strings.TrimPrefix(srv.URL, "http://")
	set.Endpoints.Cloud = set.Endpoints.State
	for _, c := range change {
		c(set)
	}
	n, err := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		loops.Wait()
	})
	loops.Go(func() { n.lookups.run(ctx) })
	return n
}

// Hundreds of users polling once used up all requests that the state service
// takes, so that no controller could renew a term: what is asked at the same time
// is looked up together, and every answer still rests on a read that began later.
func TestPollsShareReads(t *testing.T) {
	var reads atomic.Int64
	var n *Controller
	release := make(chan struct{})
	n = testNode(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/multi" {
			b, _ := wire.Marshal(wire.KeyValue{Key: endKey("j-7"), Value: []byte{0x81, 0xa1, 'S', 0xa4, 'd', 'o', 'n', 'e'}})
			_, _ = w.Write(b)
			return
		}
		reads.Add(1)
		<-release
		var txn wire.Txn
		b, _ := io.ReadAll(r.Body)
		_ = wire.Unmarshal(b, &txn)
		var a wire.TxnResponse
		for _, c := range txn.Conditions {
			if strings.HasPrefix(c.Key, jobPrefix) || c.Key == endKey("j-7") {
				a.FailedKeys = append(a.FailedKeys, c.Key)
			}
		}
		w.WriteHeader(http.StatusConflict)
		b, _ = wire.Marshal(a)
		_, _ = w.Write(b)
	})
	const users = 100
	var all sync.WaitGroup
	var wrong atomic.Int64
	for i := 0; i < users; i++ {
		all.Go(func() {
			st, err := n.Status(context.Background(), fmt.Sprint("j-", i))
			want := wire.JobQueued
			if i == 7 {
				want = wire.JobDone
			}
			if err != nil || st.Status != want || st.ID != fmt.Sprint("j-", i) {
				wrong.Add(1)
			}
		})
	}
	for int(reads.Load()) < lookupWorkers || len(n.lookups.queue) < users-lookupWorkers*24 {
		runtime.Gosched()
	}
	close(release)
	all.Wait()
	if got := reads.Load(); got > users/5 || wrong.Load() > 0 {
		t.Errorf("%d users cost %d reads, %d answers were wrong", users, got, wrong.Load())
	}
}

// An end that the watch brings while a query reads it must not turn the query
// into a 404, nor into an older answer.
func TestEndDuringQuery(t *testing.T) {
	var n *Controller
	n = testNode(t, func(w http.ResponseWriter, r *http.Request) {
		n.statuses.addFinal(wire.JobStatus{ID: "j-1", Status: wire.JobDone, Done: 3})
		w.WriteHeader(http.StatusNotFound)
		b, _ := wire.Marshal(map[string]int{"Epoch": 5})
		_, _ = w.Write(b)
	})
	n.statuses.addAccepted("j-1")
	st, err := n.Status(context.Background(), "j-1")
	if err != nil || st.Status != wire.JobDone {
		t.Fatalf("got %+v, %v; want done", st, err)
	}
}

// A node that does not hold the term must not answer a report with 200, and
// without the leader's grant it must not renew a lease either.
func TestNotEntitled(t *testing.T) {
	n := testNode(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	r := &wire.Heartbeat{Host: "n-1", Type: "s", Zone: "x", Incarnation: 1, Sequence: 1, FencingToken: 5}
	if _, err := n.Heartbeat(context.Background(), r); err == nil {
		t.Error("a node without a term answered 200")
	}
	n.recordTermOf(&peer.Heartbeat{From: "b", Leader: "b", Token: 5})
	if token, ok := n.mayRenewLease(r); !ok || token != 5 {
		t.Errorf("with a fresh grant: token %d, %v", token, ok)
	}
	r.FencingToken = 6 // somebody newer rules
	if _, ok := n.mayRenewLease(r); ok {
		t.Error("renewed although the worker has seen a higher token")
	}
	n.recordTermOf(&peer.Heartbeat{From: "c", Leader: "d", Token: 7})
	r.FencingToken = 5
	if _, ok := n.mayRenewLease(r); ok {
		t.Error("renewed under a grant that a higher token has ended")
	}
}

// Submissions beyond what can be stored in time are sent away at once.
func TestTooManySubmissions(t *testing.T) {
	release := make(chan struct{})
	n := testNode(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.WriteHeader(http.StatusServiceUnavailable)
	}, func(set *config.Settings) {
		set.Deployment.Teams = []config.Team{{Name: "a"}}
		set.Deployment.State.ValueKB = 16
	})
	n.submitSlots = make(chan struct{}, 1)
	n.setCatalog(wire.Catalog{Types: []wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 4, Zones: []string{"x"}}}})
	submit := func(id string) error {
		_, _, err := n.Submit(context.Background(), &wire.Job{ID: id, Team: "a", Shape: wire.Array, Tasks: 1, CPUs: 1})
		return err
	}
	first := make(chan error)
	go func() { first <- submit("j-1") }()
	for len(n.submitSlots) == 0 {
		runtime.Gosched()
	}
	if err := submit("j-2"); !errors.Is(err, api.ErrOverloaded) {
		t.Errorf("got %v, want %v", err, api.ErrOverloaded)
	}
	close(release)
	if err := <-first; !errors.Is(err, api.ErrUnavailable) {
		t.Errorf("got %v, want %v", err, api.ErrUnavailable)
	}
}
