package simulation

import (
	"dalefront/internal/config"
	"dalefront/internal/dynconfig"
	"dalefront/internal/sched"
	"dalefront/wire"
)

// configured is a generation of the configuration as the store has it.
type configured struct {
	version  uint64 // 0: nothing was ever stored
	settings *config.Settings
	cordons  []dynconfig.Cordon
}

// configNews is a generation on its way to the leader.
type configNews struct {
	at   int64
	what configured
}

// Reconfigure puts other documents in force. The leader hears of it within the time given.
func (w *World) Reconfigure(docs []dynconfig.Document, within int64) {
	w.revision++
	w.config.version = w.revision
	w.config.settings, w.config.cordons, _ = dynconfig.Merge(w.Set, docs)
	w.configNews = append(w.configNews, configNews{w.Now + int64(w.Rng.IntN(int(within))), w.config})
	w.Reconfigured++
}

// configure tells the leader of the generations that have reached it.
func (w *World) configure(c *sched.Core) {
	for len(w.configNews) > 0 && w.configNews[0].at <= w.Now {
		w.tell(c, w.configNews[0].what)
		w.configNews = w.configNews[1:]
	}
}

func (w *World) tell(c *sched.Core, what configured) {
	if what.version > 0 {
		c.Configure(what.settings, what.cordons, what.version, w.Now)
	}
}

// checkConfig checks the launches that a batch stores against the generation in force at that
// moment: what runs, with what starts, is within the limits of the teams for which something
// starts, and nothing starts on a machine that is cordoned.
func (w *World) checkConfig(cm *sched.Commit) {
	if w.config.version == 0 {
		return
	}
	stored := w.storedLaunches()
	uses := w.fleet.TeamUses()
	starts := map[string]bool{}
	for _, e := range cm.Entries {
		for _, run := range e.Runs {
			h := e.Hosts[run.Host]
			j := w.jobs[run.Job]
			for _, task := range run.Tasks {
				l := launch{wire.TaskName(run.Job, task), run.Attempt}
				if stored[l] || w.fleet.Has(l.task, l.attempt) {
					continue // in the ledger before, or found on a machine
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
			w.broken("a launch beyond the limit in force: team %s would use %+v of %+v", t.Name, u, t)
		}
	}
}

func (w *World) checkCordons(h sched.LedgerHost, task string) {
	for i := range w.config.cordons {
		if c := &w.config.cordons[i]; c.Covers(h.Host, h.Type, h.Zone, w.Now) {
			w.broken("%s is launched on %s in spite of the cordon %s", task, h.Host, c.Name)
		}
	}
}

// launch is a task's attempt.
type launch struct {
	task    string
	attempt uint64
}

func (w *World) storedLaunches() map[launch]bool {
	out := map[launch]bool{}
	for _, e := range w.ledger {
		for _, run := range e.Runs {
			for _, task := range run.Tasks {
				out[launch{wire.TaskName(run.Job, task), run.Attempt}] = true
			}
		}
	}
	return out
}
