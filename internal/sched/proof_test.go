package sched

import (
	"slices"
	"testing"

	"dalefront/internal/config"
	"dalefront/wire"
)

// What a worker says to a direct command proves less than a report of its own: the answer to
// one may be outstanding and bring a launch. Of what was seen it proves that it is gone.
func TestAnswersToCommandsProve(t *testing.T) {
	at := func(b *bed, token, session, seq uint64, tasks ...wire.TaskStatus) {
		b.CommandAnswered(&wire.Heartbeat{Host: "n-1", Addr: "n-1", Type: "s", Zone: "x", Incarnation: session, Sequence: seq, FencingToken: token, Tasks: tasks}, b.now)
	}
	begin := func() *bed {
		b := newBed(t, config.Team{Name: "a"})
		b.report("n-1", "s", "x", 1)
		b.AddJob(spec("j-1", "a", wire.Low, 2, 2), b.now, b.now)
		b.schedule()
		if got := ops(b.report("n-1", "s", "x", 1), wire.Launch); len(got) != 2 {
			t.Fatalf("launched %v", got)
		}
		return b
	}
	left := func(b *bed) int { return b.machines.find("n-1").placementCount }
	b := begin()
	at(b, 7, 1, b.seq+1)
	if left(b) != 2 {
		t.Fatal("tasks were freed whose launch may be on its way")
	}
	b.seq++
	running := b.running("n-1")
	b.report("n-1", "s", "x", 1, running...)
	b.JobEnded("j-1", wire.JobCancelled, b.now)
	exited := slices.Clone(running)
	for i := range exited {
		exited[i].State, exited[i].Cause = wire.TaskExited, wire.CauseStopped
	}
	for what, say := range map[string]func(){
		"older than its last report":     func() { at(b, 7, 1, b.seq, exited...) },
		"of a worker that has not heard": func() { at(b, 6, 1, b.seq+1, exited...) },
		"still running":                  func() { at(b, 7, 1, b.seq+1, running...); b.seq++ },
	} {
		if say(); left(b) != 2 {
			t.Fatalf("an answer %s freed tasks", what)
		}
	}
	at(b, 7, 1, b.seq+1, exited[0], running[1])
	if left(b) != 1 {
		t.Errorf("%d tasks after one was said to have exited", left(b))
	}
	at(b, 7, 1, b.seq+2, exited[0])
	if f := b.TakeForgotten(); left(b) != 0 || !slices.Equal(f, []ForgottenJob{{"j-1", wire.JobCancelled}}) {
		t.Errorf("%d tasks are left, forgotten %v, when the other is gone from the list", left(b), f)
	}
	b = begin()
	at(b, 7, 2, 1)
	if left(b) != 0 {
		t.Error("a later session's answer leaves what the earlier one held")
	}
	if heard := b.machines.find("n-1"); heard.confirmed {
		t.Error("launches may go to a session that has not reported")
	}
}

// A machine that only the ledger names, and that no list of this term shows, is taken or dead:
// a job that was done kept its places, against its team's limit, for ever.
func TestMachineThatWasNeverListed(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	b.AddJob(spec("j-1", "a", wire.Low, 1, 2), b.now, b.now)
	b.RecoverLedger(map[string]LedgerEntry{"e": {Hosts: []LedgerHost{{Host: "n-9", Addr: "n-9", Type: "s", Zone: "x", Incarnation: 1}}, Runs: []LedgerRun{{Host: 0, Job: "j-1", Attempt: 5, Tasks: []int32{0}}}}})
	b.JobEnded("j-1", wire.JobDone, b.now)
	returned := false
	for range 40 { // the list lags 5 s, at times 10
		b.now += second
		b.MachinesListed(nil, b.now)
		back := b.ScaleIn(b.now, false)
		returned = returned || slices.Contains(back, "n-9")
		if returned && b.now-b.termStart < 20*second {
			t.Fatal("returned while a list that lags need not show it")
		}
	}
	if !returned {
		t.Error("never returned")
	}
}

