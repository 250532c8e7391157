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

// workerContactTTL is how long it is remembered that a worker reported.
const workerContactTTL = 10 * time.Minute

// contactsTimeout is how long a takeover waits for what its peers know of workers.
const contactsTimeout = 400 * time.Millisecond

// redirectPace is how often the rate of redirections is set anew.
const redirectPace = time.Second

// workerContacts keeps when a worker last reported to this controller, and how many workers may be
// redirected to another one: a share of those that report here. What each controller has recorded is all
// that is left of it when a leader ends. All methods may be called concurrently.
type workerContacts struct {
	lease time.Duration // of workers

	mu      sync.Mutex
	seenAt  map[string]time.Time // by host
	limiter *rate.Limiter        // of redirections
	pacedAt time.Time            // when its rate was last set
}

func newWorkerContacts(lease time.Duration) *workerContacts {
	return &workerContacts{
		lease:   lease,
		seenAt:  map[string]time.Time{},
		limiter: rate.NewLimiter(minRedirects, redirectBurst*minRedirects),
	}
}

// record notes that a worker has reported. Beyond peer.MaxContacts workers new ones are not noted.
func (w *workerContacts) record(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if _, known := w.seenAt[host]; !known && len(w.seenAt) >= peer.MaxContacts {
		w.expire(now)
		if len(w.seenAt) >= peer.MaxContacts {
			return
		}
	}
	w.seenAt[host] = now
	w.setRedirectRate(now)
}

// expire forgets workers that reported too long ago. The lock is held.
func (w *workerContacts) expire(now time.Time) {
	for host, at := range w.seenAt {
		if now.Sub(at) > workerContactTTL {
			delete(w.seenAt, host)
		}
	}
}

// setRedirectRate sets, once a second, how many workers may be redirected by how many reported within
// a lease. The lock is held.
func (w *workerContacts) setRedirectRate(now time.Time) {
	if now.Sub(w.pacedAt) < redirectPace {
		return
	}
	w.pacedAt = now
	reporting := 0
	for _, at := range w.seenAt {
		if now.Sub(at) <= w.lease {
			reporting++
		}
	}
	limit := redirectRate(reporting)
	w.limiter.SetLimit(rate.Limit(limit))
	w.limiter.SetBurst(redirectBurst * limit)
}

// mayRedirect says whether one more worker may be redirected to another controller now.
func (w *workerContacts) mayRedirect() bool { return w.limiter.Allow() }

// recent lists the workers that reported, and how long ago.
func (w *workerContacts) recent() []peer.Contact {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	contacts := make([]peer.Contact, 0, len(w.seenAt))
	for host, at := range w.seenAt {
		if age := now.Sub(at); age <= workerContactTTL {
			contacts = append(contacts, peer.Contact{Host: host, AgeMicros: age.Microseconds()})
		}
	}
	return contacts
}

// redirectRate is how many workers a second may be redirected if so many report to this controller.
func redirectRate(reporting int) int { return max(minRedirects, reporting/workersPerRedirect) }

// gatherWorkerContacts is when this controller and its peers last heard of each worker. Peers that
// don't answer at once are left out: it is evidence, and proves nothing.
func (c *Controller) gatherWorkerContacts(ctx context.Context) map[string]config.Micros {
	lastHeard := map[string]config.Micros{}
	var mu sync.Mutex
	merge := func(contacts []peer.Contact) {
		mu.Lock()
		defer mu.Unlock()
		for _, contact := range contacts {
			lastHeard[contact.Host] = max(lastHeard[contact.Host], c.now()-max(0, contact.AgeMicros))
		}
	}
	merge(c.workerContacts.recent())
	ctx, cancel := context.WithTimeout(ctx, contactsTimeout)
	defer cancel()
	var requests sync.WaitGroup
	for _, client := range c.peers {
		requests.Go(func() {
			request := c.newHeartbeat()
			request.WantContacts = true
			if answer, err := client.Heartbeat(ctx, request); err == nil {
				merge(answer.Contacts)
			}
		})
	}
	requests.Wait()
	return lastHeard
}

// peersForDetector is what this controller knows of the others, for the failure detector.
func (c *Controller) peersForDetector() []failuredomain.Controller {
	peers := make([]failuredomain.Controller, 0, len(c.settings.Members))
	for _, member := range c.settings.Members {
		view := failuredomain.Controller{Zone: member.Zone}
		if at := c.peerTable.lastSeen(member.Label); !at.IsZero() {
			view.LastHeard = max(1, c.now()-config.Micros(time.Since(at)/time.Microsecond))
		}
		peers = append(peers, view)
	}
	return peers
}
