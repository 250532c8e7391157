package main

import (
	"cmp"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dalefront/wire"
)

// stateService is a stand-in of the state service. It follows the section "Controller nodes -> state service" of the
// protocol. It applies no rate limit, which only makes it more patient.
type stateService struct {
	mu        sync.Mutex
	epoch     uint64
	lastLease uint64
	keys      map[string]wire.KeyValue
	leases    map[uint64]*hold
	events    []wire.Event
	changed   chan struct{}

	newestFirst bool // lists the changes of a watch as the protocol's example does, the newest first
}

// hold is a lease of the state service.
type hold struct {
	life  time.Duration
	until time.Time
}

func newStateService() *stateService {
	return &stateService{epoch: 1, keys: map[string]wire.KeyValue{}, leases: map[uint64]*hold{}, changed: make(chan struct{})}
}

// transaction is a transaction as the state service decodes it.
type transaction struct {
	When   []wire.Condition `msgpack:"When"`
	Writes []struct {
		Put    string             `msgpack:"Write"`
		Value  msgpack.RawMessage `msgpack:"Value"`
		Lease  uint64             `msgpack:"Tenancy"`
		Delete string             `msgpack:"Drop"`
	} `msgpack:"Writes"`
}

// reply sends a body in the protocol's encoding.
func reply(w http.ResponseWriter, code int, body any) {
	encoded, err := wire.Marshal(body)
	if err != nil {
		code, encoded = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(code)
	_, _ = w.Write(encoded)
}

// decode reads a request's body and reports whether it is well-formed.
func decode(r *http.Request, into any) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	return err == nil && wire.Unmarshal(body, into) == nil
}

// ServeHTTP implements http.Handler.
func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	path := r.URL.Path
	switch {
	case path == "/multi":
		s.serveTransaction(w, r)
	case path == "/changes":
		s.serveChanges(w, r)
	case path == "/kv":
		s.servePage(w, r)
	case path == "/holds":
		s.serveNewHold(w, r)
	case strings.HasPrefix(path, "/kv/"):
		if entry, ok := s.keys[strings.TrimPrefix(path, "/kv/")]; ok {
			reply(w, http.StatusOK, entry)
		} else {
			reply(w, http.StatusNotFound, wire.TxnResponse{Revision: s.epoch})
		}
	case strings.HasPrefix(path, "/holds/"):
		s.serveHold(w, r)
	default:
		reply(w, http.StatusNotFound, struct{}{})
	}
}

// expire ends the leases whose time has run out.
func (s *stateService) expire() {
	for id, lease := range s.leases {
		if time.Now().After(lease.until) {
			s.end(id)
		}
	}
}

// end ends a lease and removes the keys attached to it.
func (s *stateService) end(id uint64) {
	delete(s.leases, id)
	for key, entry := range s.keys {
		if entry.Lease == id {
			s.epoch++
			delete(s.keys, key)
			s.emit(wire.Event{Delete: key, Version: s.epoch})
		}
	}
}

// emit records a change and wakes the watches.
func (s *stateService) emit(event wire.Event) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stateService) serveNewHold(w http.ResponseWriter, r *http.Request) {
	var request wire.Lease
	if !decode(r, &request) || request.TTLMs < 100 || request.TTLMs > 600_000 {
		reply(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	s.lastLease++
	life := time.Duration(request.TTLMs) * time.Millisecond
	s.leases[s.lastLease] = &hold{life, time.Now().Add(life)}
	reply(w, http.StatusOK, wire.Lease{ID: s.lastLease})
}

func (s *stateService) serveHold(w http.ResponseWriter, r *http.Request) {
	number, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/holds/"), "/")
	id, _ := strconv.ParseUint(number, 10, 64)
	lease := s.leases[id]
	if lease == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	if r.Method == http.MethodDelete {
		s.end(id)
	} else {
		lease.until = time.Now().Add(lease.life)
	}
	reply(w, http.StatusOK, struct{}{})
}

func (s *stateService) servePage(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	page := wire.KeyValuePage{Items: []wire.KeyValue{}, Revision: s.epoch}
	for key, entry := range s.keys {
		if strings.HasPrefix(key, query.Get("Starts")) && key > query.Get("From") {
			page.Items = append(page.Items, entry)
		}
	}
	slices.SortFunc(page.Items, func(a, b wire.KeyValue) int { return cmp.Compare(a.Key, b.Key) })
	limit, _ := strconv.Atoi(query.Get("Page"))
	if limit = min(max(limit, 1), 1000); len(page.Items) > limit {
		page.Items, page.More = page.Items[:limit], true
	}
	reply(w, http.StatusOK, page)
}

func (s *stateService) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var txn transaction
	if !decode(r, &txn) {
		reply(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	response := wire.TxnResponse{Revision: s.epoch}
	for _, condition := range txn.When {
		if s.keys[condition.Key].Version != condition.Version {
			response.FailedKeys = append(response.FailedKeys, condition.Key)
		}
	}
	if len(response.FailedKeys) > 0 {
		reply(w, http.StatusConflict, response)
		return
	}
	for _, write := range txn.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			reply(w, http.StatusBadRequest, wire.Error{Error: "no such lease"})
			return
		}
	}
	if len(txn.Writes) > 0 {
		s.epoch++
	}
	for _, write := range txn.Writes {
		if write.Delete != "" {
			delete(s.keys, write.Delete)
			s.emit(wire.Event{Delete: write.Delete, Version: s.epoch})
			continue
		}
		s.keys[write.Put] = wire.KeyValue{Key: write.Put, Value: write.Value, Version: s.epoch, Lease: write.Lease}
		s.emit(wire.Event{Put: write.Put, Value: write.Value, Version: s.epoch})
	}
	response.Revision = s.epoch
	reply(w, http.StatusOK, response)
}

// serveChanges answers a watch once there are changes or its time has run out.
func (s *stateService) serveChanges(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("From"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("HoldMs"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		response := wire.Events{Revision: s.epoch, Events: []wire.Event{}}
		for _, event := range s.events {
			if event.Version > from && strings.HasPrefix(event.Put+event.Delete, query.Get("Starts")) {
				response.Events = append(response.Events, event)
			}
		}
		if len(response.Events) > 0 || time.Now().After(deadline) || r.Context().Err() != nil {
			if s.newestFirst {
				slices.Reverse(response.Events)
			}
			reply(w, http.StatusOK, response)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(min(100*time.Millisecond, time.Until(deadline)+time.Millisecond)):
		}
		s.mu.Lock()
		s.expire()
	}
}
