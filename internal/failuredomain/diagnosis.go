package failuredomain

// Verdict is the most likely state of a machine.
type Verdict int

// The verdicts.
const (
	Reachable        Verdict = iota // sent a heartbeat within the silence threshold
	Undetermined                    // silent in a zone that is not partitioned, and not yet known to be dead or hung
	Dead                            // shown as failed by the cloud's list, or no longer listed
	Hung                            // silent, but listed as running long after its last heartbeat
	Partitioned                     // silent together with its zone
	ObserverIsolated                // silent with most machines of all zones: the observer is probably at fault
)

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"serving", "unclear", "dead", "hung", "cut", "blind"}[v]
}

// Diagnosis is a verdict with its evidence.
type Diagnosis struct {
	Verdict          Verdict
	Evidence         string
	SilentSince      Micros  // when the machine, or its zone, fell silent
	RemainingSilence Micros  // how much longer the silence is expected to last
	DeathProbability float64 // probability that the machine is dead; only for Undetermined
	DeathListedIn    Micros  // time until the cloud's list would show a death; only for Undetermined
	LeasesRenewed    bool    // a controller inside the partition renews leases, so tasks may still run
}

// Diagnose returns the most likely state of a machine, based on the last observation of its zone.
func (d *Detector) Diagnose(now Micros, machine Machine) Diagnosis {
	diagnosis := Diagnosis{SilentSince: d.params.silentSince(&machine)}
	silence := now - diagnosis.SilentSince
	threshold := d.params.SilenceThreshold()
	z := d.zones[machine.Zone]
	switch {
	case machine.ListedFailed:
		diagnosis.Verdict, diagnosis.Evidence = Dead, "listed as failed or no longer listed"
	case silence <= threshold:
		// Reachable, the zero value
	case d.observerIsolated:
		diagnosis.Verdict, diagnosis.Evidence = ObserverIsolated, "most machines of all zones are silent"
		diagnosis.RemainingSilence = silence
	case z != nil && z.recoveredAt > 0 && !z.partitioned && now-z.recoveredAt < threshold && diagnosis.SilentSince < z.recoveredAt:
		// The machine's worker may still be waiting for the response of an unreachable controller.
		diagnosis.Verdict, diagnosis.Evidence = Partitioned, "its zone has just recovered"
		diagnosis.SilentSince, diagnosis.LeasesRenewed = z.silentSince, z.leasesRenewed
		diagnosis.RemainingSilence = reportTimeout + reportRetryDelay
	case z != nil && z.partitioned:
		diagnosis.Verdict, diagnosis.Evidence = Partitioned, z.evidence
		diagnosis.SilentSince, diagnosis.LeasesRenewed = z.silentSince, z.leasesRenewed
		diagnosis.RemainingSilence = d.partitions.expectedRemaining(now - z.silentSince)
	case machine.LastListedRunning-diagnosis.SilentSince > deathListingDelay+2*d.params.ListLag:
		diagnosis.Verdict, diagnosis.Evidence = Hung, "listed as running long after its last heartbeat"
		diagnosis.RemainingSilence = d.hangs.expectedRemaining(silence)
	default:
		diagnosis.Verdict, diagnosis.Evidence = Undetermined, "silent in a zone that is not partitioned"
		diagnosis.RemainingSilence = d.hangs.expectedRemaining(silence)
		diagnosis.DeathProbability = (1 + d.deaths) / (2 + d.deaths + d.recoveries)
		// The cloud's list shows a death after deathListingDelay plus the list's lag, here with a
		// margin of half the lag.
		diagnosis.DeathListedIn = max(second, diagnosis.SilentSince+deathListingDelay+d.params.ListLag*3/2-now)
	}
	return diagnosis
}
