package dynconfig

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"

	"dalefront/internal/config"
	"dalefront/internal/hclfile"
)

// file is what an operator writes.
type file struct {
	Teams    []teamBlock     `hcl:"team,block"`
	Cordons  []cordonBlock   `hcl:"cordon,block"`
	Settings []settingsBlock `hcl:"settings,block"`
	Removes  []removeBlock   `hcl:"remove,block"`
}

type teamBlock struct {
	Name    string    `hcl:"name,label"`
	CPUs    *float64  `hcl:"cpus,optional"`
	CPUsMax *float64  `hcl:"cpus_max,optional"`
	GPUs    *float64  `hcl:"gpus,optional"`
	GPUsMax *float64  `hcl:"gpus_max,optional"`
	Range   hcl.Range `hcl:",def_range"`
}

type cordonBlock struct {
	Name    string    `hcl:"name,label"`
	Zone    string    `hcl:"zone,optional"`
	Type    string    `hcl:"type,optional"`
	Machine string    `hcl:"machine,optional"`
	Drain   bool      `hcl:"drain,optional"`
	Reason  string    `hcl:"reason,optional"`
	Until   string    `hcl:"until,optional"` // RFC 3339
	Range   hcl.Range `hcl:",def_range"`
}

type settingsBlock struct {
	Values hcl.Body  `hcl:",remain"`
	Range  hcl.Range `hcl:",def_range"`
}

type removeBlock struct {
	Kind  string    `hcl:"kind,label"`
	Name  string    `hcl:"name,label"`
	Range hcl.Range `hcl:",def_range"`
}

// LoadFile reads changes from a file and checks them against the platform's settings. Its
// error is one line with the file, line, column and field.
func LoadFile(path string, set *config.Settings) ([]Change, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseFile(text, path, set)
}

// ParseFile reads changes from text; the name is for errors.
func ParseFile(text []byte, name string, set *config.Settings) ([]Change, error) {
	var f file
	if err := hclfile.Decode(text, name, &f); err != nil {
		return nil, err
	}
	r := reader{set: set, seen: map[string]bool{}}
	for _, b := range f.Teams {
		r.take(b.Range, KindTeam, b.Name, Team{b.CPUs, b.CPUsMax, b.GPUs, b.GPUsMax})
	}
	for _, b := range f.Cordons {
		until, err := parseUntil(b.Until)
		if err != nil {
			r.fail(b.Range, fmt.Errorf("cordon %q: until: %w", b.Name, err))
		}
		r.take(b.Range, KindCordon, b.Name, Cordon{Zone: b.Zone, Type: b.Type, Machine: b.Machine, Drain: b.Drain, Reason: b.Reason, Until: until})
	}
	for _, b := range f.Settings {
		values, err := numbers(b.Values, name)
		r.fail(b.Range, err)
		r.take(b.Range, KindSettings, SettingsName, Settings{values})
	}
	for _, b := range f.Removes {
		r.add(b.Range, Change{Document: Document{Kind: b.Kind, Name: b.Name}, Remove: true})
	}
	return r.changes, r.err
}

// reader collects changes and keeps the first error.
type reader struct {
	set     *config.Settings
	changes []Change
	seen    map[string]bool
	err     error
}

func (r *reader) fail(at hcl.Range, err error) {
	switch {
	case err == nil || r.err != nil:
	case strings.HasPrefix(err.Error(), at.Filename+":"):
		r.err = err // it has a place of its own
	default:
		r.err = hclfile.At(at, "%v", err)
	}
}

func (r *reader) take(at hcl.Range, kind, name string, body any) {
	d, err := NewDocument(kind, name, body)
	r.fail(at, err)
	r.add(at, Change{Document: d})
}

func (r *reader) add(at hcl.Range, c Change) {
	if r.seen[c.ID()] {
		r.fail(at, fmt.Errorf("%s %q: it is there twice", c.Kind, c.Name))
	}
	r.seen[c.ID()] = true
	r.fail(at, Check(r.set, &c))
	r.changes = append(r.changes, c)
}

func parseUntil(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a time such as 2026-12-31T18:00:00Z", text)
	}
	return at.UnixMicro(), nil
}

// numbers reads a body whose attributes all are numbers.
func numbers(body hcl.Body, name string) (map[string]float64, error) {
	attributes, diags := body.JustAttributes()
	if diags.HasErrors() {
		return nil, hclfile.First(diags, name)
	}
	out := map[string]float64{}
	for field, a := range attributes {
		var v float64
		if diags := gohcl.DecodeExpression(a.Expr, nil, &v); diags.HasErrors() {
			return nil, hclfile.First(diags, name)
		}
		out[field] = v
	}
	return out, nil
}
