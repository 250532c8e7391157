package simulation

import (
	"dalefront/internal/config"
	"dalefront/internal/dynconfig"
	"dalefront/internal/sched"
	"dalefront/wire"
)

// configGeneration is one generation of the configuration as stored.
type configGeneration struct {
	version  uint64 // 0 if no generation was ever stored
	settings *config.Settings
	cordons  []dynconfig.Cordon
}

// configDelivery is a generation of the configuration that the leader has not yet received, and the time at
// which the leader receives it, in microseconds.
type configDelivery struct {
	at         int64
	generation configGeneration
}

// Reconfigure puts the given documents in force as a new generation. The leader receives this generation
// after a random delay, which is shorter than the parameter within, in microseconds.
func (w *World) Reconfigure(docs []dynconfig.Document, within int64) {
	w.revision++
	w.config.version = w.revision
	w.config.settings, w.config.cordons, _ = dynconfig.Merge(w.Set, docs)
	w.configDeliveries = append(w.configDeliveries, configDelivery{w.Now + int64(w.Rng.IntN(int(within))), w.config})
	w.ConfigGenerations++
}

// deliverConfig gives the leader the generations whose delivery is due.
func (w *World) deliverConfig(c *sched.Core) {
	for len(w.configDeliveries) > 0 && w.configDeliveries[0].at <= w.Now {
		w.applyConfig(c, w.configDeliveries[0].generation)
		w.configDeliveries = w.configDeliveries[1:]
	}
}

// applyConfig puts a generation of the configuration in force at the leader if it was stored.
func (w *World) applyConfig(c *sched.Core, what configGeneration) {
	if what.version > 0 {
		c.Configure(what.settings, what.cordons, what.version, w.Now)
	}
}

// checkLaunches checks the launches that a commit stores against the configuration in force at the time of
// storing. For each team with a new launch, the running tasks and the new ones together must be within the
// team's limits. No task may be launched on a cordoned machine.
func (w *World) checkLaunches(cm *sched.Commit) {
	if w.config.version == 0 {
		return
	}
	stored := w.storedLaunches()
	uses := w.fleet.UsageByTeam()
	starts := map[string]bool{}
	for _, e := range cm.Entries {
		for _, run := range e.Runs {
			h := e.Hosts[run.Host]
			j := w.jobs[run.Job]
			for _, task := range run.Tasks {
				l := taskAttempt{wire.TaskName(run.Job, task), run.Attempt}
				if stored[l] || w.fleet.HasAttempt(l.task, l.attempt) {
					continue // the task is already in the ledger or on a machine
				}
				starts[j.Team] = true
				use := uses[j.Team]
				uses[j.Team] = use.Plus(j.CPUs, j.GPUs)
				w.checkCordons(h, l.task)
			}
		}
	}
	for _, t := range w.config.settings.Deployment.Teams {
		if u := uses[t.Name]; starts[t.Name] && (t.MaxCPUs > 0 && u.CPUs > t.MaxCPUs+1e-6 || t.MaxGPUs > 0 && u.GPUs > t.MaxGPUs+1e-6) {
			w.violation("launch exceeds the limit in force: team %s would use %+v of %+v", t.Name, u, t)
		}
	}
}

// checkCordons reports a violation if a cordon in force covers the machine on which a task is launched.
func (w *World) checkCordons(h sched.LedgerHost, task string) {
	for i := range w.config.cordons {
		if c := &w.config.cordons[i]; c.Covers(h.Host, h.Type, h.Zone, w.Now) {
			w.violation("%s is launched on %s, which cordon %s covers", task, h.Host, c.Name)
		}
	}
}

// taskAttempt identifies one attempt of a task.
type taskAttempt struct {
	task    string
	attempt uint64
}

// storedLaunches returns the attempts in the ledger.
func (w *World) storedLaunches() map[taskAttempt]bool {
	out := map[taskAttempt]bool{}
	for _, e := range w.ledger {
		for _, run := range e.Runs {
			for _, task := range run.Tasks {
				out[taskAttempt{wire.TaskName(run.Job, task), run.Attempt}] = true
			}
		}
	}
	return out
}
