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
	leaderCheckInterval = 40 * time.Millisecond // between two looks at the connection to the leader
	leaderProbePause    = 30 * time.Millisecond // between two probes of a leader in suspicion
	leaderRecentlySeen  = time.Second           // how recent the leader's last answer must be to count
	probeMargin         = time.Second           // for so long more than it must be silent a leader is probed

	// replacementInterval is the least time between two terms that a controller replaces, in
	// microseconds.
	replacementInterval = int64(10 * time.Second / time.Microsecond)

	// peersToSuspect: with fewer peers nobody else can be asked for the leader.
	peersToSuspect = 2
)

// processRef names a process of a controller.
type processRef struct {
	label string
	id    uint64
}

// leaderWatch detects that the leader's process has ended, while this controller stands by, so that
// its term can be replaced before its lease expires. See docs/standby.md.
type leaderWatch struct {
	controller  *Controller
	replaceable chan uint64 // fencing token of a term that may be replaced

	mu       sync.Mutex
	detector standby.FailureDetector
	replaced processRef // whose term this controller replaced last
}

// newLeaderWatch returns a watch; run starts it.
func newLeaderWatch(c *Controller) *leaderWatch {
	w := &leaderWatch{controller: c, replaceable: make(chan uint64, 1)}
	if wait := c.settings.Operator.SuspectS; wait != nil {
		w.detector = standby.FailureDetector{Controllers: len(c.settings.Members) + 1, MinSilence: config.Micro(*wait), MinInterval: replacementInterval}
	}
	return w
}

// leaderLink is the connection to the leader, as it was at the last look.
type leaderLink struct {
	leader    string // "" for none
	connected bool
}

// suspect is a leader whose connection broke.
type suspect struct {
	label  string
	client *peer.Client
	termProcess
}

// run watches until the context ends.
func (w *leaderWatch) run(ctx context.Context) {
	if w.detector.MinSilence <= 0 || len(w.controller.peers) < peersToSuspect {
		return
	}
	var link leaderLink
	for ctx.Err() == nil {
		w.check(ctx, &link)
		sleepContext(ctx, leaderCheckInterval)
	}
}

// check looks at the connection to the leader. If it broke, and the leader's process is found to have
// ended, the term may be replaced.
func (w *leaderWatch) check(ctx context.Context, link *leaderLink) {
	c := w.controller
	term := c.term.view()
	client := c.peers[term.leader]
	if term.isLeading() || client == nil || c.peerTable.standbyRank() < 0 {
		*link = leaderLink{}
		return
	}
	process := c.term.leaderProcess()
	w.recordLeader(term, process)
	if term.leader != link.leader {
		*link = leaderLink{leader: term.leader, connected: client.Connected()}
		return
	}
	if connected := client.Connected(); connected || !link.connected {
		link.connected = connected
		return
	}
	if process.token != term.token {
		return // it never said that it leads: nothing to replace
	}
	if !w.hasEnded(ctx, suspect{term.leader, client, process}) {
		link.connected = client.Connected()
		return
	}
	select {
	case w.replaceable <- term.token:
	default:
	}
	link.leader = ""
}

// recordLeader notes that the leader's process was heard of lately.
func (w *leaderWatch) recordLeader(term termView, process termProcess) {
	peers := w.controller.peerTable
	current, seen := peers.process(term.leader), peers.lastSeen(term.leader)
	w.mu.Lock()
	defer w.mu.Unlock()
	if process.token == term.token && process.process != 0 && current == process.process && time.Since(seen) < leaderRecentlySeen {
		w.detector.RecordHeartbeat(term.token, current)
	}
}

// hasEnded gathers evidence that the process of a leader has ended, and says whether it suffices to
// replace the term.
func (w *leaderWatch) hasEnded(ctx context.Context, leader suspect) bool {
	c := w.controller
	w.mu.Lock()
	w.detector.RecordConnectionLoss(c.now())
	mayReplace := w.detector.MayReplace(c.now())
	limit := time.Duration(w.detector.MinSilence)*time.Microsecond + probeMargin
	w.mu.Unlock()
	if !mayReplace {
		return false
	}
	for began := time.Now(); time.Since(began) < limit && ctx.Err() == nil; sleepContext(ctx, leaderProbePause) {
		if c.term.view().token != leader.token || !c.owner.ranRecently() {
			return false
		}
		answered, ok := c.probeProcess(ctx, leader.client)
		if ok && answered == leader.process {
			return false
		}
		if w.suffices(ctx, leader, answered) {
			return true
		}
	}
	return false
}

// suffices adds the process that answered a probe to the evidence, 0 for none, asks the others, and
// says whether the evidence suffices. If it does, the term counts as replaced.
func (w *leaderWatch) suffices(ctx context.Context, leader suspect, answered uint64) bool {
	c := w.controller
	w.mu.Lock()
	another := w.detector.RecordProbe(answered)
	w.mu.Unlock()
	if !another {
		w.askOthers(ctx, leader)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !another && !w.detector.Suspects(c.now()) {
		return false
	}
	w.detector.RecordReplacement(c.now())
	w.replaced = processRef{leader.label, leader.process}
	c.log.Info("leader suspected dead", "node", leader.label, "token", leader.token, "another_process", another)
	return true
}

// askOthers asks all other controllers whether they reach the leader's process.
func (w *leaderWatch) askOthers(ctx context.Context, leader suspect) {
	var others sync.WaitGroup
	for label, client := range w.controller.peers {
		if label == leader.label {
			continue
		}
		others.Go(func() {
			question := w.controller.newHeartbeat()
			question.Probe, question.ProbeProcessID = leader.label, leader.process
			answer, err := client.Heartbeat(ctx, question)
			if err != nil || answer.Probe != leader.label {
				return // it can't be asked, or is of a version that does not know the question
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			w.detector.RecordPeerProbe(label, answer.Reached)
		})
	}
	others.Wait()
}

// recordAlive notes that a process said hello: if this controller had taken it for ended and replaced
// its term, that was wrong.
func (w *leaderWatch) recordAlive(label string, processID uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if processID != 0 && w.replaced == (processRef{label, processID}) {
		w.replaced = processRef{}
		w.detector.RecordFalsePositive()
		w.controller.log.Warn("leader suspicion was wrong", "node", label)
	}
}

// wrongSuspicions is how many terms were replaced though the leader's process had not ended.
func (w *leaderWatch) wrongSuspicions() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.detector.FalsePositives()
}

// probeProcess returns the process that answers for a peer, and whether one does. A process of an
// early version has the id 0.
func (c *Controller) probeProcess(ctx context.Context, client *peer.Client) (uint64, bool) {
	client.ResetBackoff()
	answer, err := client.Probe(ctx, c.newHeartbeat())
	if err != nil {
		return 0, false
	}
	return answer.ProcessID, true
}

// reachesProcess answers whether this controller reaches a process of another one.
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
