package standby

import "fmt"

// TakeoverState is the input of the checks that a new leader makes before its first decision
// based on its copy.
type TakeoverState struct {
	Token          uint64 // token of the new term
	HighestToken   uint64 // highest token known from heartbeats, workers and the store
	Revision       uint64 // revision of the store that the copy has reached
	CopyErr        error  // why the copy is invalid, or nil
	ComparedKeys   int    // number of sampled keys whose copy was found equal to the store since the term began
	SampleKeys     int    // number of keys in the copy that have the prefix from which the sample was taken
	RanRecently    bool   // the process was not paused recently
	StoreReachable bool   // the store has responded to this controller since the term began
	LeaseHeld      bool   // the lease of the term has not expired
}

// Check is a condition that must hold before the first decision based on a copy.
type Check struct {
	Name      string
	Rationale string
	Failure   func(*TakeoverState) string // returns why the condition does not hold, or "" if it holds
}

// CheckError reports a failed check. After a failed check, the copy must not be used for a takeover.
type CheckError struct {
	Check   string
	Failure string
}

func (e *CheckError) Error() string { return e.Check + ": " + e.Failure }

// Checks lists the checks in the order in which they are made. If a check fails, the new leader reads
// the state from the store, as in a takeover without a standby, and does not use the copy.
//
// The other conditions of a safe takeover do not depend on the copy. They hold after any takeover:
//
//   - The task of a launch record in the ledger counts as being on its machine until there is proof that
//     the task is not on the machine.
//   - A machine gets no commands before its worker, in its present incarnation, has confirmed the
//     leader's term.
//   - Idempotency keys of scale-outs are never used again, and machines rented under them are
//     adopted.
//   - End records of jobs that are newer than the copy's revision are received through the watch. The
//     launch of a task is stored only if its job has no end record.
//   - No task is preempted before most machines are known.
var Checks = []Check{
	{"term kept", "a controller that has lost its lease must not act", func(s *TakeoverState) string {
		if !s.LeaseHeld {
			return "the lease has expired"
		}
		return ""
	}},
	{"awake", "after a pause the copy and the state of the term are as old as the pause is long", func(s *TakeoverState) string {
		if !s.RanRecently {
			return "the process was paused"
		}
		return ""
	}},
	{"store reached", "a controller that can't reach the store does not know which changes the copy lacks", func(s *TakeoverState) string {
		if !s.StoreReachable {
			return "the store has not answered since the term began"
		}
		return ""
	}},
	{"highest token", "a worker that knows a higher token refuses this controller, and a peer that knows one deposes it", func(s *TakeoverState) string {
		if s.HighestToken > s.Token {
			return fmt.Sprintf("the higher token %d is known", s.HighestToken)
		}
		return ""
	}},
	{"revision of the term", "transactions of earlier leaders are conditional on their terms, so all their writes have revisions below the new token and are in a copy that has reached it", func(s *TakeoverState) string {
		if s.Revision < s.Token {
			return fmt.Sprintf("the copy has reached revision %d, lower than the token %d", s.Revision, s.Token)
		}
		return ""
	}},
	{"copy valid", "a copy is invalid if a change was lost, unreadable or out of order, or if a key differs from the store's", func(s *TakeoverState) string {
		if s.CopyErr != nil {
			return s.CopyErr.Error()
		}
		return ""
	}},
	{"compared", "audits compare all keys with the store in turn, but a copy of which no key can be compared now may have any content", func(s *TakeoverState) string {
		if s.SampleKeys > 0 && s.ComparedKeys == 0 {
			return "no key of the sample could be compared"
		}
		return ""
	}},
}

// RunChecks makes the checks in order. The error is a *CheckError for the first check that fails.
func RunChecks(state *TakeoverState) error {
	for _, check := range Checks {
		if failure := check.Failure(state); failure != "" {
			return &CheckError{check.Name, failure}
		}
	}
	return nil
}
