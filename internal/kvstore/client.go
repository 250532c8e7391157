// Package kvstore is the typed client of the state service, a consensus-backed key-value store. It
// has reads by key and prefix, compare-and-swap transactions, leases and watches.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"dalefront/internal/httpclient"
	"dalefront/wire"
)

var (
	// ErrRefused means that the service did not execute the request (503, 429).
	ErrRefused = errors.New("state service refused")
	// ErrOutcomeUnknown means that the request may have been executed, or may still be executed.
	ErrOutcomeUnknown = errors.New("state service gave no answer")
	// ErrConflict means that a condition of a transaction did not hold.
	ErrConflict = errors.New("condition failed")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New(leaseNotFoundText)
	// ErrCompacted means that the service no longer has the changes since the start revision
	// of a watch, or that they are too large for one response. The watched keys have to be listed again.
	ErrCompacted = errors.New("watch too old")
)

// leaseNotFoundText is the service's error message for a put with a lease that does not exist. The
// protocol has no separate status code for this error.
const leaseNotFoundText = "no such lease"

const (
	requestTimeout      = 1500 * time.Millisecond
	renewalTimeout      = time.Second
	watchTimeoutMargin  = 3 * time.Second // added to the wait time of a watch to get the request's timeout
	retryDelay          = 60 * time.Millisecond
	maxConnections      = 12   // for all requests except watches
	maxWatchConnections = 4    // for watches
	listPageSize        = 1000 // keys per page, the protocol's limit

	// maxResponseBytes is above the protocol's limit of 512 KiB in JSON, where a number may be shorter.
	maxResponseBytes = 2 << 20
	// maxWatchResponseBytes limits the changes of a watch, for which the protocol has no limit.
	maxWatchResponseBytes = 8 << 20

	maxAttempts       = 5    // attempts at a request while the service responds with 429
	burstSeconds      = 0.25 // burst of requests, in seconds of the full rate
	writeBurstSeconds = 0.8  // burst of writes, in seconds of the full rate
)

// Client is a rate-limited client of the state service. It is safe for concurrent use.
type Client struct {
	requestClient  *httpclient.Client
	watchClient    *httpclient.Client
	requestLimiter *adaptiveLimiter // limits all requests
	writeLimiter   *adaptiveLimiter // limits mutations

	mu           sync.Mutex
	lastResponse time.Time
	lastFailure  time.Time
}

// New returns a client for the service at addr. requestsPerSecond and writesPerSecond are the service's
// limits of requests and mutations, which all controllers share. controllers is the number of
// controllers. The client uses a part of these limits.
func New(addr string, requestsPerSecond, writesPerSecond float64, controllers int) *Client {
	return &Client{
		requestClient:  httpclient.New("http://"+addr, maxConnections, 0, maxResponseBytes),
		watchClient:    httpclient.New("http://"+addr, maxWatchConnections, 0, maxWatchResponseBytes),
		requestLimiter: newAdaptiveLimiter(requestsPerSecond, controllers, int(requestsPerSecond*burstSeconds)),
		writeLimiter:   newAdaptiveLimiter(writesPerSecond, controllers, int(writesPerSecond*writeBurstSeconds)),
	}
}

// Reachable reports whether the service has responded to this client within the given time, and no
// request has failed since the last response.
func (c *Client) Reachable(within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastResponse) < within && !c.lastFailure.After(c.lastResponse)
}

// recordResult records the time and kind of a request's outcome, which Reachable uses. It wraps the error in
// ErrRefused or ErrOutcomeUnknown if one of these errors applies.
func (c *Client) recordResult(err error) error {
	code := httpclient.StatusCode(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil, isHealthyStatus(code):
		c.lastResponse = time.Now()
	default: // including requests that the caller cancelled
		c.lastFailure = time.Now()
	}
	switch {
	case err == nil:
		return nil
	case code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests:
		return fmt.Errorf("%w: %w", ErrRefused, err)
	case code == 0:
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return err
}

// isHealthyStatus reports whether a status other than 200 shows that the service is working.
func isHealthyStatus(code int) bool {
	switch code {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusGone, http.StatusTooManyRequests:
		return true
	}
	return false
}

// Urgent returns a context for requests that don't wait for the rate limiter of the client. Such a
// context is meant for requests that maintain the leader's term or decide for the whole cluster. These
// requests are sent one at a time. Requests whose number grows with the number of users must not use
// the context.
func Urgent(ctx context.Context) context.Context { return context.WithValue(ctx, urgentKey{}, true) }

type urgentKey struct{}

func isUrgent(ctx context.Context) bool { return ctx.Value(urgentKey{}) != nil }

// call sends a request without mutations, to which the limit of mutations does not apply.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	return c.callWithRetry(ctx, requestTimeout, c.requestLimiter, method, path, in, out)
}

