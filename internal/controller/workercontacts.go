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
func (n *Controller) recordWorkerContact(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.workerSeenAt[host]; !known && len(n.workerSeenAt) >= peer.MostHeard {
		for h, at := range n.workerSeenAt {
			if time.Since(at) > workerContactTTL {
				delete(n.workerSeenAt, h)
			}
		}
		if len(n.workerSeenAt) >= peer.MostHeard {
			return
		}
	}
	n.workerSeenAt[host] = time.Now()
	n.paceSendOn()
}

// paceSendOn sets, once a second, how many workers may be sent on by how many reported to this
// node within a lease. n.mu is held.
func (n *Controller) paceSendOn() {
	if time.Since(n.sendOnAt) < time.Second {
		return
	}
	n.sendOnAt = time.Now()
	lease := time.Duration(config.Micro(n.settings.Deployment.Workers.LeaseS)) * time.Microsecond
	heard := 0
	for _, at := range n.workerSeenAt {
		if time.Since(at) <= lease {
			heard++
		}
	}
	most := sendOnRate(heard)
	n.redirectLimiter.SetLimit(rate.Limit(most))
	n.redirectLimiter.SetBurst(sendOnBurst * most)
}

// sendOnRate is how many workers a second may be sent on if so many report to this node.
func sendOnRate(heard int) int { return max(minSendOn, heard/workersPerSendOn) }

// workerContacts says which workers reported to this node, and how long ago.
func (n *Controller) workerContacts() []peer.Contact {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]peer.Contact, 0, len(n.workerSeenAt))
	for h, at := range n.workerSeenAt {
		if ago := time.Since(at); ago <= workerContactTTL {
			out = append(out, peer.Contact{Host: h, AgeMicros: ago.Microseconds()})
		}
	}
	return out
}

// gatherWorkerContacts is when this node and its peers last heard which worker. Peers that don't
// answer at once are left out: it is evidence, and proves nothing.
func (n *Controller) gatherWorkerContacts(ctx context.Context) map[string]config.Micros {
	at := map[string]config.Micros{}
	var mu sync.Mutex
	take := func(hs []peer.Contact) {
		mu.Lock()
		defer mu.Unlock()
		for _, h := range hs {
			at[h.Host] = max(at[h.Host], n.now()-max(0, h.AgeMicros))
		}
	}
	take(n.workerContacts())
	ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
	defer cancel()
	var all sync.WaitGroup
	for _, p := range n.peers {
		all.Go(func() {
			h := n.newHeartbeat()
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
func (n *Controller) peersForDetector() []failuredomain.Controller {
	out := make([]failuredomain.Controller, 0, len(n.settings.Members))
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.settings.Members {
		c := failuredomain.Controller{Zone: m.Zone}
		if at, ok := n.peerSeenAt[m.Label]; ok {
			c.Heard = max(1, n.now()-config.Micros(time.Since(at)/time.Microsecond))
		}
		out = append(out, c)
	}
	return out
}
