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

// scene is a node that holds no term, a state service, and a compactor beside it
// that runs at moments of the test's choice.
type scene struct {
	t       *testing.T
	svc     *emulator.Services
	n       *Controller
	compact *archive.Compactor
	reader  *archive.Reader
	before  func(request int64) // runs before each of the node's requests
	count   atomic.Int64
}

const sceneJobs = 40 // j-000000 and so on, all in one shard

func sceneID(i int) string { return fmt.Sprintf("j-%06d", i) }

func newScene(t *testing.T) *scene {
	t.Helper()
	s := &scene{t: t, svc: emulator.NewServices(wire.Catalog{})}
	s.n = testNode(t, func(w http.ResponseWriter, r *http.Request) {
		if k := s.count.Add(1); s.before != nil {
			s.before(k)
		}
		s.svc.ServeHTTP(w, r)
	}, func(set *config.Settings) {
		set.Deployment.Teams = []config.Team{{Name: "a"}}
		set.Deployment.State.ValueKB, set.Deployment.State.TxnOps = 16, 12
	})
	s.n.setCatalog(wire.Catalog{Types: []wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 4, Zones: []string{"x"}}}})
	direct := httptest.NewServer(s.svc)
	t.Cleanup(direct.Close)
	s.svc.Set(termKey, termRecord{Node: "b", Mark: "b.1"})
	e, _ := s.svc.Entry(termKey)
	store := kvstore.New(strings.TrimPrefix(direct.URL, "http://"), 1e6, 1e6, 1)
	s.reader = archive.NewReader(store)
	s.compact = archive.NewCompactor(s.reader,
		endSource(func() wire.Condition { return wire.Condition{Key: termKey, Version: e.Version} }, func() int64 { return 1000 }),
		archive.Limits{Ops: 12, Value: 16 << 10, After: 10})
	return s
}

// end stores the ends of some jobs.
func (s *scene) end(from, to int) {
	for i := from; i < to; i++ {
		s.svc.Set(endKey(sceneID(i)), sceneEnd(i))
	}
}

func sceneEnd(i int) endRecord {
	return endRecord{Status: []string{wire.JobDone, wire.JobCancelled}[i%2], EndedAt: 5, TasksDone: i % 3}
}

// move archives; with drop, the keys of the ends go too.
func (s *scene) move(drop bool) {
	for range 100 {
		_, idle, err := s.compact.Step(context.Background())
		if err != nil {
			s.t.Fatal(err)
		}
		if idle || !drop && s.compact.Counts.Moved >= 16 {
			return
		}
	}
	s.t.Fatal("no end of archiving")
}

var sceneOps = map[string]func(*Controller, string) (wire.JobStatus, error){
	"poll": func(n *Controller, id string) (wire.JobStatus, error) { return n.Status(context.Background(), id) },
	"submit": func(n *Controller, id string) (wire.JobStatus, error) {
		st, _, err := n.Submit(context.Background(), sceneJob(id))
		return st, err
	},
	"withdraw": func(n *Controller, id string) (wire.JobStatus, error) { return n.Cancel(context.Background(), id) },
}

func sceneJob(id string) *wire.Job {
	return &wire.Job{ID: id, Team: "a", Shape: wire.Array, Tasks: 1, CPUs: 1}
}

// check asks until it gets an answer, which must be the job's end, and looks whether
// anything of the job came back to life.
func (s *scene) check(what string, op func(*Controller, string) (wire.JobStatus, error), id string, want endRecord) {
	s.t.Helper()
	for tries := 0; ; tries++ {
		st, err := op(s.n, id)
		if errors.Is(err, api.ErrUnavailable) && tries < 3 {
			continue
		}
		if err != nil || st.Status != want.Status || st.Done != want.TasksDone || st.ID != id {
			s.t.Fatalf("%s: got %+v, %v; want %+v", what, st, err, want)
		}
		break
	}
	s.svc.Arrive()
	if _, ok := s.svc.Entry(jobKey(id)); ok {
		s.t.Fatalf("%s: the job was accepted again", what)
	}
	if e, ok := s.svc.Entry(endKey(id)); ok {
		var rec endRecord
		if err := wire.Unmarshal(e.Value, &rec); err != nil || rec.Status != want.Status {
			s.t.Fatalf("%s: there is another end: %+v", what, rec)
		}
	}
}

