package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dalefront/internal/emulator"
	"dalefront/wire"
)

// upgradeFrom names the environment variable with the path of an earlier version's program,
// from which TestUpgrade upgrades a site to this one. README.md says how it is built.
const upgradeFrom = "DALEFRONT_UPGRADE_FROM"

// Load of a site that is upgraded.
const (
	upgradeClients  = 4
	upgradePause    = 40 * time.Millisecond // of a client between two jobs
	upgradeSettling = 6 * time.Second       // under load, before and after each controller's upgrade
	longJob         = "j-7000000"           // runs through the whole upgrade
	longTasks       = 4
)

// upgradeLoad is what users of a site have been told while it is upgraded.
type upgradeLoad struct {
	jobs string // the site's address for jobs

	mu         sync.Mutex
	accepted   map[string]acceptedJob // by id
	unanswered []error
}

// acceptedJob is a job that a user was told to be accepted.
type acceptedJob struct {
	tasks     int
	cancelled bool // and the user was told so
}

// run submits jobs of several kinds, and cancels some of them, until the channel is closed.
func (l *upgradeLoad) run(client int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(38, uint64(client)))
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(upgradePause):
		}
		id := fmt.Sprintf("j-%d%06d", client+1, k)
		if !l.submit(id, upgradeJob(id, random)) {
			continue
		}
		if random.IntN(8) == 0 {
			l.cancel(id)
		}
	}
}

// upgradeJob is a small array, a gang or an urgent job.
func upgradeJob(id string, random *rand.Rand) map[string]any {
	job := map[string]any{"Id": id, "Jobclass": "array", "Owner": "research", "Shape": wire.Array, "Urgency": wire.Normal,
		"Pieces": 1 + random.IntN(3), "Cores": 1.0, "Gpus": 0.0, "RamGb": 1.0, "Bundle": "i", "SizeGb": 0.5, "SamePlace": false,
		"Spread": false, "Loaners": true, "ExpectedS": 0.2 + random.Float64(), "SnapshotEveryS": 0.0, "SnapshotS": 0.0}
	switch random.IntN(10) {
	case 0:
		job["Jobclass"], job["Shape"], job["Pieces"] = "gang", wire.Gang, 3
	case 1:
		job["Jobclass"], job["Owner"], job["Urgency"] = "urgent", "web", wire.High
	}
	return job
}

// submit says whether a job was accepted. 503 is an answer, after which this user gives the
// job up; without an answer nobody knows whether it was accepted.
func (l *upgradeLoad) submit(id string, job map[string]any) bool {
	body, err := wire.Marshal(job)
	if err == nil {
		err = request(http.MethodPost, l.jobs, body, new(wire.JobStatus))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var coded *exitError
	switch {
	case err == nil:
		l.accepted[id] = acceptedJob{tasks: job["Pieces"].(int)}
	case !errors.As(err, &coded) || coded.code != exitUnavailable:
		l.unanswered = append(l.unanswered, fmt.Errorf("%s: %w", id, err))
	}
	return err == nil
}

// cancel cancels a job, and remembers it if the user is told that it is cancelled.
func (l *upgradeLoad) cancel(id string) {
	var st wire.JobStatus
	if request(http.MethodPost, l.jobs+"/"+id+"/"+wire.CancelAction, nil, &st) == nil && st.Status == wire.JobCancelled {
		l.mu.Lock()
		job := l.accepted[id]
		job.cancelled = true
		l.accepted[id] = job
		l.mu.Unlock()
	}
}

// TestUpgrade upgrades a site from an earlier version's program to this one, controller by
// controller, under load: every user's answer holds, every job ends, no rule breaks.
func TestUpgrade(t *testing.T) {
	earlier := os.Getenv(upgradeFrom)
	if earlier == "" {
		t.Skipf("%s names no earlier program", upgradeFrom)
	}
	earlier, err := filepath.EvalSymlinks(earlier)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		name        string
		leaderFirst bool
		signal      syscall.Signal
	}{
		{"each told to end, the leader first", true, syscall.SIGTERM},
		{"each told to end, the leader last", false, syscall.SIGTERM},
		{"each killed, the leader last", false, syscall.SIGKILL},
	} {
		t.Run(x.name, func(t *testing.T) { upgrade(t, earlier, x.leaderFirst, x.signal) })
	}
}

