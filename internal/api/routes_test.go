package api

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"dalefront/wire"
)

// fullService also implements JobLister and ScheduleService, and records the arguments of its calls.
type fullService struct {
	fakeService
	after  string
	filter wire.JobFilter
	name   string
	paused bool
	calls  int
}

func (f *fullService) Jobs(_ context.Context, after string, filter wire.JobFilter) (wire.JobList, error) {
	f.calls++
	f.after, f.filter = after, filter
	return wire.JobList{}, f.err
}

func (f *fullService) Schedules(_ context.Context, after string) (wire.Schedules, error) {
	f.calls++
	f.after = after
	return wire.Schedules{}, f.err
}

func (f *fullService) Schedule(_ context.Context, name string) (wire.Schedule, error) {
	f.calls++
	f.name = name
	return wire.Schedule{Name: name}, f.err
}

func (f *fullService) PauseSchedule(_ context.Context, name string, paused bool) (wire.Schedule, error) {
	f.calls++
	f.name, f.paused = name, paused
	return wire.Schedule{Name: name, Paused: paused}, f.err
}

// request handles one request without a socket and returns the HTTP status.
func request(t *testing.T, service Service, method, target string) int {
	t.Helper()
	recorder := httptest.NewRecorder()
	Handler(service, http.NotFoundHandler(), resources).ServeHTTP(recorder, httptest.NewRequest(method, target, nil))
	return recorder.Code
}

// Checks that a list request passes its filter to the service, and that a malformed query is rejected
// without calling the service.
func TestJobListQuery(t *testing.T) {
	for _, c := range []struct {
		name, query string
		code        int
		after       string
		filter      wire.JobFilter
	}{
		{"all", "", 200, "", wire.JobFilter{}},
		{"filtered", "?Jobclass=c&Owner=t&Status=" + wire.JobRunning, 200, "", wire.JobFilter{Class: "c", Team: "t", Status: wire.JobRunning}},
		{"next page", "?After=j-7", 200, "j-7", wire.JobFilter{}},
		{"final status", "?Status=" + wire.JobDone, 400, "", wire.JobFilter{}},
		{"no id", "?After=k-7", 400, "", wire.JobFilter{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			service := &fullService{}
			if code := request(t, service, http.MethodGet, wire.PathJobList+c.query); code != c.code {
				t.Fatalf("got %d, want %d", code, c.code)
			}
			if service.after != c.after || service.filter != c.filter || (service.calls == 1) != (c.code == 200) {
				t.Errorf("%d calls, after %q, filter %+v", service.calls, service.after, service.filter)
			}
		})
	}
}

// Checks that the paths of schedules call the matching methods, and that they are not found if the
// service has no schedules.
func TestScheduleRoutes(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		want               fullService
	}{
		{"list", http.MethodGet, "?After=m", fullService{after: "m"}},
		{"one", http.MethodGet, "/nightly", fullService{name: "nightly"}},
		{"pause", http.MethodPost, "/nightly/" + wire.PauseAction, fullService{name: "nightly", paused: true}},
		{"resume", http.MethodPost, "/nightly/" + wire.ResumeAction, fullService{name: "nightly"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			service := &fullService{}
			if code := request(t, service, c.method, wire.PathSchedules+c.path); code != http.StatusOK {
				t.Fatalf("got %d, want %d", code, http.StatusOK)
			}
			if service.calls != 1 || service.after != c.want.after || service.name != c.want.name || service.paused != c.want.paused {
				t.Errorf("got %+v, want %+v", service, c.want)
			}
			if code := request(t, &fakeService{}, c.method, wire.PathSchedules+c.path); code != http.StatusNotFound {
				t.Errorf("without schedules: got %d, want %d", code, http.StatusNotFound)
			}
		})
	}
}
