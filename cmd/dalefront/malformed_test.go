package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dalefront/internal/malformed"
)

// commandError runs a command that must fail, and returns its error, which must be one line.
func commandError(t *testing.T, args ...string) string {
	t.Helper()
	root := newRootCommand()
	root.SetOut(&bytes.Buffer{})
	root.SetErr(&bytes.Buffer{})
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		t.Fatalf("%v: no error", args)
	}
	if strings.Contains(err.Error(), "\n") {
		t.Errorf("%v: the error has more than one line: %v", args, err)
	}
	return err.Error()
}

// Checks that the commands for users get an error from a malformed answer, whatever its status is.
func TestMalformedAnswersGetErrors(t *testing.T) {
	for name, value := range malformed.Truncated {
		for _, status := range []int{http.StatusOK, http.StatusBadRequest} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write(value)
			}))
			for _, args := range [][]string{{"status", "j-1"}, {"jobs"}, {"cancel", "j-1"}} {
				message := commandError(t, append(args, "--server", server.URL)...)
				if message == "" {
					t.Errorf("%v: %s: the error is empty", args, name)
				}
			}
			server.Close()
		}
	}
}

// Checks that a job file which is too large or nested too deeply gets an error that says so.
func TestMalformedJobFilesGetErrors(t *testing.T) {
	for name, test := range map[string]struct{ text, want string }{
		"large": {strings.Repeat(" ", maxJobFileBytes) + "{}", "larger than"},
		"deep":  {`{"Builds":` + strings.Repeat("[", maxJobFileBytes/2) + "}", "depth"},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "job.json")
			if err := os.WriteFile(file, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			if message := commandError(t, "submit", file, "--server", "http://127.0.0.1:1"); !strings.Contains(message, test.want) {
				t.Errorf("got %q, want an error with %q", message, test.want)
			}
		})
	}
}
