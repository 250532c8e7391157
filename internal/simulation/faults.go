package simulation

import (
	"dalefront/internal/failuredomain"
)

// partition is a network partition that separates a zone from everything outside it.
type partition struct {
	from              int64
	until             int64
	controllersInside bool // controllers in the zone keep renewing the leases of its workers
	delaysMessages    bool // heartbeats sent during the partition arrive after its end instead of being lost
}

// PartitionZone cuts a zone off for the given length in microseconds. If inside is set, the zone has
// controllers, which renew the leases of its workers under the fencing token that the workers have seen.
// Heartbeats sent out of the zone are delayed until after the partition if held is set, and lost otherwise.
func (w *World) PartitionZone(zone string, length int64, inside, held bool) {
	w.partitions[zone] = &partition{from: w.Now, until: w.Now + length, controllersInside: inside, delaysMessages: held}
}

// activePartition returns the partition that cuts a zone off now, or nil.
func (w *World) activePartition(zone string) *partition {
	if c := w.partitions[zone]; c != nil && w.Now < c.until {
		return c
	}
	return nil
}

// blockedByPartition reports whether a partition keeps a heartbeat from leaving its zone. If so, it renews the
// lease or delays the heartbeat, as the partition specifies.
func (w *World) blockedByPartition(k *worker, m message) bool {
	c := w.activePartition(m.report.Zone)
	if c == nil {
		return false
	}
	if c.controllersInside && m.report.FencingToken > 0 {
		k.awaitingAnswer = false
		k.Renew()
	}
	if c.delaysMessages {
		m.arrival = c.until + int64(w.Rng.IntN(int(second)))
		m.answerLost = true // the worker has stopped waiting for the response by then
		w.inFlight = append(w.inFlight, m)
	}
	return true
}

// controllers returns the controllers as the leader sees them, at most one in each zone.
func (w *World) controllers() []failuredomain.Controller {
	var out []failuredomain.Controller
	for _, z := range []string{"x", "y"} {
		c := failuredomain.Controller{Zone: z, LastHeard: w.Now}
		if x := w.partitions[z]; x != nil {
			if !x.controllersInside {
				continue // no controller in this zone
			}
			if w.Now < x.until {
				c.LastHeard = x.from
			}
		}
		out = append(out, c)
	}
	return out
}

// HangMachines makes up to n random machines hang for the given length in microseconds. A hanging machine
// executes nothing and may continue afterwards.
func (w *World) HangMachines(n int, length int64) {
	for _, k := range w.randomWorkers(n) {
		k.Hang(w.Now + length)
	}
}

// randomWorkers returns up to n workers, drawn at random.
func (w *World) randomWorkers(n int) (out []*worker) {
	hs := sortedKeys(w.workers)
	for _, i := range w.Rng.Perm(len(hs))[:min(n, len(hs))] {
		out = append(out, w.workers[hs[i]])
	}
	return out
}

// LoseAnswersTo loses the responses and commands sent to up to n random machines for the given length in
// microseconds. The heartbeats of these machines still arrive.
func (w *World) LoseAnswersTo(n int, length int64) {
	for _, k := range w.randomWorkers(n) {
		k.answersLostUntil = w.Now + length
	}
}

// BlockReports loses the heartbeats of up to n random machines for the given length in microseconds. Commands
// still reach these machines.
func (w *World) BlockReports(n int, length int64) {
	for _, k := range w.randomWorkers(n) {
		k.reportsBlockedUntil = w.Now + length
	}
}

// HangAndCancel cancels a job and makes the machines that run its tasks hang from the same moment, for the
// given length in microseconds.
func (w *World) HangAndCancel(id string, length int64) {
	for _, h := range w.fleet.MachinesWithJob(id) {
		if k := w.workers[h]; k != nil {
			k.Hang(w.Now + length)
		}
	}
	w.Cancel(id)
}

// EndFaults ends all faults and resets MaxTxnTime and MaxReportDelay to the values that New sets.
func (w *World) EndFaults() {
	for _, k := range w.workers {
		k.answersLostUntil, k.reportsBlockedUntil, k.peerRenewsUntil = 0, 0, 0
		k.Hang(0)
	}
	w.partitions = map[string]*partition{}
	w.NoRandomFaults, w.FaultsEnded, w.TxnAnswerLate = true, true, nil
	w.MaxTxnTime, w.MaxReportDelay = 400_000, 20_000
}

// KillZone kills all machines of a zone at once and returns their number.
func (w *World) KillZone(zone string) (n int) {
	for _, h := range sortedKeys(w.workers) {
		if v := w.workers[h].View(); v.Zone == zone && !v.Dead {
			w.workers[h].Die()
			n++
		}
	}
	return n
}

// returnMachine gives a machine back to the cloud.
func (w *World) returnMachine(host string) {
	if k := w.workers[host]; k != nil {
		if v := k.View(); v.Running > 0 && !v.Dead {
			w.BusyMachinesReturned++
		}
		w.fleet.Return([]string{host})
		delete(w.workers, host)
	}
}

// RunningTasks returns the number of tasks that run in a zone.
func (w *World) RunningTasks(zone string) (n int) {
	for _, h := range sortedKeys(w.workers) {
		if v := w.workers[h].View(); v.Zone == zone && !v.Dead {
			n += v.Running
		}
	}
	return n
}
