package dynconfig

import (
	"maps"
	"slices"

	"dalefront/internal/config"
	"dalefront/wire"
)

// Limits on the content of a document.
const (
	maxNameBytes   = 80
	maxReasonBytes = 200

	minLimit  = 0.001 // smallest limit of a team; 0 would mean no limit, as in the platform's settings
	maxAmount = 1e9   // upper bound of guarantees and limits, in CPUs or GPUs, exclusive
)

// Check validates a change against the platform's settings. The error is a *NameError or a
// *DocumentError, which wraps a *FieldError if one field is at fault.
func Check(platform *config.Settings, change *Change) error {
	if change.Name == "" || len(change.Name) > maxNameBytes {
		return &NameError{change.Kind, maxNameBytes}
	}
	if change.Remove {
		return nil
	}
	if err := checkBody(platform, &change.Document); err != nil {
		return &DocumentError{change.Kind, change.Name, err}
	}
	return nil
}

func checkBody(platform *config.Settings, document *Document) error {
	switch document.Kind {
	case KindTeam:
		var team Team
		if err := wire.Unmarshal(document.Body, &team); err != nil {
			return err
		}
		return checkTeam(platform, document.Name, &team)
	case KindCordon:
		var cordon Cordon
		if err := wire.Unmarshal(document.Body, &cordon); err != nil {
			return err
		}
		return checkCordon(platform, &cordon)
	case KindSettings:
		var settings Settings
		if err := wire.Unmarshal(document.Body, &settings); err != nil {
			return err
		}
		return checkSettings(platform, document.Name, &settings)
	}
	return ErrUnknownKind
}

// teamField is a guarantee or limit in a team's document, with the platform's value as its ceiling.
type teamField struct {
	name    string
	value   *float64
	ceiling float64
	isLimit bool // the value can't be 0, and a ceiling of 0 means no ceiling
}

func (f *teamField) check() error {
	minimum := 0.0
	if f.isLimit {
		minimum = minLimit
	}
	unlimited := f.isLimit && f.ceiling == 0
	switch {
	case f.value == nil:
	case !(*f.value >= minimum && *f.value < maxAmount): // negated so that NaN is rejected too
		return &FieldError{f.name, ErrInvalidAmount}
	case *f.value > f.ceiling && !unlimited:
		return &FieldError{f.name, &CeilingError{*f.value, f.ceiling}}
	}
	return nil
}

func checkTeam(settings *config.Settings, name string, team *Team) error {
	index := indexOfTeam(settings, name)
	if index < 0 {
		return ErrUnknownTeam
	}
	platform := settings.Deployment.Teams[index]
	for _, field := range []teamField{
		{name: "cpus", value: team.CPUs, ceiling: platform.CPUs},
		{name: "cpus_max", value: team.CPUsMax, ceiling: platform.MaxCPUs, isLimit: true},
		{name: "gpus", value: team.GPUs, ceiling: platform.GPUs},
		{name: "gpus_max", value: team.GPUsMax, ceiling: platform.MaxGPUs, isLimit: true},
	} {
		if err := field.check(); err != nil {
			return err
		}
	}
	merged := mergeTeam(platform, team)
	if err := checkGuarantee(team.CPUs, merged.MaxCPUs); err != nil {
		return &FieldError{"cpus", err}
	}
	if err := checkGuarantee(team.GPUs, merged.MaxGPUs); err != nil {
		return &FieldError{"gpus", err}
	}
	return nil
}

// checkGuarantee checks that a guarantee does not exceed the limit. A limit of 0 means no limit.
func checkGuarantee(guarantee *float64, limit float64) error {
	if limit > 0 && guarantee != nil && *guarantee > limit {
		return &GuaranteeError{*guarantee, limit}
	}
	return nil
}

// indexOfTeam returns the index of a team in the settings. It returns -1 if the settings do not name the team.
func indexOfTeam(settings *config.Settings, name string) int {
	return slices.IndexFunc(settings.Deployment.Teams, func(team config.Team) bool { return team.Name == name })
}

func checkCordon(platform *config.Settings, cordon *Cordon) error {
	switch zones := platform.Deployment.Zones; {
	case cordon.Zone == "" && cordon.Type == "" && cordon.Machine == "":
		return ErrEmptyCordon
	case cordon.Zone != "" && !slices.Contains(zones, cordon.Zone):
		return &FieldError{"zone", &ZoneError{cordon.Zone, zones}}
	case len(cordon.Reason) > maxReasonBytes:
		return &FieldError{"reason", &LengthError{maxReasonBytes}}
	case cordon.Until < 0:
		return &FieldError{"until", errBeforeUnixEpoch}
	}
	return nil
}

func checkSettings(platform *config.Settings, name string, settings *Settings) error {
	if name != SettingsName {
		return ErrSettingsName
	}
	for _, field := range slices.Sorted(maps.Keys(settings.Values)) {
		if !slices.Contains(TunableSettings, field) {
			return &FieldError{field, &NotTunableError{TunableSettings}}
		}
	}
	tuned := *platform
	return tuned.OverrideOperator(settings.Values)
}
