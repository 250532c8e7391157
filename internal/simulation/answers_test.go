package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dalefront/internal/config"
	"dalefront/wire"
)

// users ask nodes, remember what anybody was told, and check that no question that is asked
// later gets an older answer.
type users struct {
	*cluster
	mu     sync.Mutex
	known  map[string]bool   // a user was told that the job is accepted
	final  map[string]string // or how it ended
	counts map[string]int
}

func newUsers(c *cluster) *users {
	return &users{cluster: c, known: map[string]bool{}, final: map[string]string{}, counts: map[string]int{}}
}

const (
	submits   = "submits"
	polls     = "polls"
	withdraws = "withdraws"
)

// put asks a node, and returns the status that it answered, "" for none.
func (u *users) put(op string, node int, id string) string {
	u.mu.Lock()
	known, final := u.known[id], u.final[id]
	u.mu.Unlock()
	var st wire.JobStatus
	code := 0
	switch op {
	case submits:
		code, _ = u.ask(node, http.MethodPost, wire.PathJobs, u.submission(id, 1), &st)
	case withdraws:
		code, _ = u.ask(node, http.MethodPost, wire.PathJobs+"/"+id+"/"+wire.CancelAction, nil, &st)
	default:
		code, _ = u.ask(node, http.MethodGet, wire.PathJobs+"/"+id, nil, &st)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	fail := func() {
		u.t.Errorf("node %d %s %s: %d %q, though users were told: accepted %v, ended %q", node, op, id, code, st.Status, known, final)
	}
	switch {
	case code == 400 || code == 422 || code == 404 && known:
		fail()
	case code/100 != 2:
		u.counts["refused"]++
		return ""
	case final != "" && st.Status != final:
		fail()
	}
	u.known[id] = true
	if wire.Final(st.Status) {
		if was := u.final[id]; was != "" && was != st.Status {
			final = was
			fail()
		}
		u.final[id] = st.Status
	}
	u.counts[st.Status]++
	return st.Status
}

// look lets users ask at all nodes at once, twice, and repeat the submission.
func (u *users) look(id string) {
	var all sync.WaitGroup
	for node := range u.addrs {
		for _, op := range []string{polls, submits, polls} {
			all.Go(func() { u.put(op, node, id) })
		}
	}
	all.Wait()
}

var errNever = errors.New("never happened")

// patiently asks again, at one node after another, until the answer will do.
func (u *users) patiently(op string, node int, id string, enough func(string) bool) error {
	for i := range 3000 {
		if st := u.put(op, (node+i)%len(u.addrs), id); st != "" && enough(st) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%w: %s %s", errNever, op, id)
}

// whatever takes any answer, or any job.
func whatever(string) bool { return true }

// finishes lets the running tasks of jobs end as done.
func (c *cluster) finishes(which func(id string) bool) {
	for k, tr := range c.tasks {
		if id, _, _ := wire.ParseTask(k); tr.State == wire.TaskRunning && which(id) {
			tr.State, tr.Cause = wire.TaskExited, wire.CauseDone
			c.tasks[k] = tr
		}
	}
}

// works runs the worker until the test ends; its tasks end as done once their jobs are
// among those that are to.
func (c *cluster) works(finish *sync.Map) (stop func()) {
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for node := 0; ; {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
			c.finishes(func(id string) bool { _, ends := finish.Load(id); return ends })
			if c.report(node) != 200 {
				node = (node + 1) % len(c.addrs)
			}
		}
	}()
	return func() { close(done); <-stopped }
}

// Users ask at all nodes, again and again within milliseconds, and repeat the submission, right
// after a job was accepted, ended or confirmed as cancelled; some cancel at once, some at the
// moment at which the last task ends. Answers of the state service alone are lost, while
// other nodes read what was written, and transactions come late. No node answers anything older.
func TestCloseLooks(t *testing.T) {
	for seed, name := range []string{"no other trouble", "lost answers", "late transactions"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newUsers(newCluster(t, 3, func(*config.Settings) {}))
			u.until("a leader", func() bool { return u.report(0) == 200 })
			rng := rand.New(rand.NewPCG(uint64(seed), 31))
			switch name {
			case "lost answers":
				u.svc.LoseAnswers(func([]string) bool { return rng.IntN(5) == 0 })
			case "late transactions":
				u.svc.LateWrites(func() (time.Duration, bool) {
					return time.Duration(50+rng.IntN(1500)) * time.Millisecond, rng.IntN(8) == 0
				})
			}
			var finish sync.Map
			stop := u.works(&finish)
			var all sync.WaitGroup
			for client := range 6 {
				all.Go(func() {
					rng := rand.New(rand.NewPCG(uint64(seed), uint64(client)))
					for k := range 6 {
						id := fmt.Sprintf("j-%d%03d", client+1, k)
						ended := func(st string) bool { return wire.Final(st) }
						err := u.patiently(submits, rng.IntN(3), id, whatever)
						u.look(id)
						if k%3 > 0 {
							err = errors.Join(err, u.patiently(polls, rng.IntN(3), id, func(st string) bool { return st == wire.JobRunning || ended(st) }))
						}
						switch k % 3 {
						case 0: // cancelled at once
							err = errors.Join(err, u.patiently(withdraws, rng.IntN(3), id, ended))
						case 1: // as its last task ends
							finish.Store(id, true)
							time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
							err = errors.Join(err, u.patiently(withdraws, rng.IntN(3), id, ended))
						case 2:
							finish.Store(id, true)
							err = errors.Join(err, u.patiently(polls, rng.IntN(3), id, ended))
						}
						u.look(id)
						if err = errors.Join(err, u.patiently(withdraws, rng.IntN(3), id, ended)); err != nil {
							t.Error(err)
							return
						}
					}
				})
			}
			all.Wait()
			stop()
			t.Log(u.counts)
			if u.counts[wire.JobDone] < 40 || u.counts[wire.JobCancelled] < 40 || u.counts[wire.JobQueued]+u.counts[wire.JobRunning] < 100 {
				t.Errorf("too little was told to show anything: %v", u.counts)
			}
		})
	}
}

