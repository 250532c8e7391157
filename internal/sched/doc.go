// Package sched implements the scheduler's core as a deterministic state machine. Its input is events and the
// time, and its output is effects. It does no I/O and reads no clock, and a single goroutine, the leader's
// owner goroutine, calls it.
//
// Core is the state of one leader's term. It consists of parts that own their state:
//
//   - ledger: the stored record of which task may be on which machine, and the commit that changes it
//   - inventory and machine: the machines, as reported by their workers and the cloud
//   - jobTable, job, class: the accepted jobs and the statistics of their classes
//   - teamTable, quota: the limits and guarantees of teams, and their use
//   - outbox: the effects that the owner of the core is to carry out
//   - policy and clock: the settings, the cordons, and the times on which decisions depend
//   - pass and interPassState: the data and decisions of one pass over the queue, and the state kept for
//     later passes
//   - failureMonitor, bootHistory, checkpointBandwidth, cloudCapacity: observations of the environment
//
// A placement is a task that may be on a machine. It begins in Core.addPlacement and ends in Core.release,
// whose comment lists the proofs that a task is gone. A task must not be placed again before such a proof,
// since it could then run twice.
//
// A launch takes the following steps. Schedule makes a pass over the queue, which places tasks and collects
// them in a batch. The batch becomes a Commit, which the owner stores. CommitStored makes its launches
// durable. From then on, the responses to the heartbeats of a machine carry the machine's launches until a
// heartbeat lists the launched tasks.
//
// The same events give the same effects in the same order, so that a run can be replayed. Wherever the order
// affects a result, maps are iterated in sorted order.
package sched
