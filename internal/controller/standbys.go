package controller

import (
	"fmt"
	"time"

	"dalefront/internal/peer"
	"dalefront/internal/standby"
)

const (
	// maxStandbySilence is the time in microseconds after which a silent controller is no longer chosen as
	// standby. standbyCooldown is a time in microseconds after a controller failed to follow the stored
	// state. During this time it is chosen as standby only if no other controller can be chosen.
	maxStandbySilence = int64(5 * time.Second / time.Microsecond)
	standbyCooldown   = int64(30 * time.Second / time.Microsecond)

	// delayPerStandby is the time that a candidate in an election waits for each live standby that
	// ranks before it.
	delayPerStandby = 60 * time.Millisecond
)

// updateStandbys chooses which controllers are standbys, once a second. Heartbeats to peers tell them which
// controllers were chosen. updateStandbys must be called on the owner goroutine.
func (l *leadership) updateStandbys() {
	c := l.controller
	selector := standby.Selector{LeaderZone: c.settings.Zone, Count: *c.settings.Operator.Standbys, MaxSilence: maxStandbySilence, Cooldown: standbyCooldown}
	next, changed := c.peerTable.chooseStandbys(&selector, l.token, c.settings.Members, c.now())
	if changed {
		c.log.Info("standbys chosen", "standbys", fmt.Sprint(next.Standbys), "view", next.Number)
	}
}

// acceptStandbyView records the leader's choice of standbys from a peer's heartbeat.
func (c *Controller) acceptStandbyView(heartbeat *peer.Heartbeat) {
	view := heartbeat.StandbyView
	if view != nil && !c.term.view().isLeading() && len(view.Standbys) <= len(c.settings.Members)+1 {
		c.peerTable.acceptStandbyView(view)
	}
}

// candidateDelay returns the time for which this controller defers to standbys in an election. A
// standby defers to the live standbys that rank before it. Any other controller defers to all live
// standbys.
func (c *Controller) candidateDelay() time.Duration {
	return time.Duration(c.peerTable.aliveStandbysBefore(time.Now())) * delayPerStandby
}
