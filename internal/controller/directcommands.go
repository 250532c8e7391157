package controller

import (
	"context"

	"dalefront/internal/sched"
	"dalefront/wire"
)

const (
	// minDirectCommands is how many direct commands may wait to be sent at least. One that finds no room
	// goes with the answer to its worker's next heartbeat.
	minDirectCommands = 256
	// minSenders and maxSenders are how many direct commands may be on their way at a time; in
	// between it is one for so many sockets.
	minSenders, maxSenders = 4, 32
	socketsPerSender       = 200
)

// senders is how many direct commands may be on their way at a time. A worker that is cut off holds
// a sender up for two seconds.
func senders(sockets int) int { return min(max(minSenders, sockets/socketsPerSender), maxSenders) }

// commandSender sends commands to workers that shall not wait for their next heartbeat.
type commandSender struct {
	leadership *leadership
	queue      chan sched.DirectCommand
}

func newCommandSender(l *leadership) *commandSender {
	sockets := l.controller.settings.Deployment.Resources.Sockets
	return &commandSender{l, make(chan sched.DirectCommand, max(minDirectCommands, sockets/4))}
}

// add queues commands. Owner goroutine.
func (s *commandSender) add(commands []sched.DirectCommand) {
	for _, command := range commands {
		select {
		case s.queue <- command:
		default: // the answer to the next heartbeat repeats it
		}
	}
}

// run sends commands one after the other until the context ends.
func (s *commandSender) run(ctx context.Context) {
	controller := s.leadership.controller
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-s.queue:
			if !controller.owner.ranRecently() {
				continue // as old as the stall; the answer to a heartbeat repeats it
			}
			// Without an answer the heartbeat is empty; the next one tells.
			heartbeat, _ := controller.worker.SendCommands(ctx, command.Addr, command.Batch)
			s.answered(heartbeat)
		}
	}
}

// answered hands the core what a worker answered to a direct command: its heartbeat, also where it
// refused the command (409).
func (s *commandSender) answered(heartbeat wire.Heartbeat) {
	if heartbeat.Host == "" {
		return
	}
	l := s.leadership
	l.post(func() {
		if l.stalledFor == 0 {
			l.core.CommandAnswered(&heartbeat, l.controller.now())
			l.controller.owner.requestPassIf(l.core.TakePassNeeded)
		}
	})
}
