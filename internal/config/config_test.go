package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const good = `
label = "a"
serve_on = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
surprise = "a new field"
[[members]]
label = "b"
addr = "127.0.0.1:5"
[endpoints]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[deployment.workers]
report_s = 1.5
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 30.0
[deployment.state]
rps = 50.0
write_rps = 20.0
value_kb = 16.0
txn_ops = 6
[deployment.cloud]
rps = 4.0
list_lag_s = 5.0
[deployment.resources]
cores = 0.2
ram_mb = 100.0
sockets = 500
`

// write makes a file and returns its path.
func write(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Bad settings give one line that names the file and the field, and an error of its type.
func TestLoad(t *testing.T) {
	for _, test := range []struct {
		name, toml, hcl string
		want            string // part of the error; empty: none is expected
		wantAs          any    // what errors.As finds
	}{
		{"good", good, "", "", nil},
		{"operator", good, "evict_after_s = 2\nmax_machines = 9\n", "", nil},
		{"syntax", good + "\n[oops", "", "line", new(*SyntaxError)},
		{"type", strings.Replace(good, "txn_ops = 6", `txn_ops = "six"`, 1), "", "txn_ops", new(*SyntaxError)},
		{"missing", strings.Replace(good, "lease_s = 10.0", "", 1), "", "deployment.workers.lease_s", new(*FieldError)},
		{"address", strings.Replace(good, "127.0.0.1:4", "nowhere", 1), "", "endpoints.state", new(*FieldError)},
		{"range", good, "evict_after_s = -1\n", "evict_after_s", new(*FieldError)},
		{"word", good, `order = "random"`, "order: \"random\" is not one of priority, arrival", new(*FieldError)},
		{"unknown operator field", good, "surprise = 1\n", "surprise", new(*SyntaxError)},
		{"no HCL", good, "{{{", "site.hcl", new(*SyntaxError)},
	} {
		t.Run(test.name, func(t *testing.T) {
			dir := t.TempDir()
			operator := ""
			if test.hcl != "" {
				operator = write(t, dir, "site.hcl", test.hcl)
			}
			settings, err := Load(write(t, dir, "node.toml", test.toml), operator)
			switch {
			case test.want == "" && err != nil:
				t.Error(err)
			case test.want == "" && test.hcl != "" && *settings.Operator.PreemptionDelayS != 2:
				t.Error("the operator's setting was not taken")
			case test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want) || !strings.Contains(err.Error(), dir) || strings.Contains(err.Error(), "\n")):
				t.Errorf("got %v; want one line with the file and %q", err, test.want)
			case test.wantAs != nil && !errors.As(err, test.wantAs):
				t.Errorf("got %T: %v", err, err)
			}
		})
	}
}

// The operator's files of the deployment are good.
func TestDeployedOperatorFiles(t *testing.T) {
	for _, file := range []string{"standby.hcl", "patient.hcl", "snapshot.hcl"} {
		t.Run(file, func(t *testing.T) {
			settings, err := Load(write(t, t.TempDir(), "node.toml", good), filepath.Join("../../deploy", file))
			if err != nil {
				t.Error(err)
			} else if file == "standby.hcl" && *settings.Operator.Standbys != 2 {
				t.Errorf("%d standbys", *settings.Operator.Standbys)
			}
		})
	}
}

// A copy's settings are overridden without those that it is a copy of.
func TestOverrideOperator(t *testing.T) {
	original, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	overridden := *original
	if err := overridden.OverrideOperator(map[string]float64{"evict_after_s": 3}); err != nil {
		t.Fatal(err)
	}
	if before, after := *original.Operator.PreemptionDelayS, *overridden.Operator.PreemptionDelayS; before != 1.5 || after != 3 {
		t.Errorf("the original has %g, want 1.5; the copy %g, want 3", before, after)
	}
	var invalid *FieldError
	if err := overridden.OverrideOperator(map[string]float64{"evict_after_s": -1}); !errors.As(err, &invalid) || invalid.Field != "evict_after_s" {
		t.Errorf("got %v", err)
	}
}
