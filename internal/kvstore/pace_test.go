package kvstore

import (
	"context"
	"testing"
	"time"
)

// Nodes that each keep to the whole limit drown it together: a share shrinks while
// the service refuses, down to an equal part, and grows back slowly; and what is
// urgent never waits in it, or a term ends behind a crowd of polls.
func TestPace(t *testing.T) {
	p := newPace(70, 7, 10)
	now := time.Now()
	step := func(refused bool, times int) float64 {
		for i := 0; i < times; i++ {
			now = now.Add(changeEvery)
			p.heard(refused, now)
		}
		return float64(p.lim.Limit())
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
	p.heard(true, now)
	p.heard(true, now.Add(time.Millisecond))
	if got := float64(p.lim.Limit()); got < 49*0.6 {
		t.Errorf("%v a second: one crowded moment counted twice", got)
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now())
	defer cancel()
	for i := 0; i < 1000; i++ {
		if err := p.wait(ctx, 1, true); err != nil {
			t.Fatal("an urgent request waited: ", err)
		}
	}
	if left := p.lim.Tokens(); left > 0 {
		t.Errorf("urgent requests did not count: %v are left", left)
	}
}
