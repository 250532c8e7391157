package peer

import (
	"context"

	"google.golang.org/grpc"
)

const (
	// maxRequestBytes limits the size of a request. The largest request is a configuration change with
	// dynconfig.MaxDocuments documents.
	maxRequestBytes = 1 << 20
	// minConcurrentStreams is the lower bound of the number of concurrent calls that each peer may make.
	minConcurrentStreams = 256
	// bufferBytes is the size of each connection's read buffer and of its write buffer.
	bufferBytes = 8 << 10
)

// Server handles the calls of peers. The controller implements it.
type Server interface {
	// PeerHeartbeat handles a peer's heartbeat and returns what this controller knows about the leader's
	// term.
	PeerHeartbeat(context.Context, *Heartbeat) (*Heartbeat, error)
	// PeerRelay handles a worker's heartbeat that another controller received.
	PeerRelay(context.Context, *RelayRequest) (*RelayResponse, error)
	// PeerTaskCounts returns the task counts of jobs.
	PeerTaskCounts(context.Context, *TaskCountsRequest) (*TaskCountsResponse, error)
	// PeerTransferLeadership transfers leadership if the controller is the leader under the request's
	// token.
	PeerTransferLeadership(context.Context, *TransferRequest) (*TransferResponse, error)
	// PeerConfigApply changes the configuration.
	PeerConfigApply(context.Context, *ConfigApplyRequest) (*ConfigApplyResponse, error)
	// PeerConfigRead returns the stored configuration.
	PeerConfigRead(context.Context, *ConfigReadRequest) (*ConfigReadResponse, error)
	// PeerConfigStatus returns which configuration the controller uses.
	PeerConfigStatus(context.Context, *ConfigStatusRequest) (*ConfigStatusResponse, error)
}

// Names of the service and its methods on the wire.
const (
	serviceName        = "dalefront.Peer"
	methodHeartbeat    = "Hello"
	methodRelay        = "Relay"
	methodCounts       = "Counts"
	methodTransfer     = "HandOver"
	methodConfigApply  = "ConfigApply"
	methodConfigRead   = "ConfigRead"
	methodConfigStatus = "ConfigStatus"
)

// unaryMethod describes a gRPC method that takes one message and returns one message.
func unaryMethod[In, Out any](name string, call func(Server, context.Context, *In) (*Out, error)) grpc.MethodDesc {
	// The order of the handler's parameters is defined by gRPC.
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

// serviceDescription is written by hand because the messages are MessagePack, without a protobuf
// definition to generate it from.
var serviceDescription = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*Server)(nil),
	Methods: []grpc.MethodDesc{
		unaryMethod(methodHeartbeat, Server.PeerHeartbeat),
		unaryMethod(methodRelay, Server.PeerRelay),
		unaryMethod(methodCounts, Server.PeerTaskCounts),
		unaryMethod(methodTransfer, Server.PeerTransferLeadership),
		unaryMethod(methodConfigApply, Server.PeerConfigApply),
		unaryMethod(methodConfigRead, Server.PeerConfigRead),
		unaryMethod(methodConfigStatus, Server.PeerConfigStatus),
	},
}

// NewServer returns a gRPC server that serves s. Each heartbeat that a peer relays is a separate call,
// which may take a moment. Each peer may therefore have one concurrent call for each of its sockets, and
// at least minConcurrentStreams calls.
func NewServer(s Server, sockets int) *grpc.Server {
	server := grpc.NewServer(
		grpc.MaxConcurrentStreams(uint32(max(minConcurrentStreams, sockets))),
		grpc.MaxRecvMsgSize(maxRequestBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes))
	server.RegisterService(&serviceDescription, s)
	return server
}
