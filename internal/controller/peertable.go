package controller

import (
	"sync"
	"time"

	"dalefront/internal/config"
	"dalefront/internal/standby"
)

const (
	restartWindow      = time.Minute            // for so long a restart is remembered
	maxCountedRestarts = 8                      // of which no more are counted
	yieldFromRestarts  = 2                      // from so many on a controller lets others go first
	yieldPerRestart    = 250 * time.Millisecond // for so long for each

	// peerAlive is for how long after its last answer a peer is taken for alive when others go first.
	peerAlive = 2 * time.Second
	// redirectAlive is the same when workers are redirected to it.
	redirectAlive = 2500 * time.Millisecond
)

// peerState is what a controller knows of one peer.
type peerState struct {
	seenAt    time.Time   // when it last answered, zero if it never did
	unfitAt   time.Time   // when it last said that it could not follow the stored state
	processID uint64      // of the process that last sent a heartbeat, 0 if none did
	restarts  []time.Time // when it was found to be another process than before, the oldest first
}

// recentRestarts forgets restarts that are too long ago and counts the rest.
func (s *peerState) recentRestarts(now time.Time) int {
	for len(s.restarts) > 0 && now.Sub(s.restarts[0]) > restartWindow {
		s.restarts = s.restarts[1:]
	}
	return len(s.restarts)
}

// peerTable keeps what a controller knows of its peers, and what they say of it: who is alive, how
// often each was restarted lately, and which of them follow the stored state as standbys. All
// methods may be called concurrently.
type peerTable struct {
	self string // label of this controller

	mu       sync.Mutex
	states   map[string]*peerState // by label
	standbys standby.View          // the newest known
	answers  int                   // heartbeats of this controller that were answered

	ownRestarts   int       // how often this controller was restarted lately, as a peer says
	ownRestartsAt time.Time // when it was said
}

func newPeerTable(self string) *peerTable {
	return &peerTable{self: self, states: map[string]*peerState{}}
}

// state returns the entry of a peer, which it makes if there is none. The lock is held.
func (t *peerTable) state(label string) *peerState {
	s := t.states[label]
	if s == nil {
		s = &peerState{}
		t.states[label] = s
	}
	return s
}

// recordSeen notes that a peer answered.
func (t *peerTable) recordSeen(label string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(label).seenAt = now
}

// lastSeen is when a peer last answered, the zero time if it never did.
func (t *peerTable) lastSeen(label string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[label]; s != nil {
		return s.seenAt
	}
	return time.Time{}
}

// recordUnfit notes that a peer said that it could not follow the stored state.
func (t *peerTable) recordUnfit(label string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(label).unfitAt = now
}

// recordProcess notes which process of a peer sent a heartbeat, and returns how often the peer was
// restarted lately.
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

// process is the process of a peer that last sent a heartbeat, 0 if none did.
func (t *peerTable) process(label string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[label]; s != nil {
		return s.processID
	}
	return 0
}

// recordOwnRestarts takes a peer's answer: how often it saw this controller restarted lately.
func (t *peerTable) recordOwnRestarts(restarts int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers++
	if restarts = min(restarts, maxCountedRestarts); restarts > 0 && restarts >= t.ownRestarts {
		t.ownRestarts, t.ownRestartsAt = restarts, now
	}
}

// hasAnswers says whether any peer has answered a heartbeat of this process.
func (t *peerTable) hasAnswers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answers > 0
}

// isUnstable says whether this controller was restarted often lately, while a peer that is alive
// was restarted less often.
func (t *peerTable) isUnstable(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ownRestarts < yieldFromRestarts || now.Sub(t.ownRestartsAt) > restartWindow {
		return false
	}
	for _, s := range t.states {
		if now.Sub(s.seenAt) < peerAlive && s.recentRestarts(now) < t.ownRestarts {
			return true
		}
	}
	return false
}

// yieldDuration is for how long an unstable controller lets others go first.
func (t *peerTable) yieldDuration() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.ownRestarts) * yieldPerRestart
}

// nextAlive names the peer that follows this controller in the ring of those that are alive, but
// for one; "" if there is none. Workers that are redirected from one to the next meet all.
func (t *peerTable) nextAlive(except string, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	first, next := "", ""
	for label, s := range t.states {
		if label == except || now.Sub(s.seenAt) > redirectAlive {
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

// standbyView is the newest known view of which controllers are standbys.
func (t *peerTable) standbyView() standby.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.standbys
}

// standbyRank is this controller's place among the standbys, -1 if it is none.
func (t *peerTable) standbyRank() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.standbys.Rank(t.self)
}

// acceptStandbyView takes a view that a peer sent, if it is newer than what is known.
func (t *peerTable) acceptStandbyView(view *standby.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if view.Newer(&t.standbys) {
		t.standbys = *view
	}
}

// aliveBefore counts the standbys that are alive and rank before this controller, or all if it is
// none.
func (t *peerTable) aliveBefore(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := 0
	for _, label := range t.standbys.Standbys {
		if label == t.self {
			break
		}
		if s := t.states[label]; s != nil && now.Sub(s.seenAt) < peerAlive {
			before++
		}
	}
	return before
}

// chooseStandbys chooses which of the members are standbys under a leader's token, and says whether
// that has changed.
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
