package experiment

// Result holds the measurements of one run of a variant.
type Result struct {
	Variant     string                  `json:"variant"`
	Seed        uint64                  `json:"seed"`
	Classes     map[string]*ClassResult `json:"classes"`
	Jobs        int                     `json:"jobs"`
	Unfinished  int                     `json:"unfinished"`
	WastedShare float64                 `json:"wasted_share"` // share of the tasks' CPU time that no completed task needed
	Evictions   int                     `json:"evictions"`
	Checkpoints int                     `json:"checkpoints"` // number of evictions of tasks that wrote a checkpoint first
	Launches    int                     `json:"launches,omitempty"`
	Price       float64                 `json:"price"`
	Samples     []Sample                `json:"samples"`
	Violations  []string                `json:"broken,omitempty"`      // violated invariants
	Submissions *Submissions            `json:"submissions,omitempty"` // nil for a run in simulated time
}

// ClassResult holds the times of a class's jobs in seconds. The times are in the order of submission in
// simulated time, and in the order of observation at a live site.
type ClassResult struct {
	Waits     []float64 `json:"waits_s"`     // from submission to the first start
	Responses []float64 `json:"responses_s"` // from submission to the end
}

// Sample is the state of a site at one time.
type Sample struct {
	AtS       float64 `json:"at_s"`
	UsedCPUs  float64 `json:"used_cpus"`
	TotalCPUs float64 `json:"room_cpus"` // CPUs of all rented machines
	Evictions int     `json:"evictions"` // number of evictions up to this time
	Price     float64 `json:"price"`     // price up to this time
	Waiting   int     `json:"waiting"`   // waiting tasks; at a live site, accepted jobs that have not started
}

// samplesPerRun is the number of samples that are taken while the jobs of a run arrive. Short runs have fewer.
const samplesPerRun = 200

// newResult returns a result without any jobs.
func (e *Experiment) newResult(variant string, seed uint64) *Result {
	result := &Result{Variant: variant, Seed: seed, Classes: map[string]*ClassResult{}}
	for _, class := range e.Classes {
		result.Classes[class.Name] = &ClassResult{Waits: []float64{}, Responses: []float64{}}
	}
	return result
}
