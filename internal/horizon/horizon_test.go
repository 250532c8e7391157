package horizon

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"dalefront/internal/config"
)

const second = config.Second

func testRules() Rules {
	lease, cancel, wait, margin := 10*second, 30*second, 20*second, second
	r := Rules{Slack: cancel - lease - margin, Wait: wait, Most: 10_000}
	r.Unread = r.Wait + r.Slack
	r.Keep = r.Unread + lease + cancel + margin
	return r
}

func TestRules(t *testing.T) {
	var s config.Settings
	wait := 45.0
	s.Operator.CancelWaitS = &wait
	w := &s.Deployment.Workers
	s.Deployment.State.WriteRPS = 90
	for _, x := range []struct {
		lease, cancel float64
		slack, unread Micros
		tight         bool
	}{
		{22, 42, 19_391_000, 64_391_000, false},
		{11, 36, 24_408_000, 69_408_000, false},
		{22, 25, leastSlack, 45*second + leastSlack, true},
	} {
		w.LeaseS, w.CancelS = x.lease, x.cancel
		r := RulesOf(&s)
		if r.Slack != x.slack || r.Unread != x.unread || r.Tight != x.tight {
			t.Errorf("lease %g s, cancel %g s: %+v", x.lease, x.cancel, r)
		}
		lease, cancel := config.Micro(x.lease), config.Micro(x.cancel)
		// A lease renewed at the last moment, by clocks that drift by 0.05 % each way.
		if end := r.Unread + r.Unread/2000 + lease + lease/2000; !x.tight && end > r.Wait-r.Wait/2000+cancel {
			t.Errorf("lease %g s, cancel %g s: renewed until %d us after what a user may be told is kept", x.lease, x.cancel, end-r.Wait-cancel)
		}
	}
}

// node is a process of a controller in a world of real books.
type node struct {
	*Book
	name string
	born uint64
	off  Micros // of its clock
}

// message is a copy of what one process told, which may arrive at any time.
type message struct {
	from int
	to   string
	born uint64
	s    *Shared
}

// world plays controllers that are cut from one another and from the store, end, come back
// at once, repeat old messages, and renew leases whatever token they go by.
type world struct {
	rng     *rand.Rand
	rules   Rules
	now     Micros
	nodes   []*node
	labels  []string
	ends    map[string]Micros // when they were created
	told    map[string]Micros // when a user was told
	lease   map[string]Micros // until when the task of a job lives
	stopped map[string]bool
	old     []message
	cut     map[[2]int]bool
	store   []bool         // answers a node
	home    map[string]int // the node that the task's worker reports to
	phase   int            // steps until the store and the ways change
}

// turn lets the store and the ways between nodes change: mostly for longer than leases are
// renewed without the store.
func (w *world) turn() {
	w.phase = 20 + w.rng.IntN(400)
	what := w.rng.IntN(4)
	for i := range w.store {
		w.store[i] = what == 0 || what == 1 && i == w.rng.IntN(len(w.store))
	}
	clear(w.cut)
	part := w.rng.IntN(3) // of the ways that are cut
	for i := range w.nodes {
		for k := range w.nodes {
			if w.rng.IntN(3) < part {
				w.cut[[2]int{i, k}] = true
			}
		}
	}
}

func newWorld(seed uint64, size int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), rules: testRules(), now: 1000 * second, ends: map[string]Micros{}, told: map[string]Micros{},
		lease: map[string]Micros{}, stopped: map[string]bool{}, cut: map[[2]int]bool{}, store: make([]bool, size), home: map[string]int{}}
	for i := range size {
		w.labels = append(w.labels, fmt.Sprint("n", i))
		w.store[i] = true
	}
	for i := range size {
		w.nodes = append(w.nodes, nil)
		w.start(i)
	}
	return w
}

func (w *world) start(i int) {
	others := slices.DeleteFunc(slices.Clone(w.labels), func(l string) bool { return l == w.labels[i] })
	n := &node{Book: NewBook(w.rules, others), name: w.labels[i], born: w.rng.Uint64() | 1, off: Micros(w.rng.IntN(1000)) * second}
	n.Begin(w.now + n.off)
	w.nodes[i] = n
}

// read lets a node read all ends that exist and whose tasks may be anywhere.
func (w *world) read(n *node) {
	for id := range w.ends {
		n.Note(id, w.now+n.off)
	}
	n.Read(w.now + n.off)
}

func (w *world) hello(i, k int) {
	a, b := w.nodes[i], w.nodes[k]
	asked := w.now + a.off
	s := a.For(b.name, asked)
	w.old = append(w.old, message{i, b.name, a.born, s})
	b.Take(a.name, a.born, s, w.now+b.off)
	ans := b.For(a.name, w.now+b.off)
	if w.rng.IntN(10) == 0 {
		return // the answer is lost
	}
	w.now += Micros(w.rng.IntN(int(second / 5)))
	a.Answered(b.name, a.born, b.born, ans, asked, w.now+a.off)
}

