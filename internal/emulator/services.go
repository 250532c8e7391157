package emulator

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"dalefront/wire"
)

// Services emulates the state service and the cloud over HTTP. SetDown makes the state service refuse every
// request. SkipAnswers makes the state service execute transactions without sending responses. Without a fleet
// the cloud has no machines.
type Services struct {
	Catalog wire.Catalog
	Limits  wire.TxnLimits // limits of a transaction; a transaction above them gets the status 400

	// Requests limits the state service's requests per second, and Changes its mutations per second, both allowing
	// bursts of one second's worth. Cloud limits the requests per second to the cloud, with bursts of two
	// seconds' worth. A request above a limit gets the response 429. A nil limiter means no limit.
	Requests, Changes, Cloud *rate.Limiter

	fleet      *Fleet
	mu         sync.Mutex
	revision   uint64
	keys       map[string]wire.KeyValue
	leases     map[uint64]time.Time
	ttl        map[uint64]time.Duration
	lastLease  uint64
	notify     chan struct{}
	events     []wire.Event
	down       bool
	unanswered int    // number of writing transactions still to be executed without a response, see SkipAnswers
	holdCount  int    // number of writing transactions still to be held back, see HoldBack
	holdKey    string // key whose next write is held back, see HoldBackWrite
	held       []txn
	delayWrite func() (time.Duration, bool) // see DelayWrites
	loseAnswer func(keys []string) bool     // see LoseAnswers
	onStored   func(key string, value []byte)
	meter      stateCounters
	malformed  []string // error texts of the transactions that exceeded the limits

	store             *siteStore
	dirty             []string // keys whose changes are not in the data file yet
	dirtyLeases       []uint64
	compactedRevision uint64 // events up to this revision were lost when the site restarted
}

// txn is a transaction as the state service decodes it.
type txn struct {
	If   []wire.Condition `msgpack:"When"`
	Then []struct {
		Put    string             `msgpack:"Write"`
		Value  msgpack.RawMessage `msgpack:"Value"`
		Lease  uint64             `msgpack:"Tenancy"`
		Delete string             `msgpack:"Drop"`
	} `msgpack:"Writes"`
}

// wireTxn converts a transaction to the client's message type, which TxnLimits.Check requires.
func (t *txn) wireTxn() wire.Txn {
	m := wire.Txn{Conditions: t.If}
	for _, c := range t.Then {
		m.Mutations = append(m.Mutations, wire.Mutation{Put: c.Put, Value: c.Value, Lease: c.Lease, Delete: c.Delete})
	}
	return m
}

// LimitViolations returns an error text for each transaction that exceeded the limits.
func (s *Services) LimitViolations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.malformed)
}

// NewServices returns an empty state service and a cloud without machines.
func NewServices(cat wire.Catalog) *Services {
	return &Services{Catalog: cat, keys: map[string]wire.KeyValue{}, leases: map[uint64]time.Time{}, ttl: map[uint64]time.Duration{}, notify: make(chan struct{})}
}

// SetFleet makes the cloud rent out the fleet's machines.
func (s *Services) SetFleet(f *Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet = f
}

// SetDown begins or ends an outage of the state service.
func (s *Services) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for id, ttl := range s.ttl { // an outage renews every lease for its full TTL
		s.leases[id] = time.Now().Add(ttl)
	}
}

// Set stores a key, as if an earlier controller had written it.
func (s *Services) Set(key string, v any) {
	b, _ := wire.Marshal(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.keys[key] = wire.KeyValue{Key: key, Value: b, Version: s.revision}
	s.dirty = append(s.dirty, key)
	s.flush()
}

// SkipAnswers makes the state service send no response to the next n writing transactions that succeed. These
// transactions are executed.
func (s *Services) SkipAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered = n
}

// HoldBack holds back the next n writing transactions: they get no response and are executed only when
// ExecuteHeldBack is called.
func (s *Services) HoldBack(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdCount = n
}