// Each kind of transaction is carried out at once and only its answer is lost, again and again,
// while other nodes read what it wrote, jobs end and are cancelled and the leader changes: no
// task runs twice or again after it was done, and all jobs end.
func TestLostAnswers(t *testing.T) {
	for i, prefix := range []string{"term", "l/", "q/a/", "q/e/", "p/", "h/", learned, ""} {
		t.Run(prefix, func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(uint64(i), 32))
			c := &troubled{cluster: newCluster(t, 3, func(*config.Settings) {}), rng: rand.New(rand.NewPCG(uint64(i), 33)), terms: map[uint64]bool{}, ended: map[string]bool{}}
			var lost atomic.Int64
			c.svc.LoseAnswers(func(keys []string) bool {
				for _, k := range keys {
					if strings.HasPrefix(k, prefix) && rng.IntN(3) > 0 {
						lost.Add(1)
						return true
					}
				}
				return false
			})
			u := newUsers(c.cluster)
			c.patience = impatient
			for round := range 3 {
				c.until("a leader", func() bool { c.step(); return c.chief() >= 0 })
				for k := range 2 {
					id := fmt.Sprintf("j-%d%d", round+1, k)
					if err := u.patiently(submits, c.rng.IntN(3), id, whatever); err != nil {
						t.Fatal(err)
					}
					c.jobs = append(c.jobs, id)
				}
				for range c.rng.IntN(10) {
					c.step()
				}
				id := fmt.Sprintf("j-%d9", round+1)
				if err := u.patiently(submits, c.rng.IntN(3), id, whatever); err != nil {
					t.Fatal(err)
				}
				c.until("cancelled, or done before", func() bool { c.step(); return wire.Final(u.put(withdraws, c.rng.IntN(3), id)) })
				if chief := c.chief(); chief >= 0 {
					c.nodes[chief].TransferLeadership()
				}
			}
			c.until("all jobs are done", c.allDone)
			if usual := prefix != "p/" && prefix != "h/" && prefix != learned; usual && lost.Load() == 0 {
				t.Error("no answer was lost")
			}
		})
	}
}

const learned = "learned" // the key of what leaders observe

