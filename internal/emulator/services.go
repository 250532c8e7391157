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

// Services plays the state service and the cloud over HTTP. Down makes the
// state service refuse everything; Mute lets it execute transactions without
// answering them. Without a fleet the cloud has no machines.
type Services struct {
	Catalog wire.Catalog
	Limits  wire.TxnLimits // of transactions; above them the answer is 400

	// Limits of requests and of changes a second, with bursts of a second's worth, and of
	// the cloud's requests, with bursts of two; nil: none. Above them the answer is 429.
	Requests, Changes, Cloud *rate.Limiter

	fleet    *Fleet
	mu       sync.Mutex
	revision uint64
	keys     map[string]wire.KeyValue
	leases   map[uint64]time.Time
	ttl      map[uint64]time.Duration
	lease    uint64
	changed  chan struct{}
	events   []wire.Event
	down     bool
	mute     int
	holdBack int
	holdKey  string
	held     []txn
	late     func() (time.Duration, bool)
	lose     func(keys []string) bool
	stored   func(key string, value []byte)
	meter    stateMeter
	refused  []string // transactions that exceeded the limits, and how

	kept        *keeper
	dirty       []string // keys that have changed and are not kept yet
	dirtyLeases []uint64
	forgot      uint64 // changes up to this revision were forgotten at a restart
}

// txn is a transaction as the service reads it.
type txn struct {
	If   []wire.Condition `msgpack:"When"`
	Then []struct {
		Put    string             `msgpack:"Write"`
		Value  msgpack.RawMessage `msgpack:"Value"`
		Lease  uint64             `msgpack:"Tenancy"`
		Delete string             `msgpack:"Drop"`
	} `msgpack:"Writes"`
}

// message is the transaction as it was sent.
func (t *txn) message() wire.Txn {
	m := wire.Txn{Conditions: t.If}
	for _, c := range t.Then {
		m.Mutations = append(m.Mutations, wire.Mutation{Put: c.Put, Value: c.Value, Lease: c.Lease, Delete: c.Delete})
	}
	return m
}

// Malformed lists what was wrong with transactions that exceeded the limits.
func (s *Services) Malformed() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.refused)
}

// NewServices returns empty services.
func NewServices(cat wire.Catalog) *Services {
	return &Services{Catalog: cat, keys: map[string]wire.KeyValue{}, leases: map[uint64]time.Time{}, ttl: map[uint64]time.Duration{}, changed: make(chan struct{})}
}

// SetFleet gives the cloud its machines.
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
	for id, ttl := range s.ttl { // after an outage every lease has its full time again
		s.leases[id] = time.Now().Add(ttl)
	}
}

// Set stores a key, as some earlier node would have.
func (s *Services) Set(key string, v any) {
	b, _ := wire.Marshal(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.keys[key] = wire.KeyValue{Key: key, Value: b, Version: s.revision}
	s.dirty = append(s.dirty, key)
	s.flush()
}

// Mute executes the next n transactions without answering them.
func (s *Services) Mute(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute = n
}

// HoldBack leaves the next n transactions without an answer and executes them only
// when Arrive is called.
func (s *Services) HoldBack(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdBack = n
}

// LateWrites asks a function, for each transaction that changes something, whether it gets no
// answer, and after how long it is executed all the same. It holds no lock of the services.
// nil: none is late.
func (s *Services) LateWrites(late func() (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = late
}

// LoseAnswers asks a function, for each transaction that changes something, whether it is carried
// out at once without an answer; it gets the keys that are changed. It holds no lock of the
// services. nil: none is lost.
func (s *Services) LoseAnswers(lose func(keys []string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = lose
}

// OnStored calls a function for each key that is written, in the order of the writes. It must
// not call the services.
func (s *Services) OnStored(f func(key string, value []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored = f
}

// AskedChanges counts the changes that were asked for, as the service counts them for its limit.
func (s *Services) AskedChanges() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.meter.asked)
}

// HasLease says whether a lease has not ended.
func (s *Services) HasLease(lease uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.leases[lease]
	return ok
}

// Arrive executes what was held back.
func (s *Services) Arrive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.held {
		_, _ = s.apply(&t)
	}
	s.held = nil
}

// HeldBack counts the transactions that are held back.
func (s *Services) HeldBack() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// HoldBackWrite does to the next transaction that writes a key what HoldBack does to any.
func (s *Services) HoldBackWrite(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdKey = key
}

func (t *txn) changes() (keys []string) {
	for _, c := range t.Then {
		keys = append(keys, c.Put+c.Delete)
	}
	return keys
}

func (t *txn) writes(key string) bool {
	for _, c := range t.Then {
		if c.Put == key {
			return true
		}
	}
	return false
}

// Delete removes a key, as some leader would have.
func (s *Services) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.drop(key)
}

