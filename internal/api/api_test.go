package api

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"testing"

	"dalefront/internal/config"
	"dalefront/wire"
)

// fakeService records the submitted jobs and returns the configured errors.
type fakeService struct {
	err       error
	statusErr error // returned by Status instead of err
	jobs      []*wire.Job
}

func (f *fakeService) Submit(_ context.Context, j *wire.Job) (wire.JobStatus, bool, error) {
	f.jobs = append(f.jobs, j)
	return wire.JobStatus{ID: j.ID, Status: wire.JobQueued}, len(f.jobs) == 1, f.err
}
func (f *fakeService) Status(_ context.Context, id string) (wire.JobStatus, error) {
	return wire.JobStatus{ID: id, Status: wire.JobRunning}, cmp.Or(f.statusErr, f.err)
}
func (f *fakeService) Cancel(_ context.Context, id string) (wire.JobStatus, error) {
	return wire.JobStatus{ID: id, Status: wire.JobCancelled}, f.err
}
func (f *fakeService) Heartbeat(context.Context, *wire.Heartbeat) (wire.HeartbeatResponse, error) {
	return wire.HeartbeatResponse{FencingToken: 7}, f.err
}
func (f *fakeService) Ready() error { return f.err }

// resources are those of the smallest deployment's controllers.
var resources = &config.Resources{Cores: 0.144, MemoryMB: 98, Sockets: 800}

func serve(t *testing.T, f Service) string {
	t.Helper()
	return serveConns(t, f, 100)
}

// serveConns serves a service with a socket budget.
func serveConns(t *testing.T, f Service, sockets int) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := NewServer(Handler(f, http.NotFoundHandler(), resources), sockets)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return "http://" + l.Addr().String()
}

func send(t *testing.T, method, url string, body []byte) (*http.Response, []byte) {
	t.Helper()
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, b
}

func job() map[string]any {
	return map[string]any{"Id": "j-000001", "Jobclass": "c", "Owner": "t", "Shape": "sweep", "Urgency": "low", "Pieces": 3,
		"Cores": 1.0, "Gpus": 0.0, "RamGb": 1.0, "Bundle": "i", "SizeGb": 1.0, "Builds": nil, "SamePlace": false,
		"Spread": false, "Loaners": true, "ExpectedS": 1.0, "SnapshotEveryS": 0.0, "SnapshotS": 0.0, "Extra": []int{1}}
}

// Checks over a real socket that malformed submissions get 400. A valid submission must get 201 the first
// time and 200 when it is repeated.
func TestSubmit(t *testing.T) {
	f := &fakeService{statusErr: ErrNotFound}
	url := serve(t, f) + wire.PathJobs
	malformed := map[string]func(m map[string]any){
		"negative":     func(m map[string]any) { m["Cores"] = -1.0 },
		"not a number": func(m map[string]any) { m["RamGb"] = math.NaN() },
		"infinite":     func(m map[string]any) { m["SizeGb"] = math.Inf(1) },
		"no tasks":     func(m map[string]any) { m["Pieces"] = 0 },
		"too many":     func(m map[string]any) { m["Pieces"] = 100_001 },
		"half a task":  func(m map[string]any) { m["Pieces"] = 1.5 },
		"id":           func(m map[string]any) { m["Id"] = "k-1" },
		"shape":        func(m map[string]any) { m["Shape"] = "cube" },
		"urgency":      func(m map[string]any) { m["Urgency"] = "now" },
		"missing":      func(m map[string]any) { delete(m, "Loaners") },
		"wrong type":   func(m map[string]any) { m["Spread"] = "yes" },
		"types":        func(m map[string]any) { m["Builds"] = []int{3} },
		"deadline":     func(m map[string]any) { m["DueS"] = "soon" },
		"too long":     func(m map[string]any) { m["Extra"] = string(make([]byte, wire.MaxBodyBytes)) },
	}
	for name, corrupt := range malformed {
		t.Run(name, func(t *testing.T) {
			m := job()
			corrupt(m)
			b, _ := wire.Marshal(m)
			if resp, _ := send(t, http.MethodPost, url, b); resp.StatusCode != http.StatusBadRequest {
				t.Errorf("got %d, want %d", resp.StatusCode, http.StatusBadRequest)
			}
		})
	}
	for _, b := range [][]byte{nil, []byte("hello"), {0x93, 1, 2, 3}, {0xc0}, {0x81, 0x01, 0x01}} {
		if resp, _ := send(t, http.MethodPost, url, b); resp.StatusCode != http.StatusBadRequest {
			t.Errorf("body %x: got %d, want %d", b, resp.StatusCode, http.StatusBadRequest)
		}
	}
	if len(f.jobs) > 0 {
		t.Fatalf("a malformed job was accepted: %+v", f.jobs[0])
	}
	b, _ := wire.Marshal(job())
	for _, want := range []int{http.StatusCreated, http.StatusOK} {
		if resp, _ := send(t, http.MethodPost, url, b); resp.StatusCode != want {
			t.Errorf("got %d, want %d", resp.StatusCode, want)
		}
	}
}

