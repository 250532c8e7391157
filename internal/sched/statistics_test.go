package sched

import (
	"testing"

	"dalefront/internal/config"
	"dalefront/wire"
)

// A takeover used to forget how long tasks really run and how many arrive: owners'
// estimates counted again, and machines that were about to be needed went back.
func TestStatisticsOutliveLeader(t *testing.T) {
	b := newBed(t, config.Team{Name: "a"})
	b.AddJob(spec("j-1", "a", wire.Normal, 40, 1), b.now, b.now)
	cl := b.jobs.find("j-1").class
	cl.runTimeRatio, b.bandwidth.write = 1.7, 0.3
	l := b.Statistics(b.now)

	next := newBed(t, config.Team{Name: "a"})
	next.now = b.now + arrivalDecayTime
	next.RestoreStatistics(l)
	got := next.classOf(cl.name)
	if got.runTimeRatio != 1.7 || next.bandwidth.write != 0.3 || got.meanTasks != 40 {
		t.Errorf("the next leader knows %+v, bandwidth %v", got, next.bandwidth.write)
	}
	if got.decayedArrivals < 14 || got.decayedArrivals > 15 { // 40 / e
		t.Errorf("%v arrivals are remembered after the time in which they fade to a third", got.decayedArrivals)
	}
	next.RestoreStatistics(Statistics{Classes: []ClassStatistics{{Name: cl.name}}})
	if got.runTimeRatio != 1.7 {
		t.Error("nonsense was taken for an observation")
	}
}
