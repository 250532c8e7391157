package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Users' commands against a controller: what they print, and with which code they end.
func TestUserCommands(t *testing.T) {
	s := newSite(t)
	stop := s.serve()
	server := "http://" + s.users
	code := func(args ...string) int {
		t.Helper()
		c := newRootCommand()
		var out bytes.Buffer
		c.SetOut(&out)
		c.SetArgs(append(args, "--server", server))
		err := c.Execute()
		var coded *exitError
		switch {
		case err == nil:
			return 0
		case strings.Contains(err.Error(), "\n"):
			t.Errorf("%v: more than a line: %v", args, err)
		case errors.As(err, &coded):
			return coded.code
		}
		return exitFailed
	}
	dir := t.TempDir()
	job := func(i int, class string) string {
		file := filepath.Join(dir, fmt.Sprint(i))
		text := fmt.Sprintf(`{"Id":"j-%d","Jobclass":"%s","Owner":"red","Shape":"sweep","Urgency":"low","Pieces":2,"Cores":1.0,"Gpus":0.0,"RamGb":1.0,
"Bundle":"i","SizeGb":1.0,"SamePlace":false,"Spread":false,"Loaners":true,"ExpectedS":1.0,"SnapshotEveryS":0.0,"SnapshotS":0.0}`, i, class)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	const jobs = 320 // three pages
	for i := range jobs {
		file := job(i, []string{"even", "odd"}[i%2])
		s.until("accepted", func() bool { return code("submit", file) == 0 })
	}
	list := run(t, "CLASS", "jobs", "--server", server)
	if n := strings.Count(list, "\n"); n != jobs+1 {
		t.Errorf("%d lines for %d jobs", n, jobs)
	}
	list = run(t, `"id":"j-1"`, "jobs", "--server", server, "--class", "odd", "--status", "queued", "--json")
	if n := strings.Count(list, "\n"); n != jobs/2 || strings.Contains(list, "even") {
		t.Errorf("%d lines for %d jobs of one class", n, jobs/2)
	}
	run(t, `"status":"aborted"`, "cancel", "j-1", "--server", server, "--json")
	run(t, "j-1 aborted", "status", "j-1", "--server", server, "--watch")
	if list = run(t, "j-2", "jobs", "--server", server); strings.Contains(list, "j-1 ") {
		t.Error("a cancelled job is listed")
	}
	bad := filepath.Join(dir, "bad")
	if err := os.WriteFile(bad, []byte(`{"Id":`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		want int
		args []string
	}{
		{exitNotFound, []string{"status", "j-404"}},
		{exitNotFound, []string{"cancel", "j-404"}},
		{exitFailed, []string{"submit", bad}},
		{exitFailed, []string{"jobs", "--status", "done"}},
		{exitFailed, []string{"submit", filepath.Join(dir, "none")}},
	} {
		if got := code(c.args...); got != c.want {
			t.Errorf("%v: code %d, want %d", c.args, got, c.want)
		}
	}
	s.svc.SetDown(true)
	if got := code("status", "j-2"); got != exitUnavailable {
		t.Errorf("in an outage: code %d, want %d", got, exitUnavailable)
	}
	stop()
	if got := code("status", "j-2"); got != exitUnavailable {
		t.Errorf("without a controller: code %d, want %d", got, exitUnavailable)
	}
}
