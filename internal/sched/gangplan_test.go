package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"

	"dalefront/internal/config"
	"dalefront/wire"
)

// gangs is a core of two teams, full of small tasks of several ranks, for whose machines
// gangs of many shapes wait.
func gangs(t testing.TB, seed uint64, machines int) *bed {
	r := rand.New(rand.NewPCG(seed, 9))
	b := newBed(t, config.Team{Name: "a", CPUs: 100}, config.Team{Name: "b", CPUs: 60})
	b.settings.Deployment.State.ValueKB, b.settings.Deployment.State.TxnOps = 1e6, 24
	tasks := func(n int) {
		for i := range n {
			j := spec(fmt.Sprintf("j-%d%04d", b.jobs.count()+1, i), []string{"a", "b"}[r.IntN(2)], []string{wire.Low, wire.Normal, wire.High}[r.IntN(3)], 1+r.IntN(8), float64(1+r.IntN(4)))
			j.Class, j.EstimateS = "small", float64(5+r.IntN(90))
			if r.IntN(2) == 0 {
				j.CheckpointIntervalS, j.CheckpointDurationS = 10, 2
			}
			b.AddJob(j, b.now, b.now)
		}
	}
	for i := range machines {
		b.report(fmt.Sprintf("n-%04d", i), []string{"s", "s", "g"}[r.IntN(3)], []string{"x", "y"}[r.IntN(2)], 1)
	}
	tasks(machines)
	for step := range 12 {
		b.now += second
		b.schedule()
		for i := range machines {
			h := fmt.Sprintf("n-%04d", i)
			m := b.machines.find(h)
			run := b.running(h)
			if r.IntN(6) == 0 && len(run) > 0 {
				k := r.IntN(len(run))
				run[k].State, run[k].Cause = wire.TaskExited, wire.CauseDone
			}
			b.report(h, m.machineType.Name, m.zone, 1, run...)
		}
		for _, id := range b.TakeEnds() {
			b.JobEnded(id, wire.JobDone, b.now)
		}
		if step%3 == 0 {
			for i := range 1 + machines/4 {
				j := spec(fmt.Sprintf("j-9%d%04d", step, i), []string{"a", "b"}[r.IntN(2)], []string{wire.Low, wire.Normal, wire.High}[r.IntN(3)], 1+r.IntN(9), float64(4+4*r.IntN(2)))
				j.Class, j.Shape, j.OneZone, j.EstimateS, j.Image = "gangs", wire.Gang, r.IntN(4) > 0, float64(30+r.IntN(90)), fmt.Sprint("i", r.IntN(4))
				j.Spread = !j.OneZone && r.IntN(2) == 0
				b.AddJob(j, b.now, b.now)
			}
			tasks(machines / 4)
		}
	}
	b.now += second
	return b
}

// kept is all that a plan decides: for whom each machine is kept, until when, who holds
// others back, and who is stopped how.
func (b *bed) kept() (out []string) {
	for _, m := range b.machines.all() {
		s := fmt.Sprint(m.host, " wanted by ", b.lastPass.claims[m])
		if m.reservedFor != nil {
			s += fmt.Sprint(" kept for ", m.reservedFor.id, m.reservationStart, m.reservedUntil, m.reservationCheckedAt)
		}
		for _, p := range m.placements {
			if p.stopping {
				s += fmt.Sprint(" stops ", p.job.id, p.taskIndex, p.checkpointing, p.checkpointQueued)
			}
		}
		out = append(out, s)
	}
	for _, j := range b.jobs.sorted(func(*job) bool { return true }) {
		out = append(out, fmt.Sprint(j.id, j.startableSince, j.preemptions))
	}
	return out
}

// Plans that look once at what machines offer to gangs of one kind decide as those did
// that looked at every machine for every gang.
func TestPlansDecideAsPlainOnes(t *testing.T) {
	held, evicted, wanted := 0, 0, 0
	for seed := uint64(1); seed <= 40; seed++ {
		fast, plain := gangs(t, seed, 24+int(seed)), gangs(t, seed, 24+int(seed))
		prepare := func(b *bed) (ps *pass, waiting []*job) {
			b.reconcile()
			ps = b.newPass()
			queue := b.queue()
			ps.prepare(queue)
			ps.fleetSettled = true
			for _, j := range queue {
				if j.isGang() && len(j.placements) == 0 {
					waiting = append(waiting, j)
				}
			}
			return ps, waiting
		}
		for round := range 3 { // the second and third with what the one before left
			fastPass, f := prepare(fast)
			plainPass, p := prepare(plain)
			before := fast.Stats.Preemptions
			fastPass.reserveBelow(f)
			plainPass.plainHoldBack(p)
			fastPass.planGangs(f)
			plainPass.plainPlan(p)
			got, want := fast.kept(), plain.kept()
			for i := range want {
				if got[i] != want[i] {
					t.Fatalf("seed %d, round %d: %s instead of %s", seed, round, got[i], want[i])
				}
			}
			evicted += fast.Stats.Preemptions - before
			for _, m := range fast.machines.all() {
				if m.reservedFor != nil {
					held++
				}
				if fastPass.claims[m] > 0 {
					wanted++
				}
			}
			fast.now, plain.now = fast.now+2*second, plain.now+2*second
		}
	}
	if held < 200 || evicted < 50 || wanted < 50 {
		t.Fatalf("the plans decided too little to show anything: %d kept, %d evicted, %d wanted", held, evicted, wanted)
	}
}

