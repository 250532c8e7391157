package peer

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	transferTimeout = 2 * time.Second
	pollInterval    = 20 * time.Millisecond // between two rounds of asking the controllers for the leader
)

var (
	// ErrNoLeader means that no reachable controller acts as leader.
	ErrNoLeader = errors.New("no reachable controller acts as leader")
	// ErrNoSuccessor means that no controller except the leader responds, so that no other controller
	// could become leader.
	ErrNoSuccessor = errors.New("no other controller responds")
	// ErrNoNewLeader means that the leader gave up its term and no other controller has become
	// leader yet.
	ErrNoNewLeader = errors.New("the leader gave up its term, but no other controller has become leader")
)

// TransferLeadership asks the controller to transfer leadership if it is the leader under the token. It
// returns whether the controller transfers leadership.
func (c *Client) TransferLeadership(ctx context.Context, token uint64) (bool, error) {
	response, err := call[TransferResponse](ctx, c, transferTimeout, methodTransfer, &TransferRequest{Token: token})
	return err == nil && response.Transferred, err
}

// LeaderChange is a completed change of leader.
type LeaderChange struct {
	From, To string
	Token    uint64
	Duration time.Duration // from the request until a new leader was found
}

// clientSet is a set of clients, one for each controller.
type clientSet []*Client

// dialAll returns clients for the controllers at the addresses.
func dialAll(addrs []string) (clientSet, error) {
	var clients clientSet
	for _, addr := range addrs {
		client, err := Dial(addr)
		if err != nil {
			clients.close()
			return nil, err
		}
		clients = append(clients, client)
	}
	return clients, nil
}

// close closes all connections and ignores errors.
func (s clientSet) close() {
	for _, client := range s {
		_ = client.Close()
	}
}

// findLeader sends a heartbeat to all controllers. It returns the client and the heartbeat response of the
// controller that acts as leader under the highest token, or nil if no controller acts as leader. It also
// returns the number of controllers that responded.
func (s clientSet) findLeader(ctx context.Context) (leader *Client, heartbeat *Heartbeat, answers int) {
	for _, client := range s {
		client.ResetBackoff()
		answer, err := client.Heartbeat(ctx, &Heartbeat{})
		if err != nil {
			continue
		}
		answers++
		if answer.Leading && (heartbeat == nil || answer.Token > heartbeat.Token) {
			leader, heartbeat = client, answer
		}
	}
	return leader, heartbeat, answers
}

// ChangeLeader makes the leader among the controllers at the addresses transfer leadership. It returns
// when there is a new leader. Errors include ErrNoLeader, ErrNoSuccessor and, if the context ends before
// there is a new leader, ErrNoNewLeader. A change of leader stops no task.
func ChangeLeader(ctx context.Context, addrs []string) (LeaderChange, error) {
	clients, err := dialAll(addrs)
	if err != nil {
		return LeaderChange{}, err
	}
	defer clients.close()
	oldLeader, before, answers := clients.findLeader(ctx)
	switch {
	case oldLeader == nil:
		return LeaderChange{}, ErrNoLeader
	case answers < 2:
		return LeaderChange{}, fmt.Errorf("%w: %s would become leader again", ErrNoSuccessor, before.From)
	}
	began := time.Now()
	transferred, err := oldLeader.TransferLeadership(ctx, before.Token)
	if err != nil {
		return LeaderChange{}, fmt.Errorf("%s: %w", before.From, err)
	}
	if !transferred {
		return LeaderChange{}, fmt.Errorf("%w: %s is no longer leader", ErrNoLeader, before.From)
	}
	for {
		if _, after, _ := clients.findLeader(ctx); after != nil && after.Token > before.Token {
			return LeaderChange{From: before.From, To: after.From, Token: after.Token, Duration: time.Since(began)}, nil
		}
		select {
		case <-ctx.Done():
			return LeaderChange{}, fmt.Errorf("%w after %v", ErrNoNewLeader, time.Since(began).Round(time.Millisecond))
		case <-time.After(pollInterval):
		}
	}
}