// What is rented for tasks that have to be spread is rented where they may go: room for all of
// them in one zone was taken for enough, and a gang waited for ever.
func TestSpreadRents(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	for _, h := range []string{"n-1", "n-2", "n-3"} {
		b.report(h, "s", "x", 1)
	}
	j := spec("j-1", "a", wire.High, 4, 4)
	j.Shape, j.Spread = wire.Gang, true
	b.AddJob(j, b.now, b.now)
	b.now += 5 * second
	b.MachinesListed(nil, b.now)
	for _, h := range []string{"n-1", "n-2", "n-3"} {
		b.report(h, "s", "x", 1)
	}
	if b.schedule() != nil {
		t.Fatal("placed in one zone")
	}
	in := map[string]int{}
	for _, h := range b.ScaleOut(b.now) {
		in[h.Zone] += h.Count
	}
	if in["y"] == 0 || in["x"] > 0 {
		t.Errorf("rented %v", in)
	}
}

// A job that no placement can ever satisfy is not accepted; one that can run in parts is.
func TestImpossible(t *testing.T) {
	b := newBed(t, config.Team{Name: "a", MaxCPUs: 16})
	x := "x"
	for _, c := range []struct {
		what, shape         string
		tasks               int
		zone                *string
		oneZone, spread, ok bool
	}{
		{"a gang in one zone", wire.Gang, 2, nil, true, false, true},
		{"a gang spread", wire.Gang, 2, nil, false, true, true},
		{"a gang in one zone and spread", wire.Gang, 2, nil, true, true, false},
		{"a lone task in one zone and spread", wire.Gang, 1, nil, true, true, true},
		{"a gang spread in a zone", wire.Gang, 2, &x, false, true, false},
		{"a service spread in a zone", wire.Service, 2, &x, false, true, false},
		{"an array spread in a zone, a half at a time", wire.Array, 2, &x, false, true, true},
		{"an array in one zone and spread", wire.Array, 4, nil, true, true, true},
		{"a gang beyond the limit", wire.Gang, 5, nil, false, false, false},
		{"an array beyond the limit, a few at a time", wire.Array, 5, nil, false, false, true},
	} {
		j := spec("j-1", "a", wire.Normal, c.tasks, 4)
		j.Shape, j.Zone, j.OneZone, j.Spread = c.shape, c.zone, c.oneZone, c.spread
		cat := wire.Catalog{}
		for _, n := range []string{"s", "g"} {
			cat.Types = append(cat.Types, *b.machineTypes[n])
		}
		b.settings.Deployment.Teams = []config.Team{{Name: "a", MaxCPUs: 16}}
		if err := Admit(b.settings, cat, &j); (err == nil) != c.ok {
			t.Errorf("%s: %v", c.what, err)
		}
	}
}

// Work that waits within its team's guarantee but at its team's limit can't start: it keeps no
// machine from others.
func TestLimitedClaimNothing(t *testing.T) {
	b := newBed(t, config.Team{Name: "a", CPUs: 100, MaxCPUs: 4}, config.Team{Name: "b"})
	b.report("n-1", "s", "x", 1)
	b.AddJob(spec("j-1", "a", wire.High, 3, 4), b.now, b.now)
	b.AddJob(spec("j-2", "b", wire.Low, 1, 4), b.now, b.now)
	b.schedule()
	b.report("n-1", "s", "x", 1, b.running("n-1")...)
	b.now += second
	b.schedule()
	if n := len(b.jobs.find("j-2").placements); n != 1 {
		t.Errorf("%d tasks of the other team have a place beside work that may not start", n)
	}
}

