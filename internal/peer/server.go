package peer

import (
	"context"

	"google.golang.org/grpc"
)

const (
	// maxRequestBytes is the largest request. The largest needed is an apply of as many
	// documents as there may be.
	maxRequestBytes = 1 << 20
	// minConcurrentStreams is how many calls a peer may have open at a time at least.
	minConcurrentStreams = 256
	// bufferBytes is the size of each connection's two buffers.
	bufferBytes = 8 << 10
)

// Server handles the calls of peers; the controller implements it.
type Server interface {
	// PeerHeartbeat exchanges what both know about the term.
	PeerHeartbeat(context.Context, *Heartbeat) (*Heartbeat, error)
	// PeerRelay handles a worker's heartbeat that reached another controller.
	PeerRelay(context.Context, *RelayRequest) (*RelayResponse, error)
	// PeerCounts returns the task counts of jobs.
	PeerCounts(context.Context, *CountsRequest) (*CountsResponse, error)
	// PeerTransferLeadership gives up leadership under a token.
	PeerTransferLeadership(context.Context, *TransferRequest) (*TransferResponse, error)
	// PeerConfigApply changes the configuration.
	PeerConfigApply(context.Context, *ConfigApplyRequest) (*ConfigApplyResponse, error)
	// PeerConfigRead returns the stored configuration.
	PeerConfigRead(context.Context, *ConfigReadRequest) (*ConfigReadResponse, error)
	// PeerConfigStatus returns the generation that the controller decides by.
	PeerConfigStatus(context.Context, *ConfigStatusRequest) (*ConfigStatusResponse, error)
}

// Names of the service and its methods on the wire.
const (
	serviceName      = "dalefront.Peer"
	methodHeartbeat  = "Hello"
	methodRelay      = "Relay"
	methodCounts     = "Counts"
	methodTransfer   = "HandOver"
	methodApply      = "ConfigApply"
	methodReadConfig = "ConfigRead"
	methodStatus     = "ConfigStatus"
)

// unaryMethod describes a method that takes one message and returns one.
func unaryMethod[In, Out any](name string, call func(Server, context.Context, *In) (*Out, error)) grpc.MethodDesc {
	// gRPC dictates the order of the handler's parameters.
	//revive:disable-next-line:context-as-argument
	handler := func(server any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		in := new(In)
		if err := decode(in); err != nil {
			return nil, err
		}
		return call(server.(Server), ctx, in)
	}
	return grpc.MethodDesc{MethodName: name, Handler: handler}
}

// serviceDescription is written by hand: messages are MessagePack and have no protobuf
// definition to generate it from.
var serviceDescription = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*Server)(nil),
	Methods: []grpc.MethodDesc{
		unaryMethod(methodHeartbeat, Server.PeerHeartbeat),
		unaryMethod(methodRelay, Server.PeerRelay),
		unaryMethod(methodCounts, Server.PeerCounts),
		unaryMethod(methodTransfer, Server.PeerTransferLeadership),
		unaryMethod(methodApply, Server.PeerConfigApply),
		unaryMethod(methodReadConfig, Server.PeerConfigRead),
		unaryMethod(methodStatus, Server.PeerConfigStatus),
	},
}

// NewServer returns a gRPC server that serves s. Each heartbeat that a peer relays is a
// call of its own, and may wait a moment: a peer may have as many at a time as it has
// sockets.
func NewServer(s Server, sockets int) *grpc.Server {
	server := grpc.NewServer(
		grpc.MaxConcurrentStreams(uint32(max(minConcurrentStreams, sockets))),
		grpc.MaxRecvMsgSize(maxRequestBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes))
	server.RegisterService(&serviceDescription, s)
	return server
}
