package peer

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	transferTimeout = 2 * time.Second
	pollInterval    = 20 * time.Millisecond // between questions who leads
)

var (
	// ErrNoLeader means that no controller in reach acts as leader.
	ErrNoLeader = errors.New("no controller in reach acts as leader")
	// ErrNoSuccessor means that no other controller answers that could become leader.
	ErrNoSuccessor = errors.New("no other controller answers")
	// ErrNoNewLeader means that the leader gave up its term and no other controller acts
	// as leader yet.
	ErrNoNewLeader = errors.New("the term was handed over, and nobody acts yet")
)

// TransferLeadership asks a controller to transfer leadership, and returns whether it does.
func (c *Client) TransferLeadership(ctx context.Context, token uint64) (bool, error) {
	response, err := call[TransferResponse](ctx, c, transferTimeout, methodTransfer, &TransferRequest{Token: token})
	return err == nil && response.Transferred, err
}

// LeaderChange is a completed change of leader.
type LeaderChange struct {
	From, To string
	Token    uint64
	Took     time.Duration // from the request until the new leader said that it acts
}

// clientSet is connections to several controllers.
type clientSet []*Client

// dialAll returns clients of the controllers at the addresses.
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

// close closes all connections; errors don't matter any more.
func (s clientSet) close() {
	for _, client := range s {
		_ = client.Close()
	}
}

// leader asks all controllers who they are. It returns the one that acts as leader under
// the highest token with its answer, nil if there is none, and how many answered.
func (s clientSet) leader(ctx context.Context) (leader *Client, heartbeat *Heartbeat, answers int) {
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

// ChangeLeader makes the leader among the controllers at the addresses transfer
// leadership. It returns once another controller acts as leader, or with an error:
// ErrNoLeader, ErrNoSuccessor, or ErrNoNewLeader when the context ends first. No task is
// stopped by it.
func ChangeLeader(ctx context.Context, addrs []string) (LeaderChange, error) {
	clients, err := dialAll(addrs)
	if err != nil {
		return LeaderChange{}, err
	}
	defer clients.close()
	oldLeader, before, answers := clients.leader(ctx)
	switch {
	case oldLeader == nil:
		return LeaderChange{}, ErrNoLeader
	case answers < 2:
		return LeaderChange{}, fmt.Errorf("%w: %s would take the term again", ErrNoSuccessor, before.From)
	}
	began := time.Now()
	transferred, err := oldLeader.TransferLeadership(ctx, before.Token)
	if err != nil {
		return LeaderChange{}, fmt.Errorf("%s: %w", before.From, err)
	}
	if !transferred {
		return LeaderChange{}, fmt.Errorf("%w: %s no longer does", ErrNoLeader, before.From)
	}
	for {
		if _, after, _ := clients.leader(ctx); after != nil && after.Token > before.Token {
			return LeaderChange{From: before.From, To: after.From, Token: after.Token, Took: time.Since(began)}, nil
		}
		select {
		case <-ctx.Done():
			return LeaderChange{}, fmt.Errorf("%w after %v", ErrNoNewLeader, time.Since(began).Round(time.Millisecond))
		case <-time.After(pollInterval):
		}
	}
}
