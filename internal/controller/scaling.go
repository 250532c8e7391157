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
	// minListIntervalSeconds is the minimum interval between two requests for the list of machines, in
	// seconds.
	minListIntervalSeconds = 2
	// listRequestDivisor limits the rate of requests for lists of machines, to the cloud's rate limit divided
	// by listRequestDivisor.
	listRequestDivisor = 4
	// minCloudRPS is the lower bound assumed for the cloud's rate limit, in requests per second.
	minCloudRPS = 0.1

	// scalingInterval is the interval between two scaling decisions.
	scalingInterval = config.Second
	// maxScaleOutAttempts is the maximum number of attempts for a scale-out request. scaleOutRetryDelay
	// is the delay between two attempts.
	maxScaleOutAttempts = 3
	scaleOutRetryDelay  = 300 * time.Millisecond
)

// errTermUnconfirmed means that the key-value store did not confirm that this controller still holds the
// term.
var errTermUnconfirmed = errors.New("term not confirmed: another controller may hold it")

// fleetScaler rents and returns machines. It asks the core which machines are needed, and sends the
// requests to the cloud in rounds, one round at a time.
type fleetScaler struct {
	leadership     *leadership
	task           backgroundTask
	lastDecisionAt config.Micros // time of the last scaling decision
	lastListAt     config.Micros // time of the last request for a list of machines
	requestCount   int           // number of scale-out requests in this term
}

// scalingRound holds the requests that one round sends to the cloud.
type scalingRound struct {
	hostsToReturn    []string
	scaleOutRequests []wire.ScaleOutRequest
	listMachines     bool // whether to list all machines
}

// takeDue reports whether a scaling decision is due and no round is running. If so, it records the given time
// as the time of the decision. takeDue must be called on the owner goroutine.
func (f *fleetScaler) takeDue(now config.Micros) bool {
	if f.task.running || now-f.lastDecisionAt < scalingInterval {
		return false
	}
	f.lastDecisionAt = now
	return true
}

// start makes a scaling decision and starts a round if there is anything to request. The argument
// observerIsolated is true while most workers are silent. start must be called on the owner goroutine.
func (f *fleetScaler) start(observerIsolated bool) {
	l, controller := f.leadership, f.leadership.controller
	now := controller.now()
	l.core.DetectFailures(now, controller.peersForDetector())
	var round scalingRound
	if controller.store.Reachable(storeReachableWithin) {
		round.hostsToReturn, round.scaleOutRequests = l.core.ScaleIn(now, observerIsolated), l.core.ScaleOut(now)
	}
	for i := range round.scaleOutRequests {
		f.requestCount++
		// The token makes the request id unique across terms. The request count makes it unique within a
		// term.
		round.scaleOutRequests[i].RequestID = fmt.Sprintf("r-%d-%d", l.token, f.requestCount)
	}
	round.listMachines = f.takeListDue(now)
	if len(round.hostsToReturn) > 0 || len(round.scaleOutRequests) > 0 || round.listMachines {
		f.startRound(round)
	}
}

// takeListDue reports whether a list of machines is due. If so, it records the given time as the time of the
// request. takeListDue must be called on the owner goroutine.
func (f *fleetScaler) takeListDue(now config.Micros) bool {
	// A list takes one request per page of machines. Requests for lists may use a quarter of the cloud's rate
	// limit.
	limits := &f.leadership.controller.settings.Deployment.Cloud
	known, _ := f.leadership.core.FleetSize()
	pages := float64(known/cloud.ListPageSize + 1)
	interval := int64(max(minListIntervalSeconds, limits.ListLagS/2, listRequestDivisor*pages/max(limits.RPS, minCloudRPS)) * 1e6)
	if now-f.lastListAt < interval {
		return false
	}
	f.lastListAt = now
	return true
}

// startRound runs a round in the background. It must be called on the owner goroutine.
func (f *fleetScaler) startRound(round scalingRound) {
	f.leadership.startTask(&f.task, func() func() {
		for hosts := range slices.Chunk(round.hostsToReturn, cloud.MaxScaleIn) {
			f.scaleIn(hosts)
		}
		f.scaleOut(round.scaleOutRequests)
		if round.listMachines {
			f.listMachines()
		}
		return f.leadership.controller.owner.requestPass
	})
}

// listMachines lists all machines and passes the list to the core.
func (f *fleetScaler) listMachines() {
	l, controller := f.leadership, f.leadership.controller
	machines, err := controller.cloud.ListMachines(l.ctx)
	if err != nil {
		controller.log.Info("machine list failed", "err", err)
		return
	}
	l.post(func() { l.core.MachinesListed(machines, controller.now()) })
}

// scaleIn returns at most cloud.MaxScaleIn machines in one request, and reports the result to the core.
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

// scaleOut stores the requests of a round and their ids in one write. It then sends the requests to the
// cloud concurrently, so that a slow response to one request does not delay the others.
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
	var inFlight sync.WaitGroup
	for _, request := range requests {
		inFlight.Go(func() { f.scaleOutOne(request, err) })
	}
	inFlight.Wait()
	l.post(func() { l.staleKeys.add(key) })
}

// scaleOutOne sends one scale-out request, unless it could not be stored, and reports the result to the
// core.
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

// requestMachines sends a scale-out request and retries it if it fails. The request id is an idempotency
// key, so a repeated request doesn't rent machines again.
func (f *fleetScaler) requestMachines(request wire.ScaleOutRequest) (hosts []string, err error) {
	l := f.leadership
	for attempt := 1; ; attempt++ {
		hosts, err = l.controller.cloud.ScaleOut(l.ctx, request)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) || attempt == maxScaleOutAttempts || l.ctx.Err() != nil {
			return hosts, err
		}
		sleepContext(l.ctx, scaleOutRetryDelay)
	}
}
