package main

import (
	"context"
	"net/http/httptrace"
)

// traceConnect returns a context under which a request sets connected once its connection is established.
func traceConnect(ctx context.Context, connected *bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { *connected = true }})
}
