package api

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

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
