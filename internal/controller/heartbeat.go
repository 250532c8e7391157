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
	// minLaunchWaiters is the lower bound of maxLaunchWaiters, in heartbeats.
	minLaunchWaiters = 256
	// maxLaunchWait is the maximum time for which a heartbeat waits for launches.
	maxLaunchWait = 600 * time.Millisecond
	// maxLaunchWaitPasses is the maximum number of scheduling passes for which a heartbeat waits for
	// launches.
	maxLaunchWaitPasses = 4

	// minRedirectRate is the lower bound of the redirect rate, in workers per second. Up to
	// minRedirectRate*workersPerRedirect workers, the redirect rate is this lower bound.
	minRedirectRate = 40
	// workersPerRedirect relates the redirect rate to the number of workers that send heartbeats to this
	// controller: for every workersPerRedirect of them, one worker per second may be redirected. The rate
	// is never lower than minRedirectRate.
	workersPerRedirect = 12
	// redirectBurstSeconds is the burst size of redirections, in seconds at the redirect rate.
	redirectBurstSeconds = 2
)

// Heartbeat implements api.Service. The leader answers heartbeats itself. The other controllers relay
// heartbeats to the leader, so that workers need not know which controller leads.
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

// answerWithoutLeader answers a heartbeat that could not be relayed to the leader. It renews the
// worker's lease if permitted, and otherwise redirects the worker.
func (c *Controller) answerWithoutLeader(heartbeat *wire.Heartbeat, leader string) (wire.HeartbeatResponse, error) {
	if token, ok := c.mayRenewLease(heartbeat); ok {
		return wire.HeartbeatResponse{FencingToken: token, Commands: []wire.Command{}}, nil
	}
	if target := c.redirectTarget(leader); target != "" {
		return wire.HeartbeatResponse{}, api.RedirectError{Target: target}
	}
	return wire.HeartbeatResponse{}, api.ErrUnavailable
}

// redirectTarget returns the label of the live peer to which a worker is redirected, or "" for none. A worker
// is redirected if its heartbeat could not be relayed to the leader. Without redirection the worker would try
// the controllers in turn and wait 4 s for each controller that doesn't answer, so its lease would expire
// after two unanswered requests. The rate of redirections is limited, because redirected workers send their
// heartbeat again immediately while there may be no leader to handle it. The limit is a fraction of the
// workers that send heartbeats to this controller, with a lower bound for small sites.
func (c *Controller) redirectTarget(leader string) string {
	if !c.workerContacts.mayRedirect() {
		return ""
	}
	return c.peerTable.nextAlive(leader, time.Now())
}

// mayRenewLease reports whether this controller may renew the worker's lease without the leader, and returns
// the fencing token for the response. The leader grants the permission by sending its token in a peer
// heartbeat. The permission applies while neither the leader nor the key-value store is reachable. The
// response carries no commands, and no task is ever released merely because time has passed. A permission
// that is still used after its leader has been replaced therefore starts no task twice. A renewal may keep
// tasks of a cancelled job running, but no user is told that a job is cancelled before its tasks have
// stopped.
func (c *Controller) mayRenewLease(heartbeat *wire.Heartbeat) (uint64, bool) {
	if c.store.Reachable(storeReachableWithin) {
		return 0, false // a new leader can be elected
	}
	return c.term.mayRenew(heartbeat.FencingToken)
}

// PeerRelay implements peer.Server. It handles a worker's heartbeat that a peer has relayed.
func (c *Controller) PeerRelay(ctx context.Context, request *peer.RelayRequest) (*peer.RelayResponse, error) {
	response, ok := c.handleHeartbeat(ctx, &request.Report)
	if !ok {
		return &peer.RelayResponse{Status: http.StatusMisdirectedRequest}, nil
	}
	return &peer.RelayResponse{Status: http.StatusOK, Answer: response}, nil
}

