package peer

import (
	"context"
	"time"

	"dalefront/internal/dynconfig"
)

// ConfigApplyRequest asks a controller to change the configuration.
type ConfigApplyRequest struct {
	ID           string             `msgpack:"i"` // idempotency key: repeated requests with it take effect once
	Author       string             `msgpack:"b"`
	Changes      []dynconfig.Change `msgpack:"c"`
	RollbackTo   *uint64            `msgpack:"r,omitempty"` // a generation, instead of the changes
	IfGeneration *uint64            `msgpack:"g,omitempty"` // apply only if this generation is in force
	Retry        bool               `msgpack:"a,omitempty"` // it was sent before, and the response was lost
	DryRun       bool               `msgpack:"d,omitempty"`
}

// ConfigOutcome is what became of an apply.
type ConfigOutcome string

// Outcomes of an apply.
const (
	ConfigApplied   ConfigOutcome = "applied"
	ConfigUnchanged ConfigOutcome = "unchanged" // all documents are as wanted
	ConfigInvalid   ConfigOutcome = "invalid"   // nothing was changed; a retry doesn't help
	ConfigStale     ConfigOutcome = "stale"     // another generation is in force than IfGeneration
	ConfigRefused   ConfigOutcome = "refused"   // nothing was changed; a later retry may succeed
	ConfigUnknown   ConfigOutcome = "unknown"   // it may have been applied, or may yet be
)

// ConfigApplyResponse is the answer to an apply.
type ConfigApplyResponse struct {
	Outcome    ConfigOutcome             `msgpack:"o"`
	Generation uint64                    `msgpack:"g"` // that is in force because of it, or would be
	Changes    []dynconfig.HistoryChange `msgpack:"c"`
	Reason     string                    `msgpack:"w,omitempty"`
}

// ConfigReadRequest asks for the configuration as the state service has it.
type ConfigReadRequest struct {
	History bool `msgpack:"h,omitempty"` // include the history that is kept
}

// ConfigReadResponse is the configuration in force.
type ConfigReadResponse struct {
	Generation uint64               `msgpack:"g"`
	Documents  []dynconfig.Document `msgpack:"d"`
	History    []dynconfig.History  `msgpack:"h,omitempty"` // newest first
	Reason     string               `msgpack:"w,omitempty"` // why it can't be read
}

// ConfigStatusRequest asks which configuration a controller decides by.
type ConfigStatusRequest struct{}

// ConfigStatusResponse is the generation that a controller decides by.
type ConfigStatusResponse struct {
	Label             string   `msgpack:"l"`
	Loaded            bool     `msgpack:"k"` // it has read the configuration since it was started
	Generation        uint64   `msgpack:"g"`
	ActiveSince       int64    `msgpack:"s"`           // microseconds, time of day
	UnusableDocuments []string `msgpack:"u,omitempty"` // of kinds it doesn't know, or that it can't read
}

const (
	// ApplyTimeout is for how long a controller tries to carry out an apply.
	ApplyTimeout         = 10 * time.Second
	applyResponseTimeout = ApplyTimeout + 2*time.Second
	configReadTimeout    = 5 * time.Second
	configStatusTimeout  = time.Second
)

// ConfigApply asks for a change of configuration.
func (c *Client) ConfigApply(ctx context.Context, request *ConfigApplyRequest) (*ConfigApplyResponse, error) {
	return call[ConfigApplyResponse](ctx, c, applyResponseTimeout, methodApply, request)
}

// ConfigRead asks for the stored configuration.
func (c *Client) ConfigRead(ctx context.Context, request *ConfigReadRequest) (*ConfigReadResponse, error) {
	return call[ConfigReadResponse](ctx, c, configReadTimeout, methodReadConfig, request)
}

// ConfigStatus asks which configuration the controller decides by.
func (c *Client) ConfigStatus(ctx context.Context) (*ConfigStatusResponse, error) {
	return call[ConfigStatusResponse](ctx, c, configStatusTimeout, methodStatus, &ConfigStatusRequest{})
}
