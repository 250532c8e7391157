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

// workerContactTTL is the time for which a controller remembers the last heartbeat of a worker.
const workerContactTTL = 10 * time.Minute

// contactsTimeout is the time for which a takeover waits for the worker contacts that the peers recorded.
const contactsTimeout = 400 * time.Millisecond

// redirectRateInterval is the interval at which the redirect rate is updated.
const redirectRateInterval = time.Second

// workerContacts records when each worker last sent a heartbeat to this controller. It also limits the
// rate at which workers are redirected to other controllers, in proportion to the number of workers that
// send heartbeats to this controller. After a leader has ended, the contacts recorded by each controller
// are the only information about the last heartbeats of workers. All methods may be called concurrently.
type workerContacts struct {
	leaseDuration time.Duration // duration of a worker's lease

	mu                sync.Mutex
	seenAt            map[string]time.Time // time of each worker's last heartbeat, by host
	limiter           *rate.Limiter        // limits the rate of redirections
	redirectRateSetAt time.Time            // time at which the limiter's rate was last set
}

func newWorkerContacts(lease time.Duration) *workerContacts {
	return &workerContacts{
		leaseDuration: lease,
		seenAt:        map[string]time.Time{},
		limiter:       rate.NewLimiter(minRedirectRate, redirectBurstSeconds*minRedirectRate),
	}
}

// record records a heartbeat of a worker. New workers beyond peer.MaxWorkerContacts are not recorded.
func (w *workerContacts) record(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if _, known := w.seenAt[host]; !known && len(w.seenAt) >= peer.MaxWorkerContacts {
		w.expire(now)
		if len(w.seenAt) >= peer.MaxWorkerContacts {
			return
		}
	}
	w.seenAt[host] = now
	w.updateRedirectRate(now)
}

// expire removes workers whose last heartbeat is older than workerContactTTL. The caller must hold w.mu.
func (w *workerContacts) expire(now time.Time) {
	for host, at := range w.seenAt {
		if now.Sub(at) > workerContactTTL {
			delete(w.seenAt, host)
		}
	}
}

// updateRedirectRate sets the redirect rate according to the number of workers that sent a heartbeat within
// the duration of a lease. It does so once per redirectRateInterval at most. The caller must hold w.mu.
func (w *workerContacts) updateRedirectRate(now time.Time) {
	if now.Sub(w.redirectRateSetAt) < redirectRateInterval {
		return
	}
	w.redirectRateSetAt = now
	reporting := 0
	for _, at := range w.seenAt {
		if now.Sub(at) <= w.leaseDuration {
			reporting++
		}
	}
	limit := redirectRate(reporting)
	w.limiter.SetLimit(rate.Limit(limit))
	w.limiter.SetBurst(redirectBurstSeconds * limit)
}

// mayRedirect reports whether one more worker may be redirected to another controller now. If so, it
// counts the worker towards the redirect rate.
func (w *workerContacts) mayRedirect() bool { return w.limiter.Allow() }

// recent returns the workers that sent a heartbeat within workerContactTTL, with the age of each worker's
// last heartbeat.
func (w *workerContacts) recent() []peer.WorkerContact {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	contacts := make([]peer.WorkerContact, 0, len(w.seenAt))
	for host, at := range w.seenAt {
		if age := now.Sub(at); age <= workerContactTTL {
			contacts = append(contacts, peer.WorkerContact{Host: host, AgeMicros: age.Microseconds()})
		}
	}
	return contacts
}

// redirectRate returns the number of workers per second that may be redirected. The argument reporting is
// the number of workers that send heartbeats to this controller.
func redirectRate(reporting int) int { return max(minRedirectRate, reporting/workersPerRedirect) }

// gatherWorkerContacts returns the time at which this controller or a peer last received a heartbeat of each
// worker, by host. It leaves out peers that don't answer within contactsTimeout. This is acceptable because
// the times are only evidence about silent machines.
func (c *Controller) gatherWorkerContacts(ctx context.Context) map[string]config.Micros {
	lastHeard := map[string]config.Micros{}
	var mu sync.Mutex
	merge := func(contacts []peer.WorkerContact) {
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

// peersForDetector returns the zones of the other controllers and the times of their last answers, for
// the failure detector.
func (c *Controller) peersForDetector() []failuredomain.Controller {
	peers := make([]failuredomain.Controller, 0, len(c.settings.Members))
	for _, member := range c.settings.Members {
		controller := failuredomain.Controller{Zone: member.Zone}
		if at := c.peerTable.lastSeen(member.Label); !at.IsZero() {
			controller.LastHeard = max(1, c.now()-config.Micros(time.Since(at)/time.Microsecond))
		}
		peers = append(peers, controller)
	}
	return peers
}
