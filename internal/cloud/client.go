// Package cloud is the typed client of the cloud API that rents machines: scale out, scale
// in, the catalog of machine types and the list of machines.
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

// ErrNoCapacity means that the cloud has no machine of the kind asked for.
var ErrNoCapacity = errors.New(noCapacityText)

// noCapacityText is the cloud's message for ErrNoCapacity. The protocol has no status of its
// own for it.
const noCapacityText = "no capacity"

const (
	// ListPageSize is how many machines a request for a list asks for, the protocol's limit.
	ListPageSize = 500
	// MaxScaleIn is how many machines one request may give back, the protocol's limit.
	MaxScaleIn = 100

	requestTimeout = 4 * time.Second
	maxConnections = 4
)

// Client is a client of the cloud that keeps to its request rate. It is safe for use by
// several goroutines.
type Client struct {
	requests *httpclient.Client
	limiter  *rate.Limiter
}

// New returns a client for the cloud at addr that uses at most a share of its rate, which is
// in requests per second.
func New(addr string, requestsPerSecond, share float64) *Client {
	limit := requestsPerSecond * share
	return &Client{
		requests: httpclient.New("http://"+addr, maxConnections, 0),
		limiter:  rate.NewLimiter(rate.Limit(limit), max(1, int(limit))),
	}
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return err
	}
	return c.requests.Call(ctx, requestTimeout, method, path, in, out)
}

// Catalog reads the machine types and their current prices.
func (c *Client) Catalog(ctx context.Context) (wire.Catalog, error) {
	var catalog wire.Catalog
	err := c.call(ctx, http.MethodGet, wire.PathCatalog, nil, &catalog)
	return catalog, err
}

// ScaleOut rents machines and returns their ids. The request's name is an idempotency key:
// it must be stored before and never be used for another request. The error is ErrNoCapacity
// if there is no such machine.
func (c *Client) ScaleOut(ctx context.Context, request wire.ScaleOutRequest) ([]string, error) {
	var machines wire.MachineIDs
	err := c.call(ctx, http.MethodPost, wire.PathMachines, request, &machines)
	var status *httpclient.StatusError
	if errors.As(err, &status) && status.Code == http.StatusServiceUnavailable && status.Text == noCapacityText {
		return nil, ErrNoCapacity
	}
	return machines.IDs, err
}

// ScaleIn gives machines back, MaxScaleIn at most. After it succeeds they, and everything on
// them, are gone.
func (c *Client) ScaleIn(ctx context.Context, hosts []string) error {
	return c.call(ctx, http.MethodPost, wire.PathScaleIn, wire.MachineIDs{IDs: hosts}, nil)
}

// ListMachines reads the whole list of machines, which lags behind.
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
