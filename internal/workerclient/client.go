// Package workerclient is the typed client for commands sent straight to workers.
package workerclient

import (
	"context"
	"net/http"
	"time"

	"dalefront/internal/httpclient"
	"dalefront/wire"
)

// Client sends direct commands.
type Client struct{ calls *httpclient.Client }

// New returns a client that keeps at most so many unused connections: without a bound
// there would soon be one to each machine, and at some size no socket left for those who
// ask.
func New(idle int) *Client { return &Client{calls: httpclient.New("", 1, max(1, idle))} }

// Orders sends stops and tokens to a worker. Launches never take this way: a
// command may be held back and executed minutes later, and only a launch in a
// report's answer is known to be either executed or dropped by the next report.
func (c *Client) Orders(ctx context.Context, addr string, o wire.CommandBatch) (wire.Heartbeat, error) {
	var r wire.Heartbeat
	if o.Commands == nil {
		o.Commands = []wire.Command{}
	}
	err := c.calls.Call(ctx, 2*time.Second, http.MethodPost, "http://"+addr+wire.PathCommands, o, &r)
	return r, err
}
