package controller

import (
	"context"
	"sync"
	"time"

	"dalefront/internal/config"
	"dalefront/internal/peer"
	"dalefront/internal/standby"
)

const (
	leaderCheckInterval = 40 * time.Millisecond // between checks of the connection to the leader
	leaderProbeInterval = 30 * time.Millisecond // between probes of a suspected leader
	leaderSeenWithin    = time.Second           // a leader's answer counts as a heartbeat only if it is younger than this
	probeTimeMargin     = time.Second           // a suspected leader is probed for the detector's MinSilence plus this time

	// minReplacementInterval is the minimum time in microseconds between two replacements of a leader's
	// term by the same controller.
	minReplacementInterval = int64(10 * time.Second / time.Microsecond)

	// minPeersToSuspect is the minimum number of peers, including the leader, with which a controller may
	// suspect the leader. With fewer peers there is no third controller to ask whether it reaches the leader.
	minPeersToSuspect = 2
)

// processRef identifies a process of a controller.
type processRef struct {
	label string
	id    uint64
}

// leaderWatch detects that the leader's process has ended, while this controller is a standby, so
// that the leader's term can be replaced before its lease expires. See docs/standby.md.
type leaderWatch struct {
	controller  *Controller
	replaceable chan uint64 // receives the fencing token of a term that may be replaced

	mu       sync.Mutex
	detector standby.FailureDetector
	replaced processRef // process whose term this controller replaced last
}

// newLeaderWatch returns a leaderWatch that does nothing until its run method is called.
func newLeaderWatch(c *Controller) *leaderWatch {
	w := &leaderWatch{controller: c, replaceable: make(chan uint64, 1)}
	if wait := c.settings.Operator.SuspicionTimeoutS; wait != nil {
		w.detector = standby.FailureDetector{Controllers: len(c.settings.Members) + 1, MinSilence: config.Micro(*wait), MinInterval: minReplacementInterval}
	}
	return w
}

// leaderConnState is the state of the connection to the leader at the last check.
type leaderConnState struct {
	leader    string // label of the leader, "" if there is none
	connected bool
}

// suspectedLeader is a leader whose connection broke.
type suspectedLeader struct {
	label  string
	client *peer.Client
	leaderProcess
}

// run checks the connection to the leader until the context ends. It does nothing if leader suspicion
// is not configured or there are too few peers.
func (w *leaderWatch) run(ctx context.Context) {
	if w.detector.MinSilence <= 0 || len(w.controller.peers) < minPeersToSuspect {
		return
	}
	var last leaderConnState
	for ctx.Err() == nil {
		w.check(ctx, &last)
		sleepContext(ctx, leaderCheckInterval)
	}
}

// check compares the connection to the leader with its state at the last check. If the connection broke
// and the evidence suggests that the leader's process has ended, it sends the leader's token to the
// channel replaceable.
func (w *leaderWatch) check(ctx context.Context, last *leaderConnState) {
	c := w.controller
	term := c.term.view()
	client := c.peers[term.leader]
	if term.isLeading() || client == nil || c.peerTable.standbyRank() < 0 {
		*last = leaderConnState{}
		return
	}
	process := c.term.leaderProcess()
	w.recordLeaderHeartbeat(term, process)
	if term.leader != last.leader {
		*last = leaderConnState{leader: term.leader, connected: client.Connected()}
		return
	}
	if connected := client.Connected(); connected || !last.connected {
		last.connected = connected
		return
	}
	if process.token != term.token {
		return // the leader has not announced itself in this term, so there is no process to suspect
	}
	if !w.hasEnded(ctx, suspectedLeader{term.leader, client, process}) {
		last.connected = client.Connected()
		return
	}
	select {
	case w.replaceable <- term.token:
	default:
	}
	last.leader = ""
}

// recordLeaderHeartbeat reports a heartbeat of the leader to the failure detector, if the leader's process
// has answered within the last leaderSeenWithin.
func (w *leaderWatch) recordLeaderHeartbeat(term termView, process leaderProcess) {
	peers := w.controller.peerTable
	current, seen := peers.processID(term.leader), peers.lastSeen(term.leader)
	w.mu.Lock()
	defer w.mu.Unlock()
	if process.token == term.token && process.processID != 0 && current == process.processID && time.Since(seen) < leaderSeenWithin {
		w.detector.RecordHeartbeat(term.token, current)
	}
}

