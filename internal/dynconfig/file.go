package dynconfig

import (
	"os"
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
func LoadFile(path string, platform *config.Settings) ([]Change, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseFile(text, path, platform)
}

// ParseFile reads changes from text; the name is for errors.
func ParseFile(text []byte, name string, platform *config.Settings) ([]Change, error) {
	var content file
	if err := hclfile.Decode(text, name, &content); err != nil {
		return nil, err
	}
	c := collector{platform: platform, seen: map[string]bool{}}
	for _, block := range content.Teams {
		c.addDocument(block.Range, KindTeam, block.Name, Team{block.CPUs, block.CPUsMax, block.GPUs, block.GPUsMax})
	}
	for _, block := range content.Cordons {
		until, err := parseUntil(block.Until)
		if err != nil {
			c.failAt(block.Range, &DocumentError{KindCordon, block.Name, &FieldError{"until", err}})
		}
		c.addDocument(block.Range, KindCordon, block.Name, Cordon{Zone: block.Zone, Type: block.Type, Machine: block.Machine, Drain: block.Drain, Reason: block.Reason, Until: until})
	}
	for _, block := range content.Settings {
		values, err := parseNumbers(block.Values, name)
		c.fail(err)
		c.addDocument(block.Range, KindSettings, SettingsName, Settings{values})
	}
	for _, block := range content.Removes {
		c.addChange(block.Range, Change{Document: Document{Kind: block.Kind, Name: block.Name}, Remove: true})
	}
	return c.changes, c.err
}

// collector collects the changes of a file and keeps the first error.
type collector struct {
	platform *config.Settings
	changes  []Change
	seen     map[string]bool // ids of documents
	err      error
}

// fail records an error that has a position in the file, or nil.
func (c *collector) fail(err error) {
	if c.err == nil {
		c.err = err
	}
}

// failAt records an error, or nil, of the block at a position in the file.
func (c *collector) failAt(at hcl.Range, err error) {
	if err != nil {
		c.fail(hclfile.At(at, "%v", err))
	}
}

func (c *collector) addDocument(at hcl.Range, kind, name string, body any) {
	document, err := NewDocument(kind, name, body)
	c.failAt(at, err)
	c.addChange(at, Change{Document: document})
}

func (c *collector) addChange(at hcl.Range, change Change) {
	if c.seen[change.ID()] {
		c.failAt(at, &DocumentError{change.Kind, change.Name, ErrDuplicate})
	}
	c.seen[change.ID()] = true
	c.failAt(at, Check(c.platform, &change))
	c.changes = append(c.changes, change)
}

// parseUntil returns a time of day in microseconds, 0 for an empty text.
func parseUntil(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, &TimeError{text}
	}
	return at.UnixMicro(), nil
}

// parseNumbers reads a body all of whose attributes are numbers. Its errors have a position
// in the file.
func parseNumbers(body hcl.Body, name string) (map[string]float64, error) {
	attributes, diagnostics := body.JustAttributes()
	if diagnostics.HasErrors() {
		return nil, hclfile.First(diagnostics, name)
	}
	numbers := map[string]float64{}
	for field, attribute := range attributes {
		var value float64
		if diagnostics := gohcl.DecodeExpression(attribute.Expr, nil, &value); diagnostics.HasErrors() {
			return nil, hclfile.First(diagnostics, name)
		}
		numbers[field] = value
	}
	return numbers, nil
}
