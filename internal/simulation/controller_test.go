package simulation

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dalefront/internal/calendar"
	"dalefront/internal/config"
	"dalefront/internal/controller"
	"dalefront/internal/emulator"
	"dalefront/internal/recurring"
	"dalefront/wire"
)

func freeAddr(t testing.TB) string {
	t.Helper()
	addr, err := emulator.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// cluster is real nodes on loopback against the played services.
type cluster struct {
	t     testing.TB
	svc   *emulator.Services
	addrs []string
	nodes []*controller.Controller
	sets  []*config.Settings
	stop  []func()                   // ends a node and waits for it
	tasks map[string]wire.TaskStatus // of the one worker
	clear map[string]bool            // tasks that were cleared when they were done
	token uint64
	// For how long a user waits, 0 for any time: where the worker reports in between the
	// questions it must, as it is told to stop a cancelled task in the meantime.
	patience time.Duration

	session, seq uint64 // of its next report
}

func newCluster(t testing.TB, size int, set func(*config.Settings)) *cluster {
	t.Helper()
	c := &cluster{t: t, svc: emulator.NewServices(world(t, 1).Catalog), tasks: map[string]wire.TaskStatus{}, clear: map[string]bool{}, session: 1}
	change := set
	srv := httptest.NewServer(c.svc)
	t.Cleanup(srv.Close)
	t.Cleanup(func() {
		for _, what := range c.svc.Malformed() {
			t.Error("a transaction beyond the limits: ", what)
		}
	})
	addr := strings.TrimPrefix(srv.URL, "http://")
	var mesh []string
	for i := 0; i < size; i++ {
		c.addrs, mesh = append(c.addrs, freeAddr(t)), append(mesh, freeAddr(t))
	}
	for i := range c.addrs {
		set, err := config.Parse([]byte(settings))
		if err != nil {
			t.Fatal(err)
		}
		set.Label, set.ListenAddr, set.PeerAddr = fmt.Sprint("node-", i), c.addrs[i], mesh[i]
		set.Endpoints.State, set.Endpoints.Cloud = addr, addr
		set.Deployment.State.RPS, set.Deployment.State.WriteRPS = 1000, 1000
		for k := range mesh {
			if k != i {
				set.Members = append(set.Members, config.Member{Label: fmt.Sprint("node-", k), Addr: mesh[k]})
			}
		}
		change(set)
		c.sets, c.nodes, c.stop = append(c.sets, set), append(c.nodes, nil), append(c.stop, nil)
	}
	c.svc.Limits = c.sets[0].TxnLimits() // all have the same; before the first one asks
	for i := range c.sets {
		c.start(i)
	}
	return c
}

// start starts a node, or another process of one that has ended.
func (c *cluster) start(i int) {
	c.t.Helper()
	n, err := controller.New(c.sets[i], slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			c.t.Error(err)
		}
	}()
	c.nodes[i], c.stop[i] = n, func() { cancel(); <-done }
	c.t.Cleanup(c.stop[i])
}

func (c *cluster) ask(i int, method, path string, in, out any) (int, http.Header) {
	b, _ := wire.Marshal(in)
	req, err := http.NewRequest(method, "http://"+c.addrs[i]+path, bytes.NewReader(b))
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := (&http.Client{Timeout: c.patience}).Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	if out != nil && resp.StatusCode < 300 {
		if err := wire.Unmarshal(body, out); err != nil {
			c.t.Fatal(err)
		}
	}
	return resp.StatusCode, resp.Header
}