func upgrade(t *testing.T, earlier string, leaderFirst bool, signal syscall.Signal) {
	current, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	// Controllers are started by this name, which is turned to the other program on the way.
	program := filepath.Join(t.TempDir(), "dalefront")
	if err := os.Symlink(earlier, program); err != nil {
		t.Fatal(err)
	}
	s, err := emulator.Up(emulator.Options{Dir: t.TempDir(), Program: program})
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
	defer showLogs(t, s)
	if err := s.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	runs := func(i int) string {
		t.Helper()
		exe, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", s.Process(i)))
		if err != nil {
			t.Fatal(err)
		}
		return exe
	}
	for i := range s.Controllers() {
		if got := runs(i); got != earlier {
			t.Fatalf("%s runs %s, not %s", s.Label(i), got, earlier)
		}
	}

	load := &upgradeLoad{jobs: "http://" + s.Users + wire.PathJobs, accepted: map[string]acceptedJob{}}
	if err := retryWhileUnavailable(func() error { return submitSmall(load.jobs, longJob, longTasks, 60) }); err != nil {
		t.Fatal(err)
	}
	load.accepted[longJob] = acceptedJob{tasks: longTasks}
	until(t, "the long job runs", func() bool { return s.Fleet.Summary().Running >= longTasks })
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for client := range upgradeClients {
		clients.Go(func() { load.run(client, stop) })
	}
	time.Sleep(upgradeSettling)

	if err := os.Remove(program); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink(current, program); err != nil {
		t.Fatal(err)
	}
	var order []int
	for range s.Controllers() {
		order = append(order, nextToUpgrade(t, s, order, leaderFirst))
		i := order[len(order)-1]
		upgradeController(ctx, t, s, i, signal)
		if got := runs(i); got != current {
			t.Fatalf("%s runs %s, not %s", s.Label(i), got, current)
		}
		applyConfig(t, s, len(order))
		time.Sleep(upgradeSettling)
	}
	close(stop)
	clients.Wait()
	load.check(t, s, signal)
	var out bytes.Buffer
	if err := reportViolations(&out, s.Fleet.Broken()); err != nil {
		t.Error(err, out.String())
	}
	summary := s.Fleet.Summary()
	t.Logf("order %v, %d jobs accepted; %d tasks started, %d completed, %d lost with their machines", order, len(load.accepted), summary.Started, summary.Completed, summary.Lost)
}

// showLogs shows the end of each controller's log if the test has failed.
func showLogs(t *testing.T, s *emulator.Site) {
	t.Helper()
	const lines = 12
	for i := range s.Controllers() {
		log, err := os.ReadFile(filepath.Join(s.Dir, s.Label(i)+".log"))
		if !t.Failed() || err != nil {
			continue
		}
		last := strings.Split(strings.TrimSpace(string(log)), "\n")
		t.Logf("%s at %s:\n%s", s.Label(i), s.Addr(i), strings.Join(last[max(0, len(last)-lines):], "\n"))
	}
}

// nextToUpgrade is the next controller's number: the leader, or one that is not while there is one.
func nextToUpgrade(t *testing.T, s *emulator.Site, upgraded []int, leaderFirst bool) int {
	t.Helper()
	leader := -1
	until(t, "a controller leads", func() bool { leader = s.Leader(); return leader >= 0 })
	if leaderFirst && !slices.Contains(upgraded, leader) {
		return leader
	}
	for i := range s.Controllers() {
		if i != leader && !slices.Contains(upgraded, i) {
			return i
		}
	}
	return leader
}

// upgradeController ends a controller's process and starts the new program in its place.
func upgradeController(ctx context.Context, t *testing.T, s *emulator.Site, i int, signal syscall.Signal) {
	t.Helper()
	wasLeader := s.Leader() == i
	if err := s.Signal(i, signal); err != nil {
		t.Fatal(err)
	}
	if err := s.Wait(i); signal == syscall.SIGTERM && err != nil {
		t.Errorf("%s ended with %v", s.Label(i), err)
	}
	if err := s.Start(i); err != nil {
		t.Fatal(err)
	}
	if err := s.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	until(t, "a controller leads", func() bool { return s.Leader() >= 0 })
	t.Logf("%s is upgraded (it led: %v); %s leads", s.Label(i), wasLeader, s.Label(s.Leader()))
}

// applyConfig changes the configuration with this version's command, whoever leads, and waits
// until every controller, of either version, decides by it.
func applyConfig(t *testing.T, s *emulator.Site, generation int) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "limits.hcl")
	text := fmt.Sprintf("team \"web\" {\n  cpus_max = %d\n}\n", 40+generation)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"apply", file}, {"status", "--wait", "60s"}} {
		var out bytes.Buffer
		root := newRootCommand()
		root.SetOut(&out)
		root.SetArgs(append(append([]string{"config"}, args...), "--config", s.Settings(0)))
		if err := retryWhileUnavailable(root.Execute); err != nil {
			t.Errorf("config %v: %v %s", args, err, out.String())
		}
	}
}

// check asks for every job that was accepted until it is over, at each controller.
func (l *upgradeLoad) check(t *testing.T, s *emulator.Site, signal syscall.Signal) {
	t.Helper()
	if signal == syscall.SIGTERM {
		for _, err := range l.unanswered {
			t.Errorf("a submission got no answer: %v", err)
		}
	}
	cancelled := 0
	for _, id := range slices.Sorted(maps.Keys(l.accepted)) {
		for i := range s.Controllers() {
			var st wire.JobStatus
			until(t, id+" is over", func() bool {
				return request(http.MethodGet, "http://"+s.Addr(i)+wire.PathJobs+"/"+id, nil, &st) == nil && wire.Final(st.Status)
			})
			// A cancellation without an answer may have come first, or too late.
			job := l.accepted[id]
			if job.cancelled && st.Status != wire.JobCancelled {
				t.Errorf("%s: %s was cancelled and is %s", s.Label(i), id, st.Status)
			}
			if st.Status == wire.JobDone && st.Done != job.tasks {
				t.Errorf("%s: %s is done with %d of %d tasks", s.Label(i), id, st.Done, job.tasks)
			}
			if i == 0 && st.Status == wire.JobCancelled {
				cancelled++
			}
		}
	}
	if len(l.accepted) < 100 || cancelled == 0 {
		t.Errorf("%d jobs were accepted and %d cancelled: that is no load", len(l.accepted), cancelled)
	}
}
