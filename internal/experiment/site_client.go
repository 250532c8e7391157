package experiment

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"dalefront/internal/config"
	"dalefront/internal/emulator"
	"dalefront/wire"
)

const (
	requestTimeout   = 5 * time.Second
	minRetryDelayS   = 1
	maxRetryDelayS   = 30
	maxIdleConns     = 256      // connections to the balancer that are kept unused
	maxResponseBytes = 16 << 20 // of which the sites' metrics are the longest
)

// siteClient sends requests to the users' address of a running site.
type siteClient struct {
	server string // base URL, without a slash at its end
	http   *http.Client
}

// response is what a site said to a request, beside the body.
type response struct {
	status     int
	retryAfter time.Duration // how long to wait before the next attempt
}

// succeeded reports whether the site did what was asked for.
func (r response) succeeded() bool { return r.status/100 == 2 }

// refused reports whether the request fails however often it is repeated.
func (r response) refused() bool {
	return r.status/100 == 4 && r.status != http.StatusTooManyRequests
}

func newSiteClient(server string) *siteClient {
	return &siteClient{server: server, http: &http.Client{
		Timeout:   requestTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns},
	}}
}

// close closes the connections that are kept.
func (c *siteClient) close() { c.http.CloseIdleConnections() }

// do sends a request and decodes the body of a successful response into result, if that isn't
// nil. The delay before a retry is given with an error, too.
func (c *siteClient) do(ctx context.Context, method, path string, body []byte, result any) (response, error) {
	failed := response{retryAfter: minRetryDelayS * time.Second}
	request, err := http.NewRequestWithContext(ctx, method, c.server+path, bytes.NewReader(body))
	if err != nil {
		return failed, err
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return failed, err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxResponseBytes))
	received := response{status: answer.StatusCode, retryAfter: retryDelay(answer.Header)}
	if err == nil && result != nil && received.succeeded() {
		err = wire.Unmarshal(content, result)
	}
	return received, err
}

// retryDelay returns the delay that the Retry-After header asks for, within bounds.
func retryDelay(header http.Header) time.Duration {
	after, _ := strconv.Atoi(header.Get("Retry-After")) // 0 if there is none, which the bounds raise
	return time.Duration(min(max(after, minRetryDelayS), maxRetryDelayS)) * time.Second
}

// summary returns the state of the site's emulated machines.
func (c *siteClient) summary(ctx context.Context) (emulator.Summarized, error) {
	var summary emulator.Summarized
	answer, err := c.do(ctx, http.MethodGet, emulator.PathSummary, nil, &summary)
	if err == nil && answer.status != http.StatusOK {
		err = errors.New(http.StatusText(answer.status))
	}
	return summary, err
}

// seconds returns a duration, to the microsecond.
func seconds(s float64) time.Duration { return time.Duration(config.Micro(s)) * time.Microsecond }

// sleep waits for the duration and reports whether the context is still valid after it.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
