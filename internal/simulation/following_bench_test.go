package simulation

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dalefront/internal/config"
	"dalefront/wire"
)

// counted is an answer whose bytes are counted.
type counted struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (c counted) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.ResponseWriter.Write(b)
}

// processor is what this process has used of it.
func processor() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFollowing is what it costs that a controller stands by warm: requests to the state
// service, bytes of its answers and processor time of all three controllers and the played
// service together, a second, with so many jobs stored and five more submitted a second. What
// one standby costs is the difference to none; ten seconds each.
func BenchmarkFollowing(b *testing.B) {
	for _, jobs := range []int{300, 3000, 10_000} {
		for _, standbys := range []int{0, 1} {
			b.Run(fmt.Sprint(jobs, "jobs/", standbys, "standbys"), func(b *testing.B) { following(b, jobs, standbys) })
		}
	}
}

func following(b *testing.B, jobs, standbys int) {
	var requests, bytes atomic.Int64
	c := newCluster(b, 3, func(s *config.Settings) {
		*s.Operator.Standbys = standbys
		services := s.Endpoints.State
		front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			forward(counted{w, &bytes}, r, services)
		}))
		b.Cleanup(front.Close)
		s.Endpoints.State = front.Listener.Addr().String()
	})
	c.until("a leader", func() bool { return c.leader(0) || c.leader(1) || c.leader(2) })
	submit := func(id int) {
		c.until("accepted", func() bool {
			code, _ := c.ask(id%3, http.MethodPost, wire.PathJobs, c.submission(fmt.Sprint("j-", id), 2), nil)
			return code/100 == 2
		})
	}
	for id := range jobs {
		submit(id)
	}
	if standbys > 0 {
		c.until("one stands by", func() bool { return c.standby() >= 0 })
	}
	time.Sleep(2 * time.Second)
	const length = 10 * time.Second
	id := jobs
	for range b.N {
		r, by, cpu, began := requests.Load(), bytes.Load(), processor(), time.Now()
		for ; time.Since(began) < length; id++ {
			submit(id)
			time.Sleep(200 * time.Millisecond)
		}
		s := time.Since(began).Seconds()
		b.ReportMetric(float64(requests.Load()-r)/s, "requests/s")
		b.ReportMetric(float64(bytes.Load()-by)/s, "bytes/s")
		b.ReportMetric((processor()-cpu).Seconds()/s*1000, "cpu-ms/s")
	}
}
