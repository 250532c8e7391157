package controller

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"dalefront/internal/config"
	"dalefront/internal/peer"
	"dalefront/wire"
)

// store is a key-value store with a term key and leases, which counts.
type store struct {
	mu     sync.Mutex
	term   *wire.KeyValue
	rev    uint64
	leases uint64
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	put := func(code int, v any) {
		b, _ := wire.Marshal(v)
		w.WriteHeader(code)
		_, _ = w.Write(b)
	}
	switch {
	case r.URL.Path == "/holds":
		s.leases++
		put(200, wire.Lease{ID: s.leases})
	case r.URL.Path == "/multi":
		b := make([]byte, r.ContentLength)
		_, _ = r.Body.Read(b)
		var t struct {
			If   []wire.Condition `msgpack:"When"`
			Then []struct {
				Put    string     `msgpack:"Write"`
				Value  termRecord `msgpack:"Value"`
				Delete string     `msgpack:"Drop"`
			} `msgpack:"Writes"`
		}
		_ = wire.Unmarshal(b, &t)
		now := uint64(0)
		if s.term != nil {
			now = s.term.Version
		}
		for _, c := range t.If {
			if c.Key == termKey && c.Version != now {
				put(409, wire.TxnResponse{Revision: s.rev, FailedKeys: []string{termKey}})
				return
			}
		}
		for _, c := range t.Then {
			s.rev++
			if c.Delete == termKey {
				s.term = nil
			}
			if c.Put == termKey {
				v, _ := wire.Marshal(c.Value)
				s.term = &wire.KeyValue{Key: termKey, Value: v, Version: s.rev}
			}
		}
		put(200, wire.TxnResponse{Revision: s.rev})
	case r.URL.Path == "/kv/"+termKey && s.term != nil:
		put(200, *s.term)
	case r.URL.Path == "/kv":
		put(200, wire.KeyValuePage{Revision: s.rev})
	case r.URL.Path == "/changes":
		s.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		put(200, wire.Events{Revision: s.rev})
	default:
		put(404, wire.TxnResponse{Revision: s.rev})
	}
}

func (s *store) leave(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	v, _ := wire.Marshal(termRecord{Node: node, Mark: node + ".1.1"})
	s.term = &wire.KeyValue{Key: termKey, Value: v, Version: s.rev, Lease: 77}
}

func (s *store) holder() (t termRecord, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != nil {
		_ = wire.Unmarshal(s.term.Value, &t)
		version = s.term.Version
	}
	return t, version
}

// A process that finds the term of an earlier process of its controller replaces it without
// waiting for its lease to run out, under a higher token; that of another controller it leaves.
// One that its peers have seen restarted again and again gives it up instead, and lets them go
// first, for a bounded time.
func TestTermOfEarlierProcess(t *testing.T) {
	for _, test := range []struct {
		name     string
		holder   string // label of the controller that the term names
		restarts int    // of this controller lately, as a peer says
		takes    bool
	}{
		{"its own", "a", 1, true},
		{"another's", "b", 0, false},
		{"its own, but it keeps ending", "a", 4, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &store{rev: 40}
			s.leave(test.holder)
			_, before := s.holder()
			one := 1.0
			c := newTestController(t, s.serve, func(set *config.Settings) {
				set.Operator.PreemptionDelayS, set.Operator.CheckpointMBPerS = &one, &one
			})
			addPeer(t, c, "b")
			c.peerTable.recordSeen("b", time.Now())
			c.peerTable.recordOwnRestarts(test.restarts, time.Now())
			c.catalog.set(wire.Catalog{})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go c.owner.run(ctx)
			go newElection(c).run(ctx)
			looks := 500
			if test.holder == "b" {
				looks = 20 // it has looked at the term a few times by then
			}
			var got termRecord
			var version uint64
			for i := 0; i < looks && (i == 0 || version == before); i++ {
				time.Sleep(5 * time.Millisecond)
				got, version = s.holder()
			}
			switch {
			case test.takes && (version <= before || got.Node != "a" || got.Mark == "a.1.1"):
				t.Errorf("the term is %+v at %d", got, version)
			case !test.takes && test.holder == "b" && version != before:
				t.Errorf("the term was changed to %+v", got)
			case !test.takes && test.holder == "a" && got.Node != "":
				t.Errorf("it was not given up: %+v", got)
			}
		})
	}
}

// addPeer makes a controller a peer that nobody can reach.
func addPeer(t *testing.T, c *Controller, label string) {
	t.Helper()
	client, err := peer.Dial("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	c.peers[label] = client
}

// Peers count how often a controller is restarted, whatever its clock says, and forget it
// after a minute.
func TestRestartsAreCounted(t *testing.T) {
	c := newTestController(t, func(http.ResponseWriter, *http.Request) {})
	addPeer(t, c, "b")
	now := time.Now()
	restarts := 0
	for i, processID := range []uint64{5, 5, 9, 9, 5, 7} { // a number that came before is another process too
		restarts = c.recordPeerProcess("b", processID, now.Add(time.Duration(i)*time.Second))
	}
	if restarts != 3 {
		t.Errorf("%d restarts were counted, not 3", restarts)
	}
	if got := c.recordPeerProcess("b", 7, now.Add(restartWindow+3*time.Second)); got != 2 {
		t.Errorf("%d restarts are remembered after a minute", got)
	}
	for i := range 100 {
		c.recordPeerProcess("b", uint64(100+i), now.Add(restartWindow))
	}
	if got := c.recordPeerProcess("b", 199, now.Add(restartWindow)); got > maxCountedRestarts {
		t.Errorf("%d restarts are kept", got)
	}
	if c.recordPeerProcess("nobody", 3, now) != 0 || len(c.peerTable.states) != 1 {
		t.Error("a controller that is no member is counted")
	}
}

// A controller that hears that it was restarted often lets those go first that were restarted less
// often, for a bounded time, and forgets it after a minute.
func TestUnstableControllerYields(t *testing.T) {
	c := newTestController(t, func(http.ResponseWriter, *http.Request) {})
	addPeer(t, c, "b")
	ctx := context.Background()
	for i := range maxCountedRestarts + 1 {
		c.recordPeerProcess("b", uint64(100+i), time.Now())
	}
	c.peerTable.recordOwnRestarts(maxCountedRestarts, time.Now())
	if c.yieldsElection(ctx) {
		t.Error("it lets others go first though none is there")
	}
	c.peerTable.recordSeen("b", time.Now())
	if c.yieldsElection(ctx) {
		t.Error("it lets one go first that was restarted as often")
	}
	c.peerTable.states["b"].restarts = nil
	if !c.yieldsElection(ctx) || c.peerTable.yieldDuration() > 2*time.Second {
		t.Errorf("it does not let others go first, or for %v", c.peerTable.yieldDuration())
	}
	c.peerTable.ownRestartsAt = time.Now().Add(-2 * restartWindow)
	if c.yieldsElection(ctx) {
		t.Error("what was counted is never forgotten")
	}
}
