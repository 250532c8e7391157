package horizon

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// A small model of one cancellation, explored exhaustively with two controllers and walked
// through at random with three: at any moment a controller ends or is started, reads the
// store or can't, asks another one or is cut from it, creates the end, tells the user, or
// renews the lease of the machine that has the task, whatever token it goes by. Time goes on
// in ticks. The rule: the task is gone cancel ticks after the first confirmation. Each
// guard can be taken out, and must be missed.

const modelMost = 3

type modelNode struct {
	alive, sound, taught, holds, settled bool
	held, read, born                     uint8 // ages; held: since the end was known to exist
	ack, asked                           [modelMost]uint8
}

type modelState struct {
	nodes     [modelMost]modelNode
	created   bool
	confirmed uint8 // age of the first confirmation, or none
	lease     uint8 // ticks that are left; 0: the task is gone
	ends      uint8
	ticks     uint8
}

const none = 99

type modelBounds struct {
	nodes                            int
	lease, cancel, wait, fresh       uint8
	ends, ticks                      uint8
	slack, unread                    uint8
	noAcks, noUnread, noStops        bool // guards that are taken out
	trusts, early, stale, laxExtends bool
	noWait, anySlack                 bool
}

func (b modelBounds) sized() modelBounds {
	b.slack = b.cancel - b.lease
	b.unread = b.wait + b.slack
	return b
}

func (b *modelBounds) fresher(age uint8) bool { return age <= b.fresh || b.stale && age != none }

func (b *modelBounds) renews(s *modelState, i int) bool {
	n := &s.nodes[i]
	knows := n.sound || n.taught || b.trusts
	if knows && n.read != none && (n.read <= b.unread || b.noUnread) {
		return true
	}
	if !n.sound {
		return false
	}
	for k := range b.nodes {
		if k != i && (n.asked[k] == none || n.asked[k] > b.slack && !b.anySlack) {
			return false
		}
	}
	return true
}

func (b *modelBounds) next(s *modelState, f func(string, modelState)) {
	for i := range b.nodes {
		n := &s.nodes[i]
		if !n.alive {
			t := *s
			t.nodes[i] = modelBorn()
			f(fmt.Sprint("start ", i), t)
			continue
		}
		if s.ends < b.ends {
			t := *s
			t.nodes[i] = modelNode{}
			t.ends++
			f(fmt.Sprint("end ", i), t)
		}
		{ // the store answers it
			t := *s
			m := &t.nodes[i]
			m.read, m.sound = 0, true
			if s.created && !m.holds {
				m.holds, m.held = true, 0
			}
			if t != *s {
				f(fmt.Sprint("reads ", i), t)
			}
		}
		if !s.created {
			t := *s
			t.created = true
			t.nodes[i].holds, t.nodes[i].held = true, 0
			f(fmt.Sprint("creates ", i), t)
		}
		if n.holds && s.confirmed == none && (n.settled || b.noAcks || n.held >= b.wait || b.noWait) {
			t := *s
			t.confirmed = 0
			f(fmt.Sprint("tells ", i), t)
		}
		if s.lease > 0 && b.renews(s, i) {
			t := *s
			t.lease = b.lease
			if n.holds && !b.noStops {
				t.lease = 0
			}
			f(fmt.Sprint("renews ", i), t)
		}
		for k := range b.nodes {
			if k == i || !s.nodes[k].alive {
				continue
			}
			t := *s
			b.ask(&t, i, k)
			if t != *s {
				f(fmt.Sprintf("asks %d%d", i, k), t)
			}
		}
	}
	if s.ticks < b.ticks {
		t := *s
		t.ticks++
		if t.lease > 0 {
			t.lease--
		}
		older := func(age *uint8, most uint8) {
			if *age != none {
				*age = min(*age+1, most)
			}
		}
		older(&t.confirmed, b.cancel+1)
		for i := range b.nodes {
			if n := &t.nodes[i]; n.alive {
				older(&n.held, b.wait)
				older(&n.read, b.unread+1)
				older(&n.born, b.unread+2)
				for k := range n.ack {
					older(&n.ack[k], b.fresh+1)
					older(&n.asked[k], b.slack+1)
				}
			}
		}
		f("tick", t)
	}
}

// ask lets one controller ask another, as a hello and its answer do.
func (b *modelBounds) ask(s *modelState, i, k int) {
	n, o := &s.nodes[i], &s.nodes[k]
	switch { // each takes what the other names
	case n.holds && !o.holds:
		o.holds, o.held = true, n.held
	case o.holds && !n.holds:
		n.holds, n.held = true, o.held
	}
	if n.holds {
		n.ack[k] = 0
		all := true
		for x := range b.nodes {
			all = all && (x == i || b.fresher(n.ack[x]))
		}
		n.settled = n.settled || all
	}
	if !o.sound && !o.taught {
		return
	}
	if o.read != none && (n.read == none || o.read < n.read) {
		n.read = o.read
		n.sound = n.sound || n.read <= b.unread && n.read < n.born // since it was started
	}
	n.taught = n.taught || n.born >= b.fresh || b.early
	if o.sound || b.laxExtends {
		n.asked[k] = 0
	}
}

func modelBorn() modelNode {
	n := modelNode{alive: true, read: none}
	for k := range n.ack {
		n.ack[k], n.asked[k] = none, none
	}
	return n
}