// Checks for each field of a submission whether it may be omitted or null, and which types of values
// it accepts, as the protocol specifies.
func TestFields(t *testing.T) {
	text, amount, count, flag := "text", "amount", "count", "flag"
	fields := map[string]struct {
		kind     string
		nullable bool
	}{
		"Id": {text, false}, "Jobclass": {text, false}, "Owner": {text, false}, "Shape": {text, false}, "Urgency": {text, false},
		"Pieces": {count, false}, "Cores": {amount, false}, "Gpus": {amount, false}, "RamGb": {amount, false},
		"Builds": {"list", true}, "District": {text, true}, "SamePlace": {flag, false}, "Spread": {flag, false}, "Loaners": {flag, false},
		"Bundle": {text, false}, "SizeGb": {amount, false}, "ExpectedS": {amount, false}, "SnapshotEveryS": {amount, false},
		"SnapshotS": {amount, false}, "DueS": {amount, true},
	}
	kinds := map[string][]any{
		text: {"x"}, amount: {1.5, float32(0.5)}, count: {2, uint64(3)}, flag: {true, false}, "list": {[]string{"s"}, []string{}},
		"map": {map[string]int{}}, "none": {nil},
	}
	submitStatus := func(m map[string]any) int {
		b, _ := wire.Marshal(m)
		resp, _ := send(t, http.MethodPost, serve(t, &fakeService{statusErr: ErrNotFound})+wire.PathJobs, b)
		return resp.StatusCode
	}
	for name, field := range fields {
		want := http.StatusBadRequest
		if field.nullable {
			want = http.StatusCreated
		}
		m := job()
		delete(m, name)
		if got := submitStatus(m); got != want {
			t.Errorf("without %s: got status %d, want %d", name, got, want)
		}
		for kind, values := range kinds {
			for _, v := range values {
				want := http.StatusBadRequest
				switch {
				case kind == "none" && field.nullable, kind == field.kind, kind == count && field.kind == amount:
					want = http.StatusCreated
				}
				if name == "Id" || name == "Shape" || name == "Urgency" {
					want = http.StatusBadRequest // the text has the wrong form
				}
				m := job()
				m[name] = v
				if got := submitStatus(m); got != want {
					t.Errorf("%s as %s %v: got status %d, want %d", name, kind, v, got, want)
				}
			}
		}
	}
}

// Checks that a malformed repeat of an accepted submission is not rejected as malformed: the response
// is the job's status if the job is known, and a transient error if that cannot be determined.
func TestMalformedRepeat(t *testing.T) {
	for _, c := range []struct {
		name      string
		statusErr error
		code      int
	}{{"accepted", nil, 200}, {"not accepted", ErrNotFound, 400}, {"not known", ErrUnavailable, 503}} {
		t.Run(c.name, func(t *testing.T) {
			m := job()
			delete(m, "Loaners")
			b, _ := wire.Marshal(m)
			if resp, _ := send(t, http.MethodPost, serve(t, &fakeService{statusErr: c.statusErr})+wire.PathJobs, b); resp.StatusCode != c.code {
				t.Errorf("got %d, want %d", resp.StatusCode, c.code)
			}
		})
	}
}

// Checks the HTTP status of every error, and that transient errors have a Retry-After header.
func TestStatuses(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		code int
	}{
		{"unavailable", ErrUnavailable, 503},
		{"not found", ErrNotFound, 404},
		{"unsatisfiable", fmt.Errorf("%w: x", ErrUnsatisfiable), 422},
		{"overloaded", ErrOverloaded, 429},
		{"malformed", fmt.Errorf("%w: x", wire.ErrMalformed), 400},
		{"not the leader", ErrNotLeader, 421},
		{"any other", io.ErrUnexpectedEOF, 503},
		{"none", nil, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			url := serve(t, &fakeService{err: c.err})
			resp, _ := send(t, http.MethodGet, url+wire.PathJobs+"/j-1", nil)
			if resp.StatusCode != c.code {
				t.Errorf("got %d, want %d", resp.StatusCode, c.code)
			}
			if hasRetryAfter := resp.Header.Get("Retry-After") != ""; hasRetryAfter != (c.code == 503 || c.code == 429) {
				t.Errorf("status %d has Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
			}
		})
	}
	url := serve(t, &fakeService{err: ErrNotLeader})
	heartbeat, _ := wire.Marshal(wire.Heartbeat{Host: "n-1"})
	for _, c := range []struct {
		method, path string
		body         []byte
		code         int
	}{
		{http.MethodPost, wire.PathHeartbeat, heartbeat, 421}, {http.MethodGet, "/nowhere", nil, 404},
		{http.MethodDelete, wire.PathJobs, nil, 405}, {http.MethodGet, wire.PathHeartbeat, nil, 405},
		{http.MethodGet, wire.PathHealth, nil, 503}, {http.MethodGet, wire.PathJobs + "/x", nil, 404},
	} {
		if resp, _ := send(t, c.method, url+c.path, c.body); resp.StatusCode != c.code {
			t.Errorf("%s %s: got %d, want %d", c.method, c.path, resp.StatusCode, c.code)
		}
	}
}

// Checks that the response to a redirected worker names the controller that should get its heartbeats.
func TestRedirect(t *testing.T) {
	b, _ := wire.Marshal(wire.Heartbeat{Host: "n-1"})
	resp, err := http.Post(serve(t, &fakeService{err: RedirectError{Target: "b"}})+wire.PathHeartbeat, contentType, bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	var redirect wire.Redirect
	if err := wire.Unmarshal(body, &redirect); err != nil || resp.StatusCode != 421 || redirect.To != "b" {
		t.Errorf("got status %d, %+v, %v", resp.StatusCode, redirect, err)
	}
}
