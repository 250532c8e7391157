// Package dynconfig is configuration that changes while controllers run: documents of several
// kinds, how they are written in files, checked and merged with the platform's settings, and
// how they are stored so that a change is in force whole or not at all. It is pure: what was
// read and the time are parameters, mutations are results.
//
// docs/configuration.md says how it is used and argues why it is safe.
package dynconfig

import (
	"net/url"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"dalefront/wire"
)

// Kinds of documents. Documents of other kinds, stored by a later version, are kept and shown.
const (
	KindTeam     = "team"
	KindCordon   = "cordon"
	KindSettings = "settings"
)

// Document is one piece of configuration. Body is a message of the kind's type.
type Document struct {
	Kind string             `msgpack:"K"`
	Name string             `msgpack:"N"`
	Body msgpack.RawMessage `msgpack:"B"`
}

// ID returns the name of a document in commands and messages.
func (d *Document) ID() string { return d.Kind + "/" + d.Name }

// Team lowers a team's guarantee and limit. What is nil is as the platform's settings say.
// Amounts are processors and accelerators.
type Team struct {
	CPUs    *float64 `msgpack:"c,omitempty"`
	CPUsMax *float64 `msgpack:"C,omitempty"`
	GPUs    *float64 `msgpack:"g,omitempty"`
	GPUsMax *float64 `msgpack:"G,omitempty"`
}

// Cordon keeps new tasks off machines: those of a zone, of a type, or one, or those to which
// all that is set applies. With Drain, tasks that run there are stopped, after a checkpoint
// if they can make one.
type Cordon struct {
	Zone    string `msgpack:"z,omitempty"`
	Type    string `msgpack:"t,omitempty"`
	Machine string `msgpack:"m,omitempty"`
	Drain   bool   `msgpack:"d,omitempty"`
	Reason  string `msgpack:"r,omitempty"`
	Until   int64  `msgpack:"u,omitempty"` // microseconds, time of day; 0: until it is removed

	Name string `msgpack:"-"` // of its document
}

// Covers reports whether the cordon applies to a machine at a time of day in microseconds.
func (c *Cordon) Covers(machine, machineType, zone string, now int64) bool {
	return (c.Until == 0 || now < c.Until) &&
		(c.Zone == "" || c.Zone == zone) &&
		(c.Type == "" || c.Type == machineType) &&
		(c.Machine == "" || c.Machine == machine)
}

// CoversScaleOut reports whether the cordon applies to all machines of a type in a zone.
func (c *Cordon) CoversScaleOut(machineType, zone string, now int64) bool {
	return c.Machine == "" && c.Covers("", machineType, zone, now)
}

// Settings changes the operator's settings that are numbers and safe to change at run time.
type Settings struct {
	Values map[string]float64 `msgpack:"v"`
}

// SettingsName is the name of the only document with settings.
const SettingsName = "operator"

// TunableSettings are the operator's settings that a document may change. The others are read
// once, for goroutines, leases and files that are set up at the start.
var TunableSettings = []string{"idle_return_s", "evict_after_s", "spare_factor", "reserve_factor", "max_machines", "leftover_rent_s", "silent_patience"}

// Change is one document that is stored or, with Remove, removed.
type Change struct {
	Document
	Remove bool `msgpack:"R,omitempty"`
}

// NewDocument returns a document with a body of its kind's type.
func NewDocument(kind, name string, body any) (Document, error) {
	raw, err := wire.Marshal(body)
	return Document{Kind: kind, Name: name, Body: raw}, err
}

// documentKey returns the key under which a document is stored. Keys have no spaces.
func documentKey(kind, name string) string {
	return DocumentPrefix + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// parseDocumentKey returns the document that a key stores.
func parseDocumentKey(key string) (kind, name string, ok bool) {
	escapedKind, escapedName, ok := strings.Cut(strings.TrimPrefix(key, DocumentPrefix), "/")
	kind, kindErr := url.PathUnescape(escapedKind)
	name, nameErr := url.PathUnescape(escapedName)
	return kind, name, ok && kindErr == nil && nameErr == nil
}
