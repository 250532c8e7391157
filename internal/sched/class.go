package sched

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"dalefront/internal/config"
)

// maxClasses is the number of classes at which unused classes are removed before another one is added.
const maxClasses = 500

// classTable holds the known classes of jobs.
type classTable struct {
	byName       map[string]*class
	byNameSorted []*class // cached result of the method sorted, nil after a change
}

func newClassTable() classTable { return classTable{byName: map[string]*class{}} }

// find returns the class with the name, or nil if it is unknown.
func (t *classTable) find(name string) *class { return t.byName[name] }

// add adds a class.
func (t *classTable) add(cl *class) {
	t.byName[cl.name] = cl
	t.byNameSorted = nil
}

// isFull reports whether unused classes should be removed before another one is added.
func (t *classTable) isFull() bool { return len(t.byName) >= maxClasses }

// forgetUnused removes the classes without a known job.
func (t *classTable) forgetUnused(jobs *jobTable) {
	used := map[string]bool{}
	for j := range jobs.all() {
		used[j.spec.Class] = true
	}
	maps.DeleteFunc(t.byName, func(name string, _ *class) bool { return !used[name] })
	t.byNameSorted = nil
}

// sorted returns the classes, sorted by name, so that floating-point sums over them are rounded the same way
// each time. The caller must not change the slice.
func (t *classTable) sorted() []*class {
	if t.byNameSorted == nil {
		t.byNameSorted = slices.SortedFunc(maps.Values(t.byName), func(a, b *class) int { return cmp.Compare(a.name, b.name) })
	}
	return t.byNameSorted
}

// class holds what the core has observed of a class of jobs, and the objectives of the class.
type class struct {
	name            string
	runTimeRatio    float64 // smoothed ratio of run time to estimate
	decayedArrivals float64 // exponentially decayed count of tasks that arrived
	decayedAt       Micros  // when decayedArrivals was last decayed
	lastArrival     Micros  // when a job last arrived
	sampleJob       *job    // a recent job, which represents the jobs of the class
	meanTasks       float64 // moving average of the tasks per job
	service         serviceShare
	largeJobService serviceShare // service share of the largest jobs of the class only
	recentSizes     sizeWindow

	capacity   float64 // CPUs available to its jobs, see classCapacity
	capacityAt Micros  // when capacity was computed

	// Limits set by the class's objectives. Each list has the strictest limit first.
	waitObjectives       []Micros
	completionObjectives []Micros
	deadlineFactors      []float64 // multiples of the deadline
}

// arrivalDecayTime is the time constant of decayedArrivals, in which arrivals lose two thirds of their
// weight.
const arrivalDecayTime = 120 * second

const (
	meanTasksWeight   = 0.1 // weight of a new job in meanTasks
	maxUnseenArrivals = 3   // upper bound, with 95% confidence, of the jobs expected in a period without arrivals
)

// recordArrival counts a recently submitted job with the given number of tasks.
func (cl *class) recordArrival(now Micros, tasks float64) {
	cl.decay(now)
	cl.decayedArrivals += tasks
	if cl.meanTasks == 0 {
		cl.meanTasks = tasks
	}
	cl.meanTasks += meanTasksWeight * (tasks - cl.meanTasks)
}

// decay applies the exponential decay of the count of arrivals up to now.
func (cl *class) decay(now Micros) {
	if now > cl.decayedAt {
		cl.decayedArrivals *= math.Exp(-float64(now-cl.decayedAt) / float64(arrivalDecayTime))
		cl.decayedAt = now
	}
}

// arrivalRate returns the rate at which tasks arrive, in tasks per second. If no job has arrived for some
// time, a rate above three jobs in that time can be excluded with 95% confidence, for independent arrivals.
// The rate is limited accordingly so that no machines are kept for work that no longer arrives.
func (cl *class) arrivalRate(now Micros) float64 {
	cl.decay(now)
	rate := cl.decayedArrivals / (float64(arrivalDecayTime) / float64(second))
	if cl.lastArrival > 0 && now > cl.lastArrival {
		rate = min(rate, maxUnseenArrivals*max(1, cl.meanTasks)*float64(second)/float64(now-cl.lastArrival))
	}
	return rate
}

// classOf returns the class with the name and adds it if it is unknown. Users choose the names of classes,
// and many names occur only once, so unused classes are removed when there are too many.
func (c *Core) classOf(name string) *class {
	if known := c.classes.find(name); known != nil {
		return known
	}
	if c.classes.isFull() {
		c.classes.forgetUnused(&c.jobs)
	}
	cl := newClass(name, c.settings.Deployment.Objectives, c.now)
	c.classes.add(cl)
	return cl
}

// newClass returns a class with its objectives from the settings.
func newClass(name string, objectives []config.Objective, now Micros) *class {
	cl := &class{name: name, runTimeRatio: 1, decayedAt: now}
	for _, objective := range objectives {
		if objective.Class != name {
			continue
		}
		switch objective.Kind {
		case "wait":
			cl.waitObjectives = append(cl.waitObjectives, config.Micro(objective.WithinS))
		case "finished":
			cl.completionObjectives = append(cl.completionObjectives, config.Micro(objective.WithinS))
		case "deadline":
			cl.deadlineFactors = append(cl.deadlineFactors, max(1, objective.DeadlineFactor))
		}
	}
	if len(cl.deadlineFactors) == 0 {
		cl.deadlineFactors = []float64{1} // without an objective the deadline itself counts
	}
	slices.Sort(cl.waitObjectives)
	slices.Sort(cl.completionObjectives)
	slices.Sort(cl.deadlineFactors)
	return cl
}
