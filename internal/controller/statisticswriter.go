package controller

import (
	"dalefront/internal/config"
	"dalefront/wire"
)

// statisticsInterval is the interval at which the statistics are stored. Storing the statistics costs one
// change of the key-value store every twenty seconds.
const statisticsInterval = 20 * config.Second

// statisticsWriter stores the statistics that the core has gathered, once per statisticsInterval. A write
// that fails is not repeated, because the next write contains all of the statistics.
type statisticsWriter struct {
	leadership *leadership
	task       backgroundTask
	startedAt  config.Micros // time at which the last write began
}

// start stores the statistics if the last write began at least statisticsInterval ago. It must be called on
// the owner goroutine.
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
