package kvstore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// adaptiveLimiter is a token bucket whose rate adapts to the service's load: multiplicative decrease
// on 429, additive increase otherwise (AIMD). All controllers share one limit of the service, but a
// controller does not see the requests of the other controllers. With a fixed rate, controllers that each
// stay below the limit could together exceed it. The service would then also reject renewals of the
// leader's lease.
// An adaptiveLimiter is safe for concurrent use.
type adaptiveLimiter struct {
	bucket           *rate.Limiter
	minRate, maxRate rate.Limit

	mu        sync.Mutex
	changedAt time.Time // when the rate was last changed
}

const (
	maxShare      = 0.7 // maximum rate of one controller, as a share of the service's limit
	minTotalShare = 0.5 // minimum rate of all controllers together, as a share of the service's limit

	// increaseSteps is the number of additive increases that would raise the rate from zero to the maximum.
	increaseSteps = 50
	// minChangeInterval is the minimum time between two changes of the rate. A short overload makes
	// many requests fail at once and must lower the rate only once.
	minChangeInterval = 250 * time.Millisecond
)

// newAdaptiveLimiter returns a limiter for one controller. perSecond is the service's limit of requests
// per second, which all controllers share. burst is the number of requests that may be sent at once.
func newAdaptiveLimiter(perSecond float64, controllers, burst int) *adaptiveLimiter {
	maxRate := rate.Limit(perSecond * maxShare)
	return &adaptiveLimiter{
		bucket:  rate.NewLimiter(maxRate, max(1, burst)),
		maxRate: maxRate,
		minRate: rate.Limit(perSecond * minTotalShare / float64(max(1, controllers))),
	}
}

// observe adapts the rate to the response to a request. overloaded reports whether the service
// rejected the request with 429.
func (l *adaptiveLimiter) observe(overloaded bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.changedAt) < minChangeInterval {
		return
	}
	current := l.bucket.Limit()
	next := min(current+l.maxRate/increaseSteps, l.maxRate)
	if overloaded {
		next = max(current*2/3, l.minRate)
	}
	if next != current {
		l.changedAt = now
		l.bucket.SetLimitAt(now, next)
	}
}

// wait waits for n tokens and takes them from the bucket. If the bucket can't hold n tokens, wait takes
// as many tokens as the bucket can hold. Urgent requests never wait but still consume tokens, so that other
// requests wait longer.
func (l *adaptiveLimiter) wait(ctx context.Context, n int, urgent bool) error {
	n = min(n, l.bucket.Burst())
	if urgent {
		l.bucket.ReserveN(time.Now(), n)
		return nil
	}
	return l.bucket.WaitN(ctx, n)
}
