package standby

import "fmt"

// Facts is what is known at the moment a controller that has just taken the term would
// decide for the first time on its copy.
type Facts struct {
	Token    uint64 // of the term taken
	Highest  uint64 // token known, from hellos, workers and the store
	Revision uint64 // that the copy has reached, by the store's word
	Doubt    string // about the copy
	Compared int    // keys of a sample that were compared since the term was taken
	Keys     int    // that the copy has where the sample was taken
	Awake    bool   // the process did not stand still lately
	Reached  bool   // the store has answered this node since the term was taken
	Lease    bool   // the lease of the term is kept
}

// Check is something that must hold before the first decision on a copy.
type Check struct {
	Name string
	Why  string
	Fail func(*Facts) string // how it fails, or nothing
}

// Checks is the list, in the order in which they are made. Where one fails the state is
// read anew, as a controller does that stood by cold: then nothing rests on the copy.
//
// What else has to hold does not depend on the copy and holds as after a cold takeover:
// launches in the ledger that no proof covers count as on their machines; a machine gets
// nothing before its worker has confirmed the term in its present session; names of hires
// are never used again, and what they rent is adopted; ends that came since the copy's
// revision come with the watch, and a launch is stored only if its job has none; nothing
// makes way for others before most machines are known.
var Checks = []Check{
	{"term kept", "a node that has lost its lease may not act at all", func(f *Facts) string {
		if !f.Lease {
			return "the lease has ended"
		}
		return ""
	}},
	{"awake", "after a standstill the copy is as old as the gap, and so is what was read of the term", func(f *Facts) string {
		if !f.Awake {
			return "this process stood still"
		}
		return ""
	}},
	{"store reached", "a node that is cut off from the store can't know what the copy lacks", func(f *Facts) string {
		if !f.Reached {
			return "the store has not answered since"
		}
		return ""
	}},
	{"highest token", "a worker or peer that knows a higher token would drop or depose this one", func(f *Facts) string {
		if f.Highest > f.Token {
			return fmt.Sprintf("token %d is known", f.Highest)
		}
		return ""
	}},
	{"revision of the term", "all that earlier leaders have written has a lower one: their transactions are conditional on their terms, so what is not in the copy by then never will be", func(f *Facts) string {
		if f.Revision < f.Token {
			return fmt.Sprintf("revision %d is before %d", f.Revision, f.Token)
		}
		return ""
	}},
	{"no doubt", "a change that was lost, torn or told in the wrong order, or a key that differs from the store's", func(f *Facts) string { return f.Doubt }},
	{"compared", "while a copy is followed all its keys are compared with the store in turn; of one that can't be compared now, nobody knows", func(f *Facts) string {
		if f.Keys > 0 && f.Compared == 0 {
			return "no key of a sample could be compared"
		}
		return ""
	}},
}

// Passes makes all checks and says which failed first, and how.
func Passes(f *Facts) (ok bool, why string) {
	for _, c := range Checks {
		if how := c.Fail(f); how != "" {
			return false, c.Name + ": " + how
		}
	}
	return true, ""
}
