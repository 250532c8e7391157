package standby

import (
	"cmp"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"
)

// A small model of takeovers, explored exhaustively: three controllers, two machines, one
// task (two in random walks). Controllers end and come back at any moment, leases expire
// or terms are replaced without cause at any moment, transactions, reports and answers come late, in
// any order or never. The rules are those of docs/design.md, "Safety"; what is explored is
// that no task is ever on two machines, no two controllers act under one token and no user is
// told that a task's job is cancelled while it is on a machine or may still start, whatever is
// replaced when. Each rule that matters can be left out, and must be missed.

const (
	modelNodes    = 3
	modelMachines = 2
	modelTasks    = 2
)

type modelReport struct{ seq, token, tasks uint8 }

type modelAnswer struct{ seq, token, launch uint8 }

// modelTxn stores a launch or, on no machine, deletes the record of a cancelled job.
type modelTxn struct{ token, task, machine uint8 } // token 0: none

const noMachine = 0xff

type modelNode struct {
	alive      bool
	acting     uint8
	placements [modelTasks]uint8 // machines on which the task may be
	stored     [modelTasks]uint8 // of these, those with a launch of this term that is durable
	seen       [modelTasks]uint8 // and those on which a report showed it
	confirmed  uint8             // machines that have confirmed the term
	knownEnded uint8             // tasks whose end it has heard of
	seq        [modelMachines]uint8
}

type modelMachine struct {
	token, tasks, seq, outstanding uint8
	reports                        [2]modelReport
	answers                        [2]modelAnswer
}

// key orders controllers.
func (n *modelNode) key() (k uint64) {
	if n.alive {
		k = 1
	}
	for _, x := range []uint8{n.acting, n.placements[0], n.placements[1], n.stored[0], n.stored[1], n.seen[0], n.seen[1], n.confirmed, n.knownEnded, n.seq[0], n.seq[1]} {
		k = k<<6 ^ k>>58 ^ uint64(x)
	}
	return k
}

type modelState struct {
	revision, term    uint8
	ended             uint8 // tasks whose jobs were cancelled
	reportedCancelled uint8 // of these, those whose record is gone, so that users are told
	ledger            [modelTasks]uint8
	previousLedger    [modelTasks]uint8 // the ledger before its last change: what a copy that lags has
	nodes             [modelNodes]modelNode
	machines          [modelMachines]modelMachine
	txns              [2]modelTxn
}

// modelRules are rules that can be left out, to see that the exploration misses them.
type modelRules struct {
	staleCopy           bool // a copy is used that has not reached the term's revision
	unconfirmedLaunches bool // (harmless) launches go to machines that have not confirmed the term
	anyToken            bool // a report frees though its worker has not seen the term's token
	unfenced            bool // a transaction is applied whatever the term
	keepsActing         bool // (harmless) a deposed leader never notices
	reportsAtOnce       bool // a user is told once the end exists
	deletesWithoutProof bool // a record is deleted while the task may be on a machine
	deletesUnderOldTerm bool // a record is deleted whatever the term
	launchesAfterEnd    bool // a launch is stored though the job has ended
}

type modelBounds struct {
	tasks      int
	terms, seq uint8
	cancels    bool // jobs are cancelled
}

