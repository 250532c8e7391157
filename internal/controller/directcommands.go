package controller

import (
	"dalefront/internal/sched"
	"dalefront/wire"
)

const (
	// minDirectCommands is how many direct commands may wait to be sent at least. One that finds no room
	// goes with the answer to its worker's next report.
	minDirectCommands = 256
	// minSenders and maxSenders are how many direct commands may be on their way at a time; in
	// between it is one for so many sockets.
	minSenders, maxSenders = 4, 32
	socketsPerSender       = 200
)

// senders is how many direct commands may be on their way at a time. A worker that is cut off holds
// a sender up for two seconds.
func senders(sockets int) int { return min(max(minSenders, sockets/socketsPerSender), maxSenders) }

// queueDirectCommands hands commands to the senders. Owner goroutine.
func (l *leadership) queueDirectCommands(commands []sched.DirectCommand) {
	for _, command := range commands {
		select {
		case l.directCommands <- command:
		default: // the next report's answer repeats it
		}
	}
}

// sendDirectCommands sends commands to workers one after the other, until the leadership ends.
func (l *leadership) sendDirectCommands() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case command := <-l.directCommands:
			if !l.controller.owner.ranRecently() {
				continue // as old as the stall; a report's answer repeats it
			}
			report, _ := l.controller.worker.Orders(l.ctx, command.Addr, command.Batch)
			l.commandAnswered(report)
		}
	}
}

// commandAnswered hands the core what a worker answered to a direct command: its report, also where it
// refused the command (409). Without an answer the report is empty.
func (l *leadership) commandAnswered(report wire.Heartbeat) {
	if report.Host == "" {
		return
	}
	l.post(func() {
		if l.stalledFor == 0 {
			l.core.CommandAnswered(&report, l.controller.now())
			l.controller.owner.requestPassIf(l.core.TakePassNeeded)
		}
	})
}
