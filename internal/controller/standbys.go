package controller

import (
	"fmt"
	"time"

	"dalefront/internal/peer"
	"dalefront/internal/standby"
)

const (
	// standbySilence is how long a controller may be silent and still be chosen as standby, and
	// standbyCooldown how long one that could not follow is not, in microseconds.
	standbySilence  = int64(5 * time.Second / time.Microsecond)
	standbyCooldown = int64(30 * time.Second / time.Microsecond)

	// candidateStep is how long a candidate waits for each standby that ranks before it.
	candidateStep = 60 * time.Millisecond
)

// publishStandbys chooses who stands by, once a second. Owner goroutine.
func (l *leadership) publishStandbys() {
	c := l.controller
	selector := standby.Selector{Zone: c.settings.Zone, Count: *c.settings.Operator.Standbys, MaxSilence: standbySilence, Cooldown: standbyCooldown}
	next, changed := c.peerTable.chooseStandbys(&selector, l.token, c.settings.Members, c.now())
	if changed {
		c.log.Info("standbys chosen", "standbys", fmt.Sprint(next.Standbys), "view", next.Number)
	}
}

// acceptStandbyView takes the leader's choice as a peer's heartbeat brought it.
func (c *Controller) acceptStandbyView(heartbeat *peer.Heartbeat) {
	view := heartbeat.StandbyView
	if view != nil && !c.term.view().isLeading() && len(view.Standbys) <= len(c.settings.Members)+1 {
		c.peerTable.acceptStandbyView(view)
	}
}

// candidateDelay is how long this controller lets standbys go first in an election: all of them, or
// those that rank before it.
func (c *Controller) candidateDelay() time.Duration {
	return time.Duration(c.peerTable.aliveBefore(time.Now())) * candidateStep
}
