package simulation

import (
	"cmp"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dalefront/internal/config"
	"dalefront/wire"
)

// ways is what each node of a cluster reaches: the state service may refuse one alone, and
// the ways between two nodes may be cut.
type ways struct {
	refused [8]atomic.Bool
	cut     [8]atomic.Bool // from all peers, both ways
	gone    chan struct{}  // closed when the machine was given back
	once    sync.Once
}

// proxy is an address that leads to another one while neither end is cut.
func (w *ways) proxy(t testing.TB, from, to int, addr string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	open := func() bool { return !w.cut[from].Load() && !w.cut[to].Load() }
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", addr)
			if err != nil || !open() {
				_ = near.Close()
				if err == nil {
					_ = far.Close()
				}
				continue
			}
			pass := func(dst, src net.Conn) {
				b := make([]byte, 32<<10)
				for {
					n, err := src.Read(b)
					if err != nil || !open() {
						break
					}
					if _, err := dst.Write(b[:n]); err != nil {
						break
					}
				}
				_, _ = near.Close(), far.Close()
			}
			go pass(far, near)
			go pass(near, far)
		}
	}()
	return l.Addr().String()
}

// front stands between a node and the services.
func (w *ways) front(t testing.TB, i int, services string) string {
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		cloud := strings.HasPrefix(r.URL.Path, wire.PathMachines) || r.URL.Path == wire.PathCatalog
		if !cloud && w.refused[i].Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		forward(waiting{rw, func(code int) {
			for !cloud && w.refused[i].Load() && r.Context().Err() == nil { // open watches wait as during an outage
				time.Sleep(20 * time.Millisecond)
			}
			if r.URL.Path == wire.PathScaleIn && code == 200 {
				w.once.Do(func() { close(w.gone) })
			}
		}}, r, services)
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// filter stands between a node and the services, and refuses what does not pass.
func filter(t testing.TB, services string, passes func(*http.Request) bool) string {
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if !passes(r) {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		forward(rw, r, services)
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// waiting does something before an answer goes out.
type waiting struct {
	http.ResponseWriter
	first func(code int)
}

func (w waiting) WriteHeader(code int) {
	w.first(code)
	w.ResponseWriter.WriteHeader(code)
}

// forward hands a request to the services and their answer back.
func forward(w http.ResponseWriter, r *http.Request, services string) {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+services+r.URL.RequestURI(), r.Body)
	if err != nil {
		panic(err)
	}
	req.Header = r.Header
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

const (
	meetLease  = 2 * time.Second
	meetCancel = 6 * time.Second
)

// meet is a cluster whose one machine keeps its lease as a worker does, and that knows whether
// the user was told of the cancellation.
type meet struct {
	*cluster
	*ways
	rng     *rand.Rand
	renewed time.Time // when the last report was sent that was answered
	told    bool
	lost    bool
}

// runs says whether the job's task is on the machine: it is there, the machine was not given
// back, and its lease has not run out. Times are compared as they were taken, so that a slow
// machine changes nothing.
func (m *meet) runs() bool {
	select {
	case <-m.gone:
		m.lost = true
	default:
	}
	m.lost = m.lost || !m.renewed.IsZero() && time.Since(m.renewed) > meetLease // it has killed and forgotten its tasks
	tr, there := m.tasks["j-1/0"]
	return !m.lost && there && tr.State != wire.TaskExited
}

// hears takes an answer that the job is cancelled: then nothing of it is left.
func (m *meet) hears(node int) {
	m.t.Helper()
	m.told = true
	if m.runs() {
		m.t.Fatalf("node %d told that the job is cancelled while its task runs", node)
	}
}

func newMeet(t testing.TB, seed uint64, size int) *meet {
	w := &ways{gone: make(chan struct{})}
	m := &meet{ways: w, rng: rand.New(rand.NewPCG(seed, 28))}
	m.cluster = newCluster(t, size, func(s *config.Settings) {
		i := int(s.Label[len(s.Label)-1] - '0')
		s.Endpoints.State = w.front(t, i, s.Endpoints.State)
		s.Endpoints.Cloud = s.Endpoints.State
		for k := range s.Members {
			s.Members[k].Addr = w.proxy(t, i, int(s.Members[k].Label[len(s.Members[k].Label)-1]-'0'), s.Members[k].Addr)
		}
		s.Deployment.Workers.LeaseS, s.Deployment.Workers.CancelS, s.Deployment.Workers.ReportS = meetLease.Seconds(), meetCancel.Seconds(), 0.5
	})
	return m
}

// beat lets the worker report to a node, and checks that nothing of the job starts once its
// user was told that it is cancelled. One whose lease has run out begins a new session.
func (m *meet) beat(i int) {
	m.t.Helper()
	m.runs()
	select {
	case <-m.gone:
		return
	default:
	}
	if m.lost {
		m.lost, m.session, m.seq, m.tasks = false, m.session+1, 0, map[string]wire.TaskStatus{}
	}
	sent := time.Now()
	if m.report(i) == 200 {
		m.renewed = sent
	}
	if m.told && m.runs() {
		m.t.Fatalf("node %d: the task of a job whose user was told that it is cancelled is there", i)
	}
}

// begin has a job's task running, and returns the leader, which its machine reports to.
func (m *meet) begin() (chief int) {
	m.t.Helper()
	m.until("a leader", func() bool { return m.report(0) == 200 })
	m.until("accepted", func() bool {
		code, _ := m.ask(0, http.MethodPost, wire.PathJobs, m.submission("j-1", 1), nil)
		return code == 200 || code == 201
	})
	m.until("it runs", func() bool {
		m.report(0)
		chief = m.chief()
		return len(m.tasks) == 1 && chief >= 0
	})
	m.renewed = time.Now()
	m.patience = impatient
	m.beats(1500*time.Millisecond, chief, nil)
	return chief
}

func (m *meet) cancel(i int) {
	var st wire.JobStatus
	code, _ := m.ask(i, http.MethodPost, wire.PathJobs+"/j-1/"+wire.CancelAction, nil, &st)
	if code == 200 && st.Status == wire.JobCancelled {
		m.hears(i)
	}
}

// impatient is for how long a user waits whose worker reports only in between.
const impatient = 300 * time.Millisecond

// for how long, at least.
func (m *meet) beats(d time.Duration, i int, also func()) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(150 * time.Millisecond) {
		m.beat(i)
		if also != nil {
			also()
		}
	}
}

// The state service refuses the leader A alone, B is asked to cancel, then the service is down
// for all for longer than cancel_s, and the worker goes on reporting to A: whoever is told that
// the job is cancelled, its task is gone, and at last a user is told. A may also be cut from its
// peers, B be killed right after it was asked, come back at once or not, all others be
// killed, or the cancellation come when the outage has almost begun.
func TestCancelledWhileTheLeaderIsCutOff(t *testing.T) {
	for seed, name := range []string{"refused", "cut from peers", "confirmer killed", "confirmer back", "all others killed", "cut, all others killed", "no time to take over"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newMeet(t, uint64(seed), 3)
			a := m.begin()
			b, third := (a+1)%3, (a+2)%3
			cut := strings.Contains(name, "cut") || name == "no time to take over"
			m.refused[a].Store(true)
			m.cut[a].Store(cut)
			window := 3 * time.Second
			if name == "no time to take over" {
				window = 700 * time.Millisecond
			}
			m.beats(window, a, func() { m.cancel(b) })
			m.svc.SetDown(true)
			switch name {
			case "confirmer killed":
				m.stop[b]()
			case "confirmer back":
				m.stop[b]()
				m.start(b)
			case "all others killed", "cut, all others killed":
				m.stop[b]()
				m.stop[third]()
			}
			m.beats(meetCancel+meetLease+2*time.Second, a, func() {
				if !strings.Contains(name, "killed") {
					m.cancel(b)
				}
			})
			m.svc.SetDown(false)
			m.refused[a].Store(false)
			m.cut[a].Store(false)
			m.until("a user is told at last", func() bool {
				m.beat(a)
				m.cancel(a)
				return m.told
			})
			m.beats(time.Second, a, func() { m.asks(a) })
		})
	}
}

