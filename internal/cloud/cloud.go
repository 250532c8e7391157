// Package cloud is the typed client of the cloud that rents machines.
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
var ErrNoCapacity = errors.New("no capacity")

// Client keeps to the cloud's request rate.
type Client struct {
	calls *httpclient.Client
	rate  *rate.Limiter
}

// New returns a client that uses at most share of the rate.
func New(addr string, rps, share float64) *Client {
	return &Client{calls: httpclient.New("http://"+addr, maxConns, 0), rate: rate.NewLimiter(rate.Limit(rps*share), max(1, int(rps*share)))}
}

const (
	// ListPage is how many machines a request for a list asks for, the protocol's limit.
	ListPage = 500
	// MaxReturn is how many machines one request may give back, the protocol's limit.
	MaxReturn = 100

	callLimit = 4 * time.Second
	maxConns  = 4 // connections to the cloud
)

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	if err := c.rate.Wait(ctx); err != nil {
		return err
	}
	return c.calls.Call(ctx, callLimit, method, path, in, out)
}

// Catalog reads the machine types and their current prices.
func (c *Client) Catalog(ctx context.Context) (wire.Catalog, error) {
	var cat wire.Catalog
	err := c.call(ctx, http.MethodGet, wire.PathCatalog, nil, &cat)
	return cat, err
}

// Hire rents machines. The request's name must be stored before and never be
// used for another request.
func (c *Client) Hire(ctx context.Context, h wire.ScaleOutRequest) ([]string, error) {
	var a wire.MachineIDs
	err := c.call(ctx, http.MethodPost, wire.PathMachines, h, &a)
	var se *httpclient.StatusError
	if errors.As(err, &se) && se.Code == http.StatusServiceUnavailable && se.Text == ErrNoCapacity.Error() {
		return nil, ErrNoCapacity
	}
	return a.IDs, err
}

// Return gives machines back. After it succeeds they, and everything on them,
// are gone.
func (c *Client) Return(ctx context.Context, hosts []string) error {
	return c.call(ctx, http.MethodPost, wire.PathScaleIn, wire.MachineIDs{IDs: hosts}, nil)
}

// List reads the whole machine list, which lags.
func (c *Client) List(ctx context.Context) ([]wire.Machine, error) {
	var all []wire.Machine
	from := ""
	for {
		q := url.Values{"Page": {strconv.Itoa(ListPage)}}
		if from != "" {
			q.Set("From", from)
		}
		var page wire.MachinePage
		if err := c.call(ctx, http.MethodGet, wire.PathMachines+"?"+q.Encode(), nil, &page); err != nil {
			return nil, fmt.Errorf("machine list: %w", err)
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		from = page.Machines[len(page.Machines)-1].ID
	}
}
