package emulator

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Causes of a worker's heartbeats. They are the keys of Traffic.Heartbeats.
const (
	HeartbeatAtInterval = "interval" // the heartbeat interval has elapsed
	HeartbeatOnChange   = "change"   // something changed on the machine
	HeartbeatRetry      = "retry"    // no controller accepted the previous heartbeat
)

// Traffic counts the traffic of one worker since the worker started. Sent and Received are the bytes on the
// worker's TCP connections, including HTTP headers. Heartbeats holds the number of heartbeats by cause.
type Traffic struct {
	Sent, Received int64
	Heartbeats     map[string]int64
	Commands       int64 // requests that controllers sent to the worker's address
}

// traffic counts the traffic of one worker. It is safe for concurrent use.
type traffic struct {
	sent, received, commands atomic.Int64

	mu         sync.Mutex
	heartbeats map[string]int64
}

// countHeartbeat counts a heartbeat under the given cause.
func (t *traffic) countHeartbeat(cause string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.heartbeats == nil {
		t.heartbeats = map[string]int64{}
	}
	t.heartbeats[cause]++
}

func (t *traffic) snapshot() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	heartbeats := make(map[string]int64, len(t.heartbeats))
	for cause, n := range t.heartbeats {
		heartbeats[cause] = n
	}
	return Traffic{Sent: t.sent.Load(), Received: t.received.Load(), Heartbeats: heartbeats, Commands: t.commands.Load()}
}

// Traffic returns the traffic of each worker that is up, by machine ID.
func (f *Fleet) Traffic() map[string]Traffic {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]Traffic, len(f.ids))
	for _, id := range f.ids {
		if m := f.machines[id]; m.up && !m.dead {
			out[id] = m.traffic.snapshot()
		}
	}
	return out
}

// countedConn counts the bytes of a worker's connection.
type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of the connections to a worker.
type countedListener struct {
	net.Listener
	traffic *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.traffic}, nil
}

// StateLoad holds the number of requests to a site's state service and cloud since the site started, and the
// amount of data in the state service.
type StateLoad struct {
	Requests       map[string]int64 // state service requests by first path element: kv, multi, changes, holds
	Refused        int64            // requests that got the status 429, including requests to the cloud
	Changes        int64            // mutations in the transactions that were evaluated
	Conflicts      int64            // transactions whose conditions did not hold
	Keys, KeyBytes int              // number of existing keys, and bytes of their names and values
	Cloud          int64            // requests to the cloud
}

// stateCounters holds the counts for StateLoad. The lock of Services protects them.
type stateCounters struct {
	requests             map[string]int64
	refused, cloud       int64
	conflicts, mutations int64
}

// countRequest counts a request to the state service under the first element of the request's path.
func (m *stateCounters) countRequest(path string) {
	if m.requests == nil {
		m.requests = map[string]int64{}
	}
	m.requests[path]++
}

// Load returns the counts since the site started and the current amount of data.
func (s *Services) Load() StateLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := StateLoad{Requests: map[string]int64{}, Refused: s.meter.refused, Changes: s.meter.mutations, Conflicts: s.meter.conflicts, Cloud: s.meter.cloud, Keys: len(s.keys)}
	for path, n := range s.meter.requests {
		l.Requests[path] = n
	}
	for k, e := range s.keys {
		l.KeyBytes += len(k) + len(e.Value)
	}
	return l
}

// workerDialer opens the connections of workers.
var workerDialer = net.Dialer{Timeout: 4 * time.Second}
