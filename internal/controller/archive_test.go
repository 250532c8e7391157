package controller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dalefront/internal/api"
	"dalefront/internal/archive"
	"dalefront/internal/config"
	"dalefront/internal/emulator"
	"dalefront/internal/kvstore"
	"dalefront/wire"
)

// archiveFixture is a controller that does not lead, a key-value store, and a compactor beside it that
// runs at moments of the test's choice.
type archiveFixture struct {
	t             *testing.T
	services      *emulator.Services
	controller    *Controller
	compactor     *archive.Compactor
	reader        *archive.Reader
	beforeRequest func(number int64) // runs before each request of the controller
	requests      atomic.Int64
}

const fixtureJobs = 40 // j-000000 and so on, all in one shard

func testJobID(i int) string { return fmt.Sprintf("j-%06d", i) }

func newArchiveFixture(t *testing.T) *archiveFixture {
	t.Helper()
	f := &archiveFixture{t: t, services: emulator.NewServices(wire.Catalog{})}
	f.controller = newTestController(t, func(w http.ResponseWriter, r *http.Request) {
		if number := f.requests.Add(1); f.beforeRequest != nil {
			f.beforeRequest(number)
		}
		f.services.ServeHTTP(w, r)
	}, func(settings *config.Settings) {
		settings.Deployment.Teams = []config.Team{{Name: "a"}}
		settings.Deployment.State.ValueKB, settings.Deployment.State.TxnOps = 16, 12
	})
	f.controller.setCatalog(wire.Catalog{Types: []wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 4, Zones: []string{"x"}}}})
	direct := httptest.NewServer(f.services)
	t.Cleanup(direct.Close)
	f.services.Set(termKey, termRecord{Node: "b", Mark: "b.1"})
	term, _ := f.services.Entry(termKey)
	store := kvstore.New(strings.TrimPrefix(direct.URL, "http://"), 1e6, 1e6, 1)
	f.reader = archive.NewReader(store)
	f.compactor = archive.NewCompactor(f.reader,
		endSource(func() wire.Condition { return wire.Condition{Key: termKey, Version: term.Version} }, func() int64 { return 1000 }),
		archive.Limits{MaxMutations: 12, MaxValueBytes: 16 << 10, MinAge: 10})
	return f
}

// storeEnds stores the ends of the jobs with numbers from one up to another.
func (f *archiveFixture) storeEnds(from, to int) {
	for i := from; i < to; i++ {
		f.services.Set(endKey(testJobID(i)), testEnd(i))
	}
}

func testEnd(i int) endRecord {
	return endRecord{Status: []string{wire.JobDone, wire.JobCancelled}[i%2], EndedAt: 5, TasksDone: i % 3}
}

// archiveEnds archives what has ended; with drop, the keys of the ends are deleted, too.
func (f *archiveFixture) archiveEnds(drop bool) {
	for range 100 {
		_, idle, err := f.compactor.Step(context.Background())
		if err != nil {
			f.t.Fatal(err)
		}
		if idle || !drop && f.compactor.Counts.Moved >= 16 {
			return
		}
	}
	f.t.Fatal("no end of archiving")
}

// userRequest is what a user may ask of a controller about a job.
type userRequest func(c *Controller, id string) (wire.JobStatus, error)

var userRequests = map[string]userRequest{
	"poll": func(c *Controller, id string) (wire.JobStatus, error) { return c.Status(context.Background(), id) },
	"submit": func(c *Controller, id string) (wire.JobStatus, error) {
		status, _, err := c.Submit(context.Background(), testJob(id))
		return status, err
	},
	"cancel": func(c *Controller, id string) (wire.JobStatus, error) { return c.Cancel(context.Background(), id) },
}

func testJob(id string) *wire.Job {
	return &wire.Job{ID: id, Team: "a", Shape: wire.Array, Tasks: 1, CPUs: 1}
}

// check asks until it gets an answer, which must be the job's end, and looks whether anything of the
// job was created again.
func (f *archiveFixture) check(what string, request userRequest, id string, want endRecord) {
	f.t.Helper()
	for tries := 0; ; tries++ {
		status, err := request(f.controller, id)
		if errors.Is(err, api.ErrUnavailable) && tries < 3 {
			continue
		}
		if err != nil || status.Status != want.Status || status.Done != want.TasksDone || status.ID != id {
			f.t.Fatalf("%s: got %+v, %v; want %+v", what, status, err, want)
		}
		break
	}
	f.services.Arrive()
	if _, ok := f.services.Entry(jobKey(id)); ok {
		f.t.Fatalf("%s: the job was accepted again", what)
	}
	if entry, ok := f.services.Entry(endKey(id)); ok {
		var end endRecord
		if err := wire.Unmarshal(entry.Value, &end); err != nil || end.Status != want.Status {
			f.t.Fatalf("%s: there is another end: %+v", what, end)
		}
	}
}

// Ends are archived, with and without their keys deleted, before each request to the store that a
// query, a submission or a cancellation consists of; by a controller that knows nothing, knows the
// job, or has an older manifest.
func TestRequestsWhileArchiving(t *testing.T) {
	for name, request := range userRequests {
		for before := int64(1); before <= 5; before++ {
			for _, drop := range []bool{false, true} {
				for _, knows := range []string{"nothing", "the job", "an older manifest"} {
					t.Run(fmt.Sprintf("%s, archived before request %d, dropped %v, knows %s", name, before, drop, knows), func(t *testing.T) {
						testWhileArchiving(t, request, before, drop, knows)
					})
				}
			}
		}
	}
}

