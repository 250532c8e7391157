package config

import (
	"strings"
	"testing"

	"dalefront/internal/golden"
)

// Every setting of the platform's file and of the operator's has the name that
// docs/operations.md and deploy/service.toml give it, and takes what it took.
func TestSettingsStayAsTheyAre(t *testing.T) {
	golden.Text(t, "settings.golden", strings.Join(golden.Fields(Settings{}, "toml"), "\n")+"\n")
	golden.Text(t, "operator.golden", strings.Join(golden.Fields(Operator{}, "hcl"), "\n")+"\n")
}

// The words that settings take.
func TestWordsStayAsTheyAre(t *testing.T) {
	golden.Text(t, "words.golden", strings.Join([]string{PreemptAdaptive, PreemptKill, PreemptCheckpoint, PreemptNone, OrderPriority, OrderArrival}, "\n")+"\n")
}
