// Package workerclient is the typed client for commands that are sent straight to workers.
package workerclient

import (
	"context"
	"net/http"
	"time"

	"dalefront/internal/httpclient"
	"dalefront/wire"
)

const (
	sendTimeout  = 2 * time.Second
	connsPerHost = 1
)

// Client sends commands to workers. It is safe for use by several goroutines.
type Client struct{ requests *httpclient.Client }

// New returns a client that keeps at most maxIdle unused connections: without a bound
// there would soon be one to each machine, and at some size no socket left for users.
func New(maxIdle int) *Client {
	const atLeast = 1 // 0 would be any number
	return &Client{requests: httpclient.New("", connsPerHost, max(atLeast, maxIdle))}
}

// SendCommands sends stops and fencing tokens to a worker and returns its status. Launches
// never take this way: a request may be delayed and executed minutes later, and only a
// launch in a heartbeat's response is known to be either executed or dropped by the next
// heartbeat.
func (c *Client) SendCommands(ctx context.Context, addr string, batch wire.CommandBatch) (wire.Heartbeat, error) {
	if batch.Commands == nil {
		batch.Commands = []wire.Command{}
	}
	var status wire.Heartbeat
	err := c.requests.Call(ctx, sendTimeout, http.MethodPost, "http://"+addr+wire.PathCommands, batch, &status)
	return status, err
}
