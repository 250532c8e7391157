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

// store is a state service with a term key and holds, which counts.
type store struct {
	mu    sync.Mutex
	term  *wire.KeyValue
	rev   uint64
	holds uint64
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
		s.holds++
		put(200, wire.Lease{ID: s.holds})
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

// A process that finds the term of an earlier process of its node replaces it without
// waiting for its lease to run out, under a higher token; that of another node it leaves.
// One that others have seen end again and again gives it up instead, and lets them go
// first, for a bounded time.
func TestEarlierProcess(t *testing.T) {
	for _, c := range []struct {
		name, node string
		ends       int
		takes      bool
	}{{"its own", "a", 1, true}, {"another's", "b", 0, false}, {"its own, but it keeps ending", "a", 4, false}} {
		s := &store{rev: 40}
		s.leave(c.node)
		_, before := s.holder()
		f := 1.0
		n := newTestController(t, s.serve, func(set *config.Settings) {
			set.Operator.PreemptionDelayS, set.Operator.CheckpointMBPerS = &f, &f
		})
		p, err := peer.Dial("127.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		n.peers["b"] = p
		n.peerTable.recordSeen("b", time.Now())
		n.peerTable.recordOwnRestarts(c.ends, time.Now())
		n.catalog.set(wire.Catalog{})
		ctx, cancel := context.WithCancel(context.Background())
		go n.owner.run(ctx)
		go newElection(n).run(ctx)
		var got termRecord
		var version uint64
		most := 500
		if c.node == "b" {
			most = 20 // it has looked at the term a few times by then
		}
		for i := 0; i < most && (i == 0 || version == before); i++ {
			time.Sleep(5 * time.Millisecond)
			got, version = s.holder()
		}
		cancel()
		switch {
		case c.takes && (version <= before || got.Node != "a" || got.Mark == "a.1.1"):
			t.Errorf("%s: the term is %+v at %d", c.name, got, version)
		case !c.takes && c.node == "b" && version != before:
			t.Errorf("%s: the term was changed to %+v", c.name, got)
		case !c.takes && c.node == "a" && got.Node != "":
			t.Errorf("%s: it was not given up: %+v", c.name, got)
		}
	}
}

// Peers count how often a node is started anew, whatever its clock says; they forget it
// after a minute, and a node that hears of it lets those go first that end less often.
func TestFlapping(t *testing.T) {
	n := newTestController(t, func(http.ResponseWriter, *http.Request) {})
	p, _ := peer.Dial("127.0.0.1:1")
	n.peers["b"] = p
	now := time.Now()
	ends := 0
	for i, born := range []uint64{5, 5, 9, 9, 5, 7} { // a number that came before is another process too
		ends = n.recordPeerProcess("b", born, now.Add(time.Duration(i)*time.Second))
	}
	if ends != 3 {
		t.Errorf("%d ends were counted, not 3", ends)
	}
	if got := n.recordPeerProcess("b", 7, now.Add(restartWindow+3*time.Second)); got != 2 {
		t.Errorf("%d ends are remembered after a minute", got)
	}
	for i := range 100 {
		n.recordPeerProcess("b", uint64(100+i), now.Add(restartWindow))
	}
	if got := n.recordPeerProcess("b", 199, now.Add(restartWindow)); got > maxCountedRestarts {
		t.Errorf("%d ends are kept", got)
	}
	if n.recordPeerProcess("nobody", 3, now) != 0 || len(n.peerTable.states) != 1 {
		t.Error("a node that is no member is counted")
	}

	ctx := context.Background()
	n.peerTable.recordOwnRestarts(maxCountedRestarts, time.Now())
	if n.yieldsElection(ctx) {
		t.Error("it lets others go first though none is there")
	}
	n.peerTable.recordSeen("b", time.Now())
	if n.yieldsElection(ctx) {
		t.Error("it lets one go first that ends as often")
	}
	n.peerTable.states["b"].restarts = nil
	if !n.yieldsElection(ctx) || n.peerTable.yieldDuration() > 2*time.Second {
		t.Errorf("it does not let others go first, or for %v", n.peerTable.yieldDuration())
	}
	n.peerTable.ownRestartsAt = time.Now().Add(-2 * restartWindow)
	if n.yieldsElection(ctx) {
		t.Error("what was counted is never forgotten")
	}
}