// next calls f with each state that may follow.
func (s *modelState) next(b modelBounds, r modelRules, f func(string, modelState)) {
	for i := range s.nodes {
		n := &s.nodes[i]
		if !n.alive {
			t := *s
			t.nodes[i] = modelNode{alive: true}
			f(fmt.Sprint("start ", i), t)
			continue
		}
		{
			t := *s
			t.nodes[i] = modelNode{}
			f(fmt.Sprint("end ", i), t)
		}
		if s.revision < b.terms && s.term != n.acting || s.revision < b.terms && n.acting == 0 { // takes or replaces the term
			t := *s
			t.revision++
			t.term = t.revision
			m := modelNode{alive: true, acting: t.revision, placements: s.ledger}
			if r.staleCopy {
				m.placements = s.previousLedger
			}
			t.nodes[i] = m
			f(fmt.Sprint("term ", i), t)
		}
		if n.acting == 0 {
			continue
		}
		if s.term != n.acting && !r.keepsActing {
			t := *s
			t.nodes[i] = modelNode{alive: true}
			f(fmt.Sprint("deposed ", i), t)
		}
		for task := range b.tasks {
			if n.knownEnded&(1<<task) != 0 {
				if n.placements[task] == 0 || r.deletesWithoutProof {
					s.send(modelTxn{n.acting, uint8(task), noMachine}, func(t modelState) { f(fmt.Sprint("deletes ", i, task), t) })
				}
				continue
			}
			if s.ended&(1<<task) != 0 {
				t := *s
				t.nodes[i].knownEnded |= 1 << task
				f(fmt.Sprint("learns of the end ", i, task), t)
			}
			if n.placements[task] != 0 {
				continue
			}
			for m := range s.machines {
				if n.confirmed&(1<<m) == 0 && !r.unconfirmedLaunches {
					continue
				}
				s.send(modelTxn{n.acting, uint8(task), uint8(m)}, func(t modelState) {
					t.nodes[i].placements[task] |= 1 << m
					f(fmt.Sprint("decides ", i, task, m), t)
				})
			}
		}
	}
	if s.term != 0 {
		t := *s
		t.term = 0
		f("hold ends", t)
	}
	for task := range b.tasks {
		if b.cancels && s.ended&(1<<task) == 0 {
			t := *s
			t.ended |= 1 << task
			if r.reportsAtOnce {
				t.reportedCancelled = t.ended
			}
			f(fmt.Sprint("cancels ", task), t)
		}
	}
	for k, x := range s.txns {
		if x.token == 0 {
			continue
		}
		t := *s
		t.txns[k] = modelTxn{}
		if x.machine == noMachine {
			if s.term == x.token || r.deletesUnderOldTerm {
				t.reportedCancelled |= 1 << x.task
			}
			f("deleted", t)
			continue
		}
		if s.ended&(1<<x.task) != 0 && !r.launchesAfterEnd {
			for i := range t.nodes {
				if n := &t.nodes[i]; n.acting == x.token && n.stored[x.task]&(1<<x.machine) == 0 {
					n.placements[x.task] &^= 1 << x.machine
				}
			}
			f("refused", t)
			continue
		}
		if s.term == x.token || r.unfenced {
			t.previousLedger = t.ledger
			t.ledger[x.task] |= 1 << x.machine
			for i := range t.nodes {
				if n := &t.nodes[i]; n.acting == x.token && n.placements[x.task]&(1<<x.machine) != 0 {
					n.stored[x.task] |= 1 << x.machine
				}
			}
		} else {
			for i := range t.nodes {
				if n := &t.nodes[i]; n.acting == x.token { // it is told that the term is another's
					t.nodes[i] = modelNode{alive: true}
				}
			}
		}
		f("stored", t)
	}
	for m := range s.machines {
		s.worker(m, b, r, f)
	}
}

// send puts a transaction on its way, if there is room for it and it is not there already.
func (s *modelState) send(x modelTxn, f func(modelState)) {
	for k := range s.txns {
		switch s.txns[k] {
		case x:
			return
		case modelTxn{}:
			t := *s
			t.txns[k] = x
			f(t)
			return
		}
	}
}

// worker plays a machine and its messages.
func (s *modelState) worker(m int, b modelBounds, r modelRules, f func(string, modelState)) {
	w := &s.machines[m]
	if w.outstanding == 0 && w.seq < b.seq {
		for k := range w.reports {
			if w.reports[k].seq == 0 {
				t := *s
				x := &t.machines[m]
				x.seq++
				x.outstanding = x.seq
				x.reports[k] = modelReport{x.seq, x.token, x.tasks}
				f(fmt.Sprint("report ", m), t)
				break
			}
		}
	}
	if w.outstanding != 0 {
		t := *s
		t.machines[m].outstanding = 0
		f(fmt.Sprint("gives up ", m), t)
	}
	for task := range b.tasks {
		if w.tasks&(1<<task) != 0 {
			t := *s
			t.machines[m].tasks &^= 1 << task
			f(fmt.Sprint("exits ", task, m), t)
		}
	}
	for k, rep := range w.reports {
		if rep.seq == 0 {
			continue
		}
		for i := range s.nodes {
			if s.nodes[i].acting == 0 {
				continue
			}
			t := *s
			t.machines[m].reports[k] = modelReport{}
			ans, ok := t.handleReport(i, m, rep, b, r)
			for a := range t.machines[m].answers {
				if ok && t.machines[m].answers[a].seq == 0 {
					t.machines[m].answers[a] = ans
					break
				}
			}
			f(fmt.Sprint("heard ", m, i), t)
		}
	}
	for k, ans := range w.answers {
		if ans.seq == 0 {
			continue
		}
		t := *s
		x := &t.machines[m]
		x.answers[k] = modelAnswer{}
		if ans.seq == x.outstanding {
			x.outstanding = 0
			if ans.token >= x.token {
				x.token = ans.token
				x.tasks |= ans.launch
			}
		}
		f(fmt.Sprint("answered ", m), t)
	}
}

