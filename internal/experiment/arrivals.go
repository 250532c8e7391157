package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"dalefront/internal/config"
	"dalefront/wire"
)

// startTime is the simulated time at which an experiment starts.
const startTime = 1000 * config.Second

const (
	secondsPerHour  = 3600
	microsPerSecond = 1e6 // config.Micros per second
	classSeedOffset = 100 // separates the random streams of the classes from the other streams of a seed
	minEstimateS    = 0.2 // lower bound of the drawn run times, in seconds
)

// arrival is a job of an experiment with the times of its submission and its end.
type arrival struct {
	submitAt config.Micros // startTime or later
	job      wire.Job
	endedAt  config.Micros // 0 until the job has ended
}

// arrivals draws the jobs of a run and returns them in the order of their submission. The jobs depend on
// the experiment and the seed but not on the variant, so that all variants run the same jobs.
func (e *Experiment) arrivals(seed uint64) []*arrival {
	var arrivals []*arrival
	for i, class := range e.Classes {
		random := rand.New(rand.NewPCG(seed, uint64(i)+classSeedOffset))
		for _, atS := range class.arrivalTimes(random, e.DurationS) {
			arrivals = append(arrivals, &arrival{submitAt: startTime + config.Micro(atS), job: class.drawJob(random)})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b *arrival) int { return int(a.submitAt - b.submitAt) })
	for i, next := range arrivals {
		next.job.ID = fmt.Sprintf("j-%06d", i+1)
	}
	return arrivals
}

// arrivalTimes returns the times of the trace and those of a Poisson process, in seconds.
func (c Class) arrivalTimes(random *rand.Rand, durationS float64) []float64 {
	times := slices.Clone(c.TraceS)
	if c.JobsPerHour <= 0 {
		return times
	}
	gap := func() float64 { return random.ExpFloat64() * secondsPerHour / c.JobsPerHour }
	for atS := gap(); atS < durationS; atS += gap() {
		times = append(times, atS)
	}
	return times
}

// drawJob draws a job of the class: its run time, number of tasks and image, in this order.
func (c Class) drawJob(random *rand.Rand) wire.Job {
	mean, deviation := c.RunS[0], c.RunS[1]
	// A log-normal distribution with mean m, whose logarithm has the standard deviation s, has the median
	// m e^(-s^2/2).
	run := mean * math.Exp(deviation*random.NormFloat64()-deviation*deviation/2)
	job := wire.Job{
		Class: c.Name, Team: c.Team, Shape: c.Shape, Priority: c.Priority,
		Tasks: c.Tasks[0] + random.IntN(c.Tasks[1]-c.Tasks[0]+1),
		CPUs:  c.CPUs, GPUs: c.GPUs, MemoryGB: c.MemoryGB, OneZone: c.OneZone,
		Image: c.Name, ImageGB: c.ImageGB, Spot: true,
		EstimateS: max(run, minEstimateS), CheckpointIntervalS: c.CheckpointIntervalS, CheckpointDurationS: c.CheckpointDurationS,
	}
	if c.Images > 1 {
		job.Image = fmt.Sprintf("%s-%d", c.Name, random.IntN(c.Images))
	}
	if c.DeadlineFactor > 0 {
		deadline := c.DeadlineFactor * mean
		job.DeadlineS = &deadline
	}
	return job
}
