package sched

import (
	"slices"
	"testing"

	"dalefront/internal/config"
	"dalefront/wire"
)

// bed is a core with machines whose workers have confirmed the token.
type bed struct {
	*Core
	t   testing.TB
	seq uint64

	base *config.Settings // of the platform
}

func newBed(t testing.TB, teams ...config.Team) *bed {
	t.Helper()
	var set config.Settings
	d := &set.Deployment
	d.Teams = teams
	d.Workers = config.Workers{ReportS: 1.5, LeaseS: 10, GangWaitS: 30, GangPeerS: 5, CancelS: 30}
	d.State.TxnOps, d.State.ValueKB = 8, 16
	d.Cloud.RPS, d.Cloud.ListLagS = 4, 5
	f := func(x float64) *float64 { return &x }
	n := 100
	set.Operator = config.Operator{IdleTimeoutS: f(50), PreemptionDelayS: f(1), HeadroomFactor: f(1), QuotaReserveFactor: f(1), MaxMachines: &n, LeaderLeaseS: f(3), CheckpointMBPerS: f(100), LowPriorityScaleOutDelayS: f(600), HeartbeatPatience: f(1)}
	cat := wire.Catalog{Types: []wire.MachineType{
		{Name: "s", CPUs: 8, MemoryGB: 64, FetchGBPS: 1, Price: 1, SpotPrice: 0.5, BootS: 20, Zones: []string{"x", "y"}},
		{Name: "g", CPUs: 12, GPUs: 2, MemoryGB: 64, FetchGBPS: 1, Price: 8, SpotPrice: 4, BootS: 30, Zones: []string{"x", "y"}},
	}}
	return &bed{Core: New(&set, 7, 1000*second, cat, func(string, ...any) {}), t: t, base: &set}
}

func (b *bed) report(host, typ, zone string, session uint64, tasks ...wire.TaskStatus) wire.HeartbeatResponse {
	b.seq++
	return b.Heartbeat(&wire.Heartbeat{Host: host, Addr: host, Type: typ, Zone: zone, Incarnation: session, Sequence: b.seq, FencingToken: 7, Tasks: tasks}, b.now)
}

// schedule runs a pass and stores its batch; nil says that it launches nothing.
func (b *bed) schedule() *Commit {
	cm := b.Schedule(b.now)
	if cm == nil {
		return nil
	}
	b.CommitStored(cm, b.now)
	if len(cm.placements) == 0 {
		return nil
	}
	return cm
}

func (b *bed) running(host string) (out []wire.TaskStatus) {
	b.machines.find(host).eachPlacement(func(p *placement) {
		out = append(out, wire.TaskStatus{Task: wire.TaskName(p.job.id, p.taskIndex), Attempt: p.attempt, State: wire.TaskRunning})
	})
	return out
}

func spec(id, team, priority string, tasks int, cpus float64) wire.Job {
	return wire.Job{ID: id, Class: "c" + id, Team: team, Shape: wire.Array, Priority: priority, Tasks: tasks, CPUs: cpus, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 60}
}

func ops(a wire.HeartbeatResponse, op string) (names []string) {
	for _, o := range a.Commands {
		if o.Op == op {
			names = append(names, o.Task)
		}
	}
	return names
}

// The paper's rule: a victim whose progress exceeds dump, restore and queue time
// is checkpointed, another one is killed; the cheaper one to dump goes first.
func TestCheckpointOrKill(t *testing.T) {
	for _, c := range []struct {
		ran        Micros
		checkpoint bool
	}{{19 * second, false}, {21 * second, true}} { // 1 GB at 100 MB/s, out and back: 20 s
		b := newBed(t, config.Team{Name: "a"})
		b.report("n-1", "s", "x", 1)
		low := spec("j-1", "a", wire.Low, 1, 8)
		low.CheckpointIntervalS, low.CheckpointDurationS = 5, 2
		b.AddJob(low, b.now, b.now)
		b.schedule()
		b.report("n-1", "s", "x", 1, b.running("n-1")...)
		b.AddJob(spec("j-2", "a", wire.High, 1, 8), b.now, b.now)
		b.now += c.ran
		a := b.report("n-1", "s", "x", 1, b.running("n-1")...)
		if len(ops(a, wire.Stop)) > 0 {
			t.Fatal("evicted before any pass")
		}
		b.schedule()
		a = b.report("n-1", "s", "x", 1, b.running("n-1")...)
		if len(a.Commands) != 1 || a.Commands[0].Op != wire.Stop {
			t.Fatalf("after %d us: orders %+v, want one stop", c.ran, a.Commands)
		}
		if got := *a.Commands[0].GraceS >= low.CheckpointDurationS; got != c.checkpoint {
			t.Errorf("after %d us: grace %v, checkpoint should be %v", c.ran, *a.Commands[0].GraceS, c.checkpoint)
		}
	}
}

