// Package review3 has the test of a case of the review, which runs only where it is asked for.
package review3

import (
	"os"
	"os/exec"
	"testing"
)

// TestCase runs the script of the case if DALEFRONT_REVIEW is set. It needs the builds of the deploy file and of
// review/build.sh.
func TestCase(t *testing.T) {
	if os.Getenv("DALEFRONT_REVIEW") == "" {
		t.Skip("DALEFRONT_REVIEW is not set")
	}
	if out, err := exec.Command("bash", "run.sh").CombinedOutput(); err != nil {
		t.Errorf("%v\n%s", err, out)
	}
}
