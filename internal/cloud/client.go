// Package cloud is the typed client of the cloud API for scaling out, scaling in, reading the
// catalog of machine types and listing machines.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"dalefront/internal/httpclient"
	"dalefront/wire"
)

// ErrNoCapacity means that the cloud has no machine of the requested type.
var ErrNoCapacity = errors.New(noCapacityText)

// noCapacityText is the error message with which the cloud reports that it has no capacity. The
// protocol has no separate status code for this error.
const noCapacityText = "no capacity"

const (
	// ListPageSize is the number of machines per page of the list, which is the protocol's limit.
	ListPageSize = 500
	// MaxScaleIn is the protocol's maximum number of machines in one scale-in request.
	MaxScaleIn = 100

	requestTimeout = 4 * time.Second
	maxConnections = 4

	maxResponseBytes = 1 << 20 // a page of the list with names and addresses of 1 KB
)

// Client is a rate-limited client of the cloud API. It is safe for concurrent use.
type Client struct {
	httpClient *httpclient.Client
	limiter    *rate.Limiter
}

// New returns a client for the cloud API at addr. requestsPerSecond is the rate limit of the cloud. The
// client uses at most the given share of this limit.
func New(addr string, requestsPerSecond, share float64) *Client {
	limit := requestsPerSecond * share
	return &Client{
		httpClient: httpclient.New("http://"+addr, maxConnections, 0, maxResponseBytes),
		limiter:    rate.NewLimiter(rate.Limit(limit), max(1, int(limit))),
	}
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return err
	}
	return c.httpClient.Call(ctx, requestTimeout, method, path, in, out)
}

// Catalog returns the machine types with their current prices.
func (c *Client) Catalog(ctx context.Context) (wire.Catalog, error) {
	var catalog wire.Catalog
	err := c.call(ctx, http.MethodGet, wire.PathCatalog, nil, &catalog)
	return catalog, err
}

// ScaleOut requests machines and returns the IDs of the machines that the cloud granted. The RequestID is an
// idempotency key: it must be stored before the call and never be used for another request. The error
// is ErrNoCapacity if the cloud has no such machine.
func (c *Client) ScaleOut(ctx context.Context, request wire.ScaleOutRequest) ([]string, error) {
	var machines wire.MachineIDs
	err := c.call(ctx, http.MethodPost, wire.PathMachines, request, &machines)
	var status *httpclient.StatusError
	if errors.As(err, &status) && status.Code == http.StatusServiceUnavailable && status.Text == noCapacityText {
		return nil, ErrNoCapacity
	}
	return machines.IDs, err
}

// ScaleIn terminates up to MaxScaleIn machines. When it succeeds, the machines and all data on them
// no longer exist.
func (c *Client) ScaleIn(ctx context.Context, hosts []string) error {
	return c.call(ctx, http.MethodPost, wire.PathScaleIn, wire.MachineIDs{IDs: hosts}, nil)
}

// ListMachines returns the whole list of machines. The cloud's list is eventually consistent
// and may lack recent changes.
func (c *Client) ListMachines(ctx context.Context) ([]wire.Machine, error) {
	var machines []wire.Machine
	after := ""
	for {
		query := url.Values{"Page": {strconv.Itoa(ListPageSize)}}
		if after != "" {
			query.Set("From", after)
		}
		var page wire.MachinePage
		if err := c.call(ctx, http.MethodGet, wire.PathMachines+"?"+query.Encode(), nil, &page); err != nil {
			return nil, fmt.Errorf("machine list: %w", err)
		}
		machines = append(machines, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return machines, nil
		}
		after = page.Machines[len(page.Machines)-1].ID
	}
}
