package emulator

import (
	"fmt"
	"strings"
	"testing"

	"dalefront/internal/config"
	"dalefront/wire"
)

// stage is a fleet whose machines are told what to do by the test.
type stage struct {
	*Fleet
	t *testing.T
}

const second = config.Second

func newStage(t *testing.T, machines int, jobs ...wire.Job) *stage {
	t.Helper()
	spec := Spec{}
	if err := spec.Complete(); err != nil {
		t.Fatal(err)
	}
	set, err := spec.Settings()
	if err != nil {
		t.Fatal(err)
	}
	s := &stage{NewFleet(1, set, spec.Catalog(), 10, func(*Machine) string { return "" }), t}
	for i := range machines {
		if hosts, ok := s.rent(wire.ScaleOutRequest{RequestID: fmt.Sprint(i), Type: "small", Zone: spec.Zones[i%2], Spot: true, Count: 1}); !ok || len(hosts) != 1 {
			t.Fatal("not rented")
		}
	}
	s.Step(10 * second)
	for _, j := range jobs {
		s.Upload(j)
	}
	return s
}

func sample(id, shape string, tasks int) wire.Job {
	return wire.Job{ID: id, Team: "research", Shape: shape, Tasks: tasks, CPUs: 4, MemoryGB: 4, Image: "i", ImageGB: 2, Spot: true,
		EstimateS: 100, CheckpointIntervalS: 10, CheckpointDurationS: 1}
}

func (s *stage) machine(i int) *Machine { return s.machines[fmt.Sprintf("n-%06d", i+1)] }

// pass lets time pass in steps, and renews the leases of all but some machines.
func (s *stage) pass(seconds float64, but ...int) {
	for until := s.now + config.Micro(seconds); s.now < until; {
		for i := range s.ids {
			silent := false
			for _, b := range but {
				silent = silent || b == i
			}
			if m := s.machine(i); m != nil && !silent {
				m.answered(&wire.HeartbeatResponse{FencingToken: max(1, m.token)}, m.session, s.now)
			}
		}
		s.Step(s.now + second/10)
	}
}

func (s *stage) order(i int, op, task string, attempt uint64, grace float64) {
	s.machine(i).execute(wire.Command{Op: op, Task: task, Attempt: attempt, GraceS: &grace})
}

// state is what a machine reports of a task's latest attempt: its state, its cause,
// and "saved".
func (s *stage) state(i int, name string) (out string) {
	out = "none"
	for _, t := range s.machine(i).report().Tasks {
		if t.Task == name {
			out = t.State
			if t.Cause != "" {
				out += " " + t.Cause
			}
			if t.Saved {
				out += " saved"
			}
		}
	}
	return out
}

func (s *stage) want(i int, name, state string) {
	s.t.Helper()
	if got := s.state(i, name); got != state {
		s.t.Fatalf("%.1f s: %s on machine %d is %q, want %q", float64(s.now)/1e6, name, i, got, state)
	}
}

func (s *stage) rules(want ...string) {
	s.t.Helper()
	got := s.Broken()
	ok := len(got) == len(want)
	for i := range got {
		ok = ok && strings.Contains(got[i], want[i])
	}
	if !ok {
		s.t.Fatalf("broken rules: %q, want %q", got, want)
	}
}

func TestCommands(t *testing.T) {
	s := newStage(t, 2, sample("j-1", wire.Array, 4))
	s.order(0, wire.Launch, "j-1/0", 1, 0)
	s.want(0, "j-1/0", wire.TaskFetching)
	s.order(0, wire.Launch, "j-1/1", 1, 0)
	s.order(0, wire.Launch, "j-1/2", 1, 0) // 12 of 8 CPUs
	s.want(0, "j-1/2", wire.TaskExited+" "+wire.CauseNoRoom)
	s.order(0, wire.Launch, "j-2/0", 1, 0)
	s.want(0, "j-2/0", wire.TaskExited+" "+wire.CauseUnknown)
	s.pass(1.5) // 2 GB at 2 GB/s
	s.want(0, "j-1/0", wire.TaskRunning)
	s.order(0, wire.Launch, "j-1/0", 1, 0) // repeated: no effect
	s.want(0, "j-1/0", wire.TaskRunning)
	s.pass(20)
	s.order(0, wire.Stop, "j-1/0", 1, 5)
	s.want(0, "j-1/0", wire.TaskSaving)
	s.order(0, wire.Stop, "j-1/1", 1, 0.5) // too little to save
	s.want(0, "j-1/1", wire.TaskExited+" "+wire.CauseStopped)
	s.pass(1.5)
	s.want(0, "j-1/0", wire.TaskExited+" "+wire.CauseStopped+" saved")
	s.order(0, wire.Clear, "j-1/0", 1, 0)
	s.want(0, "j-1/0", "none")
	if j := s.jobs["j-1"]; j.saved[0] < 18*second || j.saved[1] != 20*second {
		t.Errorf("kept %v of the progress", j.saved)
	}
	s.rules()
}

