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

// coreMetrics is an immutable snapshot of the core's metrics that the owner goroutine publishes.
type coreMetrics struct {
	stats                     sched.Stats
	waitingJobs, waitingTasks int
	machines, machinesUp      int
	silentByVerdict           map[string]int // number of silent machines by the failure detector's verdict
	partitionedZones          int
	serviceShares             []sched.ServiceShare // service shares of classes and teams
}

// gauge describes one exported gauge. The read function is called for every scrape.
type gauge struct {
	name, help string
	labels     prometheus.Labels
	read       func() float64
}

// metrics returns the handler that serves the metrics. The gauges of the core are zero on controllers
// that don't lead.
func (c *Controller) metrics() http.Handler {
	registry := prometheus.NewRegistry()
	for _, group := range [][]gauge{coreGauges(c), silentGauges(c), archiveGauges(c), standbyGauges(c), processGauges(c)} {
		for _, g := range group {
			opts := prometheus.GaugeOpts{Namespace: "dalefront", Name: g.name, Help: g.help, ConstLabels: g.labels}
			registry.MustRegister(prometheus.NewGaugeFunc(opts, g.read))
		}
	}
	registry.MustRegister(serviceShareCollector{c})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

// coreGauges returns the gauges of the scheduling core.
func coreGauges(c *Controller) []gauge {
	newGauge := func(name, help string, read func(*coreMetrics) int) gauge {
		return gauge{name: name, help: help, read: func() float64 { return float64(read(c.currentCoreMetrics())) }}
	}
	return []gauge{
		newGauge("waiting_jobs", "Jobs with tasks that wait for room.", func(s *coreMetrics) int { return s.waitingJobs }),
		newGauge("waiting_tasks", "Tasks that wait for room.", func(s *coreMetrics) int { return s.waitingTasks }),
		newGauge("machines", "Machines known to the leader.", func(s *coreMetrics) int { return s.machines }),
		newGauge("machines_up", "Machines whose workers have confirmed this term.", func(s *coreMetrics) int { return s.machinesUp }),
		newGauge("launches", "Launches stored in this term.", func(s *coreMetrics) int { return s.stats.Launches }),
		newGauge("evictions", "Tasks told to make way in this term.", func(s *coreMetrics) int { return s.stats.Preemptions }),
		newGauge("checkpoints", "Evictions that saved in this term.", func(s *coreMetrics) int { return s.stats.Checkpoints }),
		newGauge("leases_lost", "Workers whose lease ran out in this term.", func(s *coreMetrics) int { return s.stats.LeasesExpired }),
		newGauge("task_errors", "Tasks that failed in this term.", func(s *coreMetrics) int { return s.stats.Errors }),
		newGauge("machines_hired", "Machines rented in this term.", func(s *coreMetrics) int { return s.stats.ScaledOut }),
		newGauge("machines_returned", "Machines returned in this term.", func(s *coreMetrics) int { return s.stats.ScaledIn }),
		newGauge("zones_cut", "Zones that are found to be cut off.", func(s *coreMetrics) int { return s.partitionedZones }),
	}
}

// silentGauges returns the gauges of silent machines, one for each verdict of the failure detector.
func silentGauges(c *Controller) (out []gauge) {
	for verdict := failuredomain.Undetermined; verdict <= failuredomain.ObserverIsolated; verdict++ {
		name := verdict.String()
		out = append(out, gauge{
			name: "machines_silent", help: "Silent machines, by what has most likely become of them.", labels: prometheus.Labels{"verdict": name},
			read: func() float64 { return float64(c.currentCoreMetrics().silentByVerdict[name]) },
		})
	}
	return out
}

// archiveGauges returns the gauges of the archive's size.
func archiveGauges(c *Controller) []gauge {
	newGauge := func(name string, read func(jobs, leaves, manifests int) int) gauge {
		return gauge{name: name, help: "Size of the archive of final answers, as this node knows it.", read: func() float64 {
			return float64(read(c.archive.Size()))
		}}
	}
	return []gauge{
		newGauge("archived_jobs", func(jobs, _, _ int) int { return jobs }),
		newGauge("archive_leaves", func(_, leaves, _ int) int { return leaves }),
		newGauge("archive_manifests", func(_, _, manifests int) int { return manifests }),
	}
}

// standbyGauges returns the gauges of a standby: the size and lag of its copy of the stored state, and the
// number of leaders that it wrongly suspected.
func standbyGauges(c *Controller) []gauge {
	newGauge := func(name, help string, read func(keys, bytes int, lag int64, ok bool) float64) gauge {
		return gauge{name: name, help: help, read: func() float64 { return read(c.follower.copyStats()) }}
	}
	return []gauge{
		newGauge("standby_keys", "Keys that this node follows while it stands by warm.", func(keys, _ int, _ int64, _ bool) float64 { return float64(keys) }),
		newGauge("standby_bytes", "Their bytes.", func(_, bytes int, _ int64, _ bool) float64 { return float64(bytes) }),
		newGauge("standby_lag_us", "Microseconds since what this node follows was known to be the newest.", func(_, _ int, lag int64, _ bool) float64 { return float64(lag) }),
		{name: "standby", help: "1 while this node stands by warm with a copy that is good.", read: func() float64 { return boolGauge(c.follower.ready()) }},
		{name: "wrong_suspicions", help: "Leaders whose term this node replaced though their process had not ended.", read: func() float64 { return float64(c.leaderWatch.wrongSuspicions()) }},
	}
}

// processGauges returns the gauges of this process: its load, its configuration and whether it leads.
func processGauges(c *Controller) []gauge {
	return []gauge{
		{name: "cancellations_waiting", help: "Users that wait here until the tasks of a job that they cancelled are gone.", read: func() float64 { return float64(len(c.cancelSlots)) }},
		{name: "goroutines", help: "Goroutines of this process.", read: func() float64 { return float64(runtime.NumGoroutine()) }},
		{name: "config_generation", help: "Generation of the configuration that this node decides by.", read: func() float64 { return float64(c.config.current().generation) }},
		{name: "config_refused_batches", help: "Batches of launches that were decided anew since the configuration had changed.", read: func() float64 { return float64(c.config.rejectedBatches.Load()) }},
		{name: "leader", help: "1 while this node acts as leader.", read: func() float64 { return boolGauge(c.term.view().isLeading()) }},
	}
}

// boolGauge converts a bool to the value of a gauge.
func boolGauge(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// currentCoreMetrics returns the metrics that the owner goroutine published last. All values are zero on
// controllers that don't lead.
func (c *Controller) currentCoreMetrics() *coreMetrics {
	if current := c.coreMetrics.Load(); current != nil {
		return current
	}
	return &coreMetrics{}
}

// publishCoreMetrics publishes the current metrics of the core. It must be called on the owner goroutine.
func (l *leadership) publishCoreMetrics() {
	var s coreMetrics
	s.stats = l.core.Stats
	s.waitingJobs, s.waitingTasks = l.core.Waiting()
	s.machines, s.machinesUp = l.core.FleetSize()
	s.silentByVerdict, s.partitionedZones = l.core.SilentMachines()
	s.serviceShares = l.core.ServiceShares(maxReportedClasses)
	l.controller.coreMetrics.Store(&s)
}

// maxReportedClasses limits the number of classes in metrics and logs, since users choose the names of
// classes. Teams are defined in the settings and are all reported.
const maxReportedClasses = 50

// serviceShareCollector collects the service shares of classes and teams: their numbers of jobs, and which
// share of their requested resources is served.
type serviceShareCollector struct{ controller *Controller }

var (
	jobsDesc        = prometheus.NewDesc("dalefront_jobs", "Jobs of a class or team in this term, by what became of them.", []string{"of", "name", "what"}, nil)
	shareDesc       = prometheus.NewDesc("dalefront_served_share", "Share of what a class or team asked for lately that is served.", []string{"of", "name"}, nil)
	underservedDesc = prometheus.NewDesc("dalefront_behind", "1 while a class or team is served far less than others.", []string{"of", "name"}, nil)
)

// Describe implements prometheus.Collector.
func (serviceShareCollector) Describe(out chan<- *prometheus.Desc) {
	out <- jobsDesc
	out <- shareDesc
	out <- underservedDesc
}

// Collect implements prometheus.Collector.
func (s serviceShareCollector) Collect(out chan<- prometheus.Metric) {
	send := func(desc *prometheus.Desc, value float64, labels ...string) {
		if metric, err := prometheus.NewConstMetric(desc, prometheus.GaugeValue, value, labels...); err == nil {
			out <- metric
		}
	}
	for _, share := range s.controller.currentCoreMetrics().serviceShares {
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

// shareKind returns the kind of a service share in metrics and logs: "team" or "class".
func shareKind(s *sched.ServiceShare) string {
	if s.IsTeam {
		return "team"
	}
	return "class"
}
