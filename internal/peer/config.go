package peer

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"dalefront/internal/dynconfig"
	"dalefront/wire"
)

// ConfigApplyRequest asks a controller to change the configuration.
type ConfigApplyRequest struct {
	ID           string                      `msgpack:"i"` // idempotency key: repeated requests with the same ID take effect once
	Author       string                      `msgpack:"b"`
	Changes      wire.List[dynconfig.Change] `msgpack:"c"`
	RollbackTo   *uint64                     `msgpack:"r,omitempty"` // if set, the generation to restore instead of Changes
	IfGeneration *uint64                     `msgpack:"g,omitempty"` // apply only if this generation is active
	Retry        bool                        `msgpack:"a,omitempty"` // the request was sent before, and its response was lost
	DryRun       bool                        `msgpack:"d,omitempty"`
}

// ConfigOutcome is the outcome of a requested configuration change.
type ConfigOutcome string

// Outcomes of a configuration change.
const (
	ConfigApplied   ConfigOutcome = "applied"
	ConfigUnchanged ConfigOutcome = "unchanged" // all documents were already as requested
	ConfigInvalid   ConfigOutcome = "invalid"   // nothing was changed; a retry doesn't help
	ConfigStale     ConfigOutcome = "stale"     // the active generation is not IfGeneration
	ConfigRefused   ConfigOutcome = "refused"   // nothing was changed; a later retry may succeed
	ConfigUnknown   ConfigOutcome = "unknown"   // the change may have been applied, or may still be applied
)

// ConfigApplyResponse is the response to a ConfigApplyRequest.
type ConfigApplyResponse struct {
	Outcome    ConfigOutcome             `msgpack:"o"`
	Generation uint64                    `msgpack:"g"` // active generation after the (with DryRun, simulated) change
	Changes    []dynconfig.HistoryChange `msgpack:"c"`
	Reason     string                    `msgpack:"w,omitempty"`
}

// ConfigReadRequest asks for the configuration that is stored in the state service.
type ConfigReadRequest struct {
	History bool `msgpack:"h,omitempty"` // include the retained history
}

// ConfigReadResponse is the active configuration.
type ConfigReadResponse struct {
	Generation uint64                        `msgpack:"g"`
	Documents  wire.List[dynconfig.Document] `msgpack:"d"`
	History    []dynconfig.History           `msgpack:"h,omitempty"` // newest generation first
	Reason     string                        `msgpack:"w,omitempty"` // why the configuration could not be read
}

// ConfigStatusRequest asks which configuration a controller uses.
type ConfigStatusRequest struct{}

// ConfigStatusResponse describes the configuration that a controller uses.
type ConfigStatusResponse struct {
	Label             string   `msgpack:"l"`
	Loaded            bool     `msgpack:"k"` // the controller has read the configuration since it started
	Generation        uint64   `msgpack:"g"`
	ActiveSince       int64    `msgpack:"s"`           // Unix time in microseconds
	UnusableDocuments []string `msgpack:"u,omitempty"` // IDs of the documents that the controller can't use
}

const (
	// ApplyTimeout limits how long a controller tries to carry out a configuration change.
	ApplyTimeout         = 10 * time.Second
	applyResponseTimeout = ApplyTimeout + 2*time.Second
	configReadTimeout    = 5 * time.Second
	configStatusTimeout  = time.Second
)

// ConfigApply asks the controller to change the configuration.
func (c *Client) ConfigApply(ctx context.Context, request *ConfigApplyRequest) (*ConfigApplyResponse, error) {
	return call[ConfigApplyResponse](ctx, c, applyResponseTimeout, methodConfigApply, request, grpc.MaxCallRecvMsgSize(maxConfigResponseBytes))
}

// ConfigRead returns the stored configuration.
func (c *Client) ConfigRead(ctx context.Context, request *ConfigReadRequest) (*ConfigReadResponse, error) {
	return call[ConfigReadResponse](ctx, c, configReadTimeout, methodConfigRead, request, grpc.MaxCallRecvMsgSize(maxConfigResponseBytes))
}

// ConfigStatus returns which configuration the controller uses.
func (c *Client) ConfigStatus(ctx context.Context) (*ConfigStatusResponse, error) {
	return call[ConfigStatusResponse](ctx, c, configStatusTimeout, methodConfigStatus, &ConfigStatusRequest{})
}