// All controllers are away for longer than a lease, and come back: the worker has forgotten its
// tasks in the meantime and begun another session. The task is started once more, and a
// cancellation of it is told when it is gone.
func TestAllAway(t *testing.T) {
	t.Parallel()
	m := newMeet(t, 40, 3)
	m.begin()
	for i := range m.stop {
		m.stop[i]()
	}
	time.Sleep(meetLease + meetLease/4)
	for i := range m.stop {
		m.start(i)
	}
	session := m.session
	m.until("the task runs again", func() bool { m.beat(0); return m.session > session && m.runs() })
	m.until("a user is told", func() bool {
		m.beat(1)
		m.cancel(2)
		return m.told
	})
}

// A transaction with progress gets no answer and is executed after a newer one of the same
// leader. It once took back what the newer one had stored, after the worker had been told
// to clear it, and the next leader started tasks that were done.
func TestLateProgressTakesNothingBack(t *testing.T) {
	c := newCluster(t, 1, func(*config.Settings) {})
	c.until("a leader", func() bool { return c.report(0) == 200 })
	c.until("accepted", func() bool {
		code, _ := c.ask(0, http.MethodPost, wire.PathJobs, c.submission("j-1", 3), nil)
		return code == 200 || code == 201
	})
	c.until("all run", func() bool { c.report(0); return len(c.tasks) == 3 })
	done := func(task string) {
		tr := c.tasks[task]
		tr.State, tr.Cause = wire.TaskExited, wire.CauseDone
		c.tasks[task] = tr
	}
	key := "p/j-1/0"
	done("j-1/0")
	c.svc.HoldBackWrite(key)
	c.until("it is held back", func() bool { c.report(0); return c.svc.HeldBack() > 0 })
	done("j-1/1")
	c.until("both are stored and cleared", func() bool { c.report(0); return len(c.tasks) == 1 })
	before, _ := c.svc.Entry(key)
	c.svc.Arrive()
	if after, ok := c.svc.Entry(key); !ok || string(after.Value) != string(before.Value) {
		t.Errorf("progress went from %q back to %q", before.Value, after.Value)
	}
}

