package kvstore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// pace is this node's share of a limit that all nodes have in common and none
// sees as a whole: it slows down when the service refuses for too many requests
// and speeds up again slowly. Without that, nodes that each keep to the limit
// drown it together, and a term's renewal drowns with the rest.
type pace struct {
	lim         *rate.Limiter
	least, most rate.Limit

	mu sync.Mutex
	at time.Time // of the last change
}

const (
	mostShare  = 0.7 // of a limit that one node uses at most
	leastShare = 0.5 // of a limit, for all nodes together, below which refusals slow nobody down
)

// newPace shares a limit of perSecond among the nodes; burst is what may go at
// once.
func newPace(perSecond float64, nodes, burst int) *pace {
	most := rate.Limit(perSecond * mostShare)
	return &pace{lim: rate.NewLimiter(most, max(1, burst)), most: most, least: rate.Limit(perSecond * leastShare / float64(max(1, nodes)))}
}

// changeEvery bounds how often the pace changes, since one crowded moment refuses
// many requests at once.
const changeEvery = 250 * time.Millisecond

// heard takes whether the service refused a request for too many.
func (p *pace) heard(refused bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.at) < changeEvery {
		return
	}
	cur := p.lim.Limit()
	next := min(cur+p.most/50, p.most)
	if refused {
		next = max(cur*2/3, p.least)
	}
	if next != cur {
		p.at = now
		p.lim.SetLimitAt(now, next)
	}
}

// wait waits for n requests' worth of the share. What is urgent never waits, but
// counts, so that it slows the others down.
func (p *pace) wait(ctx context.Context, n int, urgent bool) error {
	n = min(n, p.lim.Burst())
	if urgent {
		p.lim.ReserveN(time.Now(), n)
		return nil
	}
	return p.lim.WaitN(ctx, n)
}
