// Package sched is the scheduler's core. It is pure: events and the time go
// in, effects come out; it does no I/O and reads no clock. One goroutine, the
// leader's owner, drives it.
//
// Core is the state of a term, of one leader. It is made of parts that own what they hold:
//
//   - ledger: the stored record of which task may be on which machine, and the commit that changes it;
//   - inventory and machine: the machines, what their workers and the cloud say of them;
//   - jobTable, job, class: the accepted jobs and what is learned of their classes;
//   - teamTable, quota: what teams may use, and do;
//   - outbox: what the owner of the core is to do;
//   - policy and clock: settings, cordons, and the times that decisions rest on;
//   - pass and passMemory: what one pass over the queue finds out and decides, and leaves for later ones;
//   - failureMonitor, bootHistory, checkpointBandwidth, cloudCapacity: what was observed.
//
// A placement is a task that may be on a machine. It begins in Core.addPlacement and ends in
// Core.release, which lists the proofs that a task is gone: all safety rests on that a task is never
// placed anew before such a proof.
//
// The way of a launch: Schedule makes a pass over the queue, which places tasks and collects them in a batch;
// the batch becomes a Commit, which the owner stores; CommitStored makes its launches durable, and from
// then on the answers to their machines' heartbeats carry them until a heartbeat shows the tasks.
//
// The same events give the same effects in the same order, so that a run can be played again: where
// an order shows, maps aren't read as they come.
package sched
