package archive

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"dalefront/wire"
)

// BenchmarkSize moves many ended jobs, dense and scattered, under the limits of a
// middling state service, and reports what is stored before and after, what the
// moving costs, what a node that starts reads and keeps, and what polls read.
func BenchmarkSize(b *testing.B) {
	for _, kind := range []string{"dense", "scattered"} {
		for _, jobs := range []int{10_000, 100_000, 1_000_000} {
			b.Run(fmt.Sprintf("%s/%d", kind, jobs), func(b *testing.B) {
				for b.Loop() {
					measure(b, jobs, kind == "scattered")
				}
			})
		}
	}
}

func measure(b *testing.B, jobs int, scattered bool) {
	rnd := rand.New(rand.NewPCG(1, 1))
	lim := Limits{MaxMutations: 12, MaxValueBytes: 16 << 10}
	m := newFakeStore(lim.MaxMutations, lim.MaxValueBytes)
	// Ids as users choose them: in no order, here from ten digits or as many as it takes.
	id := func(i int) string { return fmt.Sprintf("j-%07d", i) }
	if scattered {
		ids := make([]string, jobs)
		for i := range ids {
			ids[i] = fmt.Sprintf("j-%019d", rnd.Uint64()%1e19)
		}
		id = func(i int) string { return ids[i] }
	}
	for i := range jobs {
		status, done := wire.JobDone, 1+int(rnd.ExpFloat64()*4)
		if rnd.IntN(20) == 0 {
			status, done = wire.JobCancelled, rnd.IntN(3)
		}
		m.put("e/"+id(i), storedEnd{status, testNow - 2*testAfter, done})
	}
	keys, size := m.size("e/")
	b.ReportMetric(float64(keys), "keys-before")
	b.ReportMetric(float64(size)/float64(jobs), "B/job-before")

	m.requests, m.bytes = 0, 0
	r, c := process(m, lim)
	for idle := false; !idle; {
		var err error
		if _, idle, err = c.Step(background); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(m.requests)/float64(jobs), "requests/job")
	b.ReportMetric(float64(m.bytes)/float64(jobs), "B-sent/job")
	left, _ := m.size("e/")
	ak, as := m.size("a/")
	b.ReportMetric(float64(left), "ends-left")
	b.ReportMetric(float64(ak), "keys-after")
	b.ReportMetric(float64(as)/float64(jobs-left), "B/job-after")

	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m.requests, m.bytes = 0, 0
	fresh := NewReader(m)
	if err := fresh.LoadManifests(background); err != nil {
		b.Fatal(err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(m.requests), "requests-start")
	b.ReportMetric(float64(m.bytes)/1024, "KB-start")
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1024, "KB-memory")

	const polls = 2000
	m.requests = 0
	for range polls {
		one := id(rnd.IntN(jobs))
		if a, err := fresh.Lookup(background, one); err != nil || !a.Found && m.keys["e/"+one].Version == 0 {
			b.Fatal(one, err)
		}
	}
	b.ReportMetric(float64(m.requests)/polls, "reads/old")
	m.requests = 0
	for i := range polls {
		one := fmt.Sprintf("j-%07d", jobs+i)
		if scattered {
			one = fmt.Sprintf("j-%019d", rnd.Uint64()%1e19)
		}
		if a, err := fresh.Lookup(background, one); err != nil || a.Found {
			b.Fatal(one, err)
		}
	}
	b.ReportMetric(float64(m.requests)/polls, "reads/never")
	runtime.KeepAlive(r)
}
