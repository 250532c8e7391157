package main

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dalefront/internal/emulator"
	"dalefront/internal/golden"
	"dalefront/wire"
)

// earlierSite holds what a site of an earlier version (68879d5) has left: the data file of
// `site up --data`, its operator's settings, its schedules, and a file of `snapshot take`. 40
// short jobs had ended, 29 of them archived; a job was cancelled, two arrays were done; a gang
// and an array were running, two jobs of a schedule waited, one schedule was paused, and the
// configuration had been changed once. These files must stay as they are.
const earlierSite = "testdata/earlier-site"

// Jobs of the earlier site and what users were told of them.
var earlierAnswers = func() map[string]wire.JobStatus {
	answers := map[string]wire.JobStatus{
		"j-100": {Status: wire.JobCancelled, Done: 0},
		"j-300": {Status: wire.JobDone, Done: 40},
		"j-301": {Status: wire.JobDone, Done: 30},
	}
	for i := 1; i <= 40; i++ {
		answers[fmt.Sprint("j-", 1_000_000+i)] = wire.JobStatus{Status: wire.JobDone, Done: 1}
	}
	for id, st := range answers {
		st.ID = id
		answers[id] = st
	}
	return answers
}()

// unpack copies the earlier site's files into a directory of the test's own.
func unpack(t *testing.T) (data, operator string) {
	t.Helper()
	dir := t.TempDir()
	for _, name := range []string{"operator.hcl", "calendar.hcl"} {
		text, err := os.ReadFile(filepath.Join(earlierSite, name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	packed, err := os.Open(filepath.Join(earlierSite, "site.db.gz"))
	if err != nil {
		t.Fatal(err)
	}
	defer packed.Close()
	unpacked, err := gzip.NewReader(packed)
	if err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(unpacked)
	if err != nil {
		t.Fatal(err)
	}
	data = filepath.Join(dir, "site.db")
	if err := os.WriteFile(data, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return data, filepath.Join(dir, "operator.hcl")
}

// A site that an earlier version has left is taken up: every job has the answer that its
// user was told, what was under way ends, the configuration, its history and the schedules'
// are there, and no rule breaks.
func TestSiteOfTheEarlierVersion(t *testing.T) {
	t.Parallel()
	data, operator := unpack(t)
	s, err := emulator.Up(emulator.Options{Dir: t.TempDir(), Data: data, Operator: operator, Spec: emulator.Spec{Controllers: 2, Machines: 8}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute) // only ends a test that hangs
	defer cancel()
	defer func() {
		if err := s.Down(); err != nil {
			t.Error(err)
		}
	}()
	if err := s.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	jobs := "http://" + s.Users + wire.PathJobs
	status := func(id string) (st wire.JobStatus) {
		t.Helper()
		if err := retryWhileUnavailable(func() error { return request(http.MethodGet, jobs+"/"+id, nil, &st) }); err != nil {
			t.Fatal(id, err)
		}
		return st
	}
	for id, want := range earlierAnswers {
		if got := status(id); got != want {
			t.Errorf("%s is read as %+v, want %+v", id, got, want)
		}
	}
	until(t, "a controller leads", func() bool { return s.Leader() >= 0 })
	outputOfASite(t, s.Users, s.Settings(0))
	// What was under way goes on: the array with the tasks that were done before, and the gang,
	// until it is cancelled. The schedule's jobs stay: workers of such a site know only jobs
	// that users have submitted, and fail the tasks of others.
	if st := status("j-200"); wire.Final(st.Status) {
		t.Errorf("the gang was running and is read as %+v", st)
	}
	for _, id := range []string{"j-1190951223463925265", "j-1812279172124273867"} {
		if st := status(id); wire.Final(st.Status) {
			t.Errorf("the schedule's job %s waited and is read as %+v", id, st)
		}
	}
	until(t, "the array is done", func() bool { return status("j-302").Status == wire.JobDone })
	if st := status("j-302"); st.Done != 40 {
		t.Errorf("the array is done with %d of 40 tasks", st.Done)
	}
	until(t, "the gang runs again", func() bool { return status("j-200").Running == 2 })
	until(t, "the gang is cancelled", func() bool {
		var st wire.JobStatus
		return request(http.MethodPost, jobs+"/j-200/"+wire.CancelAction, nil, &st) == nil && st.Status == wire.JobCancelled
	})

	for _, x := range []struct {
		args []string
		want []string
	}{
		{[]string{"config", "get", "--config", s.Settings(0)}, []string{"generation 1\n", `team/web: {"cpus_max":20}`, `cordon/b-gpu: {"reason":"switch","type":"gpu","zone":"b"}`, `{"idle_return_s":40}`}},
		{[]string{"config", "history", "--config", s.Settings(0)}, []string{`by "test"`}},
		{[]string{"calendar", "list", "--server", "http://" + s.Users}, []string{"minutely  active", "ran=2", "paused  paused", "ran=0"}},
		{[]string{"calendar", "runs", "minutely", "--server", "http://" + s.Users}, []string{"2026-12-02T10:32:00Z  submitted  j-1190951223463925265\n", "2026-12-02T10:33:00Z  submitted  j-1812279172124273867\n"}},
	} {
		var out bytes.Buffer
		root := newRootCommand()
		root.SetOut(&out)
		root.SetArgs(x.args)
		if err := root.Execute(); err != nil {
			t.Errorf("%v: %v", x.args, err)
		}
		for _, want := range x.want {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%v: %q, want %q in it", x.args, out.String(), want)
			}
		}
	}
	var out bytes.Buffer
	if err := reportViolations(&out, s.Fleet.Broken()); err != nil {
		t.Error(err, out.String())
	}
}

// A file that an earlier version's `snapshot take` has written is shown alike, and restored
// into an empty state service it answers for every job.
func TestSnapshotOfTheEarlierVersion(t *testing.T) {
	t.Parallel()
	file := filepath.Join(earlierSite, "site.snapshot")
	run(t, "whole", "snapshot", "verify", file)
	golden.Text(t, "snapshot-show.golden", run(t, "revision 247 of 2026-12-02T10:33:29Z, 42 keys", "snapshot", "show", file))
	place := newSite(t)
	run(t, "keys written", "restore", file, "--config", place.config)
	stop := place.serve()
	defer stop()
	for id, want := range earlierAnswers {
		place.until("an answer about "+id, func() bool {
			code, st := place.ask(http.MethodGet, wire.PathJobs+"/"+id, nil)
			if code == http.StatusNotFound || code == http.StatusOK && st != want {
				t.Fatalf("%s: %d %+v, want %+v", id, code, st, want)
			}
			return code == http.StatusOK
		})
	}
	for _, id := range []string{"j-200", "j-302", "j-1190951223463925265", "j-1812279172124273867"} {
		place.until("an answer about "+id, func() bool {
			code, st := place.ask(http.MethodGet, wire.PathJobs+"/"+id, nil)
			if code == http.StatusNotFound || wire.Final(st.Status) {
				t.Fatalf("%s: %d %+v, want it not to be over", id, code, st)
			}
			return code == http.StatusOK
		})
	}
}
