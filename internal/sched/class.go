package sched

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"dalefront/internal/config"
)

// maxClasses bounds what is remembered of classes of jobs.
const maxClasses = 500

// classTable is the classes of jobs that were seen.
type classTable struct {
	byName       map[string]*class
	byNameSorted []*class // nil when a class came or went
}

func newClassTable() classTable { return classTable{byName: map[string]*class{}} }

// find returns a known class, or nil.
func (t *classTable) find(name string) *class { return t.byName[name] }

// add takes a class.
func (t *classTable) add(cl *class) {
	t.byName[cl.name] = cl
	t.byNameSorted = nil
}

// isFull says whether classes should be forgotten before one more is added.
func (t *classTable) isFull() bool { return len(t.byName) >= maxClasses }

// forgetUnused forgets the classes of which no job is known.
func (t *classTable) forgetUnused(jobs *jobTable) {
	used := map[string]bool{}
	for j := range jobs.all() {
		used[j.spec.Class] = true
	}
	maps.DeleteFunc(t.byName, func(name string, _ *class) bool { return !used[name] })
	t.byNameSorted = nil
}

// sorted returns the classes by name: sums of what they need round alike each time. The caller
// must not change the list.
func (t *classTable) sorted() []*class {
	if t.byNameSorted == nil {
		t.byNameSorted = slices.SortedFunc(maps.Values(t.byName), func(a, b *class) int { return cmp.Compare(a.name, b.name) })
	}
	return t.byNameSorted
}

// class is what the core learns about a class of jobs.
type class struct {
	name            string
	runTimeRatio    float64 // actual run time over estimate
	decayedArrivals float64 // decayed count of tasks that arrived
	decayedAt       Micros
	lastArrival     Micros  // when a job last arrived
	sampleJob       *job    // a recent job, for its shape
	meanTasks       float64 // tasks of a job, a mean that forgets
	service         serviceShare
	largeJobService serviceShare // of service, that of the largest jobs
	recentSizes     sizeWindow

	capacity   float64 // CPUs that its jobs have between them
	capacityAt Micros

	// what the objectives ask for, the strictest first
	waitObjectives       []Micros
	completionObjectives []Micros
	deadlineFactors      []float64 // of the deadline
}

// arrivalDecayTime is the time in which arrivals lose two thirds of their weight.
const arrivalDecayTime = 120 * second

const (
	meanTasksWeight = 0.1 // of a new job in the mean
	rareArrivals    = 3   // arrivals in a while in which none came that can be excluded with 95% confidence
)

// recordArrival counts a job that was submitted lately, of so many tasks.
func (cl *class) recordArrival(now Micros, tasks float64) {
	cl.decay(now)
	cl.decayedArrivals += tasks
	if cl.meanTasks == 0 {
		cl.meanTasks = tasks
	}
	cl.meanTasks += meanTasksWeight * (tasks - cl.meanTasks)
}

// decay forgets arrivals by their age.
func (cl *class) decay(now Micros) {
	if now > cl.decayedAt {
		cl.decayedArrivals *= math.Exp(-float64(now-cl.decayedAt) / float64(arrivalDecayTime))
		cl.decayedAt = now
	}
}

// arrivalRate is the rate at which tasks arrive. When no job has come for a while, a
// rate of more than three in that while can be excluded (with 95% confidence, for
// independent arrivals): machines are not kept for work that has ceased to come.
func (cl *class) arrivalRate(now Micros) float64 {
	cl.decay(now)
	rate := cl.decayedArrivals / (float64(arrivalDecayTime) / float64(second))
	if cl.lastArrival > 0 && now > cl.lastArrival {
		rate = min(rate, rareArrivals*max(1, cl.meanTasks)*float64(second)/float64(now-cl.lastArrival))
	}
	return rate
}

// classOf returns a class, a new one if it isn't known. Users choose the names, so many of them
// are met once: when there are too many, those without a job are forgotten.
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

// newClass returns a class with the objectives that the settings give it.
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
			cl.deadlineFactors = append(cl.deadlineFactors, max(1, objective.Times))
		}
	}
	if len(cl.deadlineFactors) == 0 {
		cl.deadlineFactors = []float64{1} // a deadline is one without an objective too
	}
	slices.Sort(cl.waitObjectives)
	slices.Sort(cl.completionObjectives)
	slices.Sort(cl.deadlineFactors)
	return cl
}
