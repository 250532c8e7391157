package api

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dalefront/wire"
)

// Guards against: a submission whose list of machine types announces 4,294,967,295 elements ended the process. Over
// a real socket, it and a heartbeat with such a list must get one answer, 400 with the problem, and the server goes on.
func TestAnnouncedElementsGet400(t *testing.T) {
	service := &fakeService{statusErr: ErrNotFound}
	url := serve(t, service)
	header := []byte{0xdd, 0xff, 0xff, 0xff, 0xff}
	submission := job()
	submission["Builds"] = []string{"depotrack"}
	for _, request := range []struct {
		path    string
		message any
		list    any
	}{
		{wire.PathJobs, submission, submission["Builds"]},
		{wire.PathJobs, job(), job()["Extra"]},
		{wire.PathHeartbeat, wire.Heartbeat{Host: "n-1", Tasks: []wire.TaskStatus{}}, []wire.TaskStatus{}},
	} {
		encoded, err := wire.Marshal(request.message)
		if err != nil {
			t.Fatal(err)
		}
		list, err := wire.Marshal(request.list)
		if err != nil {
			t.Fatal(err)
		}
		start := bytes.LastIndex(encoded, list)
		body := append(encoded[:start:start], bytes.Repeat(header, 8)...)
		response, answer := send(t, http.MethodPost, url+request.path, body)
		var problem wire.Error
		if err := wire.Unmarshal(answer, &problem); err != nil {
			t.Error(err)
		}
		if response.StatusCode != http.StatusBadRequest || !strings.HasPrefix(problem.Error, "malformed") {
			t.Errorf("%s: got %d %q, want 400", request.path, response.StatusCode, problem.Error)
		}
	}
	if len(service.jobs) > 0 {
		t.Errorf("%d malformed submissions were accepted", len(service.jobs))
	}
	valid, _ := wire.Marshal(job())
	if response, _ := send(t, http.MethodPost, url+wire.PathJobs, valid); response.StatusCode != http.StatusCreated {
		t.Errorf("got %d for a valid submission, want %d", response.StatusCode, http.StatusCreated)
	}
}

// slowService handles heartbeats slowly and records how many it handles at a time.
type slowService struct {
	fakeService
	delay time.Duration

	mu            sync.Mutex
	active, peak  int
	handled, late int
}

func (s *slowService) Heartbeat(ctx context.Context, _ *wire.Heartbeat) (wire.HeartbeatResponse, error) {
	s.mu.Lock()
	s.active++
	s.peak = max(s.peak, s.active)
	s.mu.Unlock()
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.handled++
	if ctx.Err() != nil {
		s.late++
	}
	return wire.HeartbeatResponse{FencingToken: 7}, nil
}

// largeHeartbeat returns a valid heartbeat of nearly the protocol's size.
func largeHeartbeat(t *testing.T) []byte {
	t.Helper()
	const taskBytes = 50
	heartbeat := wire.Heartbeat{Host: "n-1"}
	for i := range wire.MaxBodyBytes / taskBytes {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: wire.TaskName("j-000412", int32(i)), Attempt: 2, State: wire.TaskRunning})
	}
	body, err := wire.Marshal(heartbeat)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// Guards against: 600 heartbeats of 64 KiB at once took a controller to 225 MB, because nothing limited the bodies
// that were decoded at a time. All of them must be handled, a few at a time.
func TestBodiesAtOnceStayWithinMemory(t *testing.T) {
	const requests = 150
	body := largeHeartbeat(t)
	service := &slowService{delay: 200 * time.Millisecond}
	url := serveConns(t, service, resources.Sockets) + wire.PathHeartbeat
	var clients sync.WaitGroup
	for range requests {
		clients.Go(func() {
			response, err := http.Post(url, contentType, bytes.NewReader(body))
			if err != nil {
				t.Error(err)
				return
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				t.Errorf("got status %d, want %d", response.StatusCode, http.StatusOK)
			}
		})
	}
	clients.Wait()
	if limit := int(resources.MemoryBytes(heartbeatMemoryShare)) / len(body); service.peak > limit {
		t.Errorf("%d bodies were handled at a time, want %d at most", service.peak, limit)
	}
	if service.handled != requests || service.late > 0 {
		t.Errorf("%d of %d heartbeats were handled, %d too late", service.handled, requests, service.late)
	}
}

// Checks that users who announce large bodies and send nothing keep no worker waiting, get 503, which is repeated,
// and don't keep other users waiting for longer than the read timeout.
func TestSlowBodiesDelayOnlyTheirKind(t *testing.T) {
	const slowUsers = 60
	address := strings.TrimPrefix(serveConns(t, &fakeService{}, resources.Sockets), "http://")
	var answers sync.WaitGroup
	for range slowUsers {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", wire.PathJobs, wire.MaxBodyBytes)
		answers.Go(func() {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Error(err)
				return
			}
			_ = response.Body.Close()
			if code := response.StatusCode; code != http.StatusServiceUnavailable && code != http.StatusTooManyRequests {
				t.Errorf("got status %d for a body that has not arrived", code)
			}
		})
	}
	heartbeat, _ := wire.Marshal(wire.Heartbeat{Host: "n-1"})
	start := time.Now()
	response, _ := send(t, http.MethodPost, "http://"+address+wire.PathHeartbeat, heartbeat)
	if took := time.Since(start); response.StatusCode != http.StatusOK || took > time.Second {
		t.Errorf("a heartbeat got status %d after %v", response.StatusCode, took)
	}
	answers.Wait()
	submission, _ := wire.Marshal(job())
	if response, _ := send(t, http.MethodPost, "http://"+address+wire.PathJobs, submission); response.StatusCode != http.StatusCreated {
		t.Errorf("a submission got status %d afterwards, want %d", response.StatusCode, http.StatusCreated)
	}
}
