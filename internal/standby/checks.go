package standby

import "fmt"

// TakeoverState is what is known at the moment when a controller that has just become
// leader would take its first decision on its copy.
type TakeoverState struct {
	Token          uint64 // of the new term
	HighestToken   uint64 // known, from heartbeats, workers and the store
	Revision       uint64 // that the copy has reached, by the store's word
	CopyErr        error  // why the copy is invalid, or nil
	ComparedKeys   int    // keys of a sample that were compared since the term began
	SampleKeys     int    // that the copy has where the sample was taken
	RanRecently    bool   // the process was not paused lately
	StoreReachable bool   // the store has answered this controller since the term began
	LeaseHeld      bool   // the lease of the term has not expired
}

// Check is a condition that must hold before the first decision on a copy.
type Check struct {
	Name      string
	Rationale string
	Failure   func(*TakeoverState) string // how it fails, empty if it holds
}

// CheckError means that a copy must not be used for a takeover.
type CheckError struct {
	Check   string
	Failure string
}

func (e *CheckError) Error() string { return e.Check + ": " + e.Failure }

// Checks is the list, in the order in which they are made. If one fails the state is read
// from the store, as after a takeover without a standby: then nothing depends on the copy.
//
// What else has to hold does not depend on the copy and holds as after any takeover:
// launches in the ledger count as on their machines until there is proof that they are
// not; a machine gets no commands before its worker has confirmed the term in its present
// incarnation; idempotency keys of scale-outs are never used again, and machines rented
// under them are adopted; ends that came since the copy's revision come with the watch,
// and a launch is stored only if its job has none; nothing is preempted before most
// machines are known.
var Checks = []Check{
	{"term kept", "a controller that has lost its lease may not act at all", func(s *TakeoverState) string {
		if !s.LeaseHeld {
			return "the lease has ended"
		}
		return ""
	}},
	{"awake", "after a pause the copy is as old as the gap, and so is what was read of the term", func(s *TakeoverState) string {
		if !s.RanRecently {
			return "this process stood still"
		}
		return ""
	}},
	{"store reached", "a controller that is cut off from the store can't know what the copy lacks", func(s *TakeoverState) string {
		if !s.StoreReachable {
			return "the store has not answered since"
		}
		return ""
	}},
	{"highest token", "a worker or peer that knows a higher token would refuse or depose this controller", func(s *TakeoverState) string {
		if s.HighestToken > s.Token {
			return fmt.Sprintf("token %d is known", s.HighestToken)
		}
		return ""
	}},
	{"revision of the term", "all writes of earlier leaders have lower revisions: their transactions are conditional on their terms, so what is not in the copy by then never will be", func(s *TakeoverState) string {
		if s.Revision < s.Token {
			return fmt.Sprintf("revision %d is before %d", s.Revision, s.Token)
		}
		return ""
	}},
	{"no doubt", "a change was lost, torn or out of order, or a key differs from the store's", func(s *TakeoverState) string {
		if s.CopyErr != nil {
			return s.CopyErr.Error()
		}
		return ""
	}},
	{"compared", "all keys of a copy are compared with the store in turn; a copy of which none can be compared now may be anything", func(s *TakeoverState) string {
		if s.SampleKeys > 0 && s.ComparedKeys == 0 {
			return "no key of a sample could be compared"
		}
		return ""
	}},
}

// RunChecks makes all checks. The error is a *CheckError for the first that fails.
func RunChecks(state *TakeoverState) error {
	for _, check := range Checks {
		if failure := check.Failure(state); failure != "" {
			return &CheckError{check.Name, failure}
		}
	}
	return nil
}