// A machine stays while a gang that could use it waits for others to boot: it went back as idle,
// and the gang waited for ever.
func TestMachinesOfAWaitingGangStay(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	j := spec("j-1", "a", wire.High, 2, 8)
	j.Shape = wire.Gang
	b.AddJob(j, b.now, b.now)
	for range 80 {
		b.now += second
		b.report("n-1", "s", "x", 1)
		b.MachinesListed([]wire.Machine{{ID: "n-1", Type: "s", Zone: "x", State: wire.MachineRunning}}, b.now)
		b.schedule()
		if back := b.ScaleIn(b.now, false); len(back) > 0 {
			t.Fatalf("returned %v after %d s", back, (b.now-b.termStart)/second)
		}
	}
	b.JobEnded("j-1", wire.JobCancelled, b.now)
	b.now += second
	b.report("n-1", "s", "x", 1)
	if back := b.ScaleIn(b.now, false); len(back) != 1 {
		t.Errorf("returned %v once nobody waits", back)
	}
}

// A place that was only tried leaves a machine as idle as it was; a task that was there does not.
func TestTriedPlacesLeaveMachinesIdle(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	b.report("n-1", "g", "x", 1)
	b.AddJob(spec("j-1", "a", wire.Low, 1, 2), b.now, b.now)
	m, since := b.machines.find("n-1"), b.now
	for _, stored := range []bool{false, true} {
		b.now += 10 * second
		p := b.addPlacement(b.jobs.find("j-1"), 0, m, 9)
		p.durable = stored
		b.release(p)
		want := since
		if stored {
			want = b.now
		}
		if m.idleSince != want || m.gpusIdleSince != want {
			t.Errorf("stored %v: idle since %d and %d, want %d", stored, m.idleSince, m.gpusIdleSince, want)
		}
	}
}

// A machine that hangs with nothing but tasks of a job that is over takes room, and counts against a
// team's limit: it is given back once a boot would be quicker than to wait.
func TestHungMachineWithFinishedWork(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	b.AddJob(spec("j-1", "a", wire.Low, 1, 8), b.now, b.now)
	b.report("n-1", "s", "x", 1)
	b.schedule()
	b.report("n-1", "s", "x", 1, b.running("n-1")...)
	b.JobEnded("j-1", wire.JobDone, b.now)
	for range 150 {
		b.now += second
		for _, h := range []string{"n-2", "n-3", "n-4"} {
			b.report(h, "s", "x", 1)
		}
		b.MachinesListed([]wire.Machine{{ID: "n-1", Type: "s", Zone: "x", State: wire.MachineRunning}}, b.now)
		b.schedule()
		b.DetectFailures(b.now, nil)
		if slices.Contains(b.ScaleIn(b.now, false), "n-1") {
			return
		}
	}
	t.Error("never given back")
}

// A machine that is silent beyond its lease, with tasks, is asked by commands: it may only reach no
// controller, and its answer frees what it lost with the lease without its being given back.
func TestLostMachineIsAsked(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	b.AddJob(spec("j-1", "a", wire.Low, 1, 8), b.now, b.now)
	b.report("n-1", "s", "x", 1)
	b.schedule()
	b.report("n-1", "s", "x", 1, b.running("n-1")...)
	b.TakeDirectCommands()
	asked := false
	for range 20 {
		b.now += second
		for _, h := range []string{"n-2", "n-3", "n-4"} {
			b.report(h, "s", "x", 1)
		}
		b.schedule()
		for _, d := range b.TakeDirectCommands() {
			asked = asked || d.Addr == "n-1" && b.machines.find("n-1").leaseExpired
		}
	}
	if !asked {
		t.Fatal("not asked")
	}
	b.CommandAnswered(&wire.Heartbeat{Host: "n-1", Addr: "n-1", Type: "s", Zone: "x", Incarnation: 2, Sequence: 1, FencingToken: 7}, b.now)
	if b.machines.find("n-1").placementCount != 0 {
		t.Error("its answer of a later session freed nothing")
	}
	b.schedule()
	if n := len(b.jobs.find("j-1").placements); n != 1 {
		t.Errorf("%d places elsewhere", n)
	}
}
