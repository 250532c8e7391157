package controller

import (
	"dalefront/internal/config"
	"dalefront/wire"
)

// statisticsInterval is how often what was observed is stored: one change in twenty seconds.
const statisticsInterval = 20 * config.Second

// statisticsWriter stores what the core has observed, from time to time. A write that fails is not
// repeated: the next one has all of it.
type statisticsWriter struct {
	leadership *leadership
	task       backgroundTask
	startedAt  config.Micros // of the last write
}

// start stores the statistics if it is time. Owner goroutine.
func (w *statisticsWriter) start(now config.Micros) {
	if w.task.running || now-w.startedAt < statisticsInterval {
		return
	}
	w.startedAt = now
	l := w.leadership
	statistics := l.core.Statistics(now)
	l.startTask(&w.task, func() func() {
		_, _ = l.controller.store.Txn(l.ctx, wire.Txn{
			Conditions: []wire.Condition{l.termCondition()},
			Mutations:  []wire.Mutation{{Put: statisticsKey, Value: statistics}},
		})
		return nil
	})
}