// handleReport lets a leader take a report, and returns its answer.
func (s *modelState) handleReport(i, m int, rep modelReport, b modelBounds, r modelRules) (modelAnswer, bool) {
	n := &s.nodes[i]
	bit := uint8(1 << m)
	if rep.seq <= n.seq[m] || rep.token > n.acting {
		return modelAnswer{}, false
	}
	if rep.token != n.acting && !r.anyToken {
		a := modelAnswer{seq: rep.seq, token: n.acting}
		if r.unconfirmedLaunches {
			for task := range b.tasks {
				if n.stored[task]&bit != 0 && n.seen[task]&bit == 0 {
					a.launch |= 1 << task
				}
			}
		}
		return a, true
	}
	n.seq[m] = rep.seq
	n.confirmed |= bit
	a := modelAnswer{seq: rep.seq, token: n.acting}
	for task := range b.tasks {
		there := rep.tasks&(1<<task) != 0
		switch {
		case there:
			n.placements[task] |= bit
			n.seen[task] |= bit
		case n.placements[task]&bit == 0:
		case n.stored[task]&bit != 0 && n.seen[task]&bit == 0 && n.knownEnded&(1<<task) == 0:
			a.launch |= 1 << task
		case s.pending(n.acting, task, m):
		default: // proven gone
			n.placements[task] &^= bit
			n.stored[task] &^= bit
			n.seen[task] &^= bit
			if s.term == n.acting {
				s.previousLedger = s.ledger
				s.ledger[task] &^= bit
			}
		}
	}
	return a, true
}

func (s *modelState) pending(token uint8, task, m int) bool {
	for _, x := range s.txns {
		if x.token == token && int(x.task) == task && int(x.machine) == m {
			return true
		}
	}
	return false
}

// brokenRule says which rule a state breaks.
func (s *modelState) brokenRule(b modelBounds) string {
	for task := range b.tasks {
		on := uint8(0)
		for m := range s.machines {
			if s.machines[m].tasks&(1<<task) != 0 {
				on |= 1 << m
			}
		}
		if bits.OnesCount8(on) > 1 {
			return fmt.Sprintf("task %d is on two machines", task)
		}
		if on != 0 && s.reportedCancelled&(1<<task) != 0 {
			return fmt.Sprintf("a user was told that task %d is cancelled, and it is on a machine", task)
		}
	}
	for i := range s.nodes {
		for k := range i {
			if s.nodes[i].acting != 0 && s.nodes[i].acting == s.nodes[k].acting {
				return "two act under one token"
			}
		}
	}
	return ""
}

func newModel() (s modelState) {
	for i := range s.nodes {
		s.nodes[i].alive = true
	}
	return s
}

// normalized is the one of all states that differ only in which controller is which, and in the
// order of messages on their way, that stands for them.
func (s modelState) normalized() modelState {
	slices.SortFunc(s.nodes[:], func(a, b modelNode) int { return cmp.Compare(a.key(), b.key()) })
	slices.SortFunc(s.txns[:], func(a, b modelTxn) int {
		return cmp.Or(cmp.Compare(a.token, b.token), cmp.Compare(a.task, b.task), cmp.Compare(a.machine, b.machine))
	})
	for m := range s.machines {
		x := &s.machines[m]
		slices.SortFunc(x.reports[:], func(a, b modelReport) int { return cmp.Compare(a.seq, b.seq) })
		slices.SortFunc(x.answers[:], func(a, b modelAnswer) int { return cmp.Or(cmp.Compare(a.seq, b.seq), cmp.Compare(a.token, b.token)) })
	}
	return s
}

