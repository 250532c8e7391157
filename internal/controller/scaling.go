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
func (l *leadership) scaleFleet(blind bool) {
	c := l.controller
	now := c.now()
	l.core.DetectFailures(now, c.peersForDetector())
	var returns []string
	var hires []wire.ScaleOutRequest
	if c.store.Reachable(3 * time.Second) {
		returns, hires = l.core.ScaleIn(now, blind), l.core.ScaleOut(now)
	}
	for i := range hires {
		l.scaleOutSequence++
		// The token makes the name unique over terms, the number within one.
		hires[i].RequestID = fmt.Sprintf("r-%d-%d", l.token, l.scaleOutSequence)
	}
	list := l.lastList(now)
	if len(returns) == 0 && len(hires) == 0 && !list {
		return
	}
	l.busyCloud = true
	select {
	case l.cloudQueue <- func() { l.cloudRound(returns, hires, list) }:
	default:
		l.busyCloud = false
	}
}

const (
	// minListS is how many seconds lie between two lists of machines at least.
	minListS = 2
	// listShare: lists take one in so many of the requests that the cloud takes.
	listShare = 4
)

func (l *leadership) lastList(now int64) bool {
	// A list takes a request for each page of machines: a quarter of what the cloud takes.
	known, _ := l.core.FleetSize()
	pages := float64(known/cloud.ListPage + 1)
	every := int64(max(minListS, l.controller.settings.Deployment.Cloud.ListLagS/2, listShare*pages/max(l.controller.settings.Deployment.Cloud.RPS, 0.1)) * 1e6)
	if now-l.lastListed < every {
		return false
	}
	l.lastListed = now
	return true
}

func (l *leadership) runCloud() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.cloudQueue:
			f()
		}
	}
}

var errNotMine = errors.New("the term may be another node's")

func (l *leadership) cloudRound(returns []string, hires []wire.ScaleOutRequest, list bool) {
	c := l.controller
	defer c.owner.post(func() { l.busyCloud = false; c.owner.requestPass() })
	for hosts := range slices.Chunk(returns, cloud.MaxReturn) {
		l.giveBack(hosts)
	}
	l.scaleOutAll(hires)
	if list {
		ms, err := c.cloud.List(l.ctx)
		if err != nil {
			c.log.Info("machine list", "err", err)
			return
		}
		c.owner.post(func() {
			if c.owner.leadership == l {
				l.core.MachinesListed(ms, c.now())
			}
		})
	}
}

// giveBack returns machines, of which one request may name so many, and hands the core what
// became of it.
func (l *leadership) giveBack(hosts []string) {
	c := l.controller
	err := errNotMine
	if l.holdsTerm() {
		err = c.cloud.Return(l.ctx, hosts)
	}
	c.owner.post(func() {
		if c.owner.leadership != l {
			return
		}
		if err != nil {
			l.core.ScaleInFailed(hosts, c.now())
		} else {
			l.core.MachinesReturned(hosts, c.now())
		}
		c.owner.requestPass()
	})
}

// scaleOutAll stores the names of a round's requests, in one write, and then asks for
// the machines, side by side: none waits behind a slow answer to another.
func (l *leadership) scaleOutAll(hires []wire.ScaleOutRequest) {
	if len(hires) == 0 {
		return
	}
	c := l.controller
	key := scaleOutPrefix + hires[0].RequestID
	_, stored := c.store.Txn(l.ctx, wire.Txn{Conditions: []wire.Condition{l.termCondition()}, Mutations: []wire.Mutation{{Put: key, Value: hires}}})
	var all sync.WaitGroup
	for _, h := range hires {
		all.Go(func() {
			var hosts []string
			err := stored
			if err == nil {
				hosts, err = l.scaleOut(h)
			}
			c.log.Info("hire", "type", h.Type, "zone", h.Zone, "spot", h.Spot, "count", h.Count, "got", len(hosts), "err", err)
			c.owner.post(func() {
				if c.owner.leadership != l {
					return
				}
				if err != nil {
					l.core.ScaleOutFailed(h, errors.Is(err, cloud.ErrNoCapacity), c.now())
				} else {
					l.core.ScaledOut(h, hosts, c.now())
				}
			})
		})
	}
	all.Wait()
	c.owner.post(func() { l.staleKeys = append(l.staleKeys, key) })
}

func (l *leadership) scaleOut(h wire.ScaleOutRequest) ([]string, error) {
	for i := 0; ; i++ {
		hosts, err := l.controller.cloud.Hire(l.ctx, h)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) || i == 2 || l.ctx.Err() != nil {
			return hosts, err
		}
		time.Sleep(300 * time.Millisecond) // the same name: it rents once
	}
}
