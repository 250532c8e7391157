// Package kvstore is the typed client of the consensus-backed key-value store that the
// operators call the state service: reads by key and prefix, transactions that
// compare and swap, leases, and watches.
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
	// ErrOutcomeUnknown means that the request may have been, or may yet be, executed.
	ErrOutcomeUnknown = errors.New("state service gave no answer")
	// ErrConflict means that a condition of a transaction did not hold.
	ErrConflict = errors.New("condition failed")
	// ErrLeaseNotFound means that a lease has expired or was ended.
	ErrLeaseNotFound = errors.New(leaseNotFoundText)
	// ErrCompacted means that the service no longer has the changes since the revision
	// that a watch begins at: its keys have to be read again.
	ErrCompacted = errors.New("watch too old")
)

// leaseNotFoundText is the service's message for a put that names a lease which does not
// exist. The protocol has no status of its own for it.
const leaseNotFoundText = "no such lease"

const (
	requestTimeout      = 1500 * time.Millisecond
	renewalTimeout      = time.Second
	watchTimeoutMargin  = 3 * time.Second // beyond the time for which the service holds a watch
	retryDelay          = 60 * time.Millisecond
	maxConnections      = 12   // for requests
	maxWatchConnections = 4    // for watches
	listPageSize        = 1000 // keys that a page of a list asks for, the protocol's limit
	maxAttempts         = 5    // of a request that the service answers with 429
	burstSeconds        = 0.25 // of the request limit that may go at once
	writeBurstSeconds   = 0.8  // of the write limit that may go at once
)

// Client is a client of one node's access to the state service. It is safe for use by
// several goroutines.
type Client struct {
	requests       *httpclient.Client
	watches        *httpclient.Client
	requestLimiter *adaptiveLimiter // all requests
	writeLimiter   *adaptiveLimiter // mutations

	mu          sync.Mutex
	lastAnswer  time.Time
	lastFailure time.Time
}

// New returns a client for the service at addr that keeps to its share of the service's
// limits, in requests and mutations per second, which so many controllers have in common.
func New(addr string, requestsPerSecond, writesPerSecond float64, controllers int) *Client {
	return &Client{
		requests:       httpclient.New("http://"+addr, maxConnections, 0),
		watches:        httpclient.New("http://"+addr, maxWatchConnections, 0),
		requestLimiter: newAdaptiveLimiter(requestsPerSecond, controllers, int(requestsPerSecond*burstSeconds)),
		writeLimiter:   newAdaptiveLimiter(writesPerSecond, controllers, int(writesPerSecond*writeBurstSeconds)),
	}
}

// Reachable reports whether the service answered this client within the given time and
// has not failed since.
func (c *Client) Reachable(within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastAnswer) < within && !c.lastFailure.After(c.lastAnswer)
}

// recordResult notes whether the service answered, for Reachable, and adds ErrRefused or
// ErrOutcomeUnknown to an error that has one of these meanings.
func (c *Client) recordResult(err error) error {
	code := httpclient.Code(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil, isAnswer(code):
		c.lastAnswer = time.Now()
	default: // a request whose caller gave up counts, too
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

// isAnswer reports whether a status other than 200 shows that the service works.
func isAnswer(code int) bool {
	switch code {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusGone, http.StatusTooManyRequests:
		return true
	}
	return false
}

// Urgent returns a context whose requests don't wait for this client's share of the
// limit. Requests that keep the leader's term or decide for the whole cluster are urgent,
// and are sent one at a time; requests whose number grows with the users are not.
func Urgent(ctx context.Context) context.Context { return context.WithValue(ctx, urgentKey{}, true) }

type urgentKey struct{}

func isUrgent(ctx context.Context) bool { return ctx.Value(urgentKey{}) != nil }

// call sends one request, not a write.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	return c.callWithRetry(ctx, requestTimeout, c.requestLimiter, method, path, in, out)
}

// callWithRetry sends one request, each attempt within the timeout. A 429 means that it
// was not executed, so it is sent again a few times with a growing delay. The limiter
// learns from the answers.
func (c *Client) callWithRetry(ctx context.Context, timeout time.Duration, limiter *adaptiveLimiter, method, path string, in, out any) error {
	for attempt := 1; ; attempt++ {
		if err := c.requestLimiter.wait(ctx, 1, isUrgent(ctx)); err != nil {
			return fmt.Errorf("%w: %w", ErrRefused, err)
		}
		err := c.requests.Call(ctx, timeout, method, path, in, out)
		overloaded := httpclient.Code(err) == http.StatusTooManyRequests
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

// Get reads a key; found is false if it does not exist.
func (c *Client) Get(ctx context.Context, key string) (item wire.KeyValue, found bool, err error) {
	err = c.call(ctx, http.MethodGet, "/kv/"+key, nil, &item)
	if httpclient.Code(err) == http.StatusNotFound {
		return item, false, nil
	}
	return item, err == nil, err
}

// List reads all keys with a prefix. The revision is that of the first page, so
// a watch from there misses nothing.
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

// Page reads up to most keys with a prefix, of at most 1000, that come after a key.
func (c *Client) Page(ctx context.Context, prefix, after string, most int) (wire.KeyValuePage, error) {
	query := url.Values{"Starts": {prefix}, "Page": {fmt.Sprint(most)}}
	if after != "" {
		query.Set("From", after)
	}
	var page wire.KeyValuePage
	err := c.call(ctx, http.MethodGet, "/kv?"+query.Encode(), nil, &page)
	return page, err
}

// Txn runs a transaction: the mutations take effect together if all conditions hold. On
// ErrConflict the response names the keys whose conditions failed.
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

// OpenLease opens a lease that expires unless it is renewed within its time to live.
func (c *Client) OpenLease(ctx context.Context, ttl time.Duration) (id uint64, err error) {
	var lease wire.Lease
	err = c.call(ctx, http.MethodPost, "/holds", map[string]int64{"LifeMs": ttl.Milliseconds()}, &lease)
	return lease.ID, err
}

// RenewLease renews a lease. It is urgent: it never queues behind other requests. The
// error is ErrLeaseNotFound if the lease has expired.
func (c *Client) RenewLease(ctx context.Context, id uint64) error {
	path := fmt.Sprintf("/holds/%d/touch", id)
	err := c.callWithRetry(Urgent(ctx), renewalTimeout, c.requestLimiter, http.MethodPost, path, struct{}{}, nil)
	if httpclient.Code(err) == http.StatusNotFound {
		return ErrLeaseNotFound
	}
	return err
}

// EndLease ends a lease at once, which deletes the keys that depend on it.
func (c *Client) EndLease(ctx context.Context, id uint64) error {
	return c.call(ctx, http.MethodDelete, fmt.Sprintf("/holds/%d", id), nil, nil)
}

// Watch waits until a key with the prefix changes after the revision, or the time runs
// out, and returns the changes. The error is ErrCompacted if the service no longer has
// them all. Watches are no evidence for Reachable: they stay open during an outage.
func (c *Client) Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (wire.Events, error) {
	if err := c.requestLimiter.wait(ctx, 1, isUrgent(ctx)); err != nil {
		return wire.Events{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	query := url.Values{"Starts": {prefix}, "From": {fmt.Sprint(revision)}, "HoldMs": {fmt.Sprint(wait.Milliseconds())}}
	var events wire.Events
	err := c.watches.Call(ctx, wait+watchTimeoutMargin, http.MethodGet, "/changes?"+query.Encode(), nil, &events)
	if httpclient.Code(err) == http.StatusGone {
		return events, ErrCompacted
	}
	if err != nil {
		return events, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return events, nil
}
