package config

import (
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

// Bad settings give one line that names the file and the field.
func TestLoad(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		p := filepath.Join(dir, name)
		if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return p
	}
	for _, c := range []struct{ name, toml, hcl, want string }{
		{"good", good, "", ""},
		{"operator", good, "evict_after_s = 2\nmax_machines = 9\n", ""},
		{"syntax", good + "\n[oops", "", "line"},
		{"type", strings.Replace(good, "txn_ops = 6", `txn_ops = "six"`, 1), "", "txn_ops"},
		{"missing", strings.Replace(good, "lease_s = 10.0", "", 1), "", "deployment.workers.lease_s"},
		{"address", strings.Replace(good, "127.0.0.1:4", "nowhere", 1), "", "endpoints.state"},
		{"range", good, "evict_after_s = -1\n", "evict_after_s"},
		{"unknown operator field", good, "surprise = 1\n", "surprise"},
		{"no HCL", good, "{{{", "site.hcl"},
	} {
		op := ""
		if c.hcl != "" {
			op = write("site.hcl", c.hcl)
		}
		s, err := Load(write("node.toml", c.toml), op)
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%s: %v", c.name, err)
		case c.want == "" && c.hcl != "" && *s.Operator.PreemptionDelayS != 2:
			t.Errorf("%s: the operator's setting was not taken", c.name)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), dir) || strings.Contains(err.Error(), "\n")):
			t.Errorf("%s: got %v; want one line with the file and %q", c.name, err, c.want)
		}
	}
	// The files that switch things on are good.
	for _, file := range []string{"standby.hcl", "patient.hcl", "snapshot.hcl"} {
		s, err := Load(write("node.toml", good), filepath.Join("../../deploy", file))
		if err != nil {
			t.Errorf("%s: %v", file, err)
		} else if file == "standby.hcl" && *s.Operator.Standbys != 2 {
			t.Errorf("%s: %d standbys", file, *s.Operator.Standbys)
		}
	}
}