func testWhileArchiving(t *testing.T, request userRequest, before int64, drop bool, knows string) {
	f := newArchiveFixture(t)
	if knows == "an older manifest" {
		f.storeEnds(20, fixtureJobs)
		f.archiveEnds(true)
		if err := f.controller.archive.LoadManifests(context.Background()); err != nil {
			t.Fatal(err)
		}
		f.compactor.Counts.Moved = 0
	}
	f.storeEnds(0, 20)
	if knows == "the job" {
		f.controller.statuses.addAccepted(testJobID(7))
	}
	f.requests.Store(0)
	f.beforeRequest = func(number int64) {
		if number == before {
			f.archiveEnds(drop)
		}
	}
	f.check("while archiving", request, testJobID(7), testEnd(7))
	f.beforeRequest = nil
	f.archiveEnds(true)
	f.check("after it", request, testJobID(8), testEnd(8))
}

// endAndArchive has a job end, its record be deleted and its end be archived.
func (f *archiveFixture) endAndArchive(number int) {
	f.storeEnds(0, 20)
	f.services.Delete(jobKey(testJobID(number)))
	f.archiveEnds(true)
}

// The whole of a job's life passes before one of the requests to the store that a cancellation, a
// query or a submission consists of: it ends, its record is deleted, its end is archived. None of
// them may then bring it back.
func TestRequestsWhileJobEnds(t *testing.T) {
	for name, request := range userRequests {
		for before := int64(1); before <= 4; before++ {
			for _, known := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, ended before request %d, known %v", name, before, known), func(t *testing.T) {
					testWhileJobEnds(t, name, before, known, request)
				})
			}
		}
	}
}

func testWhileJobEnds(t *testing.T, name string, before int64, known bool, request userRequest) {
	const number = 6
	f := newArchiveFixture(t)
	f.services.Set(jobKey(testJobID(number)), jobRecord{Job: *testJob(testJobID(number))})
	if known {
		f.controller.statuses.addAccepted(testJobID(number))
	}
	ended := false
	f.beforeRequest = func(count int64) {
		if count == before {
			ended = true
			f.endAndArchive(number)
		}
	}
	status, err := request(f.controller, testJobID(number))
	f.beforeRequest = nil
	if !ended {
		if name == "cancel" && (err != nil || status.Status != wire.JobCancelled) {
			t.Fatalf("got %+v, %v", status, err)
		}
		return
	}
	if err == nil && wire.Final(status.Status) && status.Status != testEnd(number).Status {
		t.Fatalf("got %+v", status)
	}
	f.check("after the job has ended", request, testJobID(number), testEnd(number))
}

// The whole of a job's life passes while the transaction of a submission or a cancellation is on the
// way: when it arrives it must not bring the job back.
func TestLateTransactionAfterArchiving(t *testing.T) {
	for _, name := range []string{"submit", "cancel"} {
		t.Run(name, func(t *testing.T) {
			const number = 6
			f := newArchiveFixture(t)
			store := func() { f.services.Set(jobKey(testJobID(number)), jobRecord{Job: *testJob(testJobID(number))}) }
			if name == "cancel" {
				store()
			}
			f.services.HoldBack(1)
			if _, err := userRequests[name](f.controller, testJobID(number)); !errors.Is(err, api.ErrUnavailable) {
				t.Fatalf("without an answer: %v", err)
			}
			if name == "submit" { // the user tries again elsewhere, and that is accepted
				store()
			}
			f.endAndArchive(number)
			f.check("the transaction arrives after the archiving", userRequests["poll"], testJobID(number), testEnd(number))
		})
	}
}

// Jobs that were never accepted are not found, and a submission of one is accepted once, beside an
// archive that has others of its shard.
func TestUnknownJobBesideArchive(t *testing.T) {
	f := newArchiveFixture(t)
	f.storeEnds(0, 20)
	f.archiveEnds(true)
	for _, id := range []string{testJobID(30), "j-000007000000000000000000007", "j-7"} {
		for _, name := range []string{"poll", "cancel"} {
			if _, err := userRequests[name](f.controller, id); !errors.Is(err, api.ErrNotFound) {
				t.Fatalf("%s of %s: %v, want %v", name, id, err, api.ErrNotFound)
			}
		}
		for repeats := range 2 {
			status, created, err := f.controller.Submit(context.Background(), testJob(id))
			if err != nil || created != (repeats == 0) || status.Status != wire.JobQueued {
				t.Fatalf("submission %d of %s: %+v, %v, %v", repeats+1, id, status, created, err)
			}
		}
	}
}

// A controller that can't reach the store says nothing about jobs whose status it doesn't have:
// neither that they are not found nor an older status.
func TestArchiveUnreachable(t *testing.T) {
	f := newArchiveFixture(t)
	f.storeEnds(0, 20)
	f.archiveEnds(true)
	if err := f.controller.archive.LoadManifests(context.Background()); err != nil {
		t.Fatal(err)
	}
	f.services.SetDown(true)
	for name, request := range userRequests {
		for _, number := range []int{3, 30} {
			if status, err := request(f.controller, testJobID(number)); !errors.Is(err, api.ErrUnavailable) {
				t.Errorf("%s of %s: %+v, %v; want %v", name, testJobID(number), status, err, api.ErrUnavailable)
			}
		}
	}
	f.services.SetDown(false)
	time.Sleep(time.Millisecond)
	f.check("after the outage", userRequests["poll"], testJobID(3), testEnd(3))
}
