package config

import (
	"fmt"
	"reflect"
	"slices"
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

// What the operator's settings are where no file sets them.
func TestDefaultsStayAsTheyAre(t *testing.T) {
	settings, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	operator := reflect.ValueOf(settings.Operator)
	var out []string
	for i := range operator.NumField() {
		name, _, _ := strings.Cut(operator.Type().Field(i).Tag.Get("hcl"), ",")
		value := operator.Field(i)
		if value.Kind() == reflect.Pointer && !value.IsNil() {
			value = value.Elem()
		}
		out = append(out, fmt.Sprintf("%s = %v", name, value.Interface()))
	}
	slices.Sort(out)
	golden.Text(t, "defaults.golden", strings.Join(out, "\n")+"\n")
}
