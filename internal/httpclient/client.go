// Package httpclient sends the MessagePack requests of the typed clients of the state
// service, the cloud and workers. Every request has a timeout; responses are read whole.
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

// ErrNoAnswer means that the request may have been executed, or may yet be.
var ErrNoAnswer = errors.New("no answer")

// StatusError is a response with another status than 200. Text is its message.
type StatusError struct {
	Code int
	Text string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d %s", e.Code, e.Text) }

// Code returns the status of an error that came as a response, otherwise 0.
func Code(err error) int {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Code
	}
	return 0
}

const (
	bufferBytes     = 4 << 10 // of each connection's two buffers
	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
	contentType     = "application/msgpack"
)

// Client talks to one address or, with an empty base and absolute URLs, to many. It is safe
// for use by several goroutines.
type Client struct {
	base   string
	client *http.Client
}

// New returns a client for base such as "http://10.0.0.1:80" that keeps at most
// maxConns connections per host, and at most maxIdle unused ones in all; 0 is any number.
func New(base string, maxConns, maxIdle int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &Client{base: base, client: &http.Client{Transport: &http.Transport{
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

// Call sends a request within the timeout and decodes a 200 into out; in and out may be nil.
// Another status is a *StatusError, a missing response wraps ErrNoAnswer. The body of a 409
// is decoded into out, too.
func (c *Client) Call(ctx context.Context, timeout time.Duration, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := c.newRequest(ctx, method, path, in)
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	if response.StatusCode != http.StatusOK {
		return statusError(response.StatusCode, body, out)
	}
	if out == nil {
		return nil
	}
	if err := wire.Unmarshal(body, out); err != nil {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return nil
}

// newRequest returns a request whose body is the message in, none if that is nil.
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

// statusError returns the error of a response with another status than 200. A body that
// can't be decoded leaves its text, or out, empty.
func statusError(code int, body []byte, out any) error {
	if out != nil && code == http.StatusConflict {
		_ = wire.Unmarshal(body, out) // a conflict's body has the same form
	}
	var message wire.Error
	_ = wire.Unmarshal(body, &message)
	return &StatusError{Code: code, Text: message.Error}
}
