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
	"dalefront/internal/sched"
	"dalefront/wire"
)

// At a site that is large for its controllers, as many of the workers that report to one are
// redirected as at a smaller one; at today's sizes it is as many as ever.
func TestRedirectRateFollowsWorkers(t *testing.T) {
	for _, test := range []struct{ workers, atOnce int }{{0, 80}, {350, 80}, {480, 80}, {1_333, 222}, {2_667, 444}} {
		t.Run(fmt.Sprint(test.workers), func(t *testing.T) {
			contacts := newTestController(t, func(http.ResponseWriter, *http.Request) {}).workerContacts
			old := time.Now().Add(-time.Minute) // gone: they don't count
			for i := range 10_000 {
				contacts.seenAt[fmt.Sprintf("old-%d", i)] = old
			}
			for i := range test.workers {
				contacts.seenAt[fmt.Sprintf("n-%d", i)] = time.Now()
			}
			contacts.record("n-0")
			// The limiter has room for a whole burst once that time has gone by.
			at := time.Now().Add(redirectBurst * time.Second)
			redirected := 0
			for contacts.limiter.AllowN(at, 1) {
				redirected++
			}
			if redirected != test.atOnce {
				t.Errorf("%d workers are redirected at once, want %d", redirected, test.atOnce)
			}
			if !contacts.limiter.AllowN(at.Add(time.Second), test.atOnce/redirectBurst) || contacts.limiter.AllowN(at.Add(time.Second), 1) {
				t.Errorf("a second later it is not %d", test.atOnce/redirectBurst)
			}
		})
	}
}

// A request to the cloud never names more machines than it may, however many are given back
// in a round.
func TestScaleInInSeveralRequests(t *testing.T) {
	const refused = 2 // this request
	var mu sync.Mutex
	var requests [][]string
	c := newTestController(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == wire.PathScaleIn {
			var machines wire.MachineIDs
			if err := wire.Unmarshal(body, &machines); err != nil {
				t.Error(err)
			}
			mu.Lock()
			requests = append(requests, machines.IDs)
			refuse := len(requests) == refused
			mu.Unlock()
			if refuse {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		_, _ = w.Write([]byte{0x80})
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := newLeadership(ctx, c, 5, &lease{})
	catalog := wire.Catalog{Types: []wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 4, Zones: []string{"x"}}}}
	l.core = sched.New(c.settings, 5, c.now(), catalog, func(string, ...any) {})
	c.owner.leadership = l
	c.owner.lastRun.Store(c.now())
	var hosts []string
	var machines []wire.Machine
	for i := range 3*cloud.MaxScaleIn + 20 {
		hosts = append(hosts, fmt.Sprintf("n-%04d", i))
		machines = append(machines, wire.Machine{ID: hosts[i], Addr: "a", Type: "s", Zone: "x", State: wire.MachineRunning})
	}
	l.core.MachinesListed(machines, c.now())
	l.fleet.startRound(fleetRound{returns: hosts})
	for deadline := time.After(10 * time.Second); l.fleet.task.running; {
		select {
		case f := <-c.owner.queue:
			f()
		case <-deadline:
			t.Fatal("the round has not ended")
		}
	}
	var sizes []int
	for _, machines := range requests {
		sizes = append(sizes, len(machines))
	}
	if want := []int{100, 100, 100, 20}; !slices.Equal(sizes, want) {
		t.Errorf("requests for %v machines, want %v", sizes, want)
	}
	if !slices.Equal(slices.Concat(requests...), hosts) {
		t.Error("not each machine was given back once")
	}
	if known, _ := l.core.FleetSize(); l.core.Stats.ScaledIn != len(hosts)-cloud.MaxScaleIn || known != cloud.MaxScaleIn {
		t.Errorf("%d machines are gone and %d are left; only those of the request that was refused should be", l.core.Stats.ScaledIn, known)
	}
}

// Past the socket limit new connections fail, to the key-value store as well: with all connections
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
			users := api.MaxConns(sockets - idleWorkerConns(sockets))
			if all := users + idleWorkerConns(sockets) + senders(sockets) + stateService + cloudService + peers + listeners; all > sockets {
				t.Errorf("%d sockets may be open, %d of them workers' and users'", all, users)
			}
			if users < sockets*4/5 {
				t.Errorf("only %d are left for workers and users", users)
			}
		})
	}
}
