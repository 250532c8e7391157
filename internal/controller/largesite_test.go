package controller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"dalefront/internal/api"
	"dalefront/internal/cloud"
	"dalefront/internal/config"
	"dalefront/internal/sched"
	"dalefront/wire"
)

// At a site that is large for its controllers, as many of the workers that report to one are
// sent on as at a smaller one; at today's sizes it is as many as ever.
func TestSendOnFollowsWorkers(t *testing.T) {
	for _, test := range []struct{ workers, atOnce int }{{0, 80}, {350, 80}, {480, 80}, {1_333, 222}, {2_667, 444}} {
		t.Run(fmt.Sprint(test.workers), func(t *testing.T) {
			n := newTestController(t, func(http.ResponseWriter, *http.Request) {}, func(set *config.Settings) { set.Label = "c" })
			n.peerTable.recordSeen("a", time.Now())
			old := time.Now().Add(-time.Minute) // gone: they don't count
			for i := range 10_000 {
				n.workerContacts.seenAt[fmt.Sprintf("old-%d", i)] = old
			}
			for i := range test.workers {
				n.workerContacts.seenAt[fmt.Sprintf("n-%d", i)] = time.Now()
			}
			n.workerContacts.record("n-0")
			// The limiter has room for a whole burst once that time has gone by.
			at := time.Now().Add(sendOnBurst * time.Second)
			sent := 0
			for n.workerContacts.limiter.AllowN(at, 1) {
				sent++
			}
			if sent != test.atOnce {
				t.Errorf("%d workers are sent on at once, want %d", sent, test.atOnce)
			}
			if !n.workerContacts.limiter.AllowN(at.Add(time.Second), test.atOnce/sendOnBurst) || n.workerContacts.limiter.AllowN(at.Add(time.Second), 1) {
				t.Errorf("a second later it is not %d", test.atOnce/sendOnBurst)
			}
		})
	}
}

// A request to the cloud never names more machines than it may, however many are given back
// in a round.
func TestReturnsInSeveralRequests(t *testing.T) {
	var mu sync.Mutex
	var asked [][]string
	refuse := 2 // this request
	n := newTestController(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == wire.PathScaleIn {
			var h wire.MachineIDs
			if err := wire.Unmarshal(body, &h); err != nil {
				t.Error(err)
			}
			mu.Lock()
			asked = append(asked, h.IDs)
			refused := len(asked) == refuse
			mu.Unlock()
			if refused {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		_, _ = w.Write([]byte{0x80})
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := newLeadership(ctx, n, 5, &lease{})
	cat := wire.Catalog{Types: []wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 4, Zones: []string{"x"}}}}
	r.core = sched.New(n.settings, 5, n.now(), cat, func(string, ...any) {})
	n.owner.leadership = r
	n.owner.lastRun.Store(n.now())
	var hosts []string
	var list []wire.Machine
	for i := range 3*cloud.MaxReturn + 20 {
		hosts = append(hosts, fmt.Sprintf("n-%04d", i))
		list = append(list, wire.Machine{ID: hosts[i], Addr: "a", Type: "s", Zone: "x", State: wire.MachineRunning})
	}
	r.core.MachinesListed(list, n.now())
	r.fleet.startRound(fleetRound{returns: hosts})
	for deadline := time.After(10 * time.Second); r.fleet.task.running; {
		select {
		case f := <-n.owner.queue:
			f()
		case <-deadline:
			t.Fatal("the round has not ended")
		}
	}
	var sizes []int
	for _, h := range asked {
		sizes = append(sizes, len(h))
	}
	if want := []int{100, 100, 100, 20}; !slices.Equal(sizes, want) {
		t.Errorf("requests for %v machines, want %v", sizes, want)
	}
	if !slices.Equal(slices.Concat(asked...), hosts) {
		t.Error("not each machine was given back once")
	}
	if known, _ := r.core.FleetSize(); r.core.Stats.ScaledIn != len(hosts)-cloud.MaxReturn || known != cloud.MaxReturn {
		t.Errorf("%d machines are gone and %d are left; only those of the request that was refused should be", r.core.Stats.ScaledIn, known)
	}
}

// Past the socket limit new connections fail, to the state service as well: with all connections
// of workers and users taken, and as many unused ones to workers as are kept, the others still fit.
func TestSocketsSuffice(t *testing.T) {
	const (
		stateService = 12 + 4 // requests and watches
		cloudService = 4
		peers        = 2 * 8 // of nine controllers, each way
		listeners    = 2
	)
	for _, sockets := range []int{500, 800, 1_000, 2_722, 3_500} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			users := api.MaxConns(sockets - idleWorkers(sockets))
			if all := users + idleWorkers(sockets) + senders(sockets) + stateService + cloudService + peers + listeners; all > sockets {
				t.Errorf("%d sockets may be open, %d of them workers' and users'", all, users)
			}
			if users < sockets*4/5 {
				t.Errorf("only %d are left for workers and users", users)
			}
		})
	}
}
