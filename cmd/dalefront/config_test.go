package main

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dalefront/internal/emulator"
)

// TestConfigCommands changes, shows and rolls back the configuration of a site of real
// controllers through the command line, while its leader is killed.
func TestConfigCommands(t *testing.T) {
	t.Parallel()
	s, err := emulator.Up(emulator.Options{Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := s.Down(); err != nil {
			t.Error(err)
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := s.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		root := newRootCommand()
		root.SetOut(&out)
		root.SetArgs(append(append([]string{"config"}, args...), "--config", s.Settings(0)))
		err := root.Execute()
		return out.String(), err
	}
	must := func(want string, args ...string) {
		t.Helper()
		if out, err := run(args...); err != nil || !strings.Contains(out, want) {
			t.Errorf("%v: %q %v, want %q", args, out, err, want)
		}
	}
	fails := func(want string, args ...string) {
		t.Helper()
		if out, err := run(args...); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: %q %v, want %q", args, out, err, want)
		}
	}
	limits := file("limits.hcl", "team \"web\" {\n  cpus_max = 20\n}\n")
	cordons := file("cordons.hcl", "cordon \"b\" {\n  zone   = \"b\"\n  reason = \"switch\"\n}\n")
	must("would be generation 1", "apply", limits, cordons, "--dry-run")
	must("generation 0\n", "get")
	must("generation 1\n", "apply", limits, cordons, "--by", "test")
	must("nothing changes: generation 1", "apply", limits)
	must(`team/web: {"cpus_max":20}`, "get", "team/web")
	must(`"name":"b"`, "get", "--json")
	fails("limits.hcl:1:1: team \"web\": cpus_max: 900 is above", "apply", file("limits.hcl", "team \"web\" {\n  cpus_max = 900\n}\n"))
	fails("team/web is in", "apply", file("limits.hcl", "team \"web\" {\n  cpus_max = 19\n}\n"), file("more.hcl", "team \"web\" {\n}\n"))
	fails("generation 1 is in force, not 7", "apply", limits, "--if-generation", "7")
	fails("there has been no generation 9", "rollback", "9")
	fails("there is no document", "get", "team/none")
	if _, err := s.Fault("kill", "", 100*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	must("generation 2\n", "apply", limits)
	must(`{"cpus_max":19}, was {"cpus_max":20}`, "history")
	must(`by "test"`, "history")
	must("+ cordon/c", "diff", file("c.hcl", "cordon \"c\" {\n  type = \"gpu\"\n}\n"))
	must("generation 3\n", "rollback", "0")
	must("generation 3\n", "get")
	must("controller-2  generation 3", "status", "--wait", "60s")
	must(`"stored":3`, "status", "--json")
	if out, err := run("status"); err != nil || strings.Count(out, "generation 3") != 4 {
		t.Errorf("%q %v", out, err)
	}
	var coded *exitError
	root := newRootCommand()
	root.SetArgs([]string{"config", "get"})
	if err := root.Execute(); err == nil || errors.As(err, &coded) || !strings.Contains(err.Error(), "--config is missing") {
		t.Errorf("without settings: %v", err)
	}
}
