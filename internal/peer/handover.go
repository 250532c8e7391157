package peer

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// TransferRequest asks a controller to hand its term over, if it is the leader under the token.
type TransferRequest struct {
	Token uint64 `msgpack:"t"`
}

// TransferResponse says whether it does.
type TransferResponse struct {
	Transferred bool `msgpack:"d"`
}

// TransferLeadership asks a controller to hand its term over.
func (c *Client) TransferLeadership(ctx context.Context, token uint64) (bool, error) {
	a, err := call[TransferResponse](c, 2*time.Second, ctx, "HandOver", &TransferRequest{Token: token})
	return err == nil && a.Transferred, err
}

// Close ends the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Change is a change of leader.
type Change struct {
	From, To string
	Token    uint64
	Took     time.Duration // from the request until another one said that it acts
}

var (
	// ErrNoLeader means that no controller in reach acts as leader.
	ErrNoLeader = errors.New("no controller in reach acts as leader")
	// ErrAlone means that no other controller answers who could take over.
	ErrAlone = errors.New("no other controller answers")
	// ErrNobody means that the leader has given its term up and nobody acts yet.
	ErrNobody = errors.New("the term was handed over, and nobody acts yet")
)

// ChangeLeader lets the leader among the controllers at the addresses hand its term over,
// and returns once another one acts, or with an error when the context ends. Nothing that
// runs is stopped.
func ChangeLeader(ctx context.Context, addrs []string) (Change, error) {
	var clients []*Client
	for _, addr := range addrs {
		c, err := Dial(addr)
		if err != nil {
			return Change{}, err
		}
		defer c.Close()
		clients = append(clients, c)
	}
	// acting is the one that acts under the highest token, and how many answer.
	acting := func() (c *Client, h *Heartbeat, answer int) {
		for _, x := range clients {
			x.ResetBackoff()
			a, err := x.Heartbeat(ctx, &Heartbeat{})
			if err != nil {
				continue
			}
			answer++
			if a.Leading && (h == nil || a.Token > h.Token) {
				c, h = x, a
			}
		}
		return c, h, answer
	}
	old, was, answer := acting()
	switch {
	case old == nil:
		return Change{}, ErrNoLeader
	case answer < 2:
		return Change{}, fmt.Errorf("%w: %s would take the term again", ErrAlone, was.From)
	}
	began := time.Now()
	did, err := old.TransferLeadership(ctx, was.Token)
	if err != nil {
		return Change{}, fmt.Errorf("%s: %w", was.From, err)
	}
	if !did {
		return Change{}, fmt.Errorf("%w: %s no longer does", ErrNoLeader, was.From)
	}
	for {
		if _, h, _ := acting(); h != nil && h.Token > was.Token {
			return Change{was.From, h.From, h.Token, time.Since(began)}, nil
		}
		select {
		case <-ctx.Done():
			return Change{}, fmt.Errorf("%w after %v", ErrNobody, time.Since(began).Round(time.Millisecond))
		case <-time.After(20 * time.Millisecond):
		}
	}
}