// A worker that nobody answers forgets its tasks with its lease and begins another
// session; a lower token is not obeyed.
func TestLease(t *testing.T) {
	s := newStage(t, 1, sample("j-1", wire.Array, 1))
	m := s.machine(0)
	m.answered(&wire.HeartbeatResponse{FencingToken: 7, Commands: []wire.Command{{Op: wire.Launch, Task: "j-1/0", Attempt: 1}}}, 1, s.now)
	s.pass(3)
	s.want(0, "j-1/0", wire.TaskRunning)
	m.answered(&wire.HeartbeatResponse{FencingToken: 6, Commands: []wire.Command{{Op: wire.Stop, Task: "j-1/0", Attempt: 1}}}, 1, s.now)
	s.want(0, "j-1/0", wire.TaskRunning)
	s.pass(6, 0)
	s.want(0, "j-1/0", "none")
	if m.session != 2 || m.token != 7 {
		t.Errorf("session %d, token %d", m.session, m.token)
	}
	m.answered(&wire.HeartbeatResponse{FencingToken: 7, Commands: []wire.Command{{Op: wire.Launch, Task: "j-1/0", Attempt: 2}}}, 1, s.now)
	s.want(0, "j-1/0", "none") // an answer to the last session
}

func TestGangs(t *testing.T) {
	s := newStage(t, 3, sample("j-1", wire.Gang, 2))
	launch := func(i int, task string, attempt uint64) { s.order(i, wire.Launch, task, attempt, 0) }
	launch(0, "j-1/0", 1)
	s.pass(5)
	s.want(0, "j-1/0", wire.TaskWaiting)
	s.pass(20)
	s.want(0, "j-1/0", wire.TaskExited+" "+wire.CauseGangIncomplete)

	launch(0, "j-1/0", 2)
	launch(1, "j-1/1", 2)
	s.pass(2)
	s.want(0, "j-1/0", wire.TaskRunning)
	s.pass(25)
	s.die(s.machine(1)) // progress since the last checkpoint is lost
	s.pass(4)
	s.want(0, "j-1/0", wire.TaskExited+" "+wire.CauseGangMemberLost)
	if got := s.jobs["j-1"].saved[0]; got != 20*second {
		t.Errorf("kept %d of the progress", got)
	}

	launch(0, "j-1/0", 3)
	launch(2, "j-1/1", 3)
	s.pass(5)
	s.order(0, wire.Stop, "j-1/0", 3, 5)
	s.pass(2)
	s.order(2, wire.Stop, "j-1/1", 3, 5)
	s.pass(2)
	s.want(0, "j-1/0", wire.TaskExited+" "+wire.CauseStopped+" saved")
	s.want(2, "j-1/1", wire.TaskExited+" "+wire.CauseStopped+" saved")
	if got := s.jobs["j-1"].saved[0]; got < 22*second || got > 26*second {
		t.Errorf("kept %d of the progress", got)
	}

	launch(0, "j-1/0", 4)
	launch(2, "j-1/1", 4)
	s.pass(3)
	s.order(0, wire.Stop, "j-1/0", 4, 5) // the other one is not told in time
	s.pass(5)
	s.want(0, "j-1/0", wire.TaskExited+" "+wire.CauseGangMemberLost)
	s.want(2, "j-1/1", wire.TaskExited+" "+wire.CauseGangMemberLost)

	launch(0, "j-1/0", 5)
	launch(2, "j-1/1", 5)
	s.pass(130)
	s.want(0, "j-1/0", wire.TaskExited+" "+wire.CauseDone)
	s.want(2, "j-1/1", wire.TaskExited+" "+wire.CauseDone)
	s.rules()
}

