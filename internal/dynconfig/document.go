// Package dynconfig implements configuration that can change while controllers run: the kinds of
// documents, their file format, their validation, their merging with the platform's settings, and
// a storage scheme in which each change takes effect atomically. Except for LoadFile, the package
// does no I/O: callers pass in the stored entries and the time, and get the mutations to store.
//
// docs/configuration.md describes how the configuration is used and why changes to it are safe.
package dynconfig

import (
	"net/url"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"dalefront/wire"
)

// Kinds of documents. A later version of the program may have stored documents of other kinds. These
// documents stay in the store and are listed.
const (
	KindTeam     = "team"
	KindCordon   = "cordon"
	KindSettings = "settings"
)

// Document is one configuration object. Body is the encoded Team, Cordon or Settings, according to
// the kind.
type Document struct {
	Kind string             `msgpack:"K"`
	Name string             `msgpack:"N"`
	Body msgpack.RawMessage `msgpack:"B"`
}

// ID returns the identifier of a document in commands and messages, KIND/NAME.
func (d *Document) ID() string { return d.Kind + "/" + d.Name }

// EntryName returns the document's kind and name. Either may be invalid, but not both empty.
func (d Document) EntryName() string { return d.Kind + d.Name }

// Team lowers a team's guarantees and limits, which are numbers of CPUs and GPUs. A nil field keeps
// the value of the platform's settings.
type Team struct {
	CPUs    *float64 `msgpack:"c,omitempty"`
	CPUsMax *float64 `msgpack:"C,omitempty"`
	GPUs    *float64 `msgpack:"g,omitempty"`
	GPUsMax *float64 `msgpack:"G,omitempty"`
}

// Cordon excludes machines from the placement of new tasks. It applies to the machines that match
// every field of Zone, Type and Machine that is set. With Drain, tasks that already run on these
// machines are stopped too, after a checkpoint if they support checkpoints.
type Cordon struct {
	Zone    string `msgpack:"z,omitempty"`
	Type    string `msgpack:"t,omitempty"`
	Machine string `msgpack:"m,omitempty"`
	Drain   bool   `msgpack:"d,omitempty"`
	Reason  string `msgpack:"r,omitempty"`
	Until   int64  `msgpack:"u,omitempty"` // end of the cordon, Unix time in microseconds; 0: until its removal

	Name string `msgpack:"-"` // name of the cordon's document
}

// Covers reports whether the cordon applies to a machine at a Unix time in microseconds.
func (c *Cordon) Covers(machine, machineType, zone string, now int64) bool {
	return (c.Until == 0 || now < c.Until) &&
		(c.Zone == "" || c.Zone == zone) &&
		(c.Type == "" || c.Type == machineType) &&
		(c.Machine == "" || c.Machine == machine)
}

// BlocksScaleOut reports whether the cordon applies, at a Unix time in microseconds, to all machines
// of a type in a zone. No such machines should be added while the cordon applies.
func (c *Cordon) BlocksScaleOut(machineType, zone string, now int64) bool {
	return c.Machine == "" && c.Covers("", machineType, zone, now)
}

// Settings overrides operator settings. Only the settings in TunableSettings can be overridden. They
// are numeric and safe to change at run time.
type Settings struct {
	Values map[string]float64 `msgpack:"v"`
}

// SettingsName is the name of the only document of kind settings.
const SettingsName = "operator"

// TunableSettings lists the operator settings that a document may override. All other operator
// settings are read once at startup, to set up goroutines, leases and files.
var TunableSettings = []string{"idle_return_s", "evict_after_s", "spare_factor", "reserve_factor", "max_machines", "leftover_rent_s", "silent_patience"}

// Change stores a document or, with Remove, removes it.
type Change struct {
	Document
	Remove bool `msgpack:"R,omitempty"`
}

// NewDocument encodes a body and returns it as a document. The body must be a Team, Cordon or Settings,
// according to the kind.
func NewDocument(kind, name string, body any) (Document, error) {
	raw, err := wire.Marshal(body)
	return Document{Kind: kind, Name: name, Body: raw}, err
}

// documentKey returns the key under which a document is stored. Kind and name are escaped because
// keys must not contain spaces.
func documentKey(kind, name string) string {
	return DocumentPrefix + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// parseDocumentKey returns the kind and name of the document that is stored under a key.
func parseDocumentKey(key string) (kind, name string, ok bool) {
	escapedKind, escapedName, ok := strings.Cut(strings.TrimPrefix(key, DocumentPrefix), "/")
	kind, kindErr := url.PathUnescape(escapedKind)
	name, nameErr := url.PathUnescape(escapedName)
	return kind, name, ok && kindErr == nil && nameErr == nil
}
