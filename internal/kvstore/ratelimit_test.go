package kvstore

import (
	"context"
	"testing"
	"time"
)

// Controllers that each use the whole limit overload the service together: the rate falls
// while the service refuses, down to an equal share, and rises again slowly; and what is
// urgent never waits for it, or a lease expires behind a crowd of polls.
func TestAdaptiveLimiter(t *testing.T) {
	limiter := newAdaptiveLimiter(70, 7, 10)
	now := time.Now()
	step := func(overloaded bool, times int) float64 {
		for range times {
			now = now.Add(minChangeInterval)
			limiter.observe(overloaded, now)
		}
		return float64(limiter.limiter.Limit())
	}
	if got := step(true, 20); got != 5 {
		t.Errorf("%v a second while refused, want half of an equal part", got)
	}
	if got := step(false, 1); got <= 5 || got > 7 {
		t.Errorf("%v a second after one success", got)
	}
	if got := step(false, 200); got != 49 {
		t.Errorf("%v a second in the end", got)
	}
	limiter.observe(true, now)
	limiter.observe(true, now.Add(time.Millisecond))
	if got := float64(limiter.limiter.Limit()); got < 49*0.6 {
		t.Errorf("%v a second: one crowded moment counted twice", got)
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now())
	defer cancel()
	for range 1000 {
		if err := limiter.wait(ctx, 1, true); err != nil {
			t.Fatal("an urgent request waited: ", err)
		}
	}
	if left := limiter.limiter.Tokens(); left > 0 {
		t.Errorf("urgent requests did not count: %v are left", left)
	}
}
