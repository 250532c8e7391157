package controller

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"dalefront/internal/cloud"
	"dalefront/wire"
)

// scaleFleet decides about machines. Owner goroutine.
func (r *leadership) scaleFleet(blind bool) {
	n := r.controller
	now := n.now()
	r.core.DetectFailures(now, n.peersForDetector())
	var returns []string
	var hires []wire.ScaleOutRequest
	if n.store.Reachable(3 * time.Second) {
		returns, hires = r.core.ScaleIn(now, blind), r.core.ScaleOut(now)
	}
	for i := range hires {
		r.scaleOutSequence++
		// The token makes the name unique over terms, the number within one.
		hires[i].RequestID = fmt.Sprintf("r-%d-%d", r.token, r.scaleOutSequence)
	}
	list := r.lastList(now)
	if len(returns) == 0 && len(hires) == 0 && !list {
		return
	}
	r.busyCloud = true
	select {
	case r.cloudQueue <- func() { r.cloudRound(returns, hires, list) }:
	default:
		r.busyCloud = false
	}
}

const (
	// minListS is how many seconds lie between two lists of machines at least.
	minListS = 2
	// listShare: lists take one in so many of the requests that the cloud takes.
	listShare = 4
)

func (r *leadership) lastList(now int64) bool {
	// A list takes a request for each page of machines: a quarter of what the cloud takes.
	known, _ := r.core.FleetSize()
	pages := float64(known/cloud.ListPage + 1)
	every := int64(max(minListS, r.controller.settings.Deployment.Cloud.ListLagS/2, listShare*pages/max(r.controller.settings.Deployment.Cloud.RPS, 0.1)) * 1e6)
	if now-r.lastListed < every {
		return false
	}
	r.lastListed = now
	return true
}

func (r *leadership) runCloud() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case f := <-r.cloudQueue:
			f()
		}
	}
}

var errNotMine = errors.New("the term may be another node's")

func (r *leadership) cloudRound(returns []string, hires []wire.ScaleOutRequest, list bool) {
	n := r.controller
	defer n.postToOwner(func() { r.busyCloud = false; n.passPending = true })
	for hosts := range slices.Chunk(returns, cloud.MaxReturn) {
		r.giveBack(hosts)
	}
	r.scaleOutAll(hires)
	if list {
		ms, err := n.cloud.List(r.ctx)
		if err != nil {
			n.log.Info("machine list", "err", err)
			return
		}
		n.postToOwner(func() {
			if n.leadership == r {
				r.core.MachinesListed(ms, n.now())
			}
		})
	}
}

// giveBack returns machines, of which one request may name so many, and hands the core what
// became of it.
func (r *leadership) giveBack(hosts []string) {
	n := r.controller
	err := errNotMine
	if r.holdsTerm() {
		err = n.cloud.Return(r.ctx, hosts)
	}
	n.postToOwner(func() {
		if n.leadership != r {
			return
		}
		if err != nil {
			r.core.ScaleInFailed(hosts, n.now())
		} else {
			r.core.MachinesReturned(hosts, n.now())
		}
		n.passPending = true
	})
}

// scaleOutAll stores the names of a round's requests, in one write, and then asks for
// the machines, side by side: none waits behind a slow answer to another.
func (r *leadership) scaleOutAll(hires []wire.ScaleOutRequest) {
	if len(hires) == 0 {
		return
	}
	n := r.controller
	key := hirePrefix + hires[0].RequestID
	_, stored := n.store.Txn(r.ctx, wire.Txn{Conditions: []wire.Condition{r.termCondition()}, Mutations: []wire.Mutation{{Put: key, Value: hires}}})
	var all sync.WaitGroup
	for _, h := range hires {
		all.Go(func() {
			var hosts []string
			err := stored
			if err == nil {
				hosts, err = r.scaleOut(h)
			}
			n.log.Info("hire", "type", h.Type, "zone", h.Zone, "spot", h.Spot, "count", h.Count, "got", len(hosts), "err", err)
			n.postToOwner(func() {
				if n.leadership != r {
					return
				}
				if err != nil {
					r.core.ScaleOutFailed(h, errors.Is(err, cloud.ErrNoCapacity), n.now())
				} else {
					r.core.ScaledOut(h, hosts, n.now())
				}
			})
		})
	}
	all.Wait()
	n.postToOwner(func() { r.staleKeys = append(r.staleKeys, key) })
}

func (r *leadership) scaleOut(h wire.ScaleOutRequest) ([]string, error) {
	for i := 0; ; i++ {
		hosts, err := r.controller.cloud.Hire(r.ctx, h)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) || i == 2 || r.ctx.Err() != nil {
			return hosts, err
		}
		time.Sleep(300 * time.Millisecond) // the same name: it rents once
	}
}