// Checkpoints of one machine queue, one at a time.
func TestCheckpointsQueue(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	b.report("n-1", "s", "x", 1)
	low := spec("j-1", "a", wire.Low, 4, 2)
	low.CheckpointIntervalS, low.CheckpointDurationS = 5, 2
	b.AddJob(low, b.now, b.now)
	b.schedule()
	b.report("n-1", "s", "x", 1, b.running("n-1")...)
	b.now += 200 * second
	b.report("n-1", "s", "x", 1, b.running("n-1")...)
	b.AddJob(spec("j-2", "a", wire.High, 1, 8), b.now, b.now)
	b.now += 2 * second
	b.report("n-1", "s", "x", 1, b.running("n-1")...)
	b.schedule()
	if b.Stats.Checkpoints != 4 {
		t.Fatalf("%d checkpoints ordered, want 4", b.Stats.Checkpoints)
	}
	for left := 4; left > 0; left-- {
		tasks := b.running("n-1")
		a := b.report("n-1", "s", "x", 1, tasks...)
		stops := ops(a, wire.Stop)
		if len(stops) != 1 {
			t.Fatalf("%d left: %d stops at a time", left, len(stops))
		}
		for i := range tasks {
			if tasks[i].Task == stops[0] {
				tasks[i].State, tasks[i].Cause, tasks[i].Saved = wire.TaskExited, wire.CauseStopped, true
			}
		}
		b.now += 2 * second
		b.report("n-1", "s", "x", 1, tasks...)
	}
	b.schedule()
	if a := b.report("n-1", "s", "x", 1); len(ops(a, wire.Launch)) != 1 {
		t.Errorf("the room made was not given to its claimant: %+v", a.Commands)
	}
}

// Preemption as the protocol allows it, and nothing beyond.
func TestWhoMayEvict(t *testing.T) {
	for _, c := range []struct {
		name         string
		victim, by   string
		victimTeam   string
		evicts       bool
		guaranteed   float64
		victimsShare float64
	}{
		{"lower priority", wire.Low, wire.Normal, "b", true, 0, 0},
		{"equal priority", wire.Normal, wire.Normal, "b", false, 0, 0},
		{"higher priority", wire.High, wire.Normal, "b", false, 0, 0},
		{"borrowed by another team", wire.High, wire.Low, "b", true, 8, 4},
		{"within the other's guarantee", wire.High, wire.Low, "b", false, 8, 8},
		{"same team", wire.High, wire.Low, "a", false, 8, 0},
	} {
		b := newBed(t, config.Team{Name: "a", CPUs: c.guaranteed}, config.Team{Name: "b", CPUs: c.victimsShare})
		b.report("n-1", "s", "x", 1)
		b.AddJob(spec("j-1", c.victimTeam, c.victim, 1, 8), b.now, b.now)
		b.schedule()
		b.report("n-1", "s", "x", 1, b.running("n-1")...)
		b.AddJob(spec("j-2", "a", c.by, 1, 8), b.now, b.now)
		b.now += 2 * second
		b.report("n-1", "s", "x", 1, b.running("n-1")...)
		b.schedule()
		if got := b.Stats.Preemptions > 0; got != c.evicts {
			t.Errorf("%s: evicted %v, want %v", c.name, got, c.evicts)
		}
	}
}