// What follows is how plans were made before, as a reference.

func (ps *pass) plainHoldBack(gangs []*job) {
	cleared := map[gangShape][]int{} // places on each open machine once it is cleared
	for _, j := range gangs[:min(len(gangs), ps.maxGangCandidates())] {
		if j.startableSince > 0 && ps.core.now-j.startableSince > 2*claimDuration {
			j.startableSince = 0
		}
		if j.startableSince > 0 && ps.core.now-j.startableSince > claimDuration {
			continue
		}
		places := cleared[j.gangShape()]
		if places == nil {
			places = make([]int, len(ps.schedulable))
			for i, m := range ps.schedulable {
				if allowed(j, m) {
					u := m.usedBelow(j.rank)
					places[i] = slotsFor(j, m.machineType, resourceUse{m.usedCPUs - u.cpus, m.usedGPUs - u.gpus, m.usedMemoryGB - u.mem})
				}
			}
			cleared[j.gangShape()] = places
		}
		used := j.tasksByZone()
		free := func(i int) int {
			m := ps.schedulable[i]
			if places[i] == 0 || ps.claims[m] > 0 || !satisfiesZones(j, used, m.zone) || (m.reservedFor != nil && m.reservedFor != j && m.reservedFor.rank >= j.rank) {
				return 0
			}
			return places[i]
		}
		zone := func(m *machine) string {
			if j.spec.OneZone {
				return m.zone
			}
			return ""
		}
		sum := map[string]int{}
		for i, m := range ps.schedulable {
			sum[zone(m)] += free(i)
		}
		missing, in, found := j.pendingCount(), "", false
		for z, n := range sum {
			if n >= missing && (!found || n < sum[in] || (n == sum[in] && z < in)) {
				in, found = z, true
			}
		}
		if !found {
			j.startableSince = 0
			continue
		}
		if j.startableSince == 0 {
			j.startableSince = ps.core.now
		}
		for _, empty := range []bool{true, false} { // those that need no clearing first
			for i, m := range ps.schedulable {
				if missing <= 0 {
					break
				}
				if n := free(i); n > 0 && zone(m) == in && hasRoom(j, m, 1) == empty {
					missing -= n
					ps.claims[m] = j.rank
				}
			}
		}
	}
}

type plainWay struct {
	m       *machine
	slots   int
	after   Micros // until it has the room, if nothing is evicted
	victims []victim
	cost    Micros
}

func (ps *pass) plainPlan(gangs []*job) {
	if ps.core.now-ps.core.gangsPlannedAt < gangPlanInterval {
		return
	}
	ps.core.gangsPlannedAt = ps.core.now
	late := make(map[*job]bool, len(gangs))
	for _, j := range gangs {
		_, late[j] = j.latestStart(ps.core.now, 0)
	}
	sort.SliceStable(gangs, func(a, b int) bool {
		x, y := gangs[a], gangs[b]
		switch {
		case x.rank != y.rank:
			return x.rank > y.rank
		case x.withinGuarantee != y.withinGuarantee:
			return x.withinGuarantee
		case late[x] != late[y]:
			return late[y]
		}
		if a, b := x.pendingCount(), y.pendingCount(); a != b {
			return a < b
		}
		return x.arrival < y.arrival
	})
	taken := map[string]bool{}
	for _, j := range gangs[:min(len(gangs), ps.maxGangCandidates())] {
		ps.plainRoom(j, j.pendingCount(), taken)
	}
}