// Each rule, broken on purpose, is found.
func TestRulesAreFound(t *testing.T) {
	in := func(zone string) wire.Job { j := sample("j-1", wire.Array, 2); j.Zone = &zone; return j }
	one := sample("j-1", wire.Array, 2)
	one.OneZone = true
	for name, c := range map[string]struct {
		job  wire.Job
		do   func(s *stage)
		want []string
	}{
		"twice": {sample("j-1", wire.Array, 1), func(s *stage) {
			s.order(0, wire.Launch, "j-1/0", 1, 0)
			s.order(1, wire.Launch, "j-1/0", 2, 0)
			s.pass(3)
		}, []string{"ran twice"}},
		"zone": {in("a"), func(s *stage) {
			s.order(1, wire.Launch, "j-1/0", 1, 0)
			s.pass(3)
		}, []string{"wrong place"}},
		"one zone": {one, func(s *stage) {
			s.order(0, wire.Launch, "j-1/0", 1, 0)
			s.order(1, wire.Launch, "j-1/1", 1, 0)
			s.pass(3)
		}, []string{"wrong place"}},
		"cancelled": {sample("j-1", wire.Array, 1), func(s *stage) {
			s.order(0, wire.Launch, "j-1/0", 1, 0)
			s.pass(3)
			s.Told(wire.JobStatus{ID: "j-1", Status: wire.JobCancelled})
			s.pass(1)
		}, []string{"ran cancelled"}},
		"after its end": {sample("j-1", wire.Array, 1), func(s *stage) {
			s.Told(wire.JobStatus{ID: "j-1", Status: wire.JobCancelled})
			s.pass(16)
			s.order(0, wire.Launch, "j-1/0", 1, 0)
			s.pass(3)
		}, []string{"ran cancelled", "started after its end"}},
		"just cancelled": {sample("j-1", wire.Array, 1), func(s *stage) {
			s.Told(wire.JobStatus{ID: "j-1", Status: wire.JobCancelled})
			s.order(0, wire.Launch, "j-1/0", 1, 0) // it was on its way, and nobody should have been told
			s.pass(3)
		}, []string{"ran cancelled", "started after its end"}},
		"answers": {sample("j-1", wire.Array, 1), func(s *stage) {
			s.Missing("j-1") // not accepted yet
			s.Told(wire.JobStatus{ID: "j-1", Status: wire.JobQueued})
			s.Missing("j-1")
			s.Told(wire.JobStatus{ID: "j-1", Status: wire.JobDone})
			s.Told(wire.JobStatus{ID: "j-1", Status: wire.JobRunning})
		}, []string{"forgotten", "not done", "went back"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStage(t, 2, c.job)
			c.do(s)
			s.rules(c.want...)
		})
	}
	big := sample("j-1", wire.Array, 9)
	big.CPUs, big.Team = 8, "web"
	s := newStage(t, 9, big)
	for i := range 9 {
		s.order(i, wire.Launch, wire.TaskName("j-1", int32(i)), 1, 0)
	}
	s.pass(2)
	if got := s.Broken(); len(got) == 0 || !strings.Contains(got[0], "quota") {
		t.Errorf("72 CPUs of 64: %q", got)
	}
}

// The cloud: a repeated request rents nothing, the list lags, a return ends machines.
func TestCloud(t *testing.T) {
	s := newStage(t, 0)
	hire := wire.ScaleOutRequest{RequestID: "r", Type: "small", Zone: "a", Count: 8}
	first, _ := s.rent(hire)
	again, _ := s.rent(hire)
	if len(first) != 8 || fmt.Sprint(first) != fmt.Sprint(again) {
		t.Errorf("rented %v, then %v", first, again)
	}
	if rest, ok := s.rent(wire.ScaleOutRequest{RequestID: "q", Type: "small", Zone: "b", Count: 5}); !ok || len(rest) != 2 {
		t.Errorf("of ten machines %d were left", len(rest))
	}
	if got := s.page("", 500); len(got.Machines) != 0 {
		t.Errorf("listed at once: %v", got)
	}
	s.pass(5)
	if got := s.page(first[0], 3); len(got.Machines) != 3 || !got.More || got.Machines[0].ID != first[1] || got.Machines[0].State != wire.MachineRunning {
		t.Errorf("listed %v", got)
	}
	s.Return([]string{first[0], "n-999999"})
	if len(s.machines) != 9 || s.Summary().Price <= 0 {
		t.Errorf("%d machines after a return, price %f", len(s.machines), s.Summary().Price)
	}
}
