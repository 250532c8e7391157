// Package workerclient is the typed client for commands that are sent directly to workers.
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

	maxResponseBytes = 1 << 20 // a report, above the protocol's limit for request bodies, wire.MaxBodyBytes
)

// Client sends commands to workers. It is safe for concurrent use.
type Client struct{ httpClient *httpclient.Client }

// New returns a client that keeps at most maxIdle idle connections. Without a bound, the client would
// soon keep a connection to each machine, and a large cluster would leave no sockets for users.
func New(maxIdle int) *Client {
	const minIdle = 1 // 0 would mean no limit
	return &Client{httpClient: httpclient.New("", connsPerHost, max(minIdle, maxIdle), maxResponseBytes)}
}

// SendCommands sends stop commands and the fencing token to a worker and returns the worker's status.
// Commands that launch a task are never sent this way, because a delayed request may be executed minutes
// later. They are sent in heartbeat responses instead. When the worker sends its next heartbeat, a command in
// an earlier heartbeat response has been either executed or dropped.
func (c *Client) SendCommands(ctx context.Context, addr string, batch wire.CommandBatch) (wire.Heartbeat, error) {
	if batch.Commands == nil {
		batch.Commands = []wire.Command{}
	}
	var status wire.Heartbeat
	err := c.httpClient.Call(ctx, sendTimeout, http.MethodPost, "http://"+addr+wire.PathCommands, batch, &status)
	return status, err
}