func (ps *pass) plainRoom(j *job, missing int, taken map[string]bool) {
	used := j.tasksByZone()
	may := ps.mayPreempt(j)
	ways := map[string][]plainWay{}
	for _, m := range ps.schedulable {
		if m.reservedFor == j && m.reservationStart > 0 {
			m.reservedFor = nil // chosen anew
		}
		if r := m.reservedFor; r != nil && r != j && ps.core.now < m.reservedUntil && r.rank >= j.rank && !ps.isReservedForWait(m) {
			continue
		}
		if !allowed(j, m) || !satisfiesZones(j, used, m.zone) || slotsOnEmpty(j, m.machineType) == 0 {
			continue
		}
		if w, ok := ps.plainWayOn(j, m, may); ok {
			z := m.zone
			if !j.spec.OneZone {
				z = ""
			}
			ways[z] = append(ways[z], w)
		}
	}
	var best []plainWay
	var bestCost Micros
	in := ""
	zones := make([]string, 0, len(ways))
	for z := range ways {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	for _, z := range zones {
		ws := ways[z]
		// What is there at once, or can be cleared, comes before what has to be
		// waited for: one late machine makes all the others wait.
		sort.SliceStable(ws, func(a, b int) bool {
			x, y := ws[a], ws[b]
			if x.after > worthWaiting || y.after > worthWaiting {
				return x.after < y.after
			}
			return x.cost < y.cost
		})
		n, k, cost, last := 0, 0, Micros(0), Micros(0)
		for ; k < len(ws) && n < missing; k++ {
			n += ws[k].slots
			last = max(last, ws[k].after) // it starts with the last one
			if len(ws[k].victims) > 0 {
				cost += ws[k].cost
			}
		}
		cost += last * Micros(missing)
		// Small gangs go where few machines are left for them, and leave the
		// zones with many to large ones.
		for _, w := range ws[k:] {
			if w.after <= worthWaiting {
				cost += Micros(w.slots) * second
			}
		}
		if n >= missing && (best == nil || cost < bestCost) && !(taken[z] && last > worthWaiting) {
			best, bestCost, in = ws[:k], cost, z
		}
	}
	start, cleared := Micros(0), 0
	for _, w := range best {
		start = max(start, w.after)
		if len(w.victims) > 0 {
			cleared++
		}
	}
	if start > worthWaiting {
		taken[in] = true
	}
	// Soft point: a guest's huge job would evict almost everything.
	if cleared > max(1, len(ps.schedulable)/2) {
		return
	}
	for _, w := range best {
		if len(w.victims) > 0 && start <= worthWaiting {
			// Not before the rest is there: the room would stand idle, or be
			// filled by others and be cleared once more.
			ps.preempt(j, w.m, w.victims)
			continue
		}
		if w.m.reservedFor == j && w.m.reservationStart == 0 && ps.core.now < w.m.reservedUntil {
			continue // cleared for it
		}
		w.m.reservedFor, w.m.reservationStart, w.m.reservationCheckedAt = j, ps.core.now+max(start, 1), ps.core.now
		w.m.reservedUntil = ps.core.now + start + 5*second
	}
}

func (ps *pass) plainWayOn(j *job, m *machine, may bool) (plainWay, bool) {
	w := plainWay{m: m, slots: slotsFor(j, m.machineType, m.used())}
	like := Micros(ps.placementScore(j, m) * float64(second))
	if m.reservedFor == j && m.reservationStart == 0 {
		like = 0 // cleared for it
	}
	if w.slots > 0 {
		w.cost = like
		return w, j.spec.GPUs > 0 || m.machineType.GPUs == 0 || ps.mayUseGPUMachine(j, m)
	}
	// By waiting: the tasks that are expected to end first.
	type end struct {
		at Micros
		j  *job
	}
	var ends []end
	m.eachPlacement(func(p *placement) {
		left := Micros(0)
		switch {
		case p.stopping:
			left = second
		case p.job.spec.EstimateS == 0:
			left = 3600 * second
		default:
			// Later than expected is likely to be a while later still.
			left = p.job.expectedRunTime() + Micros(m.imageFetchS(p.job, ps.core.now)*float64(second))
			if p.runningSince > 0 {
				left = max(p.job.expectedRunTime()-(ps.core.now-p.runningSince), p.job.expectedRunTime()/4)
			}
		}
		ends = append(ends, end{left, p.job})
	})
	sort.Slice(ends, func(a, b int) bool { return ends[a].at < ends[b].at })
	cpus, gpus, mem := m.usedCPUs, m.usedGPUs, m.usedMemoryGB
	for _, e := range ends {
		cpus, gpus, mem = cpus-e.j.spec.CPUs, gpus-e.j.spec.GPUs, mem-e.j.spec.MemoryGB
		if w.slots = slotsFor(j, m.machineType, resourceUse{cpus, gpus, mem}); w.slots > 0 {
			w.after = e.at
			break
		}
	}
	if w.slots == 0 {
		return w, false
	}
	w.cost = like + w.after
	if !may || w.after <= worthWaiting {
		return w, true
	}
	vs, ok := ps.victims(j, m)
	if !ok {
		return w, true
	}
	cost := Micros(0)
	for _, v := range vs {
		// By what the victim takes of the machine: a gang's task makes many
		// small ones go.
		s := &v.tasks[0].job.spec
		part := s.CPUs / max(m.machineType.CPUs, epsilon)
		if m.machineType.GPUs > 0 {
			part = max(part, s.GPUs/m.machineType.GPUs)
		}
		cost += Micros(float64(v.cost) * part)
	}
	w.victims, w.after, w.cost, w.slots = vs, 0, like+cost, 1
	return w, true
}
