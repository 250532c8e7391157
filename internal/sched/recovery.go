package sched

import (
	"maps"
	"slices"
)

// RecoverLedger takes the stored ledger at the start of a term, after the jobs. All its
// launches count as on their machines until proof of the contrary.
func (c *Core) RecoverLedger(stored map[string]LedgerEntry) {
	incarnations := latestIncarnations(stored)
	for _, name := range slices.Sorted(maps.Keys(stored)) {
		entry := c.ledger.add(name)
		for _, run := range stored[name].Runs {
			hosts := stored[name].Hosts
			if run.Host < 0 || run.Host >= len(hosts) {
				continue
			}
			c.recoverRun(entry, &hosts[run.Host], &run, incarnations)
		}
		c.ledger.retireIfEmpty(entry)
	}
}

// latestIncarnations is the newest incarnation of each machine's worker that the ledger names.
func latestIncarnations(stored map[string]LedgerEntry) map[string]uint64 {
	latest := map[string]uint64{}
	for _, entry := range stored {
		for _, h := range entry.Hosts {
			latest[h.Host] = max(latest[h.Host], h.Incarnation)
		}
	}
	return latest
}

// recoverRun takes the tasks of a job that a stored entry places on a machine.
func (c *Core) recoverRun(entry *ledgerEntry, host *LedgerHost, run *LedgerRun, incarnations map[string]uint64) {
	m := c.machines.find(host.Host)
	if m == nil {
		m = c.newMachine(host.Host, host.Addr, host.Type, host.Zone, host.Spot)
		m.incarnation, m.registered = incarnations[host.Host], true
	}
	entry.addHost(host.Host)
	j := c.jobs.find(run.Job)
	// A job's record is deleted only after all its placements were
	// proven gone, so a task of an unknown job is not on the machine.
	// Neither is one of an earlier incarnation than the ledger has seen.
	if j == nil || host.Incarnation < m.incarnation {
		return
	}
	for _, task := range run.Tasks {
		if int(task) >= j.spec.Tasks || task < 0 || m.findPlacement(taskKey{j, task}, run.Attempt) != nil {
			continue
		}
		p := c.addPlacement(j, task, m, run.Attempt)
		p.durable, p.recovered = true, true
		entry.record(p)
	}
	if j.isGang() {
		j.recoverAttempt(run.Attempt)
	}
}
