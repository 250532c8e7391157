// Package peer is what controllers say to one another, over gRPC with
// MessagePack messages.
package peer

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"

	"dalefront/internal/standby"
	"dalefront/wire"
)

type codec struct{}

func (codec) Marshal(v any) ([]byte, error)      { return wire.Marshal(v) }
func (codec) Unmarshal(data []byte, v any) error { return wire.Unmarshal(data, v) }
func (codec) Name() string                       { return "msgpack" }

func init() { encoding.RegisterCodec(codec{}) }

// Heartbeat tells a peer what this node knows about the term. Peers may believe it
// only where a late or wrong answer is harmless: a higher token always wins.
type Heartbeat struct {
	From         string    `msgpack:"f"`
	Leader       string    `msgpack:"l"`
	Token        uint64    `msgpack:"t"`
	WantContacts bool      `msgpack:"a,omitempty"` // for Heard
	Contacts     []Contact `msgpack:"h,omitempty"`

	// Peers of an earlier version leave these out.
	Leading        bool   `msgpack:"x,omitempty"` // the sender acts as leader under the token
	ProcessID      uint64 `msgpack:"b,omitempty"` // of the sender's process: another one each time it is started
	RecentRestarts int    `msgpack:"e,omitempty"` // in an answer: how often the asking node was started anew lately
	RenewalToken   uint64 `msgpack:"g,omitempty"` // the token of a grant that the sender holds

	StandbyView  *standby.View `msgpack:"v,omitempty"` // who stands by, as the leader or whoever heard it says
	CannotFollow bool          `msgpack:"u,omitempty"` // the sender could not follow lately

	SupportsConfig bool   `msgpack:"cf,omitempty"` // the sender knows configuration that changes at run time
	Generation     uint64 `msgpack:"cg,omitempty"` // of the configuration that the sender decides by

	// A question whether the receiver reaches a process of another node, and its answer.
	Probe          string `msgpack:"p,omitempty"`
	ProbeProcessID uint64 `msgpack:"pb,omitempty"`
	Reached        bool   `msgpack:"pr,omitempty"`
}

// Contact says for how many microseconds a controller has not heard a worker.
type Contact struct {
	Host      string `msgpack:"h"`
	AgeMicros int64  `msgpack:"a"`
}

const (
	// maxRequest is how many bytes a request may have. The largest is an apply of as many
	// documents as there may be.
	maxRequest = 1 << 20
	// maxAnswer is how many bytes an answer may have. The largest is the configuration's history:
	// 200 generations, each of which may have changed many documents. It is sent to
	// operators' commands; a controller's answers to another stay below a megabyte.
	maxAnswer = 32 << 20
	// minStreams is how many calls a peer may have open at a time at least.
	minStreams = 256
	// bufferBytes is the size of each connection's two buffers.
	bufferBytes = 8 << 10
)

// MostHeard bounds the workers that one answer names: with names of 40 bytes it
// stays below the limit of a message.
const MostHeard = 16_384

// RelayRequest carries a worker's report to the leader.
type RelayRequest struct {
	Report wire.Heartbeat `msgpack:"r"`
}

// RelayResponse is the leader's answer; Status is that of HTTP.
type RelayResponse struct {
	Status int                    `msgpack:"s"`
	Answer wire.HeartbeatResponse `msgpack:"a"`
}

// CountsRequest asks for jobs' display counts.
type CountsRequest struct {
	JobIDs []string `msgpack:"i"`
}

// CountsResponse holds them for the jobs that the leader knows.
type CountsResponse struct {
	Jobs []wire.JobStatus `msgpack:"j"`
}

// Server is implemented by the node.
type Server interface {
	PeerHeartbeat(context.Context, *Heartbeat) (*Heartbeat, error)
	PeerRelay(context.Context, *RelayRequest) (*RelayResponse, error)
	PeerCounts(context.Context, *CountsRequest) (*CountsResponse, error)
	PeerTransferLeadership(context.Context, *TransferRequest) (*TransferResponse, error)
	PeerConfigApply(context.Context, *ConfigApplyRequest) (*ConfigApplyResponse, error)
	PeerConfigRead(context.Context, *ConfigReadRequest) (*ConfigReadResponse, error)
	PeerConfigStatus(context.Context, *ConfigStatusRequest) (*ConfigStatusResponse, error)
}

const service = "dalefront.Peer"

func method[In, Out any](name string, call func(Server, context.Context, *In) (*Out, error)) grpc.MethodDesc {
	return grpc.MethodDesc{MethodName: name, Handler: func(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		in := new(In)
		if err := dec(in); err != nil {
			return nil, err
		}
		return call(srv.(Server), ctx, in)
	}}
}

var desc = grpc.ServiceDesc{
	ServiceName: service,
	HandlerType: (*Server)(nil),
	Methods: []grpc.MethodDesc{
		method("Hello", Server.PeerHeartbeat),
		method("Relay", Server.PeerRelay),
		method("Counts", Server.PeerCounts),
		method("HandOver", Server.PeerTransferLeadership),
		method("ConfigApply", Server.PeerConfigApply),
		method("ConfigRead", Server.PeerConfigRead),
		method("ConfigStatus", Server.PeerConfigStatus),
	},
}

// NewServer returns a gRPC server that serves s. Each report that a peer relays is a call
// of its own, and may wait a moment: a peer may have as many at a time as it has sockets.
func NewServer(s Server, sockets int) *grpc.Server {
	g := grpc.NewServer(grpc.MaxConcurrentStreams(uint32(max(minStreams, sockets))), grpc.MaxRecvMsgSize(maxRequest),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes))
	g.RegisterService(&desc, s)
	return g
}

// Client talks to one peer.
type Client struct{ conn *grpc.ClientConn }

// Dial returns a client; it connects when first used.
func Dial(addr string) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype("msgpack"), grpc.MaxCallRecvMsgSize(maxAnswer)),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithIdleTimeout(0), grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: time.Second,
		}))
	if err != nil {
		return nil, err
	}
	return &Client{conn}, nil
}

func call[Out any](c *Client, limit time.Duration, ctx context.Context, name string, in any) (*Out, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	out := new(Out)
	return out, c.conn.Invoke(ctx, "/"+service+"/"+name, in, out)
}

// Heartbeat exchanges what is known about the term.
func (c *Client) Heartbeat(ctx context.Context, h *Heartbeat) (*Heartbeat, error) {
	return call[Heartbeat](c, 800*time.Millisecond, ctx, "Hello", h)
}

// Probe is a hello that wants an answer at once: whether a process is there.
func (c *Client) Probe(ctx context.Context, h *Heartbeat) (*Heartbeat, error) {
	return call[Heartbeat](c, 150*time.Millisecond, ctx, "Hello", h)
}

// Connected says whether there is a connection that works, as far as known.
func (c *Client) Connected() bool { return c.conn.GetState() == connectivity.Ready }

// ResetBackoff lets the next call try to connect at once, whatever failed before.
func (c *Client) ResetBackoff() { c.conn.ResetConnectBackoff() }

// Relay hands a report to the leader.
func (c *Client) Relay(ctx context.Context, r *RelayRequest) (*RelayResponse, error) {
	return call[RelayResponse](c, 1500*time.Millisecond, ctx, "Relay", r)
}

// Counts asks for display counts.
func (c *Client) Counts(ctx context.Context, ids []string) (*CountsResponse, error) {
	return call[CountsResponse](c, 400*time.Millisecond, ctx, "Counts", &CountsRequest{JobIDs: ids})
}
