package sched

import (
	"maps"
	"slices"
)

// RecoverLedger loads the stored ledger at the start of a term, after the jobs were added. All tasks that the
// ledger records count as being on their machines until they are proven gone.
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

// latestIncarnations returns the latest incarnation of each machine's worker in the ledger.
func latestIncarnations(stored map[string]LedgerEntry) map[string]uint64 {
	latest := map[string]uint64{}
	for _, entry := range stored {
		for _, h := range entry.Hosts {
			latest[h.Host] = max(latest[h.Host], h.Incarnation)
		}
	}
	return latest
}

// recoverRun adds the placements of a stored run, which lists tasks of one attempt of a job. The parameter
// host is the machine on which the ledger entry places these tasks.
func (c *Core) recoverRun(entry *trackedEntry, host *LedgerHost, run *LedgerRun, incarnations map[string]uint64) {
	machine := c.machines.find(host.Host)
	if machine == nil {
		machine = c.newMachine(host.Host, host.Addr, host.Type, host.Zone, host.Spot)
		machine.incarnation, machine.registered = incarnations[host.Host], true
	}
	entry.addHost(host.Host)
	job := c.jobs.find(run.Job)
	// A job's record is deleted only after all its placements were proven gone, so a task of an unknown job
	// is not on the machine. If the ledger has a later incarnation of the machine's worker, the tasks of this
	// earlier incarnation are not on the machine either.
	if job == nil || host.Incarnation < machine.incarnation {
		return
	}
	for _, task := range run.Tasks {
		if int(task) >= job.spec.Tasks || task < 0 || machine.findPlacement(taskKey{job, task}, run.Attempt) != nil {
			continue
		}
		placement := c.addPlacement(job, task, machine, run.Attempt)
		placement.durable, placement.recovered = true, true
		entry.record(placement)
	}
	if job.isGang() {
		job.recoverAttempt(run.Attempt)
	}
}