// A process takes the term, and neither the answer nor the question whether it did reaches it:
// it once waited until the lease had run out under the key that names it.
func TestTermWithoutAnAnswer(t *testing.T) {
	var mu sync.Mutex
	tried, deaf := false, 0
	c := newCluster(t, 1, func(s *config.Settings) {
		*s.Operator.LeaderLeaseS = 60
		services := s.Endpoints.State
		s.Endpoints.State = filter(t, services, func(r *http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			if strings.HasSuffix(r.URL.Path, "/kv/term") && deaf > 0 {
				deaf--
				return false
			}
			return true
		})
	})
	c.svc.LoseAnswers(func(keys []string) bool {
		mu.Lock()
		defer mu.Unlock()
		if keys[0] != "term" || tried {
			return false
		}
		tried, deaf = true, 3
		return true
	})
	lease := uint64(0)
	c.until("the term names a lease", func() bool { e, ok := c.svc.Entry("term"); lease = e.Lease; return ok })
	c.until("it acts", func() bool { return c.report(0) == 200 })
	if !c.svc.HasLease(lease) {
		t.Error("it acts only once the lease of its first try had run out")
	}
}

// Ten changes of leader, handed over and killed in turn, some within an outage; at each a job is
// cancelled in the seconds in which the work changes hands. Whoever is told, the job's task is
// gone; the others run on and are not started again.
func TestTenLeaders(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, func(*config.Settings) {})
	u := newUsers(c)
	rng := rand.New(rand.NewPCG(34, 1))
	c.until("a leader", func() bool { return c.report(0) == 200 })
	const jobs = 14
	id := func(i int) string { return fmt.Sprintf("j-%d", i+1) }
	// The machine has room for four: four run at a time, the others wait.
	for i := range jobs {
		if err := u.patiently(submits, i, id(i), whatever); err != nil {
			t.Fatal(err)
		}
	}
	c.until("four run", func() bool { c.report(0); return len(c.tasks) == 4 })
	attempts := map[string]uint64{}
	c.patience = impatient
	node := 0
	step := func() {
		t.Helper()
		if c.report(node) != 200 {
			node = (node + 1) % 3
		}
		for k, tr := range c.tasks {
			job, _, _ := wire.ParseTask(k)
			if was := attempts[k]; was != 0 && was != tr.Attempt {
				t.Fatalf("%s was started again", k)
			}
			attempts[k] = tr.Attempt
			if u.final[job] == wire.JobCancelled && tr.State != wire.TaskExited {
				t.Fatalf("the task of %s is there, and a user was told that it is cancelled", job)
			}
		}
	}
	for change := range 10 {
		chief := -1
		c.until("a leader", func() bool { step(); chief = c.chief(); return chief >= 0 })
		victim := id(change)
		for k := range c.tasks { // one that runs, mostly
			if rng.IntN(3) > 0 {
				victim, _, _ = wire.ParseTask(k)
			}
		}
		before, _ := c.svc.Entry("term")
		u.put(withdraws, (chief+1)%3, victim)
		switch change % 3 {
		case 0:
			c.nodes[chief].TransferLeadership()
		case 1:
			c.stop[chief]()
			c.start(chief)
		case 2:
			c.svc.SetDown(true)
			c.stop[chief]()
			for range 10 {
				step()
				u.put(withdraws, rng.IntN(3), victim)
			}
			c.start(chief)
			c.svc.SetDown(false)
		}
		c.until("another term", func() bool {
			step()
			u.put(withdraws, rng.IntN(3), victim)
			e, ok := c.svc.Entry("term")
			return ok && e.Version > before.Version
		})
		c.until("its user is told", func() bool { step(); return u.put(withdraws, rng.IntN(3), victim) == wire.JobCancelled })
	}
	if n := len(u.final); n < 4 {
		t.Errorf("only %d jobs were cancelled", n)
	}
	c.until("what is left runs", func() bool { step(); return len(c.tasks) == min(4, jobs-len(u.final)) })
}