func modelBegin(b *modelBounds) (s modelState) {
	for i := range b.nodes {
		s.nodes[i] = modelBorn()
		s.nodes[i].sound, s.nodes[i].read, s.nodes[i].born = true, 0, b.unread+2
	}
	s.confirmed, s.lease = none, b.lease
	return s
}

func (b *modelBounds) broken(s *modelState) bool {
	return s.lease > 0 && s.confirmed != none && s.confirmed >= b.cancel
}

// explore visits all states within the bounds and returns how many, and whether one breaks
// the rule.
func (b *modelBounds) explore() (int, string) {
	first := modelBegin(b)
	seen := map[modelState]struct{}{first: {}}
	queue, why := []modelState{first}, ""
	for len(queue) > 0 && why == "" {
		s := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if s.lease == 0 || s.confirmed == none && s.ticks == b.ticks {
			continue // nothing can break any more
		}
		b.next(&s, func(what string, t modelState) {
			if _, ok := seen[t]; ok {
				return
			}
			if b.broken(&t) {
				why = what
			}
			seen[t] = struct{}{}
			queue = append(queue, t)
		})
	}
	return len(seen), why
}

// walk takes random steps and returns the first run of them that breaks the rule.
func (b *modelBounds) walk(seed uint64, steps int) []string {
	rnd := rand.New(rand.NewPCG(seed, 28))
	s := modelBegin(b)
	var path []string
	for range steps {
		var all []modelState
		var whats []string
		b.next(&s, func(what string, t modelState) {
			if what[:3] == "end" && rnd.IntN(4) > 0 || what[:3] == "rea" && rnd.IntN(6) > 0 || what[:3] == "ask" && rnd.IntN(3) > 0 {
				return
			}
			all, whats = append(all, t), append(whats, what)
		})
		if len(all) == 0 {
			s, path = modelBegin(b), nil
			continue
		}
		x := rnd.IntN(len(all))
		s, path = all[x], append(path, whats[x])
		if b.broken(&s) {
			return path
		}
		if s.lease == 0 || s.ticks == b.ticks {
			s, path = modelBegin(b), nil
		}
	}
	return nil
}

// play takes the steps that are named, and says which is not to be had or breaks the rule.
func (b *modelBounds) play(steps ...string) (last string, broken bool) {
	s := modelBegin(b)
	for _, step := range steps {
		found := false
		b.next(&s, func(what string, t modelState) {
			if what == step && !found {
				s, found = t, true
			}
		})
		if !found || b.broken(&s) {
			return step, found
		}
	}
	return "", false
}

// TestModel explores the model; each guard, taken out, is missed.
func TestModel(t *testing.T) {
	two := modelBounds{nodes: 2, lease: 2, cancel: 3, wait: 1, fresh: 1, ends: 1, ticks: 7}.sized()
	visited, why := two.explore()
	if why != "" {
		t.Fatalf("a cancelled task is kept after %q", why)
	}
	t.Logf("%d states", visited)
	for name, out := range map[string]func(*modelBounds){
		"telling only what all hold":                         func(b *modelBounds) { b.noAcks = true },
		"ending renewals without the store":                  func(b *modelBounds) { b.noUnread = true },
		"stopping what is known":                             func(b *modelBounds) { b.noStops = true },
		"waiting before telling what not all hold":           func(b *modelBounds) { b.noWait = true },
		"asking all lately":                                  func(b *modelBounds) { b.anySlack = true },
		"asking only those that have read since their start": func(b *modelBounds) { b.laxExtends = true },
	} {
		b := two
		out(&b)
		if _, why := b.explore(); why == "" {
			t.Errorf("without %s nothing breaks: the model does not see it", name)
		}
	}
	three := modelBounds{nodes: 3, lease: 2, cancel: 4, wait: 3, fresh: 1, ends: 3, ticks: 24}.sized()
	for seed := uint64(1); seed <= 40; seed++ {
		if path := three.walk(seed, 3000); path != nil {
			t.Fatalf("seed %d: %q", seed, path)
		}
	}
	// What takes three: 1 has said that it holds the cancellation, is started anew and has
	// forgotten it; 2 has never heard of it when 1 asks, and holds it when 0 tells the user.
	long := []string{"renews 1", "tick", "renews 1", "tick", "renews 1", "tick", "renews 1", "tick", "renews 1", "tick"}
	for name, x := range map[string]struct {
		out     func(*modelBounds)
		steps   []string
		refused string
	}{
		"knowing what an earlier process held": {func(b *modelBounds) { b.trusts = true },
			[]string{"creates 0", "asks 01", "end 1", "start 1", "asks 12", "asks 02", "tells 0"}, "renews 1"},
		"learning only when earlier words no longer count": {func(b *modelBounds) { b.early = true },
			[]string{"creates 0", "asks 01", "end 1", "start 1", "asks 12", "asks 02", "tells 0"}, "renews 1"},
		"counting only fresh words": {func(b *modelBounds) { b.stale = true },
			[]string{"creates 0", "asks 01", "end 1", "start 1", "renews 2", "tick", "renews 2", "tick", "asks 12", "asks 02", "tells 0"}, "tells 0"},
	} {
		steps := append(x.steps, long...)
		if refused, broken := three.play(steps...); broken || refused != x.refused {
			t.Errorf("%s: refused %q, not %q", name, refused, x.refused)
		}
		b := three
		x.out(&b)
		if refused, broken := b.play(steps...); !broken {
			t.Errorf("without %s nothing breaks: refused %q", name, refused)
		}
	}
}