// Soft point: in a burst, fresh tasks are not killed over and over.
func TestFreshTasksAreSpared(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	b.report("n-1", "s", "x", 1)
	b.AddJob(spec("j-1", "a", wire.Low, 1, 8), b.now, b.now)
	for i := 0; i < 10; i++ {
		id := wire.TaskName("j-1", 0)
		b.now += 2 * second
		b.report("n-1", "s", "x", 1)
		b.schedule() // the victim's turn
		b.report("n-1", "s", "x", 1, b.running("n-1")...)
		b.AddJob(spec("j-9"+string(rune('0'+i)), "a", wire.High, 1, 8), b.now, b.now)
		b.now += 2 * second
		b.report("n-1", "s", "x", 1, b.running("n-1")...)
		b.schedule()
		for _, tr := range b.running("n-1") {
			if tr.Task == id && b.jobs.find("j-1").preemptions <= maxPreemptionsPerTask {
				tr.State, tr.Cause = wire.TaskExited, wire.CauseStopped
				b.report("n-1", "s", "x", 1, tr)
			}
		}
		b.JobEnded("j-9"+string(rune('0'+i)), wire.JobCancelled, b.now)
	}
	if n := b.jobs.find("j-1").preemptions; n == 0 || n > maxPreemptionsPerTask {
		t.Errorf("evicted %d times, want 1 to %d", n, maxPreemptionsPerTask)
	}
}

// Soft point: a guest's huge job clears only part of the machines at a time.
func TestHugeJobClearsLittle(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	hosts := []string{"n-1", "n-2", "n-3", "n-4", "n-5", "n-6", "n-7", "n-8"}
	for _, h := range hosts {
		b.report(h, "s", "x", 1)
	}
	b.AddJob(spec("j-1", "a", wire.Low, 8, 8), b.now, b.now)
	b.schedule()
	b.AddJob(spec("j-2", "a", wire.Production, 1000, 8), b.now, b.now)
	for i := 0; i < 4; i++ {
		b.now += second
		for _, h := range hosts {
			b.report(h, "s", "x", 1, b.running(h)...)
		}
		b.schedule()
	}
	if n := b.Stats.Preemptions; n == 0 || n > 2 {
		t.Errorf("%d of 8 machines cleared at once, want 1 or 2", n)
	}
}

// A gang is placed whole, in one zone if it asks for that, with one attempt
// number; a task lost while it waits is replaced under the same number.
func TestGang(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	b.report("n-1", "s", "x", 1)
	b.report("n-2", "s", "y", 1)
	g := spec("j-1", "a", wire.Normal, 2, 8)
	g.Shape, g.OneZone = wire.Gang, true
	b.AddJob(g, b.now, b.now)
	if b.schedule() != nil {
		t.Fatal("half a gang, or one over two zones, was placed")
	}
	b.report("n-3", "s", "y", 1)
	if b.schedule() == nil {
		t.Fatal("the gang was not placed")
	}
	attempt := b.jobs.find("j-1").gangAttempt
	for p := range b.jobs.find("j-1").placements {
		if p.machine.zone != "y" || p.attempt != attempt {
			t.Errorf("placed on %s in %s with attempt %d", p.machine.host, p.machine.zone, p.attempt)
		}
	}
	waiting := b.running("n-2")
	waiting[0].State = wire.TaskWaiting
	b.report("n-2", "s", "y", 1, waiting...)
	b.report("n-3", "s", "y", 2) // its worker forgot everything
	b.schedule()
	a := b.report("n-3", "s", "y", 2)
	if len(a.Commands) != 1 || a.Commands[0].Op != wire.Launch || a.Commands[0].Attempt != attempt {
		t.Errorf("replacement: %+v, want a launch with attempt %d", a.Commands, attempt)
	}
}

