package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"dalefront/internal/golden"
	"dalefront/wire"
)

// What users and workers are answered, in every case, is as testdata/responses.golden has it.
func TestResponsesStayAsTheyAre(t *testing.T) {
	jobs := wire.PathJobs
	good, err := wire.Marshal(job())
	if err != nil {
		t.Fatal(err)
	}
	malformed := job()
	malformed["Cores"] = -1.0
	known, err := wire.Marshal(malformed)
	if err != nil {
		t.Fatal(err)
	}
	report, err := wire.Marshal(map[string]any{"Host": "n-1"})
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, x := range []struct {
		name string
		err  error
	}{
		{"no error", nil}, {"unavailable", ErrUnavailable}, {"not found", ErrNotFound}, {"unsatisfiable", fmt.Errorf("%w: too large", ErrUnsatisfiable)},
		{"not the leader", ErrNotLeader}, {"redirected", RedirectError{"controller-2"}}, {"overloaded", ErrOverloaded},
		{"malformed", wire.ErrMalformed}, {"another error", errors.New("x")},
	} {
		for _, request := range []struct {
			method, path string
			body         []byte
		}{
			{"POST", jobs, good}, {"POST", jobs, known}, {"POST", jobs, []byte("hello")}, {"GET", jobs + "/j-000001", nil}, {"GET", jobs + "/x", nil},
			{"POST", jobs + "/j-000001/" + wire.CancelAction, nil}, {"POST", jobs + "/x/" + wire.CancelAction, nil},
			{"POST", wire.PathHeartbeat, report}, {"POST", wire.PathHeartbeat, nil}, {"GET", wire.PathHealth, nil}, {"GET", "/none", nil}, {"DELETE", jobs + "/j-000001", nil},
		} {
			resp, body := send(t, request.method, serve(t, &fakeService{err: x.err})+request.path, request.body)
			text := strings.TrimSpace(string(body))
			if resp.Header.Get("Content-Type") == "application/msgpack" {
				var loose any
				if err := wire.Unmarshal(body, &loose); err != nil {
					t.Fatal(err)
				}
				b, err := json.Marshal(loose)
				if err != nil {
					t.Fatal(err)
				}
				text = string(b)
			}
			fmt.Fprintf(&out, "%s: %s %s %d bytes: %d %q retry %q %s\n", x.name, request.method, request.path, len(request.body), resp.StatusCode,
				resp.Header.Get("Content-Type"), resp.Header.Get("Retry-After"), text)
		}
	}
	golden.Text(t, "responses.golden", out.String())
}
