package dynconfig

import (
	"maps"
	"slices"

	"dalefront/internal/config"
	"dalefront/wire"
)

// Bounds of a document.
const (
	maxNameBytes   = 80
	maxReasonBytes = 200

	minLimit  = 0.001 // the least limit of a team: 0 stands for none in the platform's settings
	maxAmount = 1e9   // of processors or accelerators, exclusive
)

// Check says what is wrong with a change, for controllers with these settings of the platform.
// Its error is a *NameError or *DocumentError and names the field.
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

// teamField is an amount of a team's document and the platform's, which is its ceiling.
type teamField struct {
	name    string
	value   *float64
	ceiling float64
	isLimit bool // a limit: it can't be 0, and a ceiling of 0 is none
}

func (f *teamField) check() error {
	least := 0.0
	if f.isLimit {
		least = minLimit
	}
	unlimited := f.isLimit && f.ceiling == 0
	switch {
	case f.value == nil:
	case !(*f.value >= least && *f.value < maxAmount): // not a number, too
		return &FieldError{f.name, ErrNotNumber}
	case *f.value > f.ceiling && !unlimited:
		return &FieldError{f.name, &CeilingError{*f.value, f.ceiling}}
	}
	return nil
}

func checkTeam(settings *config.Settings, name string, team *Team) error {
	at := indexOfTeam(settings, name)
	if at < 0 {
		return ErrUnknownTeam
	}
	platform := settings.Deployment.Teams[at]
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

// checkGuarantee checks a guarantee against the limit, 0 for none.
func checkGuarantee(guarantee *float64, limit float64) error {
	if limit > 0 && guarantee != nil && *guarantee > limit {
		return &GuaranteeError{*guarantee, limit}
	}
	return nil
}

// indexOfTeam returns the position of a team in the settings, -1 if there is none.
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
		return &FieldError{"until", errBeforeEpoch}
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
