package sched

import (
	"fmt"
	"testing"

	"dalefront/internal/domain"
	"dalefront/wire"
)

// scaled is a core with so many machines, full of arrays, a sixth as many jobs that
// wait for more, and gangs that wait beside them. It returns the ledger too.
func scaled(bm *testing.B, machines int) (*bed, map[string]Entry) {
	b := crowd(bm, 1, machines, machines/6)
	for i := range machines / 100 {
		j := spec(fmt.Sprintf("j-9%05d", i), "a", wire.High, 4+4*(i%4), 7)
		j.Shape, j.OneZone = wire.Gang, true
		b.AddJob(j, b.now, b.now)
	}
	ledger := map[string]Entry{}
	for cm := b.schedule(); cm != nil; cm = b.schedule() {
		for _, e := range cm.Entries {
			ledger[e.Name] = e.Entry
		}
	}
	return b, ledger
}

// BenchmarkScale is what the core's work costs at sizes beyond any deployment yet: a
// pass with nothing free, a worker's report, the look at silent machines when a tenth
// fell silent, and the loading of a takeover.
func BenchmarkScale(bm *testing.B) {
	for _, n := range []int{1000, 4000, 10_000} {
		b, ledger := scaled(bm, n)
		hosts := make([]string, 0, n)
		tasks := map[string][]wire.TaskReport{}
		for _, m := range b.order {
			hosts = append(hosts, m.host)
			tasks[m.host] = b.running(m.host)
		}
		bm.Run(fmt.Sprint("pass/", n), func(bm *testing.B) {
			for bm.Loop() {
				b.now += 20_000
				for i := range n / 200 { // those that reported meanwhile
					m := b.order[(int(b.now/20_000)*n/200+i)%n]
					m.lastHello = b.now
				}
				if cm := b.Schedule(b.now); cm != nil {
					b.Refused(cm, b.now)
				}
			}
		})
		i := 0
		bm.Run(fmt.Sprint("report/", n), func(bm *testing.B) {
			for bm.Loop() {
				h := hosts[i%n]
				i++
				b.report(h, b.machines[h].kind.Name, b.machines[h].zone, 1, tasks[h]...)
			}
		})
		for k, m := range b.order {
			m.lastHello = b.now
			if k%10 == 0 {
				m.lastHello -= 30 * second
				m.lost, m.confirmed = true, false
			}
		}
		bm.Run(fmt.Sprint("silence/", n), func(bm *testing.B) {
			for bm.Loop() {
				b.Survey(b.now, []domain.Controller{{Zone: "x", Heard: b.now}})
				b.ReturnFailed(b.Returns(b.now, false), b.now)
			}
		})
		bm.Run(fmt.Sprint("takeover/", n), func(bm *testing.B) {
			specs := make([]wire.Job, 0, len(b.jobs))
			for _, j := range b.jobs {
				specs = append(specs, j.spec)
			}
			for bm.Loop() {
				t := newBed(bm)
				for _, s := range specs {
					t.AddJob(s, t.now, t.now)
				}
				t.Load(ledger)
			}
		})
	}
}