// A job is cancelled, and the leader's watch has not brought it: the launch that it decides is not
// stored, its task never starts, and the user is told.
func TestNoLaunchAfterTheEnd(t *testing.T) {
	c := newCluster(t, 1, func(*config.Settings) {})
	c.until("a leader", func() bool { return c.leader(0) })
	c.until("accepted", func() bool {
		code, _ := c.ask(0, http.MethodPost, wire.PathJobs, c.submission("j-1", 1), nil)
		return code/100 == 2
	})
	c.svc.Set("q/e/j-1", map[string]any{"S": wire.JobCancelled, "A": 5, "U": true}) // nobody watching is told
	c.until("a user is told", func() bool {
		c.report(0)
		if len(c.tasks) > 0 {
			t.Fatalf("launched after its end: %v", c.tasks)
		}
		var st wire.JobStatus
		code, _ := c.ask(0, http.MethodGet, wire.PathJobs+"/j-1", nil, &st)
		return code == 200 && st.Status == wire.JobCancelled
	})
}

// A submission whose transaction comes late, and one repeated at a process that has forgotten
// everything, after the job has ended and its record is gone: it is not accepted again.
func TestNotAcceptedAgain(t *testing.T) {
	c := newCluster(t, 2, func(*config.Settings) {})
	c.until("a leader", func() bool { return c.report(0) == 200 })
	c.svc.HoldBackWrite("q/a/j-1")
	_, _ = c.ask(0, http.MethodPost, wire.PathJobs, c.submission("j-1", 1), nil)
	if c.svc.HeldBack() != 1 {
		t.Fatal("the first submission was not held back")
	}
	c.until("accepted", func() bool {
		code, _ := c.ask(1, http.MethodPost, wire.PathJobs, c.submission("j-1", 1), nil)
		return code/100 == 2
	})
	c.until("its record is gone", func() bool {
		c.report(0)
		c.finishes(whatever)
		return c.svc.Keys("q/a/") == 0
	})
	c.svc.Arrive()
	c.stop[1]()
	c.start(1)
	c.until("the new process answers", func() bool {
		var st wire.JobStatus
		code, _ := c.ask(1, http.MethodPost, wire.PathJobs, c.submission("j-1", 1), &st)
		if code/100 == 2 && st.Status != wire.JobDone {
			t.Fatalf("a job that was done is %s", st.Status)
		}
		return code/100 == 2
	})
	if n := c.svc.Keys("q/a/"); n != 0 {
		t.Error("the job that was done was accepted once more")
	}
}

// Ends that an earlier version stored may have been told at once: while the job's record is there
// nobody is told anything else, and afterwards that it is cancelled.
func TestEndOfAnEarlierVersion(t *testing.T) {
	c := newCluster(t, 2, func(*config.Settings) {})
	c.until("a leader", func() bool { return c.report(0) == 200 })
	c.svc.Set("q/e/j-9", map[string]any{"S": wire.JobCancelled, "A": 5})
	c.svc.Set("q/a/j-9", map[string]any{"J": map[string]any{"Id": "j-9"}})
	ask := func(i int, op string) (int, string) {
		var st wire.JobStatus
		code, _ := c.ask(i, op, wire.PathJobs+map[string]string{http.MethodGet: "/j-9", http.MethodPost: "/j-9/" + wire.CancelAction}[op], nil, &st)
		return code, st.Status
	}
	for i := range c.addrs {
		if code, st := ask(i, http.MethodGet); code != 503 {
			t.Errorf("node %d: asked: %d %s", i, code, st)
		}
		if code, st := ask(i, http.MethodPost); code != 503 {
			t.Errorf("node %d: cancelled: %d %s", i, code, st)
		}
	}
	c.svc.Delete("q/a/j-9")
	for i := range c.addrs {
		for _, op := range []string{http.MethodGet, http.MethodPost} {
			if code, st := ask(i, op); code != 200 || st != wire.JobCancelled {
				t.Errorf("node %d: %s once its record is gone: %d %s", i, op, code, st)
			}
		}
	}
}

