package emulator

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Report causes, as Traffic counts them.
const (
	ReportInterval = "interval" // the report interval has passed
	ReportChange   = "change"   // something changed on the machine
	ReportRetry    = "retry"    // the last report was not taken
)

// Traffic is what one worker has sent and received since it was up: bytes of its TCP
// connections, HTTP headers included, and reports by cause.
type Traffic struct {
	Sent, Received int64
	Reports        map[string]int64
	Commands       int64 // requests of controllers to the worker's own address
}

// traffic counts for one worker; it is safe for use by several goroutines.
type traffic struct {
	sent, received, commands atomic.Int64

	mu      sync.Mutex
	reports map[string]int64
}

// reported counts a report.
func (t *traffic) reported(cause string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = map[string]int64{}
	}
	t.reports[cause]++
}

func (t *traffic) snapshot() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := make(map[string]int64, len(t.reports))
	for cause, n := range t.reports {
		reports[cause] = n
	}
	return Traffic{Sent: t.sent.Load(), Received: t.received.Load(), Reports: reports, Commands: t.commands.Load()}
}

// Traffic returns what each worker that is up has sent and received, by the machine's name.
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
	of *traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.of.received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.of.sent.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of the connections to a worker.
type countedListener struct {
	net.Listener
	of *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.of}, nil
}

// StateLoad is what the state service of a site was asked for since it began, and what it
// keeps.
type StateLoad struct {
	Requests       map[string]int64 // by path: kv, multi, changes, holds
	Refused        int64            // with 429
	Changes        int64            // asked for
	Conflicts      int64            // transactions whose conditions failed
	Keys, KeyBytes int              // that exist, and of their names and values
	Cloud          int64            // requests to the cloud
}

// stateMeter counts requests. The services' lock guards it.
type stateMeter struct {
	requests         map[string]int64
	refused, cloud   int64
	conflicts, asked int64
}

// count counts a request to the state service by the first part of its path.
func (m *stateMeter) count(path string) {
	if m.requests == nil {
		m.requests = map[string]int64{}
	}
	m.requests[path]++
}

// Load returns what the services were asked for so far.
func (s *Services) Load() StateLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := StateLoad{Requests: map[string]int64{}, Refused: s.meter.refused, Changes: s.meter.asked, Conflicts: s.meter.conflicts, Cloud: s.meter.cloud, Keys: len(s.keys)}
	for path, n := range s.meter.requests {
		l.Requests[path] = n
	}
	for k, e := range s.keys {
		l.KeyBytes += len(k) + len(e.Value)
	}
	return l
}

// workerDialer opens workers' connections.
var workerDialer = net.Dialer{Timeout: 4 * time.Second}