// hasEnded probes the process of a suspected leader. It reports whether there is enough evidence that the
// process has ended, so that the leader's term may be replaced.
func (w *leaderWatch) hasEnded(ctx context.Context, leader suspectedLeader) bool {
	c := w.controller
	w.mu.Lock()
	w.detector.RecordConnectionLoss(c.now())
	mayReplace := w.detector.MayReplace(c.now())
	limit := time.Duration(w.detector.MinSilence)*time.Microsecond + probeTimeMargin
	w.mu.Unlock()
	if !mayReplace {
		return false
	}
	for began := time.Now(); time.Since(began) < limit && ctx.Err() == nil; sleepContext(ctx, leaderProbeInterval) {
		if c.term.view().token != leader.token || !c.owner.ranRecently() {
			return false
		}
		answered, ok := c.probeProcess(ctx, leader.client)
		if ok && answered == leader.processID {
			return false
		}
		if w.evidenceSuffices(ctx, leader, answered) {
			return true
		}
	}
	return false
}

// evidenceSuffices reports whether the evidence that the leader's process has ended suffices. The given ID is
// that of the process that answered this controller's probe, or 0 if none did. If another process than the
// leader's answered, this alone suffices. Otherwise evidenceSuffices asks the other controllers to probe the
// leader too. If the evidence suffices, it records that this controller replaces the term.
func (w *leaderWatch) evidenceSuffices(ctx context.Context, leader suspectedLeader, answered uint64) bool {
	c := w.controller
	w.mu.Lock()
	anotherProcess := w.detector.RecordProbe(answered)
	w.mu.Unlock()
	if !anotherProcess {
		w.probeViaPeers(ctx, leader)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !anotherProcess && !w.detector.Suspects(c.now()) {
		return false
	}
	w.detector.RecordReplacement(c.now())
	w.replaced = processRef{leader.label, leader.processID}
	c.log.Info("leader suspected dead", "node", leader.label, "token", leader.token, "another_process", anotherProcess)
	return true
}

// probeViaPeers asks all other controllers whether they reach the leader's process and records their
// answers.
func (w *leaderWatch) probeViaPeers(ctx context.Context, leader suspectedLeader) {
	var probes sync.WaitGroup
	for label, client := range w.controller.peers {
		if label == leader.label {
			continue
		}
		probes.Go(func() {
			request := w.controller.newHeartbeat()
			request.Probe, request.ProbeProcessID = leader.label, leader.processID
			answer, err := client.Heartbeat(ctx, request)
			if err != nil || answer.Probe != leader.label {
				return // the peer doesn't answer, or its version doesn't support probes
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			w.detector.RecordPeerProbe(label, answer.Reached)
		})
	}
	probes.Wait()
}

// recordAlive records that a heartbeat of a process has arrived. If this controller has replaced the term of
// that process because the process seemed to have ended, recordAlive counts a wrong suspicion.
func (w *leaderWatch) recordAlive(label string, processID uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if processID != 0 && w.replaced == (processRef{label, processID}) {
		w.replaced = processRef{}
		w.detector.RecordFalsePositive()
		w.controller.log.Warn("leader suspicion was wrong", "node", label)
	}
}

// wrongSuspicions returns the number of terms that this controller replaced although the leader's
// process had not ended.
func (w *leaderWatch) wrongSuspicions() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.detector.FalsePositives()
}

// probeProcess returns the ID of the process that answers at a peer's address, and whether any process
// answers. The ID is 0 if the process runs an early version, which sends no process ID.
func (c *Controller) probeProcess(ctx context.Context, client *peer.Client) (uint64, bool) {
	client.ResetBackoff()
	answer, err := client.Probe(ctx, c.newHeartbeat())
	if err != nil {
		return 0, false
	}
	return answer.ProcessID, true
}

// reachesProcess reports whether the given process of the controller with the given label answers this
// controller.
func (c *Controller) reachesProcess(ctx context.Context, label string, processID uint64) bool {
	if label == c.settings.Label {
		return c.processID == processID
	}
	client := c.peers[label]
	if client == nil {
		return false
	}
	answered, ok := c.probeProcess(ctx, client)
	return ok && answered == processID
}
