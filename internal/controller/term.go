package controller

import "sync"

// termView is what a controller knows of the term at one moment.
type termView struct {
	leader  string // label of the controller that holds the term, "" if it is not known
	token   uint64 // the highest fencing token seen so far
	leading uint64 // the token under which this controller acts as leader, 0 if it does not
}

// isLeading says whether this controller acts as leader.
func (v termView) isLeading() bool { return v.leading != 0 }

// termProcess is a process that said that it leads, and under which fencing token.
type termProcess struct{ token, process uint64 }

// termTracker keeps what a controller knows of the term. Fencing tokens only rise, and a controller
// never acts under another than the highest it has seen. All methods may be called concurrently.
type termTracker struct {
	self string // label of this controller

	mu       sync.Mutex
	current  termView
	renewal  uint64 // the token under which a leader lets this controller renew leases of workers
	resigned uint64 // the token of the last term that this controller gave up by itself
	process  termProcess
}

// view returns what is known now.
func (t *termTracker) view() termView {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// observe takes what somebody says about the term. A higher token always wins; the result says
// whether this controller acted under a lower one, which it no longer does.
func (t *termTracker) observe(leader string, token uint64) (deposed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if token > t.current.token {
		t.current.token, t.current.leader = token, leader
	} else if token == t.current.token && leader != "" {
		t.current.leader = leader
	}
	deposed = t.current.isLeading() && token > t.current.leading
	if deposed {
		t.current.leading = 0
	}
	return deposed
}

// startLeading has this controller act under a token, unless a higher one is known.
func (t *termTracker) startLeading(token uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current.token != token {
		return false
	}
	t.current.leading = token
	t.current.leader = t.self
	return true
}

// stopLeading has this controller no longer act under a token.
func (t *termTracker) stopLeading(token uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current.leading == token {
		t.current.leading = 0
	}
}

// resign notes that this controller gives the term of a token up by itself.
func (t *termTracker) resign(token uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resigned = token
}

// hasResigned says whether this controller gave up the term of a token by itself.
func (t *termTracker) hasResigned(token uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.resigned == token
}

// allowRenewal notes that the leader of a token lets this controller renew leases of workers.
func (t *termTracker) allowRenewal(token uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.renewal = max(t.renewal, token)
}

// renewalToken is the highest token under which leases may be renewed, 0 if there is none.
func (t *termTracker) renewalToken() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.renewal
}

// mayRenew returns the token under which the lease of a worker that has seen a token may be renewed
// without the leader: that of the highest known term, if its leader allowed it.
func (t *termTracker) mayRenew(seen uint64) (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.renewal, t.renewal > 0 && t.renewal == t.current.token && seen <= t.renewal
}

// recordLeaderProcess notes which process says that it leads, unless a later term's is known.
func (t *termTracker) recordLeaderProcess(leader termProcess) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if leader.token >= t.process.token {
		t.process = leader
	}
}

// leaderProcess is the process that last said that it leads.
func (t *termTracker) leaderProcess() termProcess {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.process
}