// Ends are archived, with and without their keys dropped, before each request that a
// poll, a submission or a withdrawal consists of; by a node that knows nothing, knows
// the job, or has an older manifest.
func TestArchivedMeanwhile(t *testing.T) {
	for name, op := range sceneOps {
		for request := int64(1); request <= 5; request++ {
			for _, drop := range []bool{false, true} {
				for _, knows := range []string{"nothing", "the job", "an older manifest"} {
					what := fmt.Sprintf("%s, archived before request %d, dropped: %v, knows %s", name, request, drop, knows)
					s := newScene(t)
					if knows == "an older manifest" {
						s.end(20, sceneJobs)
						s.move(true)
						if err := s.n.archive.Warm(context.Background()); err != nil {
							t.Fatal(err)
						}
						s.compact.Counts.Moved = 0
					}
					s.end(0, 20)
					if knows == "the job" {
						s.n.statuses.addAccepted(sceneID(7))
					}
					s.count.Store(0)
					s.before = func(k int64) {
						if k == request {
							s.move(drop)
						}
					}
					s.check(what, op, sceneID(7), sceneEnd(7))
					s.before = nil
					s.move(true)
					s.check(what+", again", op, sceneID(8), sceneEnd(8))
				}
			}
		}
	}
}

// The whole of a job's life passes before one of the requests of a withdrawal, or
// while its transaction is on the way: it ends, its record goes, its end is archived.
// Neither the withdrawal nor a submission may then bring it back.
func TestLifeMeanwhile(t *testing.T) {
	life := func(s *scene, i int) {
		s.end(0, 20)
		s.svc.Delete(jobKey(sceneID(i)))
		s.move(true)
	}
	for name, op := range sceneOps {
		for request := int64(1); request <= 4; request++ {
			for _, knows := range []bool{false, true} {
				s := newScene(t)
				const i = 6
				s.svc.Set(jobKey(sceneID(i)), jobRecord{Job: *sceneJob(sceneID(i))})
				if knows {
					s.n.statuses.addAccepted(sceneID(i))
				}
				lived := false
				s.before = func(k int64) {
					if k == request {
						lived = true
						life(s, i)
					}
				}
				st, err := op(s.n, sceneID(i))
				s.before = nil
				what := fmt.Sprintf("%s, lived before request %d, known: %v", name, request, knows)
				if !lived {
					if name == "withdraw" && (err != nil || st.Status != wire.JobCancelled) {
						t.Fatalf("%s: got %+v, %v", what, st, err)
					}
					continue
				}
				if err == nil && wire.Final(st.Status) && st.Status != sceneEnd(i).Status {
					t.Fatalf("%s: got %+v", what, st)
				}
				s.check(what, op, sceneID(i), sceneEnd(i))
			}
		}
	}
	for _, name := range []string{"submit", "withdraw"} {
		s := newScene(t)
		const i = 6
		if name == "withdraw" {
			s.svc.Set(jobKey(sceneID(i)), jobRecord{Job: *sceneJob(sceneID(i))})
		}
		s.svc.HoldBack(1)
		if _, err := sceneOps[name](s.n, sceneID(i)); !errors.Is(err, api.ErrUnavailable) {
			t.Fatalf("%s without an answer: %v", name, err)
		}
		if name == "submit" { // the user tries again elsewhere, and that is taken
			s.svc.Set(jobKey(sceneID(i)), jobRecord{Job: *sceneJob(sceneID(i))})
		}
		life(s, i)
		s.check(name+" arrives after the archiving", sceneOps["poll"], sceneID(i), sceneEnd(i))
	}
}

// Jobs that were never accepted get 404, and a submission of one is taken once, in
// front of an archive that has others of its shard.
func TestNeverArchived(t *testing.T) {
	s := newScene(t)
	s.end(0, 20)
	s.move(true)
	for _, id := range []string{sceneID(30), "j-000007000000000000000000007", "j-7"} {
		for _, name := range []string{"poll", "withdraw"} {
			if _, err := sceneOps[name](s.n, id); !errors.Is(err, api.ErrNotFound) {
				t.Fatalf("%s of %s: %v, want %v", name, id, err, api.ErrNotFound)
			}
		}
		for k := range 2 {
			st, fresh, err := s.n.Submit(context.Background(), sceneJob(id))
			if err != nil || fresh != (k == 0) || st.Status != wire.JobQueued {
				t.Fatalf("submission %d of %s: %+v, %v, %v", k+1, id, st, fresh, err)
			}
		}
	}
}

// A node cut off from the state service says nothing about jobs whose answer it
// hasn't: neither 404 nor an older answer.
func TestArchiveOutOfReach(t *testing.T) {
	s := newScene(t)
	s.end(0, 20)
	s.move(true)
	if err := s.n.archive.Warm(context.Background()); err != nil {
		t.Fatal(err)
	}
	s.svc.SetDown(true)
	for name, op := range sceneOps {
		for _, i := range []int{3, 30} {
			if st, err := op(s.n, sceneID(i)); !errors.Is(err, api.ErrUnavailable) {
				t.Errorf("%s of %s: %+v, %v; want %v", name, sceneID(i), st, err, api.ErrUnavailable)
			}
		}
	}
	s.svc.SetDown(false)
	time.Sleep(time.Millisecond)
	s.check("after the outage", sceneOps["poll"], sceneID(3), sceneEnd(3))
}
