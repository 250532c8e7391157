package sched

// What a task loses by going to a machine, in seconds. Where an item is no wait it is weighed
// against one.
const (
	gpuMachineScore     = 20  // a task without GPUs on a GPU machine
	onDemandScore       = 2   // a task that may use spot machines on an on-demand one
	onDemandWantedScore = 30  // the same while tasks wait that may use no other
	contestedScore      = 12  // a machine on which it would have to make way before long
	usualSlowdown       = 2   // how many times as long as usual tasks take by wrong estimates alone
	slowdownScore       = 15  // for each further time
	emptinessScore      = 4   // for the share of the machine that stays free
	failedHereScore     = 300 // the job failed on the machine
	slowestFetchGBPerS  = 0.01
)

// imageFetchS is the expected time in seconds until the machine has the job's image.
func (m *machine) imageFetchS(j *job, now Micros) float64 {
	if _, ok := m.cachedImages[j.spec.Image]; ok {
		return 0
	}
	rate := max(m.machineType.FetchGBPS, slowestFetchGBPerS)
	if since, ok := m.fetchingImages[j.spec.Image]; ok {
		return max(0, j.spec.ImageGB/rate-float64(now-since)/float64(second))
	}
	return j.spec.ImageGB / rate * float64(1+len(m.fetchingImages))
}

// placementScore says how much a task would rather not go to the machine, in seconds.
func (ps *pass) placementScore(job *job, machine *machine) float64 {
	onGPUMachine := machine.machineType.GPUs > 0 && job.spec.GPUs == 0
	score := machine.imageFetchS(job, ps.core.now)
	if onGPUMachine {
		score += gpuMachineScore
	}
	if job.spec.Spot && !machine.spot {
		score += onDemandScore
		if ps.onDemandTypes[machine.machineType.Name] {
			score += onDemandWantedScore
		}
	}
	if onGPUMachine || ps.contested(job, machine) {
		score += contestedScore
	}
	if machine.slowdown > usualSlowdown {
		score += slowdownScore * (machine.slowdown - usualSlowdown)
	}
	if machine.machineType.CPUs > 0 {
		score += emptinessScore * (machine.machineType.CPUs - machine.usedCPUs - job.spec.CPUs) / machine.machineType.CPUs
	}
	return score
}

// preference is the score, with what the job's own failures on the machine add.
func (ps *pass) preference(j *job, m *machine) float64 {
	score := ps.placementScore(j, m)
	if j.failedHosts[m.host] {
		score += failedHereScore
	}
	return score
}
