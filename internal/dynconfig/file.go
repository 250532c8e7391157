package dynconfig

import (
	"os"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"

	"dalefront/internal/config"
	"dalefront/internal/hclfile"
)

// configFile is the HCL file in which an operator writes changes.
type configFile struct {
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

// LoadFile reads changes from a file and validates them against the platform's settings. An error in
// the file's content is one line that names the file, the line, the column and the field.
func LoadFile(path string, platform *config.Settings) ([]Change, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseFile(text, path, platform)
}

// ParseFile is like LoadFile, but takes the content of the file. name is the file's name in errors.
func ParseFile(text []byte, name string, platform *config.Settings) ([]Change, error) {
	var content configFile
	if err := hclfile.Decode(text, name, &content); err != nil {
		return nil, err
	}
	c := changeCollector{platform: platform, seen: map[string]bool{}}
	for _, block := range content.Teams {
		c.addDocument(block.Range, KindTeam, block.Name, Team{block.CPUs, block.CPUsMax, block.GPUs, block.GPUsMax})
	}
	for _, block := range content.Cordons {
		until, err := parseUntil(block.Until)
		if err != nil {
			c.recordErrorAt(block.Range, &DocumentError{KindCordon, block.Name, &FieldError{"until", err}})
		}
		c.addDocument(block.Range, KindCordon, block.Name, Cordon{Zone: block.Zone, Type: block.Type, Machine: block.Machine, Drain: block.Drain, Reason: block.Reason, Until: until})
	}
	for _, block := range content.Settings {
		values, err := parseNumbers(block.Values, name)
		c.recordError(err)
		c.addDocument(block.Range, KindSettings, SettingsName, Settings{values})
	}
	for _, block := range content.Removes {
		c.addChange(block.Range, Change{Document: Document{Kind: block.Kind, Name: block.Name}, Remove: true})
	}
	return c.changes, c.err
}

// changeCollector collects the changes of a file and keeps the first error.
type changeCollector struct {
	platform *config.Settings
	changes  []Change
	seen     map[string]bool // IDs of the documents that were added
	err      error
}

// recordError records an error that already includes its position in the file. It ignores nil.
func (c *changeCollector) recordError(err error) {
	if c.err == nil {
		c.err = err
	}
}

// recordErrorAt adds the position of a block in the file to an error and records the error. It ignores
// nil.
func (c *changeCollector) recordErrorAt(at hcl.Range, err error) {
	if err != nil {
		c.recordError(hclfile.Errorf(at, "%v", err))
	}
}

func (c *changeCollector) addDocument(at hcl.Range, kind, name string, body any) {
	document, err := NewDocument(kind, name, body)
	c.recordErrorAt(at, err)
	c.addChange(at, Change{Document: document})
}

func (c *changeCollector) addChange(at hcl.Range, change Change) {
	if c.seen[change.ID()] {
		c.recordErrorAt(at, &DocumentError{change.Kind, change.Name, ErrDuplicate})
	}
	c.seen[change.ID()] = true
	c.recordErrorAt(at, Check(c.platform, &change))
	c.changes = append(c.changes, change)
}

// parseUntil parses a time in the format of RFC 3339 and returns it as Unix time in microseconds. It
// returns 0 for an empty string.
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

// parseNumbers decodes a body in which all attributes are numbers. Its errors include their position in
// the file.
func parseNumbers(body hcl.Body, name string) (map[string]float64, error) {
	attributes, diagnostics := body.JustAttributes()
	if diagnostics.HasErrors() {
		return nil, hclfile.FirstError(diagnostics, name)
	}
	numbers := map[string]float64{}
	for field, attribute := range attributes {
		var value float64
		if diagnostics := gohcl.DecodeExpression(attribute.Expr, nil, &value); diagnostics.HasErrors() {
			return nil, hclfile.FirstError(diagnostics, name)
		}
		numbers[field] = value
	}
	return numbers, nil
}