// report sends the worker's report to a node and carries out its orders.
func (c *cluster) report(i int) int {
	c.seq++
	r := wire.Heartbeat{Host: "n-1", Addr: "127.0.0.1:9", Type: "s", Zone: "x", Incarnation: c.session, Sequence: c.seq, FencingToken: c.token}
	for _, t := range c.tasks {
		r.Tasks = append(r.Tasks, t)
	}
	var a wire.HeartbeatResponse
	code, _ := c.ask(i, http.MethodPost, wire.PathHeartbeat, r, &a)
	if code != 200 || a.FencingToken < c.token {
		return code
	}
	c.token = a.FencingToken
	for _, o := range a.Commands {
		switch o.Op {
		case wire.Launch:
			if c.clear[o.Task] {
				c.t.Fatalf("%s is started again, and was cleared when it was done", o.Task)
			}
			c.tasks[o.Task] = wire.TaskStatus{Task: o.Task, Attempt: o.Attempt, State: wire.TaskRunning}
		case wire.Stop:
			c.tasks[o.Task] = wire.TaskStatus{Task: o.Task, Attempt: o.Attempt, State: wire.TaskExited, Cause: wire.CauseStopped}
		case wire.Clear:
			if tr := c.tasks[o.Task]; tr.Cause == wire.CauseDone {
				c.clear[o.Task] = true
			}
			delete(c.tasks, o.Task)
		}
	}
	return code
}

