package sched

import (
	"encoding/json"
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

func (b *bed) report(host, typ, zone string, incarnation uint64, tasks ...wire.TaskStatus) wire.HeartbeatResponse {
	b.seq++
	return b.Heartbeat(&wire.Heartbeat{Host: host, Addr: host, Type: typ, Zone: zone, Incarnation: incarnation, Sequence: b.seq, FencingToken: 7, Tasks: tasks}, b.now)
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

// fits checks a batch against the limits of the state service.
func (b *bed) fits(cm *Commit) {
	b.t.Helper()
	st := &b.settings.Deployment.State
	all := 0
	for _, e := range cm.Entries {
		v, _ := json.Marshal(e.LedgerEntry)
		all += len(v)
		if float64(len(v)) > st.ValueKB*1024 {
			b.t.Errorf("an entry of %d bytes", len(v))
		}
	}
	if n := len(cm.Drop) + len(cm.Entries); n > st.TxnOps || all > 60<<10 || 2*len(cm.Jobs)+len(cm.Entries)+fixedConditions > 4*st.TxnOps {
		b.t.Errorf("%d changes of %d bytes on %d jobs in a transaction", n, all, len(cm.Jobs))
	}
}

// present is what a worker reports that holds what it was told to launch.
func (b *bed) present(host string) (out []wire.TaskStatus) {
	b.machines.find(host).eachPlacement(func(p *placement) {
		if p.state != "" {
			out = append(out, wire.TaskStatus{Task: wire.TaskName(p.job.id, p.taskIndex), Attempt: p.attempt, State: p.state})
		}
	})
	return out
}