// explore visits all states within the bounds, up to so many, and returns how many it
// visited and the first that breaks a rule.
func explore(b modelBounds, r modelRules, most int) (visited int, broken string) {
	begin := newModel()
	seen := map[modelState]struct{}{begin: {}}
	queue := []modelState{begin}
	for len(queue) > 0 && len(seen) < most {
		s := queue[0]
		queue = queue[1:]
		s.next(b, r, func(what string, t modelState) {
			t = t.normalized()
			if _, ok := seen[t]; ok || broken != "" {
				return
			}
			if why := t.brokenRule(b); why != "" {
				broken = why + " after " + what
			}
			seen[t] = struct{}{}
			queue = append(queue, t)
		})
		if broken != "" {
			break
		}
	}
	return len(seen), broken
}

// walk takes random steps until a rule is broken.
func walk(b modelBounds, r modelRules, seed uint64, steps int) string {
	rnd := rand.New(rand.NewPCG(seed, 77))
	s := newModel()
	for range steps {
		var all []modelState
		s.next(b, r, func(what string, t modelState) {
			// What only ends things is rarer, or little else would happen.
			if rnd.IntN(12) == 0 || (what[:3] != "end" && what[:3] != "hol" && what[:3] != "ter" && what[:3] != "exi" && what[:3] != "giv" && what[:3] != "can") {
				all = append(all, t)
			}
		})
		if len(all) == 0 {
			continue
		}
		s = all[rnd.IntN(len(all))]
		if why := s.brokenRule(b); why != "" {
			return why
		}
		if s.reportedCancelled == 1<<b.tasks-1 && rnd.IntN(60) == 0 || s.revision == b.terms || s.machines[0].seq == b.seq && s.machines[1].seq == b.seq {
			s = newModel()
		}
	}
	return ""
}

// TestModel explores the model; -short or a smaller bound would say less.
func TestModel(t *testing.T) {
	visited, broken := explore(modelBounds{tasks: 1, terms: 2, seq: 2, cancels: true}, modelRules{}, 6_000_000)
	if broken != "" {
		t.Fatal(broken)
	}
	t.Logf("%d states", visited)
	for seed := uint64(1); seed <= 40; seed++ {
		for _, cancels := range []bool{false, true} {
			if why := walk(modelBounds{tasks: 2, terms: 12, seq: 40, cancels: cancels}, modelRules{}, seed, 6000); why != "" {
				t.Fatalf("seed %d: %s", seed, why)
			}
		}
	}
	// A deposed leader that never notices changes nothing: the tokens fence it. Nor do
	// launches that go with the first answer, before the machine has confirmed the term:
	// the ledger has whatever may be there. That rule is kept for another reason: a
	// machine's session and room are not known before.
	for _, r := range []modelRules{{keepsActing: true}, {unconfirmedLaunches: true}} {
		for seed := uint64(1); seed <= 10; seed++ {
			if why := walk(modelBounds{tasks: 2, terms: 12, seq: 40}, r, seed, 6000); why != "" {
				t.Fatalf("%+v, seed %d: %s", r, seed, why)
			}
		}
	}
	for name, r := range map[string]modelRules{
		"a copy behind the term":          {staleCopy: true},
		"reports of any token":            {anyToken: true},
		"transactions that aren't fenced": {unfenced: true},
		"telling at once":                 {reportsAtOnce: true},
		"deleting without proof":          {deletesWithoutProof: true},
		"deleting under an old term":      {deletesUnderOldTerm: true, keepsActing: true},
		"launches after an end":           {launchesAfterEnd: true},
	} {
		found := ""
		for seed := uint64(1); seed <= 400 && found == ""; seed++ {
			cancels := r.reportsAtOnce || r.deletesWithoutProof || r.deletesUnderOldTerm || r.launchesAfterEnd
			found = walk(modelBounds{tasks: 1, terms: 12, seq: 40, cancels: cancels}, r, seed, 6000)
		}
		if found == "" {
			t.Errorf("without the rule against %s nothing breaks: the model does not see it", name)
		}
	}
}