// until repeats f until it holds; the limit only ends a test that hangs.
func (c *cluster) until(what string, f func() bool) {
	c.t.Helper()
	for i := 0; i < 6000; i++ {
		if f() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatal("never happened: ", what)
}

// leader says whether a node shows itself as such.
func (c *cluster) leader(i int) bool {
	return c.shows(i, "dalefront_leader 1")
}

func body(resp *http.Response) string {
	b, _ := io.ReadAll(resp.Body)
	return string(b)
}

func (*cluster) submission(id string, tasks int) map[string]any {
	return map[string]any{"Id": id, "Jobclass": "c", "Owner": "red", "Shape": "sweep", "Urgency": "low", "Pieces": tasks,
		"Cores": 1.0, "Gpus": 0.0, "RamGb": 1.0, "Bundle": "i", "SizeGb": 1.0, "SamePlace": false,
		"Spread": false, "Loaners": true, "ExpectedS": 1.0, "SnapshotEveryS": 0.0, "SnapshotS": 0.0}
}

// TestNodes runs three nodes, and seven: any of them takes jobs, reports and
// questions; a job survives its leader; what is over stays over; an outage of
// the state service is answered at once and survived.
func TestNodes(t *testing.T) {
	for _, size := range []int{3, 7} {
		t.Run(fmt.Sprint(size), func(t *testing.T) { testNodes(t, size) })
	}
}

func testNodes(t *testing.T, size int) {
	c := newCluster(t, size, func(*config.Settings) {})
	var st wire.JobStatus
	for i := range c.addrs {
		c.until("healthy", func() bool { code, _ := c.ask(i, http.MethodGet, wire.PathHealth, nil, nil); return code == 200 })
		if code, _ := c.ask(i, http.MethodGet, wire.PathJobs+"/j-404", nil, nil); code != 404 {
			t.Errorf("node %d: a job that nobody submitted got %d", i, code)
		}
	}
	c.svc.Mute(1) // the first try may be executed without an answer
	c.until("accepted", func() bool {
		code, _ := c.ask(1, http.MethodPost, wire.PathJobs, c.submission("j-1", 2), &st)
		return code == 200 || code == 201
	})
	if code, _ := c.ask(2, http.MethodPost, wire.PathJobs, c.submission("j-1", 2), &st); code != 200 {
		t.Errorf("a repeated submission got %d", code)
	}
	c.until("both tasks run", func() bool { c.report(2); return len(c.tasks) == 2 })

	// Each node has reached the leader, and its next greetings, one a second,
	// bring its grant.
	for i := range c.addrs {
		c.until("a report is relayed", func() bool { return c.report(i) == 200 })
	}
	time.Sleep(2500 * time.Millisecond)

	c.svc.SetDown(true)
	code, h := c.ask(0, http.MethodPost, wire.PathJobs, c.submission("j-2", 1), nil)
	if code != 503 || h.Get("Retry-After") == "" {
		t.Errorf("in an outage a submission got %d, Retry-After %q", code, h.Get("Retry-After"))
	}
	if code := c.report(2); code != 200 {
		t.Errorf("in an outage a report got %d: the lease is not renewed", code)
	}
	if len(c.tasks) != 2 {
		t.Errorf("in an outage the tasks changed: %v", c.tasks)
	}
	before := c.token
	for i := range c.addrs { // end the leader: the node that shows itself as such
		if c.leader(i) {
			c.stop[i]()
			c.addrs = append(c.addrs[:i], c.addrs[i+1:]...)
			break
		}
	}
	if len(c.addrs) != size-1 {
		t.Fatal("no node showed itself as leader")
	}
	// The leader died within the outage: its peers renew under its grant.
	c.until("a lease is renewed without a leader", func() bool { return c.report(0) == 200 })
	if c.token != before || len(c.tasks) != 2 {
		t.Errorf("under the grant the token went from %d to %d, tasks %v", before, c.token, c.tasks)
	}
	c.svc.SetDown(false)
	c.until("another leader", func() bool { c.report(0); return c.token > before })
	for i := 0; i < 3; i++ {
		c.report(1)
	}
	if len(c.tasks) != 2 {
		t.Fatalf("the tasks did not survive the takeover: %v", c.tasks)
	}
	for k, tr := range c.tasks {
		tr.State, tr.Cause = wire.TaskExited, wire.CauseDone
		c.tasks[k] = tr
	}
	c.until("done on all nodes", func() bool {
		c.report(0)
		for i := range c.addrs {
			if code, _ := c.ask(i, http.MethodGet, wire.PathJobs+"/j-1", nil, &st); code != 200 || st.Status != wire.JobDone {
				return false
			}
		}
		return true
	})
	c.until("results are cleared", func() bool { c.report(0); return len(c.tasks) == 0 })
	if code, _ := c.ask(1, http.MethodPost, wire.PathJobs+"/j-1/"+wire.CancelAction, nil, &st); code != 200 || st.Status != wire.JobDone {
		t.Errorf("cancelling a job that is done: %d %s", code, st.Status)
	}

	c.svc.Mute(4) // among them the write-ahead of its launch
	c.until("another job is accepted", func() bool {
		code, _ := c.ask(0, http.MethodPost, wire.PathJobs, c.submission("j-3", 1), &st)
		return code == 200 || code == 201
	})
	c.until("it runs", func() bool { c.report(1); return len(c.tasks) == 1 })
	// One controller is gone, so that not all can hold the cancellation: it is confirmed
	// once the worker, which goes on reporting, was told to stop the task.
	c.until("it is cancelled", func() bool {
		c.report(0)
		code, _ := c.ask(1, http.MethodPost, wire.PathJobs+"/j-3/"+wire.CancelAction, nil, &st)
		return code == 200 && st.Status == wire.JobCancelled
	})
	if got, there := c.tasks["j-3/0"]; there && got.State != wire.TaskExited {
		t.Errorf("cancelled, and its task is %s", got.State)
	}
	c.until("its task is gone", func() bool { c.report(0); return len(c.tasks) == 0 })
	if code, _ := c.ask(0, http.MethodGet, wire.PathJobs+"/j-3", nil, &st); code != 200 || st.Status != wire.JobCancelled {
		t.Errorf("a cancelled job is shown as %d %s", code, st.Status)
	}
}

// A job that is cancelled before the leader's watch has brought it leaves no record:
// such records once stayed until the next takeover, and kept their ends out of the
// archive. The watch rests between two openings, so that most of these come too late.
func TestCancelledBeforeSeen(t *testing.T) {
	c := newCluster(t, 1, func(s *config.Settings) { s.Deployment.State.RPS = 60 })
	c.until("a leader", func() bool { return c.leader(0) })
	for i := range 12 {
		id := fmt.Sprintf("j-%d", i)
		c.until("accepted", func() bool {
			code, _ := c.ask(0, http.MethodPost, wire.PathJobs, c.submission(id, 1), nil)
			return code == 201 || code == 200
		})
		c.until("cancelled", func() bool {
			code, _ := c.ask(0, http.MethodPost, wire.PathJobs+"/"+id+"/"+wire.CancelAction, nil, nil)
			return code == 200
		})
	}
	c.until("their records are gone", func() bool { return c.svc.Keys("q/a/") == 0 })
}

// A job is to be cancelled and the leader ends before it can stop its task, within an outage
// that lasts: peers renew the worker's lease under its grant, also one that was started within
// the outage and has the grant from another. So the task goes on, and nobody is told otherwise;
// once the service is back its task is stopped, and then the user is told. The other task is kept.
func TestNobodyIsToldWhileACancelledTaskRuns(t *testing.T) {
	c := newCluster(t, 3, func(*config.Settings) {})
	c.until("a leader", func() bool { return c.report(0) == 200 })
	for _, id := range []string{"j-1", "j-2"} {
		c.until("accepted", func() bool {
			code, _ := c.ask(0, http.MethodPost, wire.PathJobs, c.submission(id, 1), nil)
			return code == 200 || code == 201
		})
	}
	c.until("both run", func() bool { c.report(0); return len(c.tasks) == 2 })
	time.Sleep(2200 * time.Millisecond) // hellos bring the grant
	chief := c.chief()
	other, third := (chief+1)%3, (chief+2)%3
	told := func(i int) bool {
		t.Helper()
		var st wire.JobStatus
		code, _ := c.ask(i, http.MethodPost, wire.PathJobs+"/j-1/"+wire.CancelAction, nil, &st)
		if code == 200 && c.tasks["j-1/0"].State == wire.TaskRunning {
			t.Fatalf("node %d: %s, and the task runs", i, st.Status)
		}
		if code, _ := c.ask(i, http.MethodGet, wire.PathJobs+"/j-1", nil, &st); code == 404 || code == 200 && wire.Final(st.Status) && c.tasks["j-1/0"].State == wire.TaskRunning {
			t.Fatalf("node %d: asked about the job: %d %s, and the task runs", i, code, st.Status)
		}
		return code == 200
	}
	if told(other) {
		t.Fatal("told though the worker has not reported")
	}
	var st wire.JobStatus
	if code, _ := c.ask(third, http.MethodGet, wire.PathJobs+"/j-1", nil, &st); code != 200 || wire.Final(st.Status) {
		t.Errorf("while its task is not proven gone the job is shown as %d %s", code, st.Status)
	}
	c.svc.SetDown(true)
	c.stop[chief]()
	time.Sleep(1200 * time.Millisecond) // a hello between the two that are left
	c.stop[third]()
	time.Sleep(100 * time.Millisecond)
	c.start(third)
	c.until("a node that was started within the outage renews the lease", func() bool { return c.report(third) == 200 })
	told(third)
	c.svc.SetDown(false)
	c.until("the user is told", func() bool { c.report(third); return told(other) })
	if got := c.tasks["j-2/0"]; got.State != wire.TaskRunning {
		t.Errorf("the other task is %s", got.State)
	}
}

// TestDrain ends the leader's node in order, under load: its health turns bad, the
// term passes on at once, and no request that was begun goes without an answer.
func TestDrain(t *testing.T) {
	c := newCluster(t, 3, func(s *config.Settings) { *s.Operator.DrainS = 0.5 })
	for i := range c.addrs {
		c.until("healthy", func() bool { code, _ := c.ask(i, http.MethodGet, wire.PathHealth, nil, nil); return code == 200 })
	}
	chief := -1
	c.until("a leader", func() bool {
		for i := range c.addrs {
			if c.leader(i) {
				chief = i
			}
		}
		return chief >= 0
	})
	var all sync.WaitGroup
	var out atomic.Bool // the balancer has taken the node out
	stop := make(chan struct{})
	for client := range 4 {
		all.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				node := (client + k) % 3
				if node == chief && out.Load() {
					continue
				}
				id := fmt.Sprintf("j-%d%05d", client+1, k)
				if code, _ := c.ask(node, http.MethodPost, wire.PathJobs, c.submission(id, 1), nil); code == 0 {
					t.Errorf("a submission at node %d got no answer", node)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	before, _ := c.svc.Entry("term")
	c.nodes[chief].Drain()
	c.until("bad health", func() bool { code, _ := c.ask(chief, http.MethodGet, wire.PathHealth, nil, nil); return code == 503 })
	out.Store(true)
	c.until("another term", func() bool { e, ok := c.svc.Entry("term"); return ok && e.Version > before.Version })
	c.until("the node has ended", func() bool { code, _ := c.ask(chief, http.MethodGet, wire.PathHealth, nil, nil); return code == 0 })
	close(stop)
	all.Wait()
	c.until("another leader acts", func() bool { return c.report((chief+1)%3) == 200 })
}

// TestSchedules runs three nodes with a schedule that missed its run an hour ago: it
// runs once, whoever asks, although answers of the state service are lost and the
// leader ends; any node shows, pauses and resumes it.
func TestSchedules(t *testing.T) {
	file := filepath.Join(t.TempDir(), "calendar.hcl")
	if err := os.WriteFile(file, []byte(`
calendar "c" { timezone = "UTC" }
schedule "yearly" {
  calendar       = "c"
  cron           = "0 0 1 1 *"
  latest_start_s = 31600000
  job {
    class      = "c"
    team       = "red"
    priority   = "low"
    cpus       = 1
    memory_gb  = 1
    image      = "i"
    image_gb   = 1
    estimate_s = 1
  }
}`), 0o600); err != nil {
		t.Fatal(err)
	}
	cal, err := calendar.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	c := newCluster(t, 3, func(s *config.Settings) { s.Operator.CalendarFile = file })
	// As if the site had been down over the last New Year.
	c.svc.Set("s/yearly", recurring.State{Revision: cal.Schedules[0].Revision, DecidedUntil: time.Now().AddDate(-1, 0, 0).UnixMicro()})
	c.svc.Mute(3)
	var s wire.Schedule
	get := func(i int) int {
		s = wire.Schedule{}
		code, _ := c.ask(i, http.MethodGet, wire.PathSchedules+"/yearly", nil, &s)
		return code
	}
	c.until("it has run", func() bool { return get(0) == 200 && s.Ran > 0 })
	job := s.Runs[len(s.Runs)-1].Job
	var st wire.JobStatus
	c.until("its job is known", func() bool {
		code, _ := c.ask(1, http.MethodGet, wire.PathJobs+"/"+job, nil, &st)
		return code == 200
	})
	c.until("its task runs", func() bool { c.report(1); return len(c.tasks) == 1 })
	var all wire.Schedules
	if code, _ := c.ask(2, http.MethodGet, wire.PathSchedules, nil, &all); code != 200 || len(all.Schedules) != 1 || all.Schedules[0].Next == 0 {
		t.Errorf("listed as %+v", all)
	}
	c.until("it is paused", func() bool {
		code, _ := c.ask(1, http.MethodPost, wire.PathSchedules+"/yearly/"+wire.PauseAction, nil, &s)
		return code == 200 && s.Paused
	})
	before := c.token
	c.stop[0]()
	c.stop[1]()
	c.addrs = c.addrs[2:]
	c.until("it is resumed after two nodes ended", func() bool {
		code, _ := c.ask(0, http.MethodPost, wire.PathSchedules+"/yearly/"+wire.ResumeAction, nil, &s)
		return code == 200 && !s.Paused
	})
	c.until("the last node serves", func() bool { return c.report(0) == 200 && c.token >= before })
	if code := get(0); code != 200 || s.Ran != 1 || len(c.tasks) != 1 {
		t.Errorf("%d: ran %d times, %d tasks", code, s.Ran, len(c.tasks))
	}
	if code, _ := c.ask(0, http.MethodGet, wire.PathSchedules+"/none", nil, nil); code != 404 {
		t.Errorf("a schedule that is not there got %d", code)
	}
}