// The limit counts what may still run on a machine that can't be seen.
func TestQuotaCountsUnseen(t *testing.T) {
	b := newBed(t, config.Team{Name: "a", MaxCPUs: 8})
	b.report("n-1", "s", "x", 1)
	b.report("n-2", "s", "x", 1)
	b.AddJob(spec("j-1", "a", wire.Normal, 2, 8), b.now, b.now)
	b.schedule()
	gone := "n-1"
	if b.machines.find("n-1").placementCount == 0 {
		gone = "n-2"
	}
	b.report(gone, "s", "x", 1) // the launch goes with the answer
	other := map[string]string{"n-1": "n-2", "n-2": "n-1"}[gone]
	for i := 0; i < 9; i++ { // silent, but its lease may run
		b.now += second
		b.report(other, "s", "x", 1)
		if b.schedule() != nil {
			t.Fatal("placed beyond the limit")
		}
	}
	b.now += 2 * second // now the lease has run out, but a peer may have renewed it
	b.report(other, "s", "x", 1)
	if b.schedule() != nil {
		t.Fatal("placed again on no more than the time that has passed")
	}
	back := b.ScaleIn(b.now, false)
	if len(back) != 1 || back[0] != gone {
		t.Fatalf("returned %v, want %s", back, gone)
	}
	b.MachinesReturned(back, b.now)
	if b.schedule() == nil {
		t.Error("not placed again after the return was confirmed")
	}
}

// Time proves nothing about a worker that has not seen this term's token: an
// older leader may still renew its lease. Its machine is returned instead.
func TestUnconfirmedWorker(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	b.AddJob(spec("j-1", "a", wire.Normal, 1, 8), b.now, b.now)
	b.RecoverLedger(map[string]LedgerEntry{"e": {Hosts: []LedgerHost{{Host: "n-1", Addr: "n-1", Type: "s", Zone: "x", Incarnation: 1}},
		Runs: []LedgerRun{{Host: 0, Job: "j-1", Attempt: 5, Tasks: []int32{0}}}}})
	b.report("n-2", "s", "x", 1)
	pushed := 0
	for i := 0; i < 40; i++ {
		b.now += second
		b.report("n-2", "s", "x", 1)
		if b.schedule() != nil {
			t.Fatalf("started a second copy after %d s without proof", i+1)
		}
		for _, d := range b.TakeDirectCommands() {
			if d.Addr == "n-1" && d.Batch.FencingToken == 7 && len(d.Batch.Commands) == 0 {
				pushed++
			}
		}
	}
	if pushed == 0 {
		t.Error("the token was not sent to a worker that an older leader may keep")
	}
	back := b.ScaleIn(b.now, false)
	if !slices.Contains(back, "n-1") {
		t.Fatalf("returned %v, want n-1 among them", back)
	}
	b.ScaleInFailed([]string{"n-2"}, b.now)
	b.MachinesReturned([]string{"n-1"}, b.now)
	if b.schedule() == nil {
		t.Error("not placed after the return was confirmed")
	}
}

// Reports that come late, and lists that lag, change nothing.
func TestLateNews(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	b.report("n-1", "s", "x", 1)
	b.AddJob(spec("j-1", "a", wire.Normal, 1, 8), b.now, b.now)
	b.schedule()
	run := b.running("n-1")
	b.report("n-1", "s", "x", 1, run...)
	late := &wire.Heartbeat{Host: "n-1", Type: "s", Zone: "x", Incarnation: 1, Sequence: 1, FencingToken: 7}
	if a := b.Heartbeat(late, b.now); len(a.Commands) > 0 || b.machines.find("n-1").placementCount != 1 {
		t.Error("a late report removed a running task")
	}
	old := &wire.Heartbeat{Host: "n-1", Type: "s", Zone: "x", Incarnation: 1, Sequence: b.seq + 1, FencingToken: 6}
	if a := b.Heartbeat(old, b.now); len(a.Commands) > 0 || b.machines.find("n-1").placementCount != 1 {
		t.Error("a report without this term's token removed a running task")
	}
	b.MachinesReturned([]string{"n-1"}, b.now)
	b.MachinesListed([]wire.Machine{{ID: "n-1", Type: "s", Zone: "x", State: wire.MachineRunning}}, b.now)
	if b.machines.find("n-1") != nil {
		t.Error("a lagging list brought a returned machine back")
	}
}

