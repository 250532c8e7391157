// Package httpclient sends MessagePack requests over HTTP for the typed clients of the state
// service, the cloud and workers. Every request has a timeout, and responses are read completely.
package httpclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"dalefront/wire"
)

// ErrNoResponse means that no valid response was received. The request may have been executed, or may
// still be executed.
var ErrNoResponse = errors.New("no answer")

// ErrTooLarge is an ErrNoResponse: the response was larger than the client accepts.
var ErrTooLarge = errors.New("answer too large")

// StatusError is a response with a status other than 200. Text is the error message in its body.
type StatusError struct {
	Code int
	Text string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d %s", e.Code, e.Text) }

// StatusCode returns the HTTP status of an error that is or wraps a StatusError, otherwise 0.
func StatusCode(err error) int {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Code
	}
	return 0
}

const (
	bufferBytes     = 4 << 10 // size of each connection's read buffer and of its write buffer
	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
	contentType     = "application/msgpack"
)

// Client sends requests to one server. With an empty base URL, each request has an absolute URL and
// may go to another server. A Client is safe for concurrent use.
type Client struct {
	base     string
	maxBytes int64 // maximum size of a response's body
	client   *http.Client
}

// New returns a client for a base URL such as "http://10.0.0.1:80". It opens at most maxConns
// connections per host and keeps at most maxIdle idle connections in total. 0 means no limit. It reads
// bodies of at most maxBytes.
func New(base string, maxConns, maxIdle int, maxBytes int64) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &Client{base: base, maxBytes: maxBytes, client: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		MaxIdleConns:        maxIdle,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		WriteBufferSize:     bufferBytes,
		ReadBufferSize:      bufferBytes,
	}}}
}

// Call sends a request and decodes the body of a 200 response into out. The request's body is the
// message passed as in. Both in and out may be nil. For a response with another status, the error is a
// *StatusError. Without a valid response, the error wraps ErrNoResponse, and ErrTooLarge if the body is too
// large. The body of a 409 response is decoded into out, too.
func (c *Client) Call(ctx context.Context, timeout time.Duration, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := c.newRequest(ctx, method, path, in)
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	defer response.Body.Close()
	body, err := c.readBody(response)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	if response.StatusCode != http.StatusOK {
		return statusError(response.StatusCode, body, out)
	}
	if out == nil {
		return nil
	}
	if err := wire.Unmarshal(body, out); err != nil {
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return nil
}

// readBody reads the body of a response.
func (c *Client) readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength > c.maxBytes {
		return nil, ErrTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > c.maxBytes {
		return nil, ErrTooLarge
	}
	return body, nil
}

// newRequest returns a request whose body is the encoded message passed as in. If in is nil, the request
// has no body.
func (c *Client) newRequest(ctx context.Context, method, path string, in any) (*http.Request, error) {
	if in == nil {
		return http.NewRequestWithContext(ctx, method, c.base+path, nil)
	}
	body, err := wire.Marshal(in)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", contentType)
	return request, nil
}

// statusError returns the error for a response with a status other than 200. If the body can't be
// decoded, the error's text and out stay empty.
func statusError(code int, body []byte, out any) error {
	if out != nil && code == http.StatusConflict {
		_ = wire.Unmarshal(body, out) // the body of a 409 has the same format as that of a 200
	}
	var message wire.Error
	_ = wire.Unmarshal(body, &message)
	return &StatusError{Code: code, Text: message.Error}
}
