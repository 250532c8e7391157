package kvstore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// adaptiveLimiter is a token bucket whose rate follows the service's refusals:
// multiplicative decrease on 429, additive increase otherwise. All controllers share
// one limit of the service and none sees the others' requests; without adaption
// controllers that each keep to the limit overload the service together, and the
// renewals of the leader's lease fail with the rest. It is safe for use by several
// goroutines.
type adaptiveLimiter struct {
	limiter          *rate.Limiter
	minRate, maxRate rate.Limit

	mu        sync.Mutex
	changedAt time.Time // when the rate was last changed
}

const (
	maxShare = 0.7 // of a limit that one controller uses at most
	minShare = 0.5 // of a limit, for all controllers together, below which refusals slow nobody down

	// increaseSteps is how many increases lead from zero to the maximal rate.
	increaseSteps = 50
	// minChangeInterval bounds how often the rate changes, since one moment of overload
	// refuses many requests at once.
	minChangeInterval = 250 * time.Millisecond
)

// newAdaptiveLimiter returns a controller's share of a limit in requests per second;
// burst is how many requests may go at once.
func newAdaptiveLimiter(perSecond float64, controllers, burst int) *adaptiveLimiter {
	maxRate := rate.Limit(perSecond * maxShare)
	return &adaptiveLimiter{
		limiter: rate.NewLimiter(maxRate, max(1, burst)),
		maxRate: maxRate,
		minRate: rate.Limit(perSecond * minShare / float64(max(1, controllers))),
	}
}

// observe adapts the rate to the answer to a request: overloaded says that the service
// refused it with 429.
func (l *adaptiveLimiter) observe(overloaded bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.changedAt) < minChangeInterval {
		return
	}
	current := l.limiter.Limit()
	next := min(current+l.maxRate/increaseSteps, l.maxRate)
	if overloaded {
		next = max(current*2/3, l.minRate)
	}
	if next != current {
		l.changedAt = now
		l.limiter.SetLimitAt(now, next)
	}
}

// wait takes n tokens, or as many as the bucket holds. Urgent requests never wait, but
// use up tokens, so that they slow the others down.
func (l *adaptiveLimiter) wait(ctx context.Context, n int, urgent bool) error {
	n = min(n, l.limiter.Burst())
	if urgent {
		l.limiter.ReserveN(time.Now(), n)
		return nil
	}
	return l.limiter.WaitN(ctx, n)
}
