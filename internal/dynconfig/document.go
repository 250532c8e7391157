// Package dynconfig is configuration that changes while controllers run: documents of several
// kinds, how they are written, checked and merged with the platform's settings, and how they
// are stored so that a change is in force whole or not at all. It is pure: what was read and
// the time go in, transactions come out.
//
// docs/configuration.md says how it is used and argues why it is safe.
package dynconfig

import (
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dalefront/internal/config"
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

// ID is how a document is called in commands and messages.
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
// all that is set applies. With Drain, tasks that run there are stopped, saved if they can be.
type Cordon struct {
	Zone    string `msgpack:"z,omitempty"`
	Type    string `msgpack:"t,omitempty"`
	Machine string `msgpack:"m,omitempty"`
	Drain   bool   `msgpack:"d,omitempty"`
	Reason  string `msgpack:"r,omitempty"`
	Until   int64  `msgpack:"u,omitempty"` // microseconds, time of day; 0: until it is removed

	Name string `msgpack:"-"` // of its document
}

// Covers says whether the cordon applies to a machine at a time of day in microseconds.
func (c *Cordon) Covers(machine, typ, zone string, now int64) bool {
	return (c.Until == 0 || now < c.Until) && (c.Zone == "" || c.Zone == zone) && (c.Type == "" || c.Type == typ) && (c.Machine == "" || c.Machine == machine)
}

// CoversHire says whether the cordon applies to all machines of a type in a zone.
func (c *Cordon) CoversHire(typ, zone string, now int64) bool {
	return c.Machine == "" && c.Covers("", typ, zone, now)
}

// Settings changes the operator's settings that are numbers and safe to change at run time.
type Settings struct {
	Values map[string]float64 `msgpack:"v"`
}

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

const (
	maxName   = 80
	maxReason = 200
)

// Check says what is wrong with a change, for controllers with these settings of the platform.
// Its error names the field.
func Check(set *config.Settings, change *Change) error {
	if change.Name == "" || len(change.Name) > maxName {
		return fmt.Errorf("%s: a name of 1 to %d bytes is needed", change.Kind, maxName)
	}
	if change.Remove {
		return nil
	}
	err := checkBody(set, &change.Document)
	if err != nil {
		return fmt.Errorf("%s %q: %w", change.Kind, change.Name, err)
	}
	return nil
}

func checkBody(set *config.Settings, d *Document) error {
	switch d.Kind {
	case KindTeam:
		var t Team
		if err := wire.Unmarshal(d.Body, &t); err != nil {
			return err
		}
		return checkTeam(set, d.Name, &t)
	case KindCordon:
		var c Cordon
		if err := wire.Unmarshal(d.Body, &c); err != nil {
			return err
		}
		return checkCordon(set, &c)
	case KindSettings:
		var s Settings
		if err := wire.Unmarshal(d.Body, &s); err != nil {
			return err
		}
		return checkSettings(set, d.Name, &s)
	}
	return fmt.Errorf("this version knows no such kind of document")
}

func checkTeam(set *config.Settings, name string, t *Team) error {
	at := slices.IndexFunc(set.Deployment.Teams, func(p config.Team) bool { return p.Name == name })
	if at < 0 {
		return fmt.Errorf("the platform's settings have no such team")
	}
	platform := &set.Deployment.Teams[at]
	for _, f := range []struct {
		field     string
		value     *float64
		ceiling   float64
		unlimited bool // a ceiling of 0 is none
		least     float64
	}{
		{"cpus", t.CPUs, platform.CPUs, false, 0},
		{"cpus_max", t.CPUsMax, platform.CPUsMax, true, tiniest},
		{"gpus", t.GPUs, platform.GPUs, false, 0},
		{"gpus_max", t.GPUsMax, platform.GPUsMax, true, tiniest},
	} {
		switch {
		case f.value == nil:
		case !(*f.value >= f.least && *f.value < 1e9):
			return fmt.Errorf("%s: must be a number above 0, or for a guarantee 0; to keep a team from starting anything use the smallest limit", f.field)
		case *f.value > f.ceiling && !(f.unlimited && f.ceiling == 0):
			return fmt.Errorf("%s: %g is above the platform's %g, which is the ceiling", f.field, *f.value, f.ceiling)
		}
	}
	merged := mergeTeam(*platform, t)
	if merged.CPUsMax > 0 && t.CPUs != nil && *t.CPUs > merged.CPUsMax {
		return fmt.Errorf("cpus: the guarantee %g is above the limit %g", *t.CPUs, merged.CPUsMax)
	}
	if merged.GPUsMax > 0 && t.GPUs != nil && *t.GPUs > merged.GPUsMax {
		return fmt.Errorf("gpus: the guarantee %g is above the limit %g", *t.GPUs, merged.GPUsMax)
	}
	return nil
}

// tiniest is the least limit: 0 stands for none in the platform's settings.
const tiniest = 0.001

func checkCordon(set *config.Settings, c *Cordon) error {
	switch {
	case c.Zone == "" && c.Type == "" && c.Machine == "":
		return fmt.Errorf("zone, type or machine is needed")
	case c.Zone != "" && !slices.Contains(set.Deployment.Zones, c.Zone):
		return fmt.Errorf("zone: %q is not one of %s", c.Zone, strings.Join(set.Deployment.Zones, ", "))
	case len(c.Reason) > maxReason:
		return fmt.Errorf("reason: more than %d bytes", maxReason)
	case c.Until < 0:
		return fmt.Errorf("until: before 1970")
	}
	return nil
}

// SettingsName is the name of the only document with settings.
const SettingsName = "operator"

func checkSettings(set *config.Settings, name string, s *Settings) error {
	if name != SettingsName {
		return fmt.Errorf("the document with settings is called %q", SettingsName)
	}
	for field := range s.Values {
		if !slices.Contains(TunableSettings, field) {
			return fmt.Errorf("%s: can't be changed at run time; these can: %s", field, strings.Join(TunableSettings, ", "))
		}
	}
	tuned := *set
	return tuned.Tune(s.Values)
}

// Merge returns the settings of the platform with the documents in force. A limit never
// exceeds the platform's, whatever was stored under other settings of the platform. The
// settings given stay as they are. What can't be read is left out: unknown names the
// documents.
func Merge(set *config.Settings, docs []Document) (merged *config.Settings, cordons []Cordon, unknown []string) {
	out := *set
	out.Deployment.Teams = slices.Clone(set.Deployment.Teams)
	for i := range docs {
		d := &docs[i]
		switch d.Kind {
		case KindTeam:
			var t Team
			at := slices.IndexFunc(out.Deployment.Teams, func(p config.Team) bool { return p.Name == d.Name })
			if at < 0 || wire.Unmarshal(d.Body, &t) != nil {
				unknown = append(unknown, d.ID())
				continue
			}
			out.Deployment.Teams[at] = mergeTeam(out.Deployment.Teams[at], &t)
		case KindCordon:
			var c Cordon
			if wire.Unmarshal(d.Body, &c) != nil {
				unknown = append(unknown, d.ID())
				continue
			}
			c.Name = d.Name
			cordons = append(cordons, c)
		case KindSettings:
			var s Settings
			tuned := out
			if wire.Unmarshal(d.Body, &s) != nil || checkSettings(&tuned, d.Name, &s) != nil || tuned.Tune(s.Values) != nil {
				unknown = append(unknown, d.ID())
				continue
			}
			out = tuned
		default:
			unknown = append(unknown, d.ID())
		}
	}
	return &out, cordons, unknown
}

// mergeTeam lowers what the platform says of a team.
func mergeTeam(platform config.Team, t *Team) config.Team {
	limit := func(of float64, to *float64) float64 {
		switch {
		case to == nil || *to <= 0:
			return of
		case of == 0: // no limit
			return *to
		}
		return min(of, *to)
	}
	guarantee := func(of, most float64, to *float64) float64 {
		if to != nil {
			of = min(of, max(0, *to))
		}
		if most > 0 {
			of = min(of, most)
		}
		return of
	}
	out := platform
	out.CPUsMax, out.GPUsMax = limit(platform.CPUsMax, t.CPUsMax), limit(platform.GPUsMax, t.GPUsMax)
	out.CPUs, out.GPUs = guarantee(platform.CPUs, out.CPUsMax, t.CPUs), guarantee(platform.GPUs, out.GPUsMax, t.GPUs)
	return out
}

// documentKey is where a document is stored: keys have no spaces.
func documentKey(kind, name string) string {
	return DocumentPrefix + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// parseKey is the document of a key.
func parseKey(key string) (kind, name string, ok bool) {
	kind, name, ok = strings.Cut(strings.TrimPrefix(key, DocumentPrefix), "/")
	k, kindErr := url.PathUnescape(kind)
	n, nameErr := url.PathUnescape(name)
	return k, n, ok && kindErr == nil && nameErr == nil
}

// Readable is a body of a known kind with the names that files have.
func Readable(kind string, body []byte) (map[string]any, error) {
	out := map[string]any{}
	switch kind {
	case KindTeam:
		var t Team
		if err := wire.Unmarshal(body, &t); err != nil {
			return nil, err
		}
		for field, v := range map[string]*float64{"cpus": t.CPUs, "cpus_max": t.CPUsMax, "gpus": t.GPUs, "gpus_max": t.GPUsMax} {
			if v != nil {
				out[field] = *v
			}
		}
	case KindCordon:
		var c Cordon
		if err := wire.Unmarshal(body, &c); err != nil {
			return nil, err
		}
		for field, v := range map[string]string{"zone": c.Zone, "type": c.Type, "machine": c.Machine, "reason": c.Reason} {
			if v != "" {
				out[field] = v
			}
		}
		if c.Drain {
			out["drain"] = true
		}
		if c.Until > 0 {
			out["until"] = time.UnixMicro(c.Until).UTC().Format(time.RFC3339)
		}
	case KindSettings:
		var s Settings
		if err := wire.Unmarshal(body, &s); err != nil {
			return nil, err
		}
		for field, v := range s.Values {
			out[field] = v
		}
	default:
		return nil, fmt.Errorf("%s: unknown kind", kind)
	}
	return out, nil
}
