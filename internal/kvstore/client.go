// Package kvstore is the typed client of the consensus-backed key-value store that the
// operators call the state service.
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
	// ErrUnknown means that the request may have been, or may yet be, executed.
	ErrUnknown = errors.New("state service gave no answer")
	// ErrConflict means that a condition did not hold.
	ErrConflict = errors.New("condition failed")
	// ErrNoLease means that a put named a lease that has ended.
	ErrNoLease = errors.New("no such lease")
	// ErrCompacted means that a watch must read its keys again.
	ErrCompacted = errors.New("watch too old")
)

// Client is safe for use by several goroutines.
type Client struct {
	calls   *httpclient.Client
	watches *httpclient.Client
	reads   *pace // all requests
	writes  *pace // changes

	mu     sync.Mutex
	lastOK time.Time
	failed time.Time
}

// New returns a client that keeps to its share of the service's limits, which
// so many nodes have in common.
func New(addr string, rps, writeRPS float64, nodes int) *Client {
	return &Client{
		calls:   httpclient.New("http://"+addr, maxCalls, 0),
		watches: httpclient.New("http://"+addr, maxWatches, 0),
		reads:   newPace(rps, nodes, int(rps/4)),
		writes:  newPace(writeRPS, nodes, int(writeRPS*0.8)),
	}
}

// Reachable says whether the service answered this node within the given time
// and has not refused it since.
func (c *Client) Reachable(within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastOK) < within && !c.failed.After(c.lastOK)
}

func (c *Client) note(err error) error {
	code := httpclient.Code(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil, code == 404, code == 409, code == 400, code == 410, code == 429:
		c.lastOK = time.Now()
	case errors.Is(err, context.Canceled):
	default:
		c.failed = time.Now()
	}
	switch {
	case err == nil:
		return nil
	case code == 503 || code == 429:
		return fmt.Errorf("%w: %v", ErrRefused, err)
	case code == 0:
		return fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	return err
}

const (
	callLimit  = 1500 * time.Millisecond
	maxCalls   = 12   // connections for requests
	maxWatches = 4    // connections for watches
	listPage   = 1000 // keys that a page of a list asks for, the protocol's limit
	maxTries   = 5    // of a request that the service has no time for
)

// Urgent marks the requests of a context as urgent: they don't wait for this
// node's share of the limit. What keeps a term or decides for the whole cluster
// is urgent, and comes one request at a time; what grows with the users is not.
func Urgent(ctx context.Context) context.Context { return context.WithValue(ctx, urgentKey{}, true) }

type urgentKey struct{}

func urgent(ctx context.Context) bool { return ctx.Value(urgentKey{}) != nil }

// call sends one request; a 429 was not executed, so it is sent again a few
// times within the call's own patience.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	return c.try(ctx, callLimit, c.reads, method, path, in, out)
}

func (c *Client) try(ctx context.Context, limit time.Duration, p *pace, method, path string, in, out any) error {
	for i := 0; ; i++ {
		if e := c.reads.wait(ctx, 1, urgent(ctx)); e != nil {
			return fmt.Errorf("%w: %v", ErrRefused, e)
		}
		err := c.calls.Call(ctx, limit, method, path, in, out)
		crowded := httpclient.Code(err) == http.StatusTooManyRequests
		p.heard(crowded, time.Now())
		if !crowded || i == maxTries-1 {
			return c.note(err)
		}
		select {
		case <-ctx.Done():
			return c.note(err)
		case <-time.After(time.Duration(60+60*i) * time.Millisecond):
		}
	}
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (wire.KeyValue, bool, error) {
	var e wire.KeyValue
	err := c.call(ctx, http.MethodGet, "/kv/"+key, nil, &e)
	if httpclient.Code(err) == http.StatusNotFound {
		return e, false, nil
	}
	return e, err == nil, err
}

// List reads all keys with a prefix. The revision is that of the first page, so
// a watch from there misses nothing.
func (c *Client) List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error) {
	var all []wire.KeyValue
	var first uint64
	from := ""
	for {
		page, err := c.Page(ctx, prefix, from, listPage)
		if err != nil {
			return nil, 0, err
		}
		if first == 0 {
			first = page.Revision
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return all, first, nil
		}
		from = page.Items[len(page.Items)-1].Key
	}
}

// Page reads up to most keys with a prefix, of at most 1000, after the one given.
func (c *Client) Page(ctx context.Context, prefix, after string, most int) (wire.KeyValuePage, error) {
	q := url.Values{"Starts": {prefix}, "Page": {fmt.Sprint(most)}}
	if after != "" {
		q.Set("From", after)
	}
	var page wire.KeyValuePage
	err := c.call(ctx, http.MethodGet, "/kv?"+q.Encode(), nil, &page)
	return page, err
}

// Txn runs a transaction. On ErrConflict the answer names the failed keys.
func (c *Client) Txn(ctx context.Context, txn wire.Txn) (wire.TxnResponse, error) {
	var a wire.TxnResponse
	if txn.Conditions == nil {
		txn.Conditions = []wire.Condition{}
	}
	p := c.reads
	if n := len(txn.Mutations); n > 0 {
		p = c.writes
		if err := p.wait(ctx, n, false); err != nil {
			return a, fmt.Errorf("%w: %v", ErrRefused, err)
		}
	}
	err := c.try(ctx, callLimit, p, http.MethodPost, "/multi", txn, &a)
	var se *httpclient.StatusError
	if errors.As(err, &se) {
		switch {
		case se.Code == http.StatusConflict:
			return a, ErrConflict
		case se.Code == http.StatusBadRequest && se.Text == ErrNoLease.Error():
			return a, ErrNoLease
		}
	}
	return a, err
}

// OpenLease opens a lease.
func (c *Client) OpenLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	var l wire.Lease
	err := c.call(ctx, http.MethodPost, "/holds", map[string]int64{"LifeMs": ttl.Milliseconds()}, &l)
	return l.ID, err
}

// RenewLease renews a lease. It is urgent: it never queues behind other requests.
func (c *Client) RenewLease(ctx context.Context, id uint64) error {
	err := c.try(Urgent(ctx), time.Second, c.reads, http.MethodPost, fmt.Sprintf("/holds/%d/touch", id), struct{}{}, nil)
	if httpclient.Code(err) == http.StatusNotFound {
		return ErrNoLease
	}
	return err
}

// EndLease ends a lease at once.
func (c *Client) EndLease(ctx context.Context, id uint64) error {
	return c.call(ctx, http.MethodDelete, fmt.Sprintf("/holds/%d", id), nil, nil)
}

// Changes waits until a key with the prefix changes after the revision, or the
// time runs out. Watches say nothing about reachability: an outage leaves them
// open.
func (c *Client) Changes(ctx context.Context, prefix string, from uint64, hold time.Duration) (wire.Events, error) {
	if err := c.reads.wait(ctx, 1, urgent(ctx)); err != nil {
		return wire.Events{}, fmt.Errorf("%w: %v", ErrRefused, err)
	}
	q := url.Values{"Starts": {prefix}, "From": {fmt.Sprint(from)}, "HoldMs": {fmt.Sprint(hold.Milliseconds())}}
	var ev wire.Events
	err := c.watches.Call(ctx, hold+3*time.Second, http.MethodGet, "/changes?"+q.Encode(), nil, &ev)
	if httpclient.Code(err) == http.StatusGone {
		return ev, ErrCompacted
	}
	if err != nil {
		return ev, fmt.Errorf("%w: %v", ErrRefused, err)
	}
	return ev, nil
}
