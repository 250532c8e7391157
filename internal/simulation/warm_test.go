package simulation

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"dalefront/internal/config"
	"dalefront/internal/peer"
	"dalefront/wire"
)

// shows says whether a node's metrics have a line.
func (c *cluster) shows(i int, line string) bool {
	resp, err := http.Get("http://" + c.addrs[i] + "/metrics")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return strings.Contains(body(resp), "\n"+line+"\n")
}

// standby is a node that stands by warm, or -1.
func (c *cluster) standby() int {
	for i := range c.addrs {
		if c.shows(i, "dalefront_standby 1") {
			return i
		}
	}
	return -1
}

// The leader's process ends while another node stands by: that one acts within a
// fraction of the two seconds that the hold would still have run, under a higher token,
// and goes on with what was there.
func TestWarmStandbyTakesOver(t *testing.T) {
	c := newCluster(t, 3, func(s *config.Settings) { *s.Operator.LeaderLeaseS = 30 }) // nobody waits for that
	c.until("a leader", func() bool { return c.report(0) == 200 })
	c.until("accepted", func() bool {
		code, _ := c.ask(1, http.MethodPost, wire.PathJobs, c.submission("j-1", 2), nil)
		return code == 200 || code == 201
	})
	c.until("both run", func() bool { c.report(0); return len(c.tasks) == 2 })
	stands := -1
	c.until("one stands by", func() bool { c.report(0); stands = c.standby(); return stands >= 0 })
	chief := 0
	for i := range c.addrs {
		if c.leader(i) {
			chief = i
		}
	}
	if stands == chief {
		t.Fatal("the leader stands by for itself")
	}
	before := c.token
	time.Sleep(1200 * time.Millisecond) // it has said hello as leader
	c.stop[chief]()
	third := 3 - chief - stands
	c.until("it acts", func() bool { return c.leader(stands) })
	c.until("its token arrives", func() bool { return c.report(third) == 200 && c.token > before })
	for range 4 {
		c.report(third)
	}
	if len(c.tasks) != 2 || c.tasks["j-1/0"].State != wire.TaskRunning || c.tasks["j-1/1"].State != wire.TaskRunning {
		t.Errorf("the tasks did not survive: %v", c.tasks)
	}
	c.until("somebody else stands by", func() bool { c.report(third); s := c.standby(); return s >= 0 && s != stands })
	c.until("the leader says so", func() bool { return c.leader(stands) })
	c.nodes[third].TransferLeadership() // it is not the leader: nothing happens
	c.nodes[stands].TransferLeadership()
	c.until("the other one acts", func() bool { return c.leader(third) })
}

// A standby that is cut off from its peers alone, while the store and workers reach it, sees
// the leader's connection break and nobody answer: that is no evidence, and the term stays.
// Once it hears them again and the leader ends, it takes over. One that workers can't reach
// takes over too, and they reach it through the third.
func TestStandbyCutFromItsPeers(t *testing.T) {
	m := newMeet(t, 40, 3)
	m.until("a leader", func() bool { return m.report(0) == 200 })
	stands, chief := -1, -1
	m.until("one stands by", func() bool {
		m.report(0)
		stands, chief = m.standby(), m.chief()
		return stands >= 0 && chief >= 0 && stands != chief
	})
	third := 3 - chief - stands
	time.Sleep(1200 * time.Millisecond) // it has heard the leader say hello as such
	before, _ := m.svc.Entry("term")
	m.cut[stands].Store(true)
	for range 12 { // far longer than suspect_s
		time.Sleep(150 * time.Millisecond)
		m.report(third)
	}
	if now, _ := m.svc.Entry("term"); now.Version != before.Version {
		t.Fatal("a standby that only itself is cut off replaced the term")
	}
	m.cut[stands].Store(false)
	m.until("they hear one another", func() bool {
		m.report(third)
		return m.standby() == stands && m.shows(stands, "dalefront_wrong_suspicions 0")
	})
	time.Sleep(1500 * time.Millisecond)
	m.stop[chief]()
	token := m.token
	m.until("it acts", func() bool { return m.leader(stands) || m.leader(third) })
	m.until("its token reaches a worker that hears only the third", func() bool { return m.report(third) == 200 && m.token > token })
}

