package peer

import (
	"context"
	"time"

	"dalefront/internal/dynconfig"
)

// ConfigApplyRequest asks a controller to change the configuration.
type ConfigApplyRequest struct {
	ID           string             `msgpack:"i"` // names the apply; repeated, it takes effect once
	By           string             `msgpack:"b"`
	Changes      []dynconfig.Change `msgpack:"c"`
	RollBack     *uint64            `msgpack:"r,omitempty"` // to this generation, instead of the changes
	IfGeneration *uint64            `msgpack:"g,omitempty"`
	Again        bool               `msgpack:"a,omitempty"` // it was asked for before, and the answer was lost
	DryRun       bool               `msgpack:"d,omitempty"`
}

// Outcomes of an apply.
const (
	ConfigApplied   = "applied"
	ConfigUnchanged = "unchanged" // all documents are as wanted
	ConfigInvalid   = "invalid"   // nothing was changed; asking again doesn't help
	ConfigStale     = "stale"     // another generation is in force than the one asked for
	ConfigRefused   = "refused"   // nothing was changed; later it may be
	ConfigUnknown   = "unknown"   // it may have been applied, or may yet be
)

// ConfigApplyResponse says what became of it.
type ConfigApplyResponse struct {
	Outcome    string                    `msgpack:"o"`
	Generation uint64                    `msgpack:"g"` // that is in force because of it, or would be
	Changes    []dynconfig.HistoryChange `msgpack:"c"`
	Reason     string                    `msgpack:"w,omitempty"`
}

// ConfigReadRequest asks for the configuration as the state service has it.
type ConfigReadRequest struct {
	History bool `msgpack:"h,omitempty"` // of the generations that are kept, too
}

// ConfigReadResponse is the configuration in force.
type ConfigReadResponse struct {
	Generation uint64               `msgpack:"g"`
	Documents  []dynconfig.Document `msgpack:"d"`
	History    []dynconfig.History  `msgpack:"h,omitempty"` // the newest first
	Reason     string               `msgpack:"w,omitempty"` // why it can't be read
}

// ConfigStatusRequest asks for what a controller decides by.
type ConfigStatusRequest struct{}

// ConfigStatusResponse is the generation that a controller decides by.
type ConfigStatusResponse struct {
	Label      string   `msgpack:"l"`
	Known      bool     `msgpack:"k"` // it has read the configuration since it was started
	Generation uint64   `msgpack:"g"`
	Since      int64    `msgpack:"s"`           // microseconds, time of day
	Unknown    []string `msgpack:"u,omitempty"` // documents that it can't use
}

const (
	// ApplyLimit is for how long a controller tries to carry out an apply.
	ApplyLimit       = 10 * time.Second
	configReadLimit  = 5 * time.Second
	configStatLimit  = time.Second
	applyAnswerLimit = ApplyLimit + 2*time.Second
)

// ConfigApply asks for a change of configuration.
func (c *Client) ConfigApply(ctx context.Context, q *ConfigApplyRequest) (*ConfigApplyResponse, error) {
	return call[ConfigApplyResponse](c, applyAnswerLimit, ctx, "ConfigApply", q)
}

// ConfigRead asks for the stored configuration.
func (c *Client) ConfigRead(ctx context.Context, q *ConfigReadRequest) (*ConfigReadResponse, error) {
	return call[ConfigReadResponse](c, configReadLimit, ctx, "ConfigRead", q)
}

// ConfigStatus asks for what the controller decides by.
func (c *Client) ConfigStatus(ctx context.Context) (*ConfigStatusResponse, error) {
	return call[ConfigStatusResponse](c, configStatLimit, ctx, "ConfigStatus", &ConfigStatusRequest{})
}
