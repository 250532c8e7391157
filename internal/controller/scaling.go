package controller

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"dalefront/internal/cloud"
	"dalefront/internal/config"
	"dalefront/wire"
)

const (
	// minListSeconds is how many seconds lie between two lists of machines at least.
	minListSeconds = 2
	// listShare: lists take one in so many of the requests that the cloud takes.
	listShare = 4
	// minCloudRPS is the least number of requests a second that the cloud is taken to answer.
	minCloudRPS = 0.1

	// fleetInterval is how often the machines are decided about.
	fleetInterval = config.Second
	// scaleOutTries is how often one request for machines is sent, and scaleOutRetry the pause
	// in between.
	scaleOutTries = 3
	scaleOutRetry = 300 * time.Millisecond
)

// errTermUnconfirmed: the key-value store has not confirmed just now that the term is this controller's.
var errTermUnconfirmed = errors.New("the term may be another controller's")

// fleetScaler rents and returns machines: it asks the core what is needed, and carries it out in
// rounds of requests to the cloud, one round at a time.
type fleetScaler struct {
	leadership *leadership
	task       backgroundTask
	checkedAt  config.Micros // when the machines were last decided about
	listedAt   config.Micros // when a list of machines was last asked for
	sequence   int           // of the requests for machines in this term
}

// fleetRound is what one round asks of the cloud.
type fleetRound struct {
	returns  []string // machines to return
	requests []wire.ScaleOutRequest
	list     bool // a list of all machines
}

// isDue says whether the machines are to be decided about, and notes that they were. Owner goroutine.
func (f *fleetScaler) isDue(now config.Micros) bool {
	if f.task.running || now-f.checkedAt < fleetInterval {
		return false
	}
	f.checkedAt = now
	return true
}

// start decides about machines and carries that out. Blind: most workers are silent. Owner goroutine.
func (f *fleetScaler) start(blind bool) {
	l, controller := f.leadership, f.leadership.controller
	now := controller.now()
	l.core.DetectFailures(now, controller.peersForDetector())
	var round fleetRound
	if controller.store.Reachable(storeReachableWithin) {
		round.returns, round.requests = l.core.ScaleIn(now, blind), l.core.ScaleOut(now)
	}
	for i := range round.requests {
		f.sequence++
		// The token makes the name unique over terms, the number within one.
		round.requests[i].RequestID = fmt.Sprintf("r-%d-%d", l.token, f.sequence)
	}
	round.list = f.listIsDue(now)
	if len(round.returns) > 0 || len(round.requests) > 0 || round.list {
		f.startRound(round)
	}
}

// listIsDue says whether a list of machines is to be asked for, and notes that it was. Owner goroutine.
func (f *fleetScaler) listIsDue(now config.Micros) bool {
	// A list takes a request for each page of machines: a quarter of what the cloud takes.
	limits := &f.leadership.controller.settings.Deployment.Cloud
	known, _ := f.leadership.core.FleetSize()
	pages := float64(known/cloud.ListPageSize + 1)
	interval := int64(max(minListSeconds, limits.ListLagS/2, listShare*pages/max(limits.RPS, minCloudRPS)) * 1e6)
	if now-f.listedAt < interval {
		return false
	}
	f.listedAt = now
	return true
}

// startRound carries a round out. Owner goroutine.
func (f *fleetScaler) startRound(round fleetRound) {
	f.leadership.startTask(&f.task, func() func() {
		for hosts := range slices.Chunk(round.returns, cloud.MaxScaleIn) {
			f.scaleIn(hosts)
		}
		f.scaleOut(round.requests)
		if round.list {
			f.listMachines()
		}
		return f.leadership.controller.owner.requestPass
	})
}

// listMachines asks for all machines and hands them to the core.
func (f *fleetScaler) listMachines() {
	l, controller := f.leadership, f.leadership.controller
	machines, err := controller.cloud.ListMachines(l.ctx)
	if err != nil {
		controller.log.Info("machine list failed", "err", err)
		return
	}
	l.post(func() { l.core.MachinesListed(machines, controller.now()) })
}

// scaleIn returns machines, of which one request may name so many, and hands the core what
// became of it.
func (f *fleetScaler) scaleIn(hosts []string) {
	l, controller := f.leadership, f.leadership.controller
	err := errTermUnconfirmed
	if l.holdsTerm() {
		err = controller.cloud.ScaleIn(l.ctx, hosts)
	}
	l.post(func() {
		if err != nil {
			l.core.ScaleInFailed(hosts, controller.now())
		} else {
			l.core.MachinesReturned(hosts, controller.now())
		}
		controller.owner.requestPass()
	})
}

// scaleOut stores the names of a round's requests, in one write, and then asks for
// the machines, side by side: none waits behind a slow answer to another.
func (f *fleetScaler) scaleOut(requests []wire.ScaleOutRequest) {
	if len(requests) == 0 {
		return
	}
	l := f.leadership
	key := scaleOutPrefix + requests[0].RequestID
	_, err := l.controller.store.Txn(l.ctx, wire.Txn{
		Conditions: []wire.Condition{l.termCondition()},
		Mutations:  []wire.Mutation{{Put: key, Value: requests}},
	})
	var all sync.WaitGroup
	for _, request := range requests {
		all.Go(func() { f.scaleOutOne(request, err) })
	}
	all.Wait()
	l.post(func() { l.staleKeys.add(key) })
}

// scaleOutOne asks for the machines of one request, unless its name could not be stored, and hands
// the core what became of it.
func (f *fleetScaler) scaleOutOne(request wire.ScaleOutRequest, storeErr error) {
	l, controller := f.leadership, f.leadership.controller
	var hosts []string
	err := storeErr
	if err == nil {
		hosts, err = f.requestMachines(request)
	}
	controller.log.Info("scale out", "type", request.Type, "zone", request.Zone, "spot", request.Spot, "count", request.Count, "got", len(hosts), "err", err)
	l.post(func() {
		if err != nil {
			l.core.ScaleOutFailed(request, errors.Is(err, cloud.ErrNoCapacity), controller.now())
		} else {
			l.core.ScaledOut(request, hosts, controller.now())
		}
	})
}

// requestMachines sends a request for machines, again if it fails: under the same name it rents once.
func (f *fleetScaler) requestMachines(request wire.ScaleOutRequest) (hosts []string, err error) {
	l := f.leadership
	for try := 1; ; try++ {
		hosts, err = l.controller.cloud.ScaleOut(l.ctx, request)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) || try == scaleOutTries || l.ctx.Err() != nil {
			return hosts, err
		}
		sleepContext(l.ctx, scaleOutRetry)
	}
}