func (w *world) step(t *testing.T, seed uint64) {
	w.now += Micros(w.rng.IntN(int(second / 2)))
	if w.phase--; w.phase < 0 {
		w.turn()
	}
	size := len(w.nodes)
	i, k := w.rng.IntN(size), w.rng.IntN(size)
	n := w.nodes[i]
	switch x := w.rng.IntN(100); {
	case x < 40:
		if i != k && !w.cut[[2]int{i, k}] {
			w.hello(i, k)
		}
	case x < 50:
		if w.store[i] {
			w.read(n)
		}
	case x < 53 && w.store[i]:
		id := fmt.Sprint("j-", len(w.ends))
		w.ends[id], w.lease[id], w.home[id] = w.now, w.now+10*second, w.rng.IntN(size)
		n.Note(id, w.now+n.off)
	case x < 54:
		w.start(i)
	case x < 56:
		w.cut[[2]int{i, k}] = !w.cut[[2]int{i, k}]
	case x < 58 && len(w.old) > 0:
		if m := w.old[w.rng.IntN(len(w.old))]; m.to == n.name {
			n.Take(w.labels[m.from], m.born, m.s, w.now+n.off)
		}
	case x < 75:
		for id := range w.ends {
			if !n.Cancelled(id) || w.told[id] != 0 {
				continue
			}
			if ok, _ := n.MayTell(id, w.now+n.off); ok {
				w.told[id] = w.now
			}
		}
	default:
		if !n.Renews(w.now + n.off) {
			return
		}
		for id, until := range w.lease {
			switch {
			case until < w.now || w.stopped[id]:
				delete(w.lease, id)
			case w.home[id] != i:
				if w.rng.IntN(200) == 0 {
					w.home[id] = i // its worker goes to another
				}
			case n.Cancelled(id):
				w.stopped[id] = true
			default:
				w.lease[id] = w.now + 10*second
				if told := w.told[id]; told != 0 && w.lease[id] > told+30*second {
					t.Fatalf("seed %d: the task of %s is kept until %d s after its user was told", seed, id, (w.lease[id]-told)/second)
				}
			}
		}
	}
}

// Real books under cuts, refusals, outages, ends and late messages: whoever renews a lease,
// no task outlives its time; and cancellations are confirmed all the same.
func TestBooks(t *testing.T) {
	ends, told := 0, 0
	for seed := uint64(1); seed <= 1000; seed++ {
		w := newWorld(seed, 2+int(seed%4))
		for range 3000 {
			w.step(t, seed)
		}
		ends, told = ends+len(w.ends), told+len(w.told)
	}
	if ends < 5000 || told < ends/2 {
		t.Fatalf("%d cancellations, %d confirmed: the worlds show too little", ends, told)
	}
}

// A book that is full holds and acknowledges nothing more, and does not take for read what
// it could not hold.
func TestFullBook(t *testing.T) {
	rules := testRules()
	rules.Most = 3
	b := NewBook(rules, []string{"b"})
	b.Begin(second)
	b.Read(2 * second)
	for i := range 3 {
		if !b.Note(fmt.Sprint("j-", i), 3*second) {
			t.Fatal("there is room")
		}
	}
	if b.Note("j-3", 3*second) {
		t.Fatal("there is no room")
	}
	b.Read(4 * second)
	if age, _ := b.Age(4 * second); age != 2*second {
		t.Errorf("read %d us ago", age)
	}
	other := NewBook(testRules(), []string{"a"})
	other.Begin(second)
	other.Note("j-9", 3*second)
	b.Take("b", 5, other.For("a", 3*second), 3*second)
	if got := b.For("b", 3*second); got.Holds != 0 || b.Cancelled("j-9") {
		t.Errorf("acknowledged %d", got.Holds)
	}
	later := 3*second + rules.Keep + 1
	if !b.Note("j-4", later) {
		t.Error("what is too old to matter is not dropped")
	}
}

// More cancellations than one message names arrive with several, and none is acknowledged
// before it is held; a process that was started anew is told all again.
func TestManyAtOnce(t *testing.T) {
	a, b := NewBook(testRules(), []string{"b"}), NewBook(testRules(), []string{"a"})
	a.Begin(second)
	b.Begin(second)
	now := 2 * second
	for i := range 2*most + 1 {
		a.Note(fmt.Sprint("j-", i), now)
	}
	last := fmt.Sprint("j-", 2*most)
	exchange := func(born uint64) {
		b.Take("a", 7, a.For("b", now), now)
		a.Answered("b", 7, born, b.For("a", now), now, now)
	}
	for i := range 3 {
		if ok, _ := a.MayTell(last, now); ok {
			t.Fatalf("told after %d messages", i)
		}
		exchange(9)
	}
	if ok, _ := a.MayTell(last, now); !ok || !b.Cancelled(last) {
		t.Fatal("not told")
	}
	a.Note("j-x", now)
	b = NewBook(testRules(), []string{"a"})
	b.Begin(now)
	for range 5 {
		exchange(10)
	}
	if ok, _ := a.MayTell("j-x", now); !ok || !b.Cancelled("j-0") || !b.Cancelled("j-x") {
		t.Error("another process was not told all")
	}
}

// What was acknowledged to an earlier process of this controller is not this one's list.
func TestAnotherProcessesList(t *testing.T) {
	a := NewBook(testRules(), []string{"b"})
	a.Begin(second)
	a.Note("j-1", 2*second)
	a.Answered("b", 7, 9, &Shared{Born: 6, Holds: 1}, 2*second, 2*second)
	if ok, _ := a.MayTell("j-1", 2*second); ok {
		t.Error("told by what another process was told")
	}
	a.Answered("b", 7, 9, &Shared{Born: 7, Holds: 1}, 2*second, 2*second)
	if ok, _ := a.MayTell("j-1", 2*second); !ok {
		t.Error("not told")
	}
}