// handleHeartbeat passes a heartbeat to the core if this controller may act as leader: it holds the
// term as far as it knows, and neither the worker nor a peer has reported a higher token. While the
// key-value store is unreachable it continues to renew leases, because it starts no tasks without the
// store.
func (c *Controller) handleHeartbeat(ctx context.Context, heartbeat *wire.Heartbeat) (response wire.HeartbeatResponse, ok bool) {
	term := c.term.view()
	if heartbeat.FencingToken > term.token {
		c.observeTerm("", heartbeat.FencingToken)
	}
	if !term.isLeading() || heartbeat.FencingToken > term.leadingToken {
		return response, false
	}
	result, called := callOwner(ctx, c.owner, func() heartbeatResult {
		if l := c.owner.leadership; l != nil && l.stalledFor == 0 && ctx.Err() == nil {
			return l.handleHeartbeat(heartbeat)
		}
		return heartbeatResult{}
	})
	if !called || !result.accepted {
		return response, false
	}
	response = result.response
	if result.launches != nil {
		awaitLaunches(ctx, result.launches, &response)
	}
	return response, c.term.view().leadingToken == response.FencingToken && c.owner.ranRecently()
}

// heartbeatResult is the result of handling a heartbeat on the owner goroutine.
type heartbeatResult struct {
	accepted bool // whether this controller handled the heartbeat as leader
	response wire.HeartbeatResponse
	launches <-chan []wire.Command // delivers launches to wait for; nil if the response need not wait
}

// handleHeartbeat passes a heartbeat to the core. If the machine has free capacity for pending tasks, or
// launches for it are being stored, the result includes a channel that delivers the machine's launches after
// a later scheduling pass. It must be called on the owner goroutine.
func (l *leadership) handleHeartbeat(heartbeat *wire.Heartbeat) heartbeatResult {
	owner := l.controller.owner
	result := heartbeatResult{accepted: true, response: l.core.Heartbeat(heartbeat, l.controller.now())}
	wantsLaunches := l.core.WantsLaunches(heartbeat.Host)
	if wantsLaunches {
		owner.requestPass()
	}
	owner.requestPassIf(l.core.TakePassNeeded)
	if wantsLaunches {
		result.launches = l.launchWaiters.add(heartbeat.Host)
	}
	return result
}

// awaitLaunches waits up to maxLaunchWait for launches and replaces the launches in the response with them.
// Launches that are being stored are thus sent with this response. Otherwise they would be sent one heartbeat
// interval later.
func awaitLaunches(ctx context.Context, launches <-chan []wire.Command, response *wire.HeartbeatResponse) {
	timeout := time.NewTimer(maxLaunchWait)
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

// launchWaiter is a heartbeat whose response is delayed for launches.
type launchWaiter struct {
	host            string
	passesAtArrival int // number of scheduling passes before the heartbeat arrived
	launches        chan<- []wire.Command
}

// launchWaiters holds the heartbeats that wait for launches. Only the owner goroutine accesses it.
type launchWaiters struct {
	limit   int // maximum number of waiting heartbeats, each of which holds a socket here or at a peer
	passes  int // scheduling passes so far
	waiting []launchWaiter
}

// maxLaunchWaiters returns the maximum number of heartbeats that may wait for launches, for the given
// socket limit.
func maxLaunchWaiters(sockets int) int { return max(minLaunchWaiters, sockets/2) }

// add registers a heartbeat of a host and returns the channel for its launches, or nil if too many
// heartbeats are waiting.
func (w *launchWaiters) add(host string) <-chan []wire.Command {
	if len(w.waiting) >= w.limit {
		return nil
	}
	launches := make(chan []wire.Command, 1)
	w.waiting = append(w.waiting, launchWaiter{host, w.passes, launches})
	return launches
}

// serve sends the launches to each waiting heartbeat that arrived before the latest scheduling pass, unless a
// launch for its machine is still being stored. It drops the other heartbeats once they have waited for
// maxLaunchWaitPasses scheduling passes.
func (w *launchWaiters) serve(core *sched.Core) {
	kept := w.waiting[:0]
	for _, waiter := range w.waiting {
		if w.passes > waiter.passesAtArrival && !core.HasLaunchInFlight(waiter.host) {
			waiter.launches <- core.LaunchCommands(waiter.host)
		} else if w.passes < waiter.passesAtArrival+maxLaunchWaitPasses {
			kept = append(kept, waiter)
		}
	}
	w.waiting = kept
}