// The leader is changed by a request to whichever controllers are named; where there is
// nobody to change with, nothing happens.
func TestChangeLeader(t *testing.T) {
	c := newCluster(t, 3, func(*config.Settings) {})
	c.until("a leader", func() bool { return c.report(0) == 200 })
	var mesh []string
	for _, s := range c.sets {
		mesh = append(mesh, s.PeerAddr)
	}
	chief := -1
	c.until("it shows", func() bool { chief = c.chief(); return chief >= 0 })
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := peer.ChangeLeader(ctx, []string{mesh[chief]}); !errors.Is(err, peer.ErrNoSuccessor) {
		t.Errorf("with nobody else: %v", err)
	}
	if _, err := peer.ChangeLeader(ctx, []string{mesh[(chief+1)%3], mesh[(chief+2)%3]}); !errors.Is(err, peer.ErrNoLeader) {
		t.Errorf("without the leader: %v", err)
	}
	before := c.token
	did, err := peer.ChangeLeader(ctx, mesh)
	if err != nil || did.From != c.sets[chief].Label || did.To == did.From || did.Token <= before {
		t.Fatalf("%+v: %v", did, err)
	}
	c.until("the worker has its token", func() bool { return c.report(0) == 200 && c.token >= did.Token })
	late, err := peer.Dial(mesh[0])
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	if did, err := late.TransferLeadership(ctx, before); did || err != nil {
		t.Errorf("a request for an earlier term: %v, %v", did, err)
	}
}

// Leader and standby end together, the standby ends while it follows, the new leader ends
// within a takeover, in an outage, in a roll, again and again, with processes that come
// back after a fraction of a second or much later, and answers of the state service that
// are lost or late. No rule is broken and every job ends.
func TestStandbysUnderFire(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		const nodes = 5
		c := &troubled{cluster: newCluster(t, nodes, func(s *config.Settings) { *s.Operator.Standbys = 2 }), rng: rand.New(rand.NewPCG(seed, 24)),
			terms: map[uint64]bool{}, ended: map[string]bool{}}
		c.until("a leader", func() bool { c.step(); return c.token > 0 })
		c.until("one stands by", func() bool { c.step(); return c.standby() >= 0 })
		for round := range 8 {
			id := fmt.Sprintf("j-%d", round+1)
			c.until("accepted", func() bool {
				code, _ := c.ask(c.rng.IntN(nodes), http.MethodPost, wire.PathJobs, c.submission(id, 1+c.rng.IntN(3)), nil)
				return code == 200 || code == 201
			})
			c.jobs = append(c.jobs, id)
			for range c.rng.IntN(3) {
				c.step()
			}
			var gone []int
			if chief := c.chief(); chief >= 0 {
				gone = append(gone, chief)
			}
			down := false
			c.lateWrites(c.rng.IntN(2) == 0)
			switch what := c.rng.IntN(6); what {
			case 0: // together
				gone = append(gone, c.standby())
			case 1: // the standby alone
				gone = []int{c.standby()}
			case 2: // the new one too, within its takeover
				c.back(gone...)
				c.pause(300)
				gone = []int{c.chief()}
			case 3:
				c.svc.SetDown(true)
				down = true
			case 4:
				c.svc.Mute(2)
			case 5:
				c.svc.HoldBack(1)
			}
			gone = slices.DeleteFunc(slices.Compact(gone), func(i int) bool { return i < 0 })
			c.back(gone...)
			for range 3 {
				c.step()
			}
			c.svc.Arrive()
			if down {
				c.pause(800)
				c.svc.SetDown(false)
			}
		}
		c.svc.LateWrites(nil)
		c.until("all jobs are done", c.allDone)
		for i := range c.stop {
			c.stop[i]()
		}
	}
}

// lateWrites begins or ends a time in which one transaction in eight gets no answer and is
// executed up to two seconds later, after newer ones of the same controller.
func (c *troubled) lateWrites(on bool) {
	if !on {
		c.svc.LateWrites(nil)
		return
	}
	rng := rand.New(rand.NewPCG(c.rng.Uint64(), 28))
	c.svc.LateWrites(func() (time.Duration, bool) { // the services' lock is held
		return time.Duration(100+rng.IntN(1900)) * time.Millisecond, rng.IntN(8) == 0
	})
}

// pause lets up to so many milliseconds pass.
func (c *troubled) pause(most int) {
	time.Sleep(time.Duration(c.rng.IntN(most)) * time.Millisecond)
}
