package sched

// These constants define the cost of placing a task on a machine. A penalty is in seconds: it is the length
// of the wait that is considered as bad as the disadvantage of the machine.
const (
	gpuMachinePenalty     = 20   // for a task without GPUs on a GPU machine
	onDemandPenalty       = 2    // for an on-demand machine, if the task may also use spot machines
	scarceOnDemandPenalty = 30   // added to onDemandPenalty while tasks wait that may use on-demand machines only
	contentionPenalty     = 12   // for a machine on which the task is likely to be preempted before long
	toleratedSlowdown     = 2    // ratio of run time to usual run time that wrong estimates alone can cause
	slowdownPenalty       = 15   // for each unit by which the machine's slowdown exceeds toleratedSlowdown
	freeCPUPenalty        = 4    // multiplied by the fraction of the machine's CPUs that stays free
	priorFailurePenalty   = 300  // for a machine on which the job has failed
	minFetchGBPerS        = 0.01 // lowest rate of fetching images that is assumed, in GB/s
)

// imageFetchS returns the expected time in seconds until the job's image is on the machine.
func (m *machine) imageFetchS(j *job, now Micros) float64 {
	if _, ok := m.cachedImages[j.spec.Image]; ok {
		return 0
	}
	rate := max(m.machineType.FetchGBPS, minFetchGBPerS)
	if since, ok := m.fetchingImages[j.spec.Image]; ok {
		return max(0, j.spec.ImageGB/rate-float64(now-since)/float64(second))
	}
	return j.spec.ImageGB / rate * float64(1+len(m.fetchingImages))
}

// placementCost returns the cost of placing a task of the job on the machine, in seconds. The lower
// the cost, the better the machine.
func (ps *pass) placementCost(job *job, machine *machine) float64 {
	onGPUMachine := machine.machineType.GPUs > 0 && job.spec.GPUs == 0
	cost := machine.imageFetchS(job, ps.core.now)
	if onGPUMachine {
		cost += gpuMachinePenalty
	}
	if job.spec.Spot && !machine.spot {
		cost += onDemandPenalty
		if ps.typesWantedOnDemand[machine.machineType.Name] {
			cost += scarceOnDemandPenalty
		}
	}
	if onGPUMachine || ps.isContested(job, machine) {
		cost += contentionPenalty
	}
	if machine.slowdown > toleratedSlowdown {
		cost += slowdownPenalty * (machine.slowdown - toleratedSlowdown)
	}
	if machine.machineType.CPUs > 0 {
		cost += freeCPUPenalty * (machine.machineType.CPUs - machine.usedCPUs - job.spec.CPUs) / machine.machineType.CPUs
	}
	return cost
}

// placementCostWithFailures returns the placement cost plus a penalty if the job has failed on the
// machine.
func (ps *pass) placementCostWithFailures(j *job, m *machine) float64 {
	cost := ps.placementCost(j, m)
	if j.failedHosts[m.host] {
		cost += priorFailurePenalty
	}
	return cost
}
