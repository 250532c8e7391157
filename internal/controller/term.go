package controller

import "sync"

// termView is a snapshot of what a controller knows about the term.
type termView struct {
	leader       string // label of the controller that holds the term, "" if it is unknown
	token        uint64 // highest fencing token seen so far
	leadingToken uint64 // token under which this controller acts as leader, 0 if it doesn't lead
}

// isLeading reports whether this controller acts as leader.
func (v termView) isLeading() bool { return v.leadingToken != 0 }

// leaderProcess identifies a process that has announced itself as leader, and the fencing token of its
// term.
type leaderProcess struct{ token, processID uint64 }

// termTracker tracks what a controller knows about the term. Fencing tokens only increase, and a
// controller acts only under the highest token that it has seen. All methods may be called
// concurrently.
type termTracker struct {
	self string // label of this controller

	mu             sync.Mutex
	current        termView
	renewableToken uint64        // highest token whose leader allows this controller to renew leases
	resignedToken  uint64        // token of the last term that this controller resigned
	process        leaderProcess // process that last announced itself as leader
}

// view returns the current view of the term.
func (t *termTracker) view() termView {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// observe records a leader and its token, as learned from a heartbeat or the term key. A higher token
// always wins. If this controller acts as leader under a lower token, it stops, and deposed is true.
func (t *termTracker) observe(leader string, token uint64) (deposed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if token > t.current.token {
		t.current.token, t.current.leader = token, leader
	} else if token == t.current.token && leader != "" {
		t.current.leader = leader
	}
	deposed = t.current.isLeading() && token > t.current.leadingToken
	if deposed {
		t.current.leadingToken = 0
	}
	return deposed
}

// startLeading makes this controller act as leader under the given token and returns true. It returns
// false if the given token is not the highest known one.
func (t *termTracker) startLeading(token uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current.token != token {
		return false
	}
	t.current.leadingToken = token
	t.current.leader = t.self
	return true
}

// stopLeading makes this controller stop acting as leader, if it acts under the given token.
func (t *termTracker) stopLeading(token uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current.leadingToken == token {
		t.current.leadingToken = 0
	}
}

// resign records that this controller gives up the term with the given token voluntarily.
func (t *termTracker) resign(token uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resignedToken = token
}

// hasResigned reports whether the last term that this controller gave up voluntarily is the term with the
// given token.
func (t *termTracker) hasResigned(token uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.resignedToken == token
}

// allowRenewal records that the leader with the given token lets this controller renew workers' leases.
func (t *termTracker) allowRenewal(token uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.renewableToken = max(t.renewableToken, token)
}

// renewalToken returns the highest token under which workers' leases may be renewed, 0 if there is
// none.
func (t *termTracker) renewalToken() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.renewableToken
}

// mayRenew reports whether this controller may renew the lease of a worker without the leader, and returns
// the token for the renewal. The leader of the highest known term must have allowed renewals. The argument
// seen is the highest token that the worker has seen. Renewal is not allowed if it exceeds the returned
// token.
func (t *termTracker) mayRenew(seen uint64) (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.renewableToken, t.renewableToken > 0 && t.renewableToken == t.current.token && seen <= t.renewableToken
}

// recordLeaderProcess records the process that announced itself as leader, unless the process of a
// later term is known.
func (t *termTracker) recordLeaderProcess(leader leaderProcess) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if leader.token >= t.process.token {
		t.process = leader
	}
}

// leaderProcess returns the process that last announced itself as leader.
func (t *termTracker) leaderProcess() leaderProcess {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.process
}