// DelayWrites sets a function that is called for each writing transaction. If the function returns true, the
// transaction gets no response and is executed after the returned duration. With a nil function no transaction
// is delayed. The function must not call methods of Services, because the lock is held during the call.
func (s *Services) DelayWrites(late func() (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayWrite = late
}

// LoseAnswers sets a function that is called for each writing transaction with the keys that the transaction
// changes. If the function returns true, the transaction is executed at once but gets no response. With a nil
// function no response is lost. The function must not call methods of Services, because the lock is held
// during the call.
func (s *Services) LoseAnswers(lose func(keys []string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswer = lose
}

// OnStored sets a function that is called for each key that a transaction writes, in the order of the writes.
// The function must not call methods of Services, because the lock is held during the call.
func (s *Services) OnStored(f func(key string, value []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onStored = f
}

// RequestedChanges returns the number of mutations in the transactions evaluated so far, including those whose
// conditions did not hold. It leaves out transactions that were refused, held back or delayed.
func (s *Services) RequestedChanges() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.meter.mutations)
}

// HasLease reports whether a lease exists, that is, it was created and has not been revoked.
func (s *Services) HasLease(lease uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.leases[lease]
	return ok
}

// ExecuteHeldBack executes the transactions that were held back.
func (s *Services) ExecuteHeldBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.held {
		_, _ = s.apply(&t)
	}
	s.held = nil
}

// HeldBack returns the number of transactions that are held back.
func (s *Services) HeldBack() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// HoldBackWrite holds back the next transaction that writes the given key, see HoldBack.
func (s *Services) HoldBackWrite(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdKey = key
}

// changedKeys returns the keys that the transaction writes or deletes.
func (t *txn) changedKeys() (keys []string) {
	for _, c := range t.Then {
		keys = append(keys, c.Put+c.Delete)
	}
	return keys
}

// writes reports whether the transaction writes the key.
func (t *txn) writes(key string) bool {
	for _, c := range t.Then {
		if c.Put == key {
			return true
		}
	}
	return false
}

// Delete deletes a key, as if a leader had deleted it.
func (s *Services) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.deleteKey(key)
}

// Entry returns a key's current value and version.
func (s *Services) Entry(key string) (wire.KeyValue, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys[key]
	return e, ok
}

// respond sends a response whose body is the MessagePack encoding of v.
func respond(w http.ResponseWriter, code int, v any) {
	b, _ := wire.Marshal(v)
	w.WriteHeader(code)
	_, _ = w.Write(b)
}

// maxRequestBytes is the maximum size of a request to a service. The largest is a transaction, whose encoding may be
// larger than its JSON form, which counts.
const maxRequestBytes = 4 * wire.MaxTxnBytes

// decodeBody decodes the body of a request into v and reports whether it succeeded.
func decodeBody(r *http.Request, v any) bool {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	return err == nil && wire.Unmarshal(b, v) == nil
}

// expireLeases revokes the leases whose TTL has passed, except during an outage. The caller must hold s.mu.
func (s *Services) expireLeases() {
	if s.down {
		return
	}
	for id, at := range s.leases {
		if time.Now().After(at) {
			s.revokeLease(id)
		}
	}
}

// revokeLease removes a lease and deletes the keys attached to it. The caller must hold s.mu.
func (s *Services) revokeLease(id uint64) {
	delete(s.leases, id)
	delete(s.ttl, id)
	s.dirtyLeases = append(s.dirtyLeases, id)
	for k, e := range s.keys {
		if e.Lease == id {
			s.revision++
			s.deleteKey(k)
		}
	}
}

// deleteKey deletes a key at the current revision. The caller must hold s.mu.
func (s *Services) deleteKey(k string) {
	delete(s.keys, k)
	s.dirty = append(s.dirty, k)
	s.emit(wire.Event{Delete: k, Version: s.revision})
}

// emit records an event and wakes the waiting watches. The caller must hold s.mu.
func (s *Services) emit(e wire.Event) {
	if s.events = append(s.events, e); len(s.events) > 2*retainedEvents {
		s.events = append([]wire.Event(nil), s.events[retainedEvents:]...)
	}
	close(s.notify)
	s.notify = make(chan struct{})
}

// allow counts a request and reports whether it is within the rate limits. During an outage no rate limit
// applies. The caller must hold s.mu.
func (s *Services) allow(path string) bool {
	limit := s.Requests
	if strings.HasPrefix(path, wire.PathMachines) || path == wire.PathScaleIn || path == wire.PathCatalog {
		limit = s.Cloud
		s.meter.cloud++
	} else {
		first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
		s.meter.countRequest(first)
	}
	if s.down || limit == nil || limit.Allow() {
		return true
	}
	s.meter.refused++
	return false
}