// A result is cleared from a worker only once it is stored; a job's end waits
// for all its tasks.
func TestDoneIsStoredFirst(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	b.report("n-1", "s", "x", 1)
	b.AddJob(spec("j-1", "a", wire.Normal, 2, 4), b.now, b.now)
	b.schedule()
	run := b.running("n-1")
	run[0].State, run[0].Cause = wire.TaskExited, wire.CauseDone
	if a := b.report("n-1", "s", "x", 1, run...); len(ops(a, wire.Clear)) > 0 {
		t.Error("cleared before it was stored")
	}
	if len(b.TakeEnds()) > 0 {
		t.Error("ended after one of two tasks")
	}
	for _, ch := range b.ProgressToStore(10) {
		b.ProgressStored(ch)
	}
	if a := b.report("n-1", "s", "x", 1, run...); len(ops(a, wire.Clear)) != 1 {
		t.Error("not cleared after it was stored")
	}
	run[1].State, run[1].Cause = wire.TaskExited, wire.CauseDone
	b.report("n-1", "s", "x", 1, run...)
	if e := b.TakeEnds(); len(e) != 1 {
		t.Errorf("ends %v, want j-1", e)
	}
}

// A takeover goes on suspecting a job that fails everywhere: it is tried with one task
// after a pause, not with all of them at once.
func TestSuspicionOutlivesLeader(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	hosts := []string{"n-1", "n-2", "n-3"}
	for _, h := range hosts {
		b.report(h, "s", "x", 1)
	}
	bad := spec("j-1", "a", wire.Normal, 24, 1)
	b.AddJob(bad, b.now, b.now)
	b.failing("j-1", 20, hosts...)
	l := b.Statistics(b.now)
	if len(l.Suspect) != 1 || l.Suspect[0].ID != "j-1" {
		t.Fatalf("suspected: %+v", l.Suspect)
	}
	after := newBed(t, config.Team{Name: "a"})
	after.AddJob(bad, after.now, after.now)
	after.RestoreStatistics(l)
	if !after.jobs.find("j-1").isSuspect() {
		t.Fatal("it is not suspected any more")
	}
	for _, h := range hosts {
		after.report(h, "s", "x", 1)
	}
	if starts := after.failing("j-1", 10, hosts...); starts > 3 {
		t.Errorf("%d tasks were started in ten seconds", starts)
	}
}

// failing plays some time in which all tasks of a job fail once they have started,
// and returns how many did.
func (b *bed) failing(id string, seconds int, hosts ...string) (starts int) {
	for i := 0; i < 2*seconds; i++ {
		b.now += second / 2
		for _, h := range hosts {
			m := b.machines.find(h)
			b.report(h, "s", "x", 1)
			var run []wire.TaskStatus
			m.eachPlacement(func(p *placement) {
				t := wire.TaskStatus{Task: wire.TaskName(p.job.id, p.taskIndex), Attempt: p.attempt, State: wire.TaskRunning}
				if p.job.id == id {
					starts++
					t.State, t.Cause = wire.TaskExited, wire.CauseError
				}
				run = append(run, t)
			})
			b.report(h, "s", "x", 1, run...)
		}
		b.schedule()
	}
	return starts
}

// A job submitted with a mistake fails on every machine. Its tasks used to make
// all machines rest, two such jobs had healthy machines returned, and each retry
// started all its tasks. It is tried with one task after ever longer pauses, in
// room that is there, and blames no machine; it is never given up.
func TestBrokenJob(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	hosts := []string{"n-1", "n-2", "n-3"}
	for _, h := range hosts {
		b.report(h, "s", "x", 1)
	}
	for _, id := range []string{"j-1", "j-2"} {
		b.AddJob(spec(id, "a", wire.High, 30, 1), b.now, b.now)
		if first := b.failing(id, 3, hosts...); first < 10 {
			t.Fatalf("only %d tasks of %s started", first, id)
		}
	}
	if more := b.failing("j-1", 240, hosts...); more < 3 || more > 10 {
		t.Errorf("a broken job was started %d times more in 240 s", more)
	}
	for _, h := range hosts {
		if m := b.machines.find(h); m.quarantined || m.avoidUntil > b.now {
			t.Errorf("%s is blamed", h)
		}
	}
	j := b.jobs.find("j-2")
	j.backoffUntil = b.now
	if b.lastPass.mayPreempt(j) || b.mayScaleOutFor(j) || b.concurrencyLimit(j) != 1 {
		t.Error("a broken job may evict or rent, or is tried with all its tasks")
	}
	// Once a task of it runs for long it is trusted again.
	b.schedule()
	for i := 0; i < 40; i++ {
		b.now += second
		for _, h := range hosts {
			b.report(h, "s", "x", 1, b.running(h)...)
		}
		b.schedule()
	}
	if len(j.placements) < 20 {
		t.Errorf("%d tasks of a job that runs well were placed", len(j.placements))
	}
}

