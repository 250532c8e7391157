package controller

import (
	"net/http"
	"runtime"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dalefront/internal/failuredomain"
	"dalefront/internal/sched"
)

// gauges is what the owner goroutine shows of the core. It is replaced and never changed.
type gauges struct {
	stats        sched.Stats
	jobs, tasks  int // that wait
	machines, up int
	silent       map[string]int // machines, by what the detector says of them
	zonesCut     int
	served       []sched.ServiceShare // of classes and teams
}

// gauge is one gauge that is served: read is called for each answer.
type gauge struct {
	name, help string
	labels     prometheus.Labels
	read       func() float64
}

// metrics serves the gauges. Those of the core are zero on controllers that are not
// the leader.
func (c *Controller) metrics() http.Handler {
	registry := prometheus.NewRegistry()
	for _, group := range [][]gauge{coreGauges(c), silentGauges(c), archiveGauges(c), standbyGauges(c), processGauges(c)} {
		for _, g := range group {
			opts := prometheus.GaugeOpts{Namespace: "dalefront", Name: g.name, Help: g.help, ConstLabels: g.labels}
			registry.MustRegister(prometheus.NewGaugeFunc(opts, g.read))
		}
	}
	registry.MustRegister(serviceShares{c})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

// coreGauges are the counts of the core.
func coreGauges(c *Controller) []gauge {
	of := func(name, help string, read func(*gauges) int) gauge {
		return gauge{name: name, help: help, read: func() float64 { return float64(read(c.currentGauges())) }}
	}
	return []gauge{
		of("waiting_jobs", "Jobs with tasks that wait for room.", func(s *gauges) int { return s.jobs }),
		of("waiting_tasks", "Tasks that wait for room.", func(s *gauges) int { return s.tasks }),
		of("machines", "Machines known to the leader.", func(s *gauges) int { return s.machines }),
		of("machines_up", "Machines whose workers have confirmed this term.", func(s *gauges) int { return s.up }),
		of("launches", "Launches stored in this term.", func(s *gauges) int { return s.stats.Launches }),
		of("evictions", "Tasks told to make way in this term.", func(s *gauges) int { return s.stats.Preemptions }),
		of("checkpoints", "Evictions that saved in this term.", func(s *gauges) int { return s.stats.Checkpoints }),
		of("leases_lost", "Workers whose lease ran out in this term.", func(s *gauges) int { return s.stats.LeasesExpired }),
		of("task_errors", "Tasks that failed in this term.", func(s *gauges) int { return s.stats.Errors }),
		of("machines_hired", "Machines rented in this term.", func(s *gauges) int { return s.stats.ScaledOut }),
		of("machines_returned", "Machines returned in this term.", func(s *gauges) int { return s.stats.ScaledIn }),
		of("zones_cut", "Zones that are found to be cut off.", func(s *gauges) int { return s.zonesCut }),
	}
}

// silentGauges are the silent machines by the failure detector's verdict.
func silentGauges(c *Controller) (out []gauge) {
	for verdict := failuredomain.Undetermined; verdict <= failuredomain.ObserverIsolated; verdict++ {
		name := verdict.String()
		out = append(out, gauge{
			name: "machines_silent", help: "Silent machines, by what has most likely become of them.", labels: prometheus.Labels{"verdict": name},
			read: func() float64 { return float64(c.currentGauges().silent[name]) },
		})
	}
	return out
}

// archiveGauges are the size of the archive.
func archiveGauges(c *Controller) []gauge {
	of := func(name string, read func(jobs, leaves, manifests int) int) gauge {
		return gauge{name: name, help: "Size of the archive of final answers, as this node knows it.", read: func() float64 {
			return float64(read(c.archive.Size()))
		}}
	}
	return []gauge{
		of("archived_jobs", func(jobs, _, _ int) int { return jobs }),
		of("archive_leaves", func(_, leaves, _ int) int { return leaves }),
		of("archive_manifests", func(_, _, manifests int) int { return manifests }),
	}
}

// standbyGauges are what this controller follows as a standby.
func standbyGauges(c *Controller) []gauge {
	of := func(name, help string, read func(keys, bytes int, lag int64, ok bool) float64) gauge {
		return gauge{name: name, help: help, read: func() float64 { return read(c.follower.lag()) }}
	}
	return []gauge{
		of("standby_keys", "Keys that this node follows while it stands by warm.", func(keys, _ int, _ int64, _ bool) float64 { return float64(keys) }),
		of("standby_bytes", "Their bytes.", func(_, bytes int, _ int64, _ bool) float64 { return float64(bytes) }),
		of("standby_lag_us", "Microseconds since what this node follows was known to be the newest.", func(_, _ int, lag int64, _ bool) float64 { return float64(lag) }),
		{name: "standby", help: "1 while this node stands by warm with a copy that is good.", read: func() float64 { return boolGauge(c.follower.ready()) }},
		{name: "wrong_suspicions", help: "Leaders whose term this node replaced though their process had not ended.", read: func() float64 { return float64(c.leaderWatch.wrongSuspicions()) }},
	}
}

// processGauges are what this controller does beside.
func processGauges(c *Controller) []gauge {
	return []gauge{
		{name: "cancellations_waiting", help: "Users that wait here until the tasks of a job that they cancelled are gone.", read: func() float64 { return float64(len(c.cancelSlots)) }},
		{name: "goroutines", help: "Goroutines of this process.", read: func() float64 { return float64(runtime.NumGoroutine()) }},
		{name: "config_generation", help: "Generation of the configuration that this node decides by.", read: func() float64 { return float64(c.config.current().generation) }},
		{name: "config_refused_batches", help: "Batches of launches that were decided anew since the configuration had changed.", read: func() float64 { return float64(c.config.rejectedBatches.Load()) }},
		{name: "leader", help: "1 while this node acts as leader.", read: func() float64 { return boolGauge(c.term.view().isLeading()) }},
	}
}

// boolGauge is a condition as the value of a gauge.
func boolGauge(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// currentGauges is what the owner goroutine showed last; all is zero on controllers that don't lead.
func (c *Controller) currentGauges() *gauges {
	if current := c.gauges.Load(); current != nil {
		return current
	}
	return &gauges{}
}

// publishGauges updates the gauges. Owner goroutine.
func (l *leadership) publishGauges() {
	var s gauges
	s.stats = l.core.Stats
	s.jobs, s.tasks = l.core.Waiting()
	s.machines, s.up = l.core.FleetSize()
	s.silent, s.zonesCut = l.core.SilentMachines()
	s.served = l.core.ServiceShares(maxServiceShares)
	l.controller.gauges.Store(&s)
}

// maxServiceShares bounds the classes that are shown, since users choose their names. Teams are those
// of the settings, and all are shown.
const maxServiceShares = 50

// serviceShares collects how much of what each class and team asked for is served.
type serviceShares struct{ controller *Controller }

var (
	jobsDesc        = prometheus.NewDesc("dalefront_jobs", "Jobs of a class or team in this term, by what became of them.", []string{"of", "name", "what"}, nil)
	shareDesc       = prometheus.NewDesc("dalefront_served_share", "Share of what a class or team asked for lately that is served.", []string{"of", "name"}, nil)
	underservedDesc = prometheus.NewDesc("dalefront_behind", "1 while a class or team is served far less than others.", []string{"of", "name"}, nil)
)

// Describe implements prometheus.Collector.
func (serviceShares) Describe(out chan<- *prometheus.Desc) {
	out <- jobsDesc
	out <- shareDesc
	out <- underservedDesc
}

// Collect implements prometheus.Collector.
func (s serviceShares) Collect(out chan<- prometheus.Metric) {
	send := func(desc *prometheus.Desc, value float64, labels ...string) {
		if metric, err := prometheus.NewConstMetric(desc, prometheus.GaugeValue, value, labels...); err == nil {
			out <- metric
		}
	}
	for _, share := range s.controller.currentGauges().served {
		kind, name := shareKind(&share), strings.ToValidUTF8(share.Name, "?")
		for _, count := range []struct {
			what string
			jobs int
		}{
			{"submitted", share.Submitted},
			{"begun", share.Started},
			{"done", share.Done},
			{"late", share.Late},
			{"cancelled", share.Cancelled},
			{"waiting", share.Waiting},
		} {
			send(jobsDesc, float64(count.jobs), kind, name, count.what)
		}
		send(shareDesc, share.Share, kind, name)
		send(underservedDesc, boolGauge(share.Underserved), kind, name)
	}
}

// shareKind says whose a share is, as the metrics and the log name it.
func shareKind(s *sched.ServiceShare) string {
	if s.Team {
		return "team"
	}
	return "class"
}