// ServeHTTP serves the state service and the cloud.
func (s *Services) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The response is sent no earlier than the handler returns, so the data file has every change before a
	// response reveals it.
	defer s.flush()
	s.expireLeases()
	p := r.URL.Path
	switch {
	case !s.allow(p):
		w.Header().Set("Retry-After", "1")
		respond(w, http.StatusTooManyRequests, wire.Error{Error: "too many requests"})
	case p == wire.PathCatalog:
		respond(w, 200, s.Catalog)
	case s.fleet != nil && strings.HasPrefix(p, wire.PathMachines):
		s.mu.Unlock()
		defer s.mu.Lock()
		s.fleet.serveCloud(w, r)
	case p == wire.PathMachines && r.Method == http.MethodGet:
		respond(w, 200, wire.MachinePage{})
	case p == wire.PathMachines:
		respond(w, 503, wire.Error{Error: "no capacity"})
	case p == wire.PathScaleIn:
		respond(w, 200, wire.MachineIDs{})
	case s.down && p == "/changes": // a watch gets its 503 after a pause
		s.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		respond(w, 503, wire.Error{Error: "trouble"})
	case s.down:
		respond(w, 503, wire.Error{Error: "trouble"})
	case p == "/holds":
		var l wire.Lease
		if !decodeBody(r, &l) {
			respond(w, 400, nil)
			return
		}
		s.lastLease++
		s.ttl[s.lastLease] = time.Duration(l.TTLMs) * time.Millisecond
		s.leases[s.lastLease] = time.Now().Add(s.ttl[s.lastLease])
		s.dirtyLeases = append(s.dirtyLeases, s.lastLease)
		respond(w, 200, wire.Lease{ID: s.lastLease})
	case strings.HasPrefix(p, "/holds/"):
		num, _, _ := strings.Cut(strings.TrimPrefix(p, "/holds/"), "/")
		id, _ := strconv.ParseUint(num, 10, 64)
		if _, ok := s.leases[id]; !ok {
			respond(w, 404, nil)
			return
		}
		if r.Method == http.MethodDelete {
			s.revokeLease(id)
		} else {
			s.leases[id] = time.Now().Add(s.ttl[id])
		}
		respond(w, 200, nil)
	case p == "/multi":
		s.serveTxn(w, r)
	case p == "/changes":
		s.serveWatch(w, r)
	case p == "/kv":
		out := wire.KeyValuePage{Revision: s.revision}
		for k, e := range s.keys {
			if strings.HasPrefix(k, r.URL.Query().Get("Starts")) && k > r.URL.Query().Get("From") {
				out.Items = append(out.Items, e)
			}
		}
		slices.SortFunc(out.Items, func(a, b wire.KeyValue) int { return strings.Compare(a.Key, b.Key) })
		limit, _ := strconv.Atoi(r.URL.Query().Get("Page"))
		size := 0
		for i, e := range out.Items {
			if size += len(e.Key) + len(e.Value); i >= min(max(limit, 1), maxPage) || size > maxPageBytes {
				out.Items, out.More = out.Items[:i], true
				break
			}
		}
		respond(w, 200, out)
	case strings.HasPrefix(p, "/kv/"):
		if e, ok := s.keys[strings.TrimPrefix(p, "/kv/")]; ok {
			respond(w, 200, e)
		} else {
			respond(w, 404, wire.TxnResponse{Revision: s.revision})
		}
	default:
		respond(w, 404, nil)
	}
}

