package controller

import (
	"context"

	"dalefront/internal/sched"
	"dalefront/wire"
)

const (
	// minCommandQueueSize is the minimum capacity of the queue of direct commands. A command that doesn't
	// fit into the queue is sent with the response to its worker's next heartbeat.
	minCommandQueueSize = 256
	// minSenders and maxSenders bound the number of direct commands that are sent concurrently. Between
	// these bounds, one command may be sent for every socketsPerSender sockets of the socket limit.
	minSenders, maxSenders = 4, 32
	socketsPerSender       = 200
)

// commandSenderCount returns the number of direct commands that may be sent concurrently, for the given
// socket limit. An unreachable worker blocks a sender for two seconds.
func commandSenderCount(sockets int) int {
	return min(max(minSenders, sockets/socketsPerSender), maxSenders)
}

// commandSender sends commands to workers directly, without waiting for their next heartbeat.
type commandSender struct {
	leadership *leadership
	queue      chan sched.DirectCommand
}

func newCommandSender(l *leadership) *commandSender {
	sockets := l.controller.settings.Deployment.Resources.Sockets
	return &commandSender{l, make(chan sched.DirectCommand, max(minCommandQueueSize, sockets/4))}
}

// add queues commands. It must be called on the owner goroutine.
func (s *commandSender) add(commands []sched.DirectCommand) {
	for _, command := range commands {
		select {
		case s.queue <- command:
		default: // the response to the worker's next heartbeat repeats the command
		}
	}
}

// run sends queued commands, one at a time, until the context ends.
func (s *commandSender) run(ctx context.Context) {
	controller := s.leadership.controller
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-s.queue:
			if !controller.owner.ranRecently() {
				continue // the stall made the command outdated; the response to a heartbeat repeats it
			}
			// If the worker doesn't answer, the returned heartbeat is empty. The worker's next heartbeat
			// shows whether the command took effect.
			heartbeat, _ := controller.worker.SendCommands(ctx, command.Addr, command.Batch)
			s.handleAnswer(heartbeat)
		}
	}
}

// handleAnswer passes a worker's answer to a direct command to the core. The answer is a heartbeat, even
// if the worker refused the command (409).
func (s *commandSender) handleAnswer(heartbeat wire.Heartbeat) {
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
