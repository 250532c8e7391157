package standby

// Suspicion says when a standby may take the leader's process for ended without waiting
// for its lease to run out. It is never proof: the term is replaced by a transaction
// conditional on its version, which fences every write of the old leader, and what that
// one still says is as harmless as after any takeover (docs/standby.md). A wrong suspicion
// costs a change of leader, so it takes evidence from two sides and is bounded in how
// often.
//
// The evidence: the connection to the leader broke, since when it answers no hello; and
// of the other controllers at least one was asked to try, none of them reaches it either,
// and more than half of all could be asked. A refused connection alone is no sign: nodes
// without sockets refuse, and so do packet filters between nodes, but then the others are
// refused as well, and can't be asked. Or: the leader's node answers as another process
// than the one that took the term. A node that is silent, hangs or stands still breaks no
// connection; for that there is the lease.
type Suspicion struct {
	Nodes int    // controllers in all, this one included
	Wait  Micros // for how long the leader must not answer
	Every Micros // at least between two replacements by this node; doubles with each that was wrong

	broken  Micros // since when the connection is broken, 0 if it is not
	token   uint64 // of the term
	process uint64 // that said hello as leader under the token
	tries   int    // hellos in vain since
	unheard map[string]bool
	last    Micros // when this node last replaced a term
	pause   Micros
	wrong   int
}

// Leader takes a hello of the term's leader, by which process of its node.
func (s *Suspicion) Leader(token, process uint64) {
	if token != s.token {
		s.token, s.process = token, 0
		s.clear()
	}
	if s.process == 0 {
		s.process = process
	}
	if s.process == process {
		s.clear()
	}
}

func (s *Suspicion) clear() { s.broken, s.tries, s.unheard = 0, 0, nil }

// Broke takes that the connection to the leader broke.
func (s *Suspicion) Broke(now Micros) {
	if s.broken == 0 {
		s.broken, s.unheard = now, map[string]bool{}
	}
}

// Tried takes that a hello to the leader's node came to nothing, or that another process
// than the one that took the term answered it.
func (s *Suspicion) Tried(now Micros, process uint64) (another bool) {
	if process != 0 && s.process != 0 && process != s.process {
		return true
	}
	s.tries++
	return false
}

// Asked takes another controller's answer, which tried to reach the leader.
func (s *Suspicion) Asked(label string, reached bool) {
	if reached {
		s.clear()
		return
	}
	if s.unheard != nil {
		s.unheard[label] = true
	}
}

// Suspects says whether the leader's process is taken for ended.
func (s *Suspicion) Suspects(now Micros) bool {
	return s.broken > 0 && now-s.broken >= s.Wait && s.tries >= 2 && len(s.unheard) >= 1 &&
		2*(len(s.unheard)+1) > s.Nodes-1 // of all but the leader
}

// MayReplace says whether this node may replace a term now.
func (s *Suspicion) MayReplace(now Micros) bool {
	return s.last == 0 || now-s.last >= max(s.pause, s.Every)
}

// Replaced takes that this node has replaced a term.
func (s *Suspicion) Replaced(now Micros) { s.last = now }

// longestPause bounds the pause after wrong suspicions.
const longestPause = 600 * second

// Wrong takes that a leader whose term this node replaced had not ended.
func (s *Suspicion) Wrong() {
	s.wrong++
	s.pause = min(max(2*s.pause, 2*s.Every), longestPause)
}

// WrongOnes is how often that happened.
func (s *Suspicion) WrongOnes() int { return s.wrong }
