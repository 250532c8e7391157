package dynconfig

import (
	"fmt"
	"time"

	"dalefront/wire"
)

// DecodeFields decodes a document's body and returns its fields, keyed by their names in files.
func DecodeFields(kind string, body []byte) (map[string]any, error) {
	switch kind {
	case KindTeam:
		var team Team
		if err := wire.Unmarshal(body, &team); err != nil {
			return nil, err
		}
		return team.fields(), nil
	case KindCordon:
		var cordon Cordon
		if err := wire.Unmarshal(body, &cordon); err != nil {
			return nil, err
		}
		return cordon.fields(), nil
	case KindSettings:
		var settings Settings
		if err := wire.Unmarshal(body, &settings); err != nil {
			return nil, err
		}
		return settings.fields(), nil
	}
	return nil, fmt.Errorf("%s: unknown kind", kind)
}

func (t *Team) fields() map[string]any {
	fields := map[string]any{}
	for name, value := range map[string]*float64{"cpus": t.CPUs, "cpus_max": t.CPUsMax, "gpus": t.GPUs, "gpus_max": t.GPUsMax} {
		if value != nil {
			fields[name] = *value
		}
	}
	return fields
}

func (c *Cordon) fields() map[string]any {
	fields := map[string]any{}
	for name, value := range map[string]string{"zone": c.Zone, "type": c.Type, "machine": c.Machine, "reason": c.Reason} {
		if value != "" {
			fields[name] = value
		}
	}
	if c.Drain {
		fields["drain"] = true
	}
	if c.Until > 0 {
		fields["until"] = time.UnixMicro(c.Until).UTC().Format(time.RFC3339)
	}
	return fields
}

func (s *Settings) fields() map[string]any {
	fields := map[string]any{}
	for name, value := range s.Values {
		fields[name] = value
	}
	return fields
}
