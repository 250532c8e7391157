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
	maxIdleConns     = 256      // maximum number of idle connections to the load balancer
	maxResponseBytes = 16 << 20 // the sites' metrics are the longest responses
)

// siteClient sends requests to the users' address of a running site.
type siteClient struct {
	baseURL string // without a trailing slash
	http    *http.Client
}

// siteResponse holds the status and the retry delay of a response, without its body.
type siteResponse struct {
	status     int
	retryAfter time.Duration // delay before the next attempt
}

// succeeded reports whether the site carried out the request.
func (r siteResponse) succeeded() bool { return r.status/100 == 2 }

// refused reports whether the site refused the request permanently, so that a retry cannot succeed.
func (r siteResponse) refused() bool {
	return r.status/100 == 4 && r.status != http.StatusTooManyRequests
}

func newSiteClient(baseURL string) *siteClient {
	return &siteClient{baseURL: baseURL, http: &http.Client{
		Timeout:   requestTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns},
	}}
}

// close closes the idle connections.
func (c *siteClient) close() { c.http.CloseIdleConnections() }

// do sends a request and decodes the body of a successful response into result unless result is nil. The
// returned siteResponse has a retry delay even if there is an error.
func (c *siteClient) do(ctx context.Context, method, path string, body []byte, result any) (siteResponse, error) {
	failed := siteResponse{retryAfter: minRetryDelayS * time.Second}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return failed, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return failed, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	received := siteResponse{status: response.StatusCode, retryAfter: retryDelay(response.Header)}
	if err == nil && result != nil && received.succeeded() {
		err = wire.Unmarshal(content, result)
	}
	return received, err
}

// retryDelay returns the delay that the Retry-After header asks for, at least minRetryDelayS and at most
// maxRetryDelayS.
func retryDelay(header http.Header) time.Duration {
	delayS, _ := strconv.Atoi(header.Get("Retry-After")) // 0 if the header is missing or not a number
	return time.Duration(min(max(delayS, minRetryDelayS), maxRetryDelayS)) * time.Second
}

// summary returns the state of the site's emulated machines.
func (c *siteClient) summary(ctx context.Context) (emulator.SummaryResponse, error) {
	var summary emulator.SummaryResponse
	response, err := c.do(ctx, http.MethodGet, emulator.PathSummary, nil, &summary)
	if err == nil && response.status != http.StatusOK {
		err = errors.New(http.StatusText(response.status))
	}
	return summary, err
}

// seconds converts a number of seconds to a duration, rounded to microseconds.
func seconds(s float64) time.Duration { return time.Duration(config.Micro(s)) * time.Microsecond }

// sleep waits for the duration or until the context is done, and reports whether the whole duration
// has passed.
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