// callWithRetry sends a request. The timeout applies to each attempt. A response with 429 means that the
// request was not executed. The request is then sent again after a linearly increasing delay, with at
// most maxAttempts attempts in total. The limiter adapts its rate to the responses.
func (c *Client) callWithRetry(ctx context.Context, timeout time.Duration, limiter *adaptiveLimiter, method, path string, in, out any) error {
	for attempt := 1; ; attempt++ {
		if err := c.requestLimiter.wait(ctx, 1, isUrgent(ctx)); err != nil {
			return fmt.Errorf("%w: %w", ErrRefused, err)
		}
		err := c.requestClient.Call(ctx, timeout, method, path, in, out)
		overloaded := httpclient.StatusCode(err) == http.StatusTooManyRequests
		limiter.observe(overloaded, time.Now())
		if !overloaded || attempt == maxAttempts {
			return c.recordResult(err)
		}
		select {
		case <-ctx.Done():
			return c.recordResult(err)
		case <-time.After(time.Duration(attempt) * retryDelay):
		}
	}
}

// Get reads a key. found reports whether the key exists.
func (c *Client) Get(ctx context.Context, key string) (item wire.KeyValue, found bool, err error) {
	err = c.call(ctx, http.MethodGet, "/kv/"+key, nil, &item)
	if httpclient.StatusCode(err) == http.StatusNotFound {
		return item, false, nil
	}
	return item, err == nil, err
}

// List reads all keys with a prefix, page by page. It returns the revision of the first page, so that a
// watch from this revision misses no change.
func (c *Client) List(ctx context.Context, prefix string) (items []wire.KeyValue, revision uint64, err error) {
	after := ""
	for {
		page, err := c.Page(ctx, prefix, after, listPageSize)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// Page reads the keys that have a prefix and come after the given key, up to limit of them. The
// protocol allows a limit of at most 1000.
func (c *Client) Page(ctx context.Context, prefix, after string, limit int) (wire.KeyValuePage, error) {
	query := url.Values{"Starts": {prefix}, "Page": {fmt.Sprint(limit)}}
	if after != "" {
		query.Set("From", after)
	}
	var page wire.KeyValuePage
	err := c.call(ctx, http.MethodGet, "/kv?"+query.Encode(), nil, &page)
	return page, err
}

// Txn executes a transaction, which applies all its mutations if all its conditions hold. If a condition
// does not hold, the error is ErrConflict and the response has the keys of the failed conditions.
func (c *Client) Txn(ctx context.Context, txn wire.Txn) (wire.TxnResponse, error) {
	var response wire.TxnResponse
	if txn.Conditions == nil {
		txn.Conditions = []wire.Condition{}
	}
	limiter := c.requestLimiter
	if writes := len(txn.Mutations); writes > 0 {
		limiter = c.writeLimiter
		if err := limiter.wait(ctx, writes, false); err != nil {
			return response, fmt.Errorf("%w: %w", ErrRefused, err)
		}
	}
	err := c.callWithRetry(ctx, requestTimeout, limiter, http.MethodPost, "/multi", txn, &response)
	var status *httpclient.StatusError
	if errors.As(err, &status) {
		switch {
		case status.Code == http.StatusConflict:
			return response, ErrConflict
		case status.Code == http.StatusBadRequest && status.Text == leaseNotFoundText:
			return response, ErrLeaseNotFound
		}
	}
	return response, err
}

// OpenLease creates a lease that expires unless it is renewed within its time to live.
func (c *Client) OpenLease(ctx context.Context, ttl time.Duration) (id uint64, err error) {
	var lease wire.Lease
	err = c.call(ctx, http.MethodPost, "/holds", map[string]int64{"LifeMs": ttl.Milliseconds()}, &lease)
	return lease.ID, err
}

// RenewLease renews a lease. The request is urgent, so that it never waits for the rate limiter behind
// other requests. The error is ErrLeaseNotFound if the lease has expired.
func (c *Client) RenewLease(ctx context.Context, id uint64) error {
	path := fmt.Sprintf("/holds/%d/touch", id)
	err := c.callWithRetry(Urgent(ctx), renewalTimeout, c.requestLimiter, http.MethodPost, path, struct{}{}, nil)
	if httpclient.StatusCode(err) == http.StatusNotFound {
		return ErrLeaseNotFound
	}
	return err
}

// EndLease revokes a lease, which deletes the keys attached to it.
func (c *Client) EndLease(ctx context.Context, id uint64) error {
	return c.call(ctx, http.MethodDelete, fmt.Sprintf("/holds/%d", id), nil, nil)
}

// Watch waits until a key with the prefix changes after the given revision, but at most for the wait time.
// It returns all changes after the revision. The error is ErrCompacted if the service no longer has all
// changes after the revision, or if they are too large for one response. Reachable ignores the results of watches, because watches stay open during an
// outage.
func (c *Client) Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (wire.Events, error) {
	if err := c.requestLimiter.wait(ctx, 1, isUrgent(ctx)); err != nil {
		return wire.Events{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	query := url.Values{"Starts": {prefix}, "From": {fmt.Sprint(revision)}, "HoldMs": {fmt.Sprint(wait.Milliseconds())}}
	var events wire.Events
	err := c.watchClient.Call(ctx, wait+watchTimeoutMargin, http.MethodGet, "/changes?"+query.Encode(), nil, &events)
	if httpclient.StatusCode(err) == http.StatusGone || errors.Is(err, httpclient.ErrTooLarge) {
		return events, ErrCompacted
	}
	if err != nil {
		return events, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return events, nil
}
