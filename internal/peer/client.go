package peer

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
)

const (
	// maxResponseBytes limits the size of a response between controllers. The largest response has
	// MaxWorkerContacts contacts.
	maxResponseBytes = 1 << 20
	// maxConfigResponseBytes limits the size of a response that only operators' commands receive. The largest is
	// the configuration with its history: 200 generations, each of which may have changed many documents.
	maxConfigResponseBytes = 32 << 20
)

const (
	heartbeatTimeout = 800 * time.Millisecond
	probeTimeout     = 150 * time.Millisecond
	relayTimeout     = 1500 * time.Millisecond
	countsTimeout    = 400 * time.Millisecond
	connectTimeout   = time.Second // minimum time allowed for an attempt to connect
)

// reconnectBackoff is the delay between attempts to connect.
var reconnectBackoff = backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second}

// Client is a connection to one peer. It is safe for concurrent use.
type Client struct{ conn *grpc.ClientConn }

// Dial returns a client, which connects on its first call.
func Dial(addr string) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codecName), grpc.MaxCallRecvMsgSize(maxResponseBytes)),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithIdleTimeout(0), grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: connectTimeout}))
	if err != nil {
		return nil, err
	}
	return &Client{conn}, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// call invokes a method of the peer with a timeout.
func call[Out any](ctx context.Context, c *Client, timeout time.Duration, method string, in any, options ...grpc.CallOption) (*Out, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	out := new(Out)
	return out, c.conn.Invoke(ctx, "/"+serviceName+"/"+method, in, out, options...)
}

// Heartbeat sends what this controller knows about the leader's term, and returns what the peer knows
// about the leader's term.
func (c *Client) Heartbeat(ctx context.Context, heartbeat *Heartbeat) (*Heartbeat, error) {
	return call[Heartbeat](ctx, c, heartbeatTimeout, methodHeartbeat, heartbeat)
}

// Probe is a heartbeat with a short timeout, to find out whether the peer's process responds.
func (c *Client) Probe(ctx context.Context, heartbeat *Heartbeat) (*Heartbeat, error) {
	return call[Heartbeat](ctx, c, probeTimeout, methodHeartbeat, heartbeat)
}

// Connected reports whether the connection is in the state ready. It sends nothing to the peer.
func (c *Client) Connected() bool { return c.conn.GetState() == connectivity.Ready }

// ResetBackoff lets the next call try to connect at once, even after failed attempts.
func (c *Client) ResetBackoff() { c.conn.ResetConnectBackoff() }

// Relay forwards a worker's heartbeat to the leader.
func (c *Client) Relay(ctx context.Context, request *RelayRequest) (*RelayResponse, error) {
	return call[RelayResponse](ctx, c, relayTimeout, methodRelay, request)
}

// TaskCounts returns the task counts of jobs.
func (c *Client) TaskCounts(ctx context.Context, jobIDs []string) (*TaskCountsResponse, error) {
	return call[TaskCountsResponse](ctx, c, countsTimeout, methodCounts, &TaskCountsRequest{JobIDs: jobIDs})
}
