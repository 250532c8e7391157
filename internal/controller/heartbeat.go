package controller

import (
	"context"
	"net/http"
	"time"

	"dalefront/internal/api"
	"dalefront/internal/peer"
	"dalefront/internal/sched"
	"dalefront/wire"
)

const (
	// minLaunchWaiters is how many heartbeats may wait for launches at a time at least.
	minLaunchWaiters = 256
	// launchWait is how long a heartbeat waits for launches.
	launchWait = 600 * time.Millisecond
	// maxWaitPasses is for how many scheduling passes it waits.
	maxWaitPasses = 4

	// minRedirects is how many workers a second are redirected to another controller at least. It serves
	// minRedirects*workersPerRedirect workers.
	minRedirects = 40
	// workersPerRedirect: where more workers report to this controller, one in so many is redirected in
	// a second.
	workersPerRedirect = 12
	// redirectBurst is for how many seconds workers may be redirected at once.
	redirectBurst = 2
)

// Heartbeat implements api.Service: the leader answers itself, other controllers relay
// to it, so that no worker has to find it.
func (c *Controller) Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) (wire.HeartbeatResponse, error) {
	c.workerContacts.record(heartbeat.Host)
	if response, ok := c.handleHeartbeat(ctx, heartbeat); ok {
		return response, nil
	}
	term := c.term.view()
	if term.isLeading() || term.leader == "" || term.leader == c.settings.Label || heartbeat.FencingToken > term.token {
		return wire.HeartbeatResponse{}, api.ErrUnavailable
	}
	leader := c.peers[term.leader]
	if leader == nil {
		return wire.HeartbeatResponse{}, api.ErrUnavailable
	}
	relayed, err := leader.Relay(ctx, &peer.RelayRequest{Report: *heartbeat})
	switch {
	case err != nil:
		return c.answerWithoutLeader(heartbeat, term.leader)
	case relayed.Status != http.StatusOK:
		return wire.HeartbeatResponse{}, api.ErrNotLeader
	}
	return relayed.Answer, nil
}

// answerWithoutLeader answers a heartbeat that the leader did not take: it renews the worker's lease
// if it may, or redirects the worker.
func (c *Controller) answerWithoutLeader(heartbeat *wire.Heartbeat, leader string) (wire.HeartbeatResponse, error) {
	if token, ok := c.mayRenewLease(heartbeat); ok {
		return wire.HeartbeatResponse{FencingToken: token, Commands: []wire.Command{}}, nil
	}
	if target := c.redirectTarget(leader); target != "" {
		return wire.HeartbeatResponse{}, api.RedirectError{Target: target}
	}
	return wire.HeartbeatResponse{}, api.ErrUnavailable
}

// redirectTarget names a peer that is alive, for a worker whose heartbeat the leader did
// not take. Left to itself the worker tries the controllers in turn and waits 4 s for
// each that is silent; behind two such controllers its lease runs out. It bounds how many
// are redirected, since they come back at once while nobody can act: a part of those that
// report to this controller, or a few at a small site.
func (c *Controller) redirectTarget(leader string) string {
	if !c.workerContacts.mayRedirect() {
		return ""
	}
	return c.peerTable.nextAlive(leader, time.Now())
}

// mayRenewLease says whether this controller may renew the worker's lease by itself: under the
// leader's permission, which is its token in a heartbeat, while neither the leader nor the
// key-value store is in reach. It carries no commands, and nothing is ever freed because time has
// passed, so a permission that outlives its leader starts nothing twice, and no user knows of a
// cancellation whose tasks it keeps alive.
func (c *Controller) mayRenewLease(heartbeat *wire.Heartbeat) (uint64, bool) {
	if c.store.Reachable(storeReachableWithin) {
		return 0, false // then another leader can be found
	}
	return c.term.mayRenew(heartbeat.FencingToken)
}

// PeerRelay implements peer.Server: a peer relays the heartbeat of a worker.
func (c *Controller) PeerRelay(ctx context.Context, request *peer.RelayRequest) (*peer.RelayResponse, error) {
	response, ok := c.handleHeartbeat(ctx, &request.Report)
	if !ok {
		return &peer.RelayResponse{Status: http.StatusMisdirectedRequest}, nil
	}
	return &peer.RelayResponse{Status: http.StatusOK, Answer: response}, nil
}

