// Package httpclient sends the MessagePack requests of the typed clients. Every
// send has a deadline; answers are bounded in size by the caller's limit.
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

// StatusError is an answer other than the expected ones.
type StatusError struct {
	Code int
	Text string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d %s", e.Code, e.Text) }

// Code returns the status of an error that came as an answer, otherwise 0.
func Code(err error) int {
	var se *StatusError
	if errors.As(err, &se) {
		return se.Code
	}
	return 0
}

// Client talks to one address or, with absolute calls, to many.
type Client struct {
	base string
	http *http.Client
}

// bufferBytes is the size of each connection's two buffers.
const bufferBytes = 4 << 10

// New returns a client for base such as "http://10.0.0.1:80" that keeps at most
// conns connections per host, and at most idle unused ones in all; 0 is any number.
func New(base string, conns, idle int) *Client {
	dialer := &net.Dialer{Timeout: time.Second, KeepAlive: -1}
	return &Client{base: base, http: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		MaxIdleConns:        idle,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
		WriteBufferSize:     bufferBytes,
		ReadBufferSize:      bufferBytes,
	}}}
}

// Call sends a request within the limit and decodes a 200 into out. Another
// status is a *StatusError, a missing answer wraps ErrNoAnswer.
func (c *Client) Call(ctx context.Context, limit time.Duration, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var body io.Reader
	if in != nil {
		b, err := wire.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return err
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/msgpack")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrNoAnswer, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrNoAnswer, err)
	}
	if resp.StatusCode != http.StatusOK {
		if out != nil && resp.StatusCode == http.StatusConflict {
			_ = wire.Unmarshal(b, out) // a conflict's body has the same form
		}
		var we wire.Error
		_ = wire.Unmarshal(b, &we)
		return &StatusError{Code: resp.StatusCode, Text: we.Error}
	}
	if out == nil {
		return nil
	}
	if err := wire.Unmarshal(b, out); err != nil {
		return fmt.Errorf("%w: %v", ErrNoAnswer, err)
	}
	return nil
}
