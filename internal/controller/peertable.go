package controller

import (
	"sync"
	"time"

	"dalefront/internal/config"
	"dalefront/internal/standby"
)

const (
	restartWindow       = time.Minute            // period for which a restart counts as recent
	maxCountedRestarts  = 8                      // maximum number of recent restarts counted for a controller
	minUnstableRestarts = 2                      // minimum number of recent restarts of an unstable controller
	yieldPerRestart     = 250 * time.Millisecond // time that an unstable controller waits in an election per recent restart

	// peerAliveTimeout is the maximum age of a peer's last answer for the peer to count as alive when
	// this controller decides whether to defer to others in an election.
	peerAliveTimeout = 2 * time.Second
	// redirectAliveTimeout is the maximum age of a peer's last answer for workers to be redirected to
	// that peer.
	redirectAliveTimeout = 2500 * time.Millisecond
)

// peerState is the information that a controller keeps about one peer.
type peerState struct {
	seenAt    time.Time   // time of the peer's last answer, zero if it never answered
	unfitAt   time.Time   // time at which the peer last reported that it failed to follow the stored state
	processID uint64      // ID of the process that last sent a heartbeat, 0 if none did
	restarts  []time.Time // times at which the process ID changed, oldest first
}

// recentRestarts drops restarts that are older than restartWindow and returns the number of remaining
// restarts.
func (s *peerState) recentRestarts(now time.Time) int {
	for len(s.restarts) > 0 && now.Sub(s.restarts[0]) > restartWindow {
		s.restarts = s.restarts[1:]
	}
	return len(s.restarts)
}

// peerTable records which peers of a controller are alive, how often each was restarted recently, and
// which controllers are standbys. It also records how often peers have seen this controller restart.
// All methods may be called concurrently.
type peerTable struct {
	self string // label of this controller

	mu                 sync.Mutex
	states             map[string]*peerState // by label
	standbys           standby.View          // newest known view of which controllers are standbys
	answeredHeartbeats int                   // number of heartbeats of this controller that peers answered

	ownRestarts   int       // highest number of recent restarts of this controller that a peer reported
	ownRestartsAt time.Time // time at which a peer last reported ownRestarts
}

func newPeerTable(self string) *peerTable {
	return &peerTable{self: self, states: map[string]*peerState{}}
}

// state returns the entry of a peer, and creates it if there is none. The caller must hold t.mu.
func (t *peerTable) state(label string) *peerState {
	s := t.states[label]
	if s == nil {
		s = &peerState{}
		t.states[label] = s
	}
	return s
}

// recordSeen records that a peer answered.
func (t *peerTable) recordSeen(label string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(label).seenAt = now
}

// lastSeen returns the time of a peer's last answer, or the zero time if it never answered.
func (t *peerTable) lastSeen(label string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[label]; s != nil {
		return s.seenAt
	}
	return time.Time{}
}

// recordUnfit records the time of a peer's report that it failed to follow the stored state.
func (t *peerTable) recordUnfit(label string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(label).unfitAt = now
}

// recordProcess records which process of a peer sent a heartbeat, and returns the number of the
// peer's recent restarts.
func (t *peerTable) recordProcess(label string, processID uint64, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(label)
	if s.processID != 0 && s.processID != processID && len(s.restarts) < maxCountedRestarts {
		s.restarts = append(s.restarts, now)
	}
	s.processID = processID
	return s.recentRestarts(now)
}

// processID returns the ID of the peer's process that last sent a heartbeat, or 0 if the peer has sent no
// heartbeat.
func (t *peerTable) processID(label string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[label]; s != nil {
		return s.processID
	}
	return 0
}

// recordOwnRestarts records a peer's answer to a heartbeat, which gives the number of recent restarts
// of this controller that the peer has seen. Only the highest number reported so far is kept.
func (t *peerTable) recordOwnRestarts(restarts int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answeredHeartbeats++
	if restarts = min(restarts, maxCountedRestarts); restarts > 0 && restarts >= t.ownRestarts {
		t.ownRestarts, t.ownRestartsAt = restarts, now
	}
}

// hasAnswers reports whether any peer has answered a heartbeat of this process.
func (t *peerTable) hasAnswers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answeredHeartbeats > 0
}

// isUnstable reports whether this controller was restarted at least minUnstableRestarts times recently
// and at least one live peer was restarted less often.
func (t *peerTable) isUnstable(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ownRestarts < minUnstableRestarts || now.Sub(t.ownRestartsAt) > restartWindow {
		return false
	}
	for _, s := range t.states {
		if now.Sub(s.seenAt) < peerAliveTimeout && s.recentRestarts(now) < t.ownRestarts {
			return true
		}
	}
	return false
}

// yieldDuration returns the time for which this controller, when it is unstable, lets other controllers
// acquire the term first.
func (t *peerTable) yieldDuration() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.ownRestarts) * yieldPerRestart
}

// nextAlive returns the label of the live peer that follows this controller in the order of labels. After the
// last label the order continues with the first. It leaves out the peer whose label is the parameter except,
// and returns "" if no other peer is alive. If each controller redirects a worker to the controller that
// nextAlive returns, the worker reaches every live controller that is not left out.
func (t *peerTable) nextAlive(except string, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	first, next := "", ""
	for label, s := range t.states {
		if label == except || now.Sub(s.seenAt) > redirectAliveTimeout {
			continue
		}
		if first == "" || label < first {
			first = label
		}
		if label > t.self && (next == "" || label < next) {
			next = label
		}
	}
	if next == "" {
		return first
	}
	return next
}

// standbyView returns the newest known view of which controllers are standbys.
func (t *peerTable) standbyView() standby.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.standbys
}

// standbyRank returns this controller's rank among the standbys, -1 if it is not a standby.
func (t *peerTable) standbyRank() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.standbys.Rank(t.self)
}

// acceptStandbyView stores a view that a peer sent, if that view is newer than the stored view.
func (t *peerTable) acceptStandbyView(view *standby.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if view.Newer(&t.standbys) {
		t.standbys = *view
	}
}

// aliveStandbysBefore returns the number of live standbys that rank before this controller. If this
// controller is not a standby, it returns the number of all live standbys.
func (t *peerTable) aliveStandbysBefore(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := 0
	for _, label := range t.standbys.Standbys {
		if label == t.self {
			break
		}
		if s := t.states[label]; s != nil && now.Sub(s.seenAt) < peerAliveTimeout {
			before++
		}
	}
	return before
}

// chooseStandbys chooses the standbys among the members under the leader's token. It stores the resulting
// view, returns it, and reports whether the view has changed.
func (t *peerTable) chooseStandbys(selector *standby.Selector, token uint64, members []config.Member, now config.Micros) (standby.View, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clock := time.Now()
	since := func(at time.Time) config.Micros {
		if at.IsZero() {
			return 0
		}
		return max(1, now-clock.Sub(at).Microseconds())
	}
	candidates := make([]standby.Member, 0, len(members))
	for _, member := range members {
		candidate := standby.Member{Label: member.Label, Zone: member.Zone}
		if s := t.states[member.Label]; s != nil {
			candidate.LastHeard, candidate.UnfitAt, candidate.RecentRestarts = since(s.seenAt), since(s.unfitAt), s.recentRestarts(clock)
		}
		candidates = append(candidates, candidate)
	}
	old := t.standbys
	if old.Token != token {
		old = standby.View{Token: token, Number: old.Number, Standbys: old.Standbys}
	}
	next, changed := selector.Select(old, candidates, now)
	t.standbys = next
	return next, changed
}