// One-task jobs, a quarter of them cancelled: what one costs the state service in changes, from
// its submission to the last deletion, is within what a site with 25 changes a second takes at
// four jobs a second.
func TestOneTaskJobs(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, func(s *config.Settings) { s.Deployment.State.RPS, s.Deployment.State.WriteRPS = 70, 25 })
	u := newUsers(c)
	c.until("a leader", func() bool { return c.report(0) == 200 })
	var finish sync.Map
	stop := c.works(&finish)
	const jobs = 48
	before := c.svc.AskedChanges()
	var all sync.WaitGroup
	for i := range jobs {
		id := fmt.Sprintf("j-%d", i+1)
		if err := u.patiently(submits, i, id, whatever); err != nil {
			t.Fatal(err)
		}
		all.Go(func() {
			op := polls
			if i%4 == 0 {
				op = withdraws
			} else {
				time.Sleep(time.Second)
				finish.Store(id, true)
			}
			if err := u.patiently(op, i, id, wire.Final); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(250 * time.Millisecond)
	}
	all.Wait()
	c.until("all is tidied up", func() bool { return c.svc.Keys("q/a/")+c.svc.Keys("p/")+c.svc.Keys("l/") == 0 })
	stop()
	each := float64(c.svc.AskedChanges()-before) / jobs
	t.Logf("%.1f changes a job", each)
	if each > 25.0/4 {
		t.Errorf("a one-task job costs %.1f changes: four a second are more than a site with 25 takes", each)
	}
}

// Repeats of jobs that are known are answered, whatever they look like; jobs that are done stay
// so when they are cancelled; what nobody accepted is unknown, and what can't run is refused.
func TestOddRequests(t *testing.T) {
	c := newCluster(t, 3, func(*config.Settings) {})
	c.until("a leader", func() bool { return c.report(0) == 200 })
	change := func(id string, field string, v any) map[string]any {
		m := c.submission(id, 2)
		if m[field] = v; v == nil {
			delete(m, field)
		}
		return m
	}
	c.until("accepted", func() bool {
		code, _ := c.ask(0, http.MethodPost, wire.PathJobs, c.submission("j-1", 2), nil)
		return code/100 == 2
	})
	for i := range c.addrs {
		for what, m := range map[string]map[string]any{
			"as it was": c.submission("j-1", 2), "without a field": change("j-1", "Loaners", nil), "for no machine": change("j-1", "Cores", 1e6),
			"for no type": change("j-1", "Builds", []string{"none"}), "for no team": change("j-1", "Owner", "nobody"),
		} {
			var st wire.JobStatus
			if code, _ := c.ask(i, http.MethodPost, wire.PathJobs, m, &st); code != 200 || st.Status != wire.JobQueued {
				t.Errorf("node %d: repeated %s: %d %s", i, what, code, st.Status)
			}
		}
		for what, x := range map[string]struct {
			m    map[string]any
			code int
		}{
			"without a field": {change("j-2", "Loaners", nil), 400}, "for no machine": {change("j-2", "Cores", 1e6), 422}, "for no type": {change("j-2", "Builds", []string{}), 422},
			"for no zone": {change("j-2", "District", "z"), 422}, "for no team": {change("j-2", "Owner", "nobody"), 422},
		} {
			if code, _ := c.ask(i, http.MethodPost, wire.PathJobs, x.m, nil); code != x.code {
				t.Errorf("node %d: submitted %s: %d, want %d", i, what, code, x.code)
			}
		}
		for _, x := range []struct{ method, path string }{{http.MethodGet, "/j-2"}, {http.MethodPost, "/j-2/" + wire.CancelAction}} {
			if code, _ := c.ask(i, x.method, wire.PathJobs+x.path, nil, nil); code != 404 {
				t.Errorf("node %d: %s of a job that nobody submitted: %d", i, x.path, code)
			}
		}
	}
	c.until("done", func() bool {
		c.report(0)
		c.finishes(whatever)
		var st wire.JobStatus
		code, _ := c.ask(1, http.MethodGet, wire.PathJobs+"/j-1", nil, &st)
		return code == 200 && st.Status == wire.JobDone
	})
	for i := range c.addrs {
		var st wire.JobStatus
		if code, _ := c.ask(i, http.MethodPost, wire.PathJobs+"/j-1/"+wire.CancelAction, nil, &st); code != 200 || st.Status != wire.JobDone {
			t.Errorf("node %d: cancelled when it was done: %d %s", i, code, st.Status)
		}
		if code, _ := c.ask(i, http.MethodPost, wire.PathJobs, change("j-1", "Loaners", nil), &st); code != 200 || st.Status != wire.JobDone {
			t.Errorf("node %d: repeated without a field when it was done: %d %s", i, code, st.Status)
		}
	}
}
