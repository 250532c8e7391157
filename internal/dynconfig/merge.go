package dynconfig

import (
	"slices"

	"dalefront/internal/config"
	"dalefront/wire"
)

// Merge returns a copy of the platform's settings with the active documents applied, and the cordons.
// A team's limit never exceeds the platform's limit for the team, even if the platform's limit was
// higher when the document was stored. Documents that can't be used are skipped. Their IDs are returned
// in unusable.
func Merge(platform *config.Settings, documents []Document) (merged *config.Settings, cordons []Cordon, unusable []string) {
	settings := *platform
	settings.Deployment.Teams = slices.Clone(platform.Deployment.Teams)
	for i := range documents {
		document := &documents[i]
		ok := false
		switch document.Kind {
		case KindTeam:
			ok = applyTeam(&settings, document)
		case KindCordon:
			cordon := Cordon{}
			if ok = wire.Unmarshal(document.Body, &cordon) == nil; ok {
				cordon.Name = document.Name
				cordons = append(cordons, cordon)
			}
		case KindSettings:
			ok = applySettings(&settings, document)
		}
		if !ok {
			unusable = append(unusable, document.ID())
		}
	}
	return &settings, cordons, unusable
}

// applyTeam merges a team's document into the settings and reports whether the document was usable.
func applyTeam(settings *config.Settings, document *Document) bool {
	var team Team
	index := indexOfTeam(settings, document.Name)
	if index < 0 || wire.Unmarshal(document.Body, &team) != nil {
		return false
	}
	settings.Deployment.Teams[index] = mergeTeam(settings.Deployment.Teams[index], &team)
	return true
}

// applySettings merges a document of kind settings into the settings and reports whether the document
// was usable.
func applySettings(settings *config.Settings, document *Document) bool {
	var changes Settings
	tuned := *settings
	if wire.Unmarshal(document.Body, &changes) != nil ||
		checkSettings(&tuned, document.Name, &changes) != nil ||
		tuned.OverrideOperator(changes.Values) != nil {
		return false
	}
	*settings = tuned
	return true
}

// mergeTeam returns the platform's settings of a team, with guarantees and limits lowered to those in
// the team's document.
func mergeTeam(platform config.Team, team *Team) config.Team {
	merged := platform
	merged.MaxCPUs = lowerLimit(platform.MaxCPUs, team.CPUsMax)
	merged.MaxGPUs = lowerLimit(platform.MaxGPUs, team.GPUsMax)
	merged.CPUs = lowerGuarantee(platform.CPUs, merged.MaxCPUs, team.CPUs)
	merged.GPUs = lowerGuarantee(platform.GPUs, merged.MaxGPUs, team.GPUs)
	return merged
}

// lowerLimit returns the lower of two limits. Both 0 and nil mean no limit.
func lowerLimit(platform float64, document *float64) float64 {
	switch {
	case document == nil || *document <= 0:
		return platform
	case platform == 0:
		return *document
	}
	return min(platform, *document)
}

// lowerGuarantee returns the lower of two guarantees, capped at the limit. If document is nil, only the
// platform's guarantee counts. A limit of 0 means no limit.
func lowerGuarantee(platform, limit float64, document *float64) float64 {
	guarantee := platform
	if document != nil {
		guarantee = min(guarantee, max(0, *document))
	}
	if limit > 0 {
		guarantee = min(guarantee, limit)
	}
	return guarantee
}