// handleHeartbeat hands a heartbeat to the core if this controller is entitled to act: it holds
// the term as far as it knows, and neither the worker nor a peer has shown a
// higher token. While the key-value store is out of reach it goes on renewing
// leases, since it starts nothing without it.
func (c *Controller) handleHeartbeat(ctx context.Context, heartbeat *wire.Heartbeat) (response wire.HeartbeatResponse, ok bool) {
	term := c.term.view()
	if heartbeat.FencingToken > term.token {
		c.observeTerm("", heartbeat.FencingToken)
	}
	if !term.isLeading() || heartbeat.FencingToken > term.leading {
		return response, false
	}
	handled, called := callOwner(ctx, c.owner, func() handledHeartbeat {
		if l := c.owner.leadership; l != nil && l.stalledFor == 0 && ctx.Err() == nil {
			return l.handleHeartbeat(heartbeat)
		}
		return handledHeartbeat{}
	})
	if !called || !handled.accepted {
		return response, false
	}
	response = handled.response
	if handled.launches != nil {
		awaitLaunches(ctx, handled.launches, &response)
	}
	return response, c.term.view().leading == response.FencingToken && c.owner.ranRecently()
}

// handledHeartbeat is what the owner goroutine made of a heartbeat.
type handledHeartbeat struct {
	accepted bool // by a leader that may act
	response wire.HeartbeatResponse
	launches <-chan []wire.Command // to be waited for, unless nil
}

// handleHeartbeat hands a heartbeat to the core. If the machine has room and something waits, the launches
// that a pass decides upon are to be waited for. Owner goroutine.
func (l *leadership) handleHeartbeat(heartbeat *wire.Heartbeat) handledHeartbeat {
	owner := l.controller.owner
	handled := handledHeartbeat{accepted: true, response: l.core.Heartbeat(heartbeat, l.controller.now())}
	wantsLaunches := l.core.WantsLaunches(heartbeat.Host)
	if wantsLaunches {
		owner.requestPass()
	}
	owner.requestPassIf(l.core.TakePassNeeded)
	if wantsLaunches {
		handled.launches = l.launchWaiters.add(heartbeat.Host)
	}
	return handled
}

// awaitLaunches waits a moment for launches: those that are being stored right now go with this
// answer instead of the next one, a heartbeat later.
func awaitLaunches(ctx context.Context, launches <-chan []wire.Command, response *wire.HeartbeatResponse) {
	timeout := time.NewTimer(launchWait)
	defer timeout.Stop()
	select {
	case commands := <-launches:
		kept := response.Commands[:0]
		for _, command := range response.Commands {
			if command.Op != wire.Launch {
				kept = append(kept, command)
			}
		}
		response.Commands = append(kept, commands...)
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// launchWaiter is a heartbeat whose answer waits a moment for launches.
type launchWaiter struct {
	host     string
	since    int // number of the scheduling pass before it
	launches chan<- []wire.Command
}

// launchWaiters are the heartbeats that wait for launches. Owner goroutine.
type launchWaiters struct {
	limit   int // how many may wait: each holds a socket here or at a peer
	passes  int // scheduling passes so far
	waiting []launchWaiter
}

// maxLaunchWaiters is how many heartbeats may wait where there are so many sockets.
func maxLaunchWaiters(sockets int) int { return max(minLaunchWaiters, sockets/2) }

// add has a host's heartbeat wait; nil means that too many wait.
func (w *launchWaiters) add(host string) <-chan []wire.Command {
	if len(w.waiting) >= w.limit {
		return nil
	}
	launches := make(chan []wire.Command, 1)
	w.waiting = append(w.waiting, launchWaiter{host, w.passes, launches})
	return launches
}

// serve answers the heartbeats whose machines a pass has considered and whose launches are stored.
func (w *launchWaiters) serve(core *sched.Core) {
	kept := w.waiting[:0]
	for _, waiter := range w.waiting {
		if w.passes > waiter.since && !core.HasLaunchInFlight(waiter.host) {
			waiter.launches <- core.LaunchCommands(waiter.host)
		} else if w.passes < waiter.since+maxWaitPasses {
			kept = append(kept, waiter)
		}
	}
	w.waiting = kept
}
