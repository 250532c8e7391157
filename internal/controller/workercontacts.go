package controller

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dalefront/internal/config"
	"dalefront/internal/failuredomain"
	"dalefront/internal/peer"
)

// workerContactTTL is how long it is remembered that a worker was heard.
const workerContactTTL = 10 * time.Minute

// recordWorkerContact notes that a worker has reported to this node. What each node has heard is
// all that is left of it when a leader ends.
func (c *Controller) recordWorkerContact(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.workerSeenAt[host]; !known && len(c.workerSeenAt) >= peer.MostHeard {
		for h, at := range c.workerSeenAt {
			if time.Since(at) > workerContactTTL {
				delete(c.workerSeenAt, h)
			}
		}
		if len(c.workerSeenAt) >= peer.MostHeard {
			return
		}
	}
	c.workerSeenAt[host] = time.Now()
	c.paceSendOn()
}

// paceSendOn sets, once a second, how many workers may be sent on by how many reported to this
// node within a lease. n.mu is held.
func (c *Controller) paceSendOn() {
	if time.Since(c.sendOnAt) < time.Second {
		return
	}
	c.sendOnAt = time.Now()
	lease := time.Duration(config.Micro(c.settings.Deployment.Workers.LeaseS)) * time.Microsecond
	heard := 0
	for _, at := range c.workerSeenAt {
		if time.Since(at) <= lease {
			heard++
		}
	}
	most := sendOnRate(heard)
	c.redirectLimiter.SetLimit(rate.Limit(most))
	c.redirectLimiter.SetBurst(sendOnBurst * most)
}

// sendOnRate is how many workers a second may be sent on if so many report to this node.
func sendOnRate(heard int) int { return max(minSendOn, heard/workersPerSendOn) }

// workerContacts says which workers reported to this node, and how long ago.
func (c *Controller) workerContacts() []peer.Contact {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]peer.Contact, 0, len(c.workerSeenAt))
	for h, at := range c.workerSeenAt {
		if ago := time.Since(at); ago <= workerContactTTL {
			out = append(out, peer.Contact{Host: h, AgeMicros: ago.Microseconds()})
		}
	}
	return out
}

// gatherWorkerContacts is when this node and its peers last heard which worker. Peers that don't
// answer at once are left out: it is evidence, and proves nothing.
func (c *Controller) gatherWorkerContacts(ctx context.Context) map[string]config.Micros {
	at := map[string]config.Micros{}
	var mu sync.Mutex
	take := func(hs []peer.Contact) {
		mu.Lock()
		defer mu.Unlock()
		for _, h := range hs {
			at[h.Host] = max(at[h.Host], c.now()-max(0, h.AgeMicros))
		}
	}
	take(c.workerContacts())
	ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
	defer cancel()
	var all sync.WaitGroup
	for _, p := range c.peers {
		all.Go(func() {
			h := c.newHeartbeat()
			h.WantContacts = true
			if a, err := p.Heartbeat(ctx, h); err == nil {
				take(a.Contacts)
			}
		})
	}
	all.Wait()
	return at
}

// peersForDetector is what this node knows of the others, for the detector.
func (c *Controller) peersForDetector() []failuredomain.Controller {
	out := make([]failuredomain.Controller, 0, len(c.settings.Members))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.settings.Members {
		peerView := failuredomain.Controller{Zone: m.Zone}
		if at, ok := c.peerSeenAt[m.Label]; ok {
			peerView.Heard = max(1, c.now()-config.Micros(time.Since(at)/time.Microsecond))
		}
		out = append(out, peerView)
	}
	return out
}