// Entry returns a key as it is now.
func (s *Services) Entry(key string) (wire.KeyValue, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys[key]
	return e, ok
}

func respond(w http.ResponseWriter, code int, v any) {
	b, _ := wire.Marshal(v)
	w.WriteHeader(code)
	_, _ = w.Write(b)
}

func read(r *http.Request, v any) bool {
	b, err := io.ReadAll(r.Body)
	return err == nil && wire.Unmarshal(b, v) == nil
}

// expire removes the keys of leases that ended. The lock is held.
func (s *Services) expire() {
	if s.down {
		return
	}
	for id, at := range s.leases {
		if time.Now().After(at) {
			s.release(id)
		}
	}
}

func (s *Services) release(id uint64) {
	delete(s.leases, id)
	delete(s.ttl, id)
	s.dirtyLeases = append(s.dirtyLeases, id)
	for k, e := range s.keys {
		if e.Lease == id {
			s.revision++
			s.drop(k)
		}
	}
}

func (s *Services) drop(k string) {
	delete(s.keys, k)
	s.dirty = append(s.dirty, k)
	s.emit(wire.Event{Delete: k, Version: s.revision})
}

func (s *Services) emit(e wire.Event) {
	if s.events = append(s.events, e); len(s.events) > 2*keptChanges {
		s.events = append([]wire.Event(nil), s.events[keptChanges:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// within says whether a request is within the limits.
func (s *Services) within(path string) bool {
	limit := s.Requests
	if strings.HasPrefix(path, wire.PathMachines) || path == wire.PathScaleIn || path == wire.PathCatalog {
		limit = s.Cloud
		s.meter.cloud++
	} else {
		first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
		s.meter.count(first)
	}
	if s.down || limit == nil || limit.Allow() {
		return true
	}
	s.meter.refused++
	return false
}

// ServeHTTP serves both services.
func (s *Services) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.flush() // an answer is on its way at the earliest when the handler returns
	s.expire()
	p := r.URL.Path
	switch {
	case !s.within(p):
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
	case s.down && p == "/changes": // open watches stay open
		s.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		respond(w, 503, wire.Error{Error: "trouble"})
	case s.down:
		respond(w, 503, wire.Error{Error: "trouble"})
	case p == "/holds":
		var l wire.Lease
		if !read(r, &l) {
			respond(w, 400, nil)
			return
		}
		s.lease++
		s.ttl[s.lease] = time.Duration(l.TTLMs) * time.Millisecond
		s.leases[s.lease] = time.Now().Add(s.ttl[s.lease])
		s.dirtyLeases = append(s.dirtyLeases, s.lease)
		respond(w, 200, wire.Lease{ID: s.lease})
	case strings.HasPrefix(p, "/holds/"):
		num, _, _ := strings.Cut(strings.TrimPrefix(p, "/holds/"), "/")
		id, _ := strconv.ParseUint(num, 10, 64)
		if _, ok := s.leases[id]; !ok {
			respond(w, 404, nil)
			return
		}
		if r.Method == http.MethodDelete {
			s.release(id)
		} else {
			s.leases[id] = time.Now().Add(s.ttl[id])
		}
		respond(w, 200, nil)
	case p == "/multi":
		s.multi(w, r)
	case p == "/changes":
		s.watch(w, r)
	case p == "/kv":
		out := wire.KeyValuePage{Revision: s.revision}
		for k, e := range s.keys {
			if strings.HasPrefix(k, r.URL.Query().Get("Starts")) && k > r.URL.Query().Get("From") {
				out.Items = append(out.Items, e)
			}
		}
		slices.SortFunc(out.Items, func(a, b wire.KeyValue) int { return strings.Compare(a.Key, b.Key) })
		most, _ := strconv.Atoi(r.URL.Query().Get("Page"))
		size := 0
		for i, e := range out.Items {
			if size += len(e.Key) + len(e.Value); i >= min(max(most, 1), maxPage) || size > maxPageBytes {
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

func (s *Services) multi(w http.ResponseWriter, r *http.Request) {
	var t txn
	if !read(r, &t) {
		respond(w, 400, wire.Error{Error: "malformed"})
		return
	}
	if err := s.Limits.Check(t.message()); err != nil {
		s.refused = append(s.refused, err.Error())
		respond(w, 400, wire.Error{Error: "malformed: " + err.Error()})
		return
	}
	if n := len(t.Then); n > 0 && s.Changes != nil && !s.Changes.AllowN(time.Now(), n) {
		w.Header().Set("Retry-After", "1")
		respond(w, http.StatusTooManyRequests, wire.Error{Error: "too many changes"})
		return
	}
	if named := s.holdKey != "" && t.writes(s.holdKey); named || s.holdBack > 0 && len(t.Then) > 0 {
		if named {
			s.holdKey = ""
		} else {
			s.holdBack--
		}
		s.held = append(s.held, t)
		panic(http.ErrAbortHandler) // not executed yet, and nobody is told
	}
	if s.late != nil && len(t.Then) > 0 {
		if after, is := s.late(); is {
			time.AfterFunc(after, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.expire()
				_, _ = s.apply(&t)
				s.flush()
			})
			panic(http.ErrAbortHandler)
		}
	}
	s.meter.asked += int64(len(t.Then))
	lost := s.lose != nil && len(t.Then) > 0 && s.lose(t.changes())
	code, a := s.apply(&t)
	if code == http.StatusConflict && len(t.Then) > 0 {
		s.meter.conflicts++
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	if s.mute > 0 && len(t.Then) > 0 && code == 200 {
		s.mute--
		panic(http.ErrAbortHandler) // executed, but nobody is told
	}
	if code == 400 {
		respond(w, code, wire.Error{Error: "no such lease"})
		return
	}
	respond(w, code, a)
}

// apply executes a transaction. The lock is held.
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
			s.drop(c.Delete)
			continue
		}
		s.keys[c.Put] = wire.KeyValue{Key: c.Put, Value: c.Value, Version: s.revision, Lease: c.Lease}
		s.dirty = append(s.dirty, c.Put)
		if s.stored != nil {
			s.stored(c.Put, c.Value)
		}
		s.emit(wire.Event{Put: c.Put, Value: c.Value, Version: s.revision})
	}
	a.Revision = s.revision
	return 200, a
}

// keptChanges is how many changes a watch can look back.
const keptChanges = 10_000

const (
	maxPage      = 1000      // keys of an answer to a list
	maxPageBytes = 512 << 10 // bytes of one
)

func (s *Services) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("From"), 10, 64)
	hold, _ := strconv.Atoi(q.Get("HoldMs"))
	until := time.After(time.Duration(hold) * time.Millisecond)
	for {
		out := wire.Events{Revision: s.revision}
		if len(s.events) > keptChanges && s.events[0].Version > from+1 || from < s.forgot {
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
		changed := s.changed
		s.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-until:
			over = true
		case <-r.Context().Done():
			over = true
		case <-time.After(100 * time.Millisecond): // leases may have ended
		}
		s.mu.Lock()
		s.expire()
		if over {
			respond(w, 200, wire.Events{Revision: s.revision})
			return
		}
	}
}

// Keys counts the keys with a prefix.
func (s *Services) Keys(prefix string) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			count++
		}
	}
	return count
}
