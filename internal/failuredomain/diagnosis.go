package failuredomain

// Verdict is what has most likely become of a machine.
type Verdict int

// The verdicts.
const (
	Reachable        Verdict = iota // it reports, or is late by less than means anything
	Undetermined                    // silent by itself: dead or hanging, nothing tells yet
	Dead                            // the cloud's list says so
	Hung                            // silent although the list shows it running long after
	Partitioned                     // silent together with its zone
	ObserverIsolated                // so much is silent that the fault is more likely on the observer's side
)

// String returns the verdict as logs and metrics name it.
func (v Verdict) String() string {
	return [...]string{"serving", "unclear", "dead", "hung", "cut", "blind"}[v]
}

// Diagnosis is a verdict with its evidence.
type Diagnosis struct {
	Verdict          Verdict
	Evidence         string
	SilentSince      Micros  // since when it, or its zone, is silent
	ExpectedSilence  Micros  // for how long the silence may be expected to go on
	DeathProbability float64 // Undetermined: that it is dead
	KnownIn          Micros  // Undetermined: the time until the cloud's list shows it
	LeasesRenewed    bool    // its tasks may go on: a controller inside the partition renews leases
}

// Diagnose says what has most likely become of a machine.
func (d *Detector) Diagnose(now Micros, machine Machine) Diagnosis {
	diagnosis := Diagnosis{SilentSince: d.params.silentSince(&machine)}
	silence := now - diagnosis.SilentSince
	threshold := d.params.SilenceThreshold()
	z := d.zones[machine.Zone]
	switch {
	case machine.ListedFailed:
		diagnosis.Verdict, diagnosis.Evidence = Dead, "the list shows it failed or gone"
	case silence <= threshold:
		// Reachable
	case d.observerIsolated:
		diagnosis.Verdict, diagnosis.Evidence = ObserverIsolated, "most machines of all zones are silent"
		diagnosis.ExpectedSilence = silence
	case z != nil && z.recoveredAt > 0 && !z.partitioned && now-z.recoveredAt < threshold && diagnosis.SilentSince < z.recoveredAt:
		// Its worker has yet to find a controller: it gives one up after some seconds.
		diagnosis.Verdict, diagnosis.Evidence = Partitioned, "its zone has just come back"
		diagnosis.SilentSince, diagnosis.LeasesRenewed = z.silentSince, z.leasesRenewed
		diagnosis.ExpectedSilence = reportTimeout + reportRetryDelay
	case z != nil && z.partitioned:
		diagnosis.Verdict, diagnosis.Evidence = Partitioned, z.evidence
		diagnosis.SilentSince, diagnosis.LeasesRenewed = z.silentSince, z.leasesRenewed
		diagnosis.ExpectedSilence = d.partitions.expectedRemaining(now - z.silentSince)
	case machine.ListedRunning-diagnosis.SilentSince > deathListingDelay+2*d.params.ListLag:
		diagnosis.Verdict, diagnosis.Evidence = Hung, "listed as running long after its last report"
		diagnosis.ExpectedSilence = d.hangs.expectedRemaining(silence)
	default:
		diagnosis.Verdict, diagnosis.Evidence = Undetermined, "silent by itself"
		diagnosis.ExpectedSilence = d.hangs.expectedRemaining(silence)
		diagnosis.DeathProbability = (1 + d.deaths) / (2 + d.deaths + d.recoveries)
		// The list shows a death after deathListingDelay and its lag.
		diagnosis.KnownIn = max(second, diagnosis.SilentSince+deathListingDelay+d.params.ListLag*3/2-now)
	}
	return diagnosis
}
