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

// metrics serves the counters. Those of the core are zero on nodes that are not
// the leader.
func (c *Controller) metrics() http.Handler {
	reg := prometheus.NewRegistry()
	add := func(name, help string, read func(*gauges) int) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "dalefront", Name: name, Help: help}, func() float64 {
			return float64(read(c.currentGauges()))
		}))
	}
	add("waiting_jobs", "Jobs with tasks that wait for room.", func(s *gauges) int { return s.jobs })
	add("waiting_tasks", "Tasks that wait for room.", func(s *gauges) int { return s.tasks })
	add("machines", "Machines known to the leader.", func(s *gauges) int { return s.machines })
	add("machines_up", "Machines whose workers have confirmed this term.", func(s *gauges) int { return s.up })
	add("launches", "Launches stored in this term.", func(s *gauges) int { return s.stats.Launches })
	add("evictions", "Tasks told to make way in this term.", func(s *gauges) int { return s.stats.Preemptions })
	add("checkpoints", "Evictions that saved in this term.", func(s *gauges) int { return s.stats.Checkpoints })
	add("leases_lost", "Workers whose lease ran out in this term.", func(s *gauges) int { return s.stats.LeasesExpired })
	add("task_errors", "Tasks that failed in this term.", func(s *gauges) int { return s.stats.Errors })
	add("machines_hired", "Machines rented in this term.", func(s *gauges) int { return s.stats.ScaledOut })
	add("machines_returned", "Machines returned in this term.", func(s *gauges) int { return s.stats.ScaledIn })
	add("zones_cut", "Zones that are found to be cut off.", func(s *gauges) int { return s.zonesCut })
	for v := failuredomain.Unclear; v <= failuredomain.Blind; v++ {
		name := v.String()
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "dalefront", Name: "machines_silent",
			Help: "Silent machines, by what has most likely become of them.", ConstLabels: prometheus.Labels{"verdict": name}}, func() float64 {
			return float64(c.currentGauges().silent[name])
		}))
	}
	for i, name := range []string{"archived_jobs", "archive_leaves", "archive_manifests"} {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "dalefront", Name: name,
			Help: "Size of the archive of final answers, as this node knows it."}, func() float64 {
			jobs, leaves, manifests := c.archive.Size()
			return float64([]int{jobs, leaves, manifests}[i])
		}))
	}
	for name, x := range map[string]struct {
		help string
		read func(keys, bytes int, us int64) float64
	}{
		"standby_keys":   {"Keys that this node follows while it stands by warm.", func(k, _ int, _ int64) float64 { return float64(k) }},
		"standby_bytes":  {"Their bytes.", func(_, b int, _ int64) float64 { return float64(b) }},
		"standby_lag_us": {"Microseconds since what this node follows was known to be the newest.", func(_, _ int, us int64) float64 { return float64(us) }},
	} {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "dalefront", Name: name, Help: x.help}, func() float64 {
			keys, bytes, us, _ := c.follower.lag()
			return x.read(keys, bytes, us)
		}))
	}
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "dalefront", Name: "standby", Help: "1 while this node stands by warm with a copy that is good."}, func() float64 {
		return one(c.follower.ready())
	}))
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "dalefront", Name: "wrong_suspicions", Help: "Leaders whose term this node replaced though their process had not ended."}, func() float64 {
		return float64(c.leaderWatch.wrongSuspicions())
	}))
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "dalefront", Name: "cancellations_waiting",
		Help: "Users that wait here until the tasks of a job that they cancelled are gone."}, func() float64 { return float64(len(c.cancelSlots)) }))
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "dalefront", Name: "goroutines", Help: "Goroutines of this process."},
		func() float64 { return float64(runtime.NumGoroutine()) }))
	for name, x := range map[string]struct {
		help string
		read func() float64
	}{
		"config_generation":      {"Generation of the configuration that this node decides by.", func() float64 { return float64(c.config.current().generation) }},
		"config_refused_batches": {"Batches of launches that were decided anew since the configuration had changed.", func() float64 { return float64(c.config.rejectedBatches.Load()) }},
	} {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "dalefront", Name: name, Help: x.help}, x.read))
	}
	reg.MustRegister(shares{c})
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "dalefront", Name: "leader", Help: "1 while this node acts as leader."}, func() float64 {
		return one(c.term.view().isLeading())
	}))
	return promhttp.HandlerFor(reg, promhttp.HandlerOpts{})
}

// one is a truth as a gauge.
func one(is bool) float64 {
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
	s.served = l.core.ServiceShares(mostServed)
	l.controller.gauges.Store(&s)
}

// mostServed bounds the classes that are shown, since users choose their names. Teams are those
// of the settings, and all are shown.
const mostServed = 50

// shares shows how much of what each class and team asked for is served.
type shares struct{ n *Controller }

var (
	jobsDesc   = prometheus.NewDesc("dalefront_jobs", "Jobs of a class or team in this term, by what became of them.", []string{"of", "name", "what"}, nil)
	shareDesc  = prometheus.NewDesc("dalefront_served_share", "Share of what a class or team asked for lately that is served.", []string{"of", "name"}, nil)
	behindDesc = prometheus.NewDesc("dalefront_behind", "1 while a class or team is served far less than others.", []string{"of", "name"}, nil)
)

// Describe implements prometheus.Collector.
func (shares) Describe(out chan<- *prometheus.Desc) {
	out <- jobsDesc
	out <- shareDesc
	out <- behindDesc
}

// Collect implements prometheus.Collector.
func (s shares) Collect(out chan<- prometheus.Metric) {
	all := s.n.currentGauges().served
	show := func(d *prometheus.Desc, v float64, labels ...string) {
		if m, err := prometheus.NewConstMetric(d, prometheus.GaugeValue, v, labels...); err == nil {
			out <- m
		}
	}
	for _, x := range all {
		of, name := kindOf(&x), strings.ToValidUTF8(x.Name, "?")
		for _, v := range []struct {
			what string
			n    int
		}{{"submitted", x.Submitted}, {"begun", x.Started}, {"done", x.Done}, {"late", x.Late}, {"cancelled", x.Cancelled}, {"waiting", x.Waiting}} {
			show(jobsDesc, float64(v.n), of, name, v.what)
		}
		show(shareDesc, x.Share, of, name)
		behind := 0.0
		if x.Underserved {
			behind = 1
		}
		show(behindDesc, behind, of, name)
	}
}

func kindOf(s *sched.ServiceShare) string {
	if s.Team {
		return "team"
	}
	return "class"
}