var meetings = flag.Int("meetings", 12, "how many seeds of two or three troubles that overlap are played; 8 take some 16 s")

// asks lets a user ask any node about the job and checks the answer against what was told.
func (m *meet) asks(i int) {
	m.t.Helper()
	var st wire.JobStatus
	code, _ := m.ask(i, http.MethodGet, wire.PathJobs+"/j-1", nil, &st)
	switch {
	case code == 404:
		m.t.Fatalf("node %d: an accepted job is not known", i)
	case code == 200 && st.Status == wire.JobCancelled:
		m.hears(i)
	case code == 200 && m.told:
		m.t.Fatalf("node %d: a job that was cancelled is %s", i, st.Status)
	}
}

// Two or three troubles overlap while a job is cancelled: nodes refused by the store, cut from
// their peers, ended and back at once or later, a machine that reports to one node, to all, or
// hears no answer for a while, an outage, late transactions; many of them in the seconds of
// a takeover. The task is gone when the user is told, whoever tells, and what was told stays so.
func TestMeetings(t *testing.T) {
	slots := make(chan struct{}, 8)
	for seed := range *meetings {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			size := 3 + 2*(seed%2)
			m := newMeet(t, uint64(seed), size)
			rng := m.rng
			chief := m.begin()
			home, sticky, dead := chief, rng.IntN(3) > 0, map[int]bool{}
			node := func() int { // mostly the leader that was
				if rng.IntN(2) == 0 {
					return chief
				}
				return rng.IntN(size)
			}
			type event struct {
				at time.Duration
				do func()
			}
			var events []event
			for range 2 + rng.IntN(2) {
				i, at, length := node(), time.Duration(rng.IntN(3500))*time.Millisecond, time.Duration(500+rng.IntN(9000))*time.Millisecond
				on, off := func() {}, func() {}
				switch rng.IntN(7) {
				case 0:
					on, off = func() { m.refused[i].Store(true) }, func() { m.refused[i].Store(false) }
				case 1:
					on, off = func() { m.cut[i].Store(true) }, func() { m.cut[i].Store(false) }
				case 2:
					on, off = func() { m.refused[i].Store(true); m.cut[i].Store(true) }, func() { m.refused[i].Store(false); m.cut[i].Store(false) }
				case 3, 4:
					if length < 4*time.Second {
						length = 200 * time.Millisecond
					}
					on = func() {
						if !dead[i] {
							dead[i] = true
							m.stop[i]()
						}
					}
					off = func() {
						if dead[i] {
							dead[i] = false
							m.start(i)
						}
					}
				case 5:
					on, off = func() { m.svc.SetDown(true) }, func() { m.svc.SetDown(false) }
				case 6:
					late := rand.New(rand.NewPCG(uint64(seed), 29))
					on = func() {
						m.svc.LateWrites(func() (time.Duration, bool) { // the services' lock is held
							return time.Duration(100+late.IntN(4000)) * time.Millisecond, late.IntN(4) == 0
						})
					}
					off = func() { m.svc.LateWrites(nil) }
				}
				events = append(events, event{at, on}, event{at + length, off})
			}
			if rng.IntN(2) == 0 { // an outage longer than cancel_s, right after
				at := time.Duration(1500+rng.IntN(2500)) * time.Millisecond
				events = append(events, event{at, func() { m.svc.SetDown(true) }}, event{at + meetCancel + 2*time.Second, func() { m.svc.SetDown(false) }})
			}
			slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
			began, cancelAt := time.Now(), time.Duration(500+rng.IntN(3000))*time.Millisecond
			for now := time.Duration(0); now < 14*time.Second || len(events) > 0; now = time.Since(began) {
				for len(events) > 0 && events[0].at <= now {
					events[0].do()
					events = events[1:]
				}
				if !sticky && rng.IntN(4) == 0 || dead[home] {
					home = rng.IntN(size)
				}
				if !dead[home] {
					m.beat(home)
				}
				if i := rng.IntN(size); !dead[i] && now >= cancelAt {
					if !m.told {
						m.cancel(i)
					} else {
						m.asks(i)
					}
				}
				time.Sleep(time.Duration(50+rng.IntN(100)) * time.Millisecond)
			}
			m.svc.LateWrites(nil)
			m.until("a user is told at last", func() bool {
				m.beat(home)
				m.cancel(rng.IntN(size))
				return m.told
			})
			for i := range m.addrs {
				m.asks(i)
			}
		})
	}
}