// serveTxn handles a transaction. The caller must hold s.mu.
func (s *Services) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if !decodeBody(r, &t) {
		respond(w, 400, wire.Error{Error: "malformed"})
		return
	}
	if err := s.Limits.Check(t.wireTxn()); err != nil {
		s.malformed = append(s.malformed, err.Error())
		respond(w, 400, wire.Error{Error: "malformed: " + err.Error()})
		return
	}
	if n := len(t.Then); n > 0 && s.Changes != nil && !s.Changes.AllowN(time.Now(), n) {
		w.Header().Set("Retry-After", "1")
		respond(w, http.StatusTooManyRequests, wire.Error{Error: "too many changes"})
		return
	}
	if byKey := s.holdKey != "" && t.writes(s.holdKey); byKey || s.holdCount > 0 && len(t.Then) > 0 {
		if byKey {
			s.holdKey = ""
		} else {
			s.holdCount--
		}
		s.held = append(s.held, t)
		panic(http.ErrAbortHandler) // neither executed yet nor answered
	}
	if s.delayWrite != nil && len(t.Then) > 0 {
		if delay, delayed := s.delayWrite(); delayed {
			time.AfterFunc(delay, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.expireLeases()
				_, _ = s.apply(&t)
				s.flush()
			})
			panic(http.ErrAbortHandler)
		}
	}
	s.meter.mutations += int64(len(t.Then))
	lost := s.loseAnswer != nil && len(t.Then) > 0 && s.loseAnswer(t.changedKeys())
	code, answer := s.apply(&t)
	if code == http.StatusConflict && len(t.Then) > 0 {
		s.meter.conflicts++
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	if s.unanswered > 0 && len(t.Then) > 0 && code == 200 {
		s.unanswered--
		panic(http.ErrAbortHandler) // executed, but not answered
	}
	if code == 400 {
		respond(w, code, wire.Error{Error: "no such lease"})
		return
	}
	respond(w, code, answer)
}

// apply executes a transaction and returns the HTTP status and the body of the response. The caller must hold
// s.mu.
func (s *Services) apply(t *txn) (code int, a wire.TxnResponse) {
	a.Revision = s.revision
	for _, c := range t.If {
		if s.keys[c.Key].Version != c.Version {
			a.FailedKeys = append(a.FailedKeys, c.Key)
		}
	}
	if len(a.FailedKeys) > 0 {
		return 409, a
	}
	for _, c := range t.Then {
		if _, ok := s.leases[c.Lease]; c.Lease != 0 && !ok {
			return 400, a
		}
	}
	if len(t.Then) > 0 {
		s.revision++
	}
	for _, c := range t.Then {
		if c.Delete != "" {
			s.deleteKey(c.Delete)
			continue
		}
		s.keys[c.Put] = wire.KeyValue{Key: c.Put, Value: c.Value, Version: s.revision, Lease: c.Lease}
		s.dirty = append(s.dirty, c.Put)
		if s.onStored != nil {
			s.onStored(c.Put, c.Value)
		}
		s.emit(wire.Event{Put: c.Put, Value: c.Value, Version: s.revision})
	}
	a.Revision = s.revision
	return 200, a
}

// retainedEvents is the minimum number of latest events that are kept for watches.
const retainedEvents = 10_000

const (
	maxPage      = 1000      // maximum number of keys in a page of a list
	maxPageBytes = 512 << 10 // limit on the bytes of keys and values in a page
)

// serveWatch handles a watch. It waits until there are events after the request's revision or the request's
// hold time has passed. The caller must hold s.mu, which is released during the wait.
func (s *Services) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("From"), 10, 64)
	holdMs, _ := strconv.Atoi(q.Get("HoldMs"))
	timeout := time.After(time.Duration(holdMs) * time.Millisecond)
	for {
		out := wire.Events{Revision: s.revision}
		if len(s.events) > retainedEvents && s.events[0].Version > from+1 || from < s.compactedRevision {
			respond(w, http.StatusGone, wire.Error{Error: "compacted"})
			return
		}
		for _, e := range s.events {
			if e.Version > from && strings.HasPrefix(e.Put+e.Delete, q.Get("Starts")) {
				out.Events = append(out.Events, e)
			}
		}
		if len(out.Events) > 0 {
			respond(w, 200, out)
			return
		}
		changed := s.notify
		s.mu.Unlock()
		done := false
		select {
		case <-changed:
		case <-timeout:
			done = true
		case <-r.Context().Done():
			done = true
		case <-time.After(100 * time.Millisecond): // check for expired leases, whose keys are deleted
		}
		s.mu.Lock()
		s.expireLeases()
		if done {
			respond(w, 200, wire.Events{Revision: s.revision})
			return
		}
	}
}

// CountKeys returns the number of keys with the given prefix.
func (s *Services) CountKeys(prefix string) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			count++
		}
	}
	return count
}