// A machine on which jobs fail that do well elsewhere is returned.
func TestFaultyMachine(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	for _, h := range []string{"n-1", "n-2"} {
		b.report(h, "s", "x", 1)
	}
	for _, id := range []string{"j-1", "j-2"} {
		b.AddJob(spec(id, "a", wire.Normal, 2, 2), b.now, b.now)
		for i, h := range []string{"n-1", "n-2"} {
			p := b.addPlacement(b.jobs.find(id), int32(i), b.machines.find(h), 900)
			p.durable = true
			end := wire.TaskStatus{Task: wire.TaskName(id, int32(i)), Attempt: 900, State: wire.TaskExited, Cause: wire.CauseError}
			if h == "n-2" {
				end.Cause = wire.CauseDone
			}
			b.report(h, "s", "x", 1, end)
		}
	}
	b.now += second
	for _, h := range []string{"n-1", "n-2"} {
		b.report(h, "s", "x", 1)
		b.machines.find(h).idleSince = b.now // not for idling
	}
	b.reconcile()
	if back := b.ScaleIn(b.now, false); !slices.Equal(back, []string{"n-1"}) {
		t.Errorf("returned %v, not just n-1, which failed jobs that did well elsewhere", back)
	}
}

// After a standstill of the controller its own absence must not look like the
// workers' silence: all machines were taken for lost and given back.
func TestStandstill(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	b.AddJob(spec("j-1", "a", wire.Normal, 3, 8), b.now, b.now)
	hosts := []string{"n-1", "n-2", "n-3"}
	for _, h := range hosts {
		b.report(h, "s", "x", 1)
	}
	b.schedule()
	ratio := b.jobs.find("j-1").class.runTimeRatio
	for i := 0; i < 5; i++ {
		b.now += second
		for _, h := range hosts {
			b.report(h, "s", "x", 1, b.running(h)...)
		}
	}
	const gap = 25 * second
	b.now += gap
	b.ResumeAfterStall(gap, b.now)
	b.reconcile()
	b.DetectFailures(b.now, nil)
	if b.Blind(b.now) || len(b.ScaleIn(b.now, false)) > 0 || b.Stats.LeasesExpired > 0 {
		t.Error("machines were given up for the controller's own absence")
	}
	run := b.running("n-1")
	run[0].State, run[0].Cause = wire.TaskExited, wire.CauseDone
	b.report("n-1", "s", "x", 1, run...)
	if got := b.jobs.find("j-1").class.runTimeRatio; got != ratio {
		t.Errorf("a run time was learned from the standstill: %v, before %v", got, ratio)
	}
	b.now += 2 * 10 * second
	b.reconcile()
	if b.Stats.LeasesExpired != 3 {
		t.Error("workers that stay silent are not noticed any more")
	}
}

// 100,000 tasks fit the limits: few and small progress values, bounded records.
func TestLargestJob(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	j := spec("j-1", "a", wire.Normal, 100_000, 0.001)
	b.AddJob(j, b.now, b.now)
	for i := int32(0); i < 100_000; i += 3 {
		b.markDone(b.jobs.find("j-1"), i)
	}
	chunks := b.ProgressToStore(1000)
	if len(chunks) != (100_000+ChunkTasks-1)/ChunkTasks {
		t.Errorf("%d chunks", len(chunks))
	}
	c := newBed(t, config.Team{Name: "a"})
	c.AddJob(j, c.now, c.now)
	for _, ch := range chunks {
		if len(ch.Text) > 1024 {
			t.Errorf("chunk %d has %d bytes", ch.Index, len(ch.Text))
		}
		c.SetProgress(ch.Job, ch.Index, ch.Text)
	}
	if got, want := c.jobs.find("j-1").completedCount, b.jobs.find("j-1").completedCount; got != want {
		t.Errorf("%d tasks done after loading, want %d", got, want)
	}
	b.report("n-1", "s", "x", 1)
	cm := b.schedule()
	if cm == nil || len(cm.Entries) != 1 {
		t.Fatal("nothing placed")
	}
	b.fits(cm)
}
