package experiment

import (
	"encoding/json"
	"testing"
)

// fallingBehind is a day on which a class of exactly as many jobs as it takes to fall behind
// waits with parts of its jobs while another class is served. None of its jobs ends for long,
// so whether it has fallen behind hangs on the last digit of a sum over its jobs.
const fallingBehind = `
seed       = 22
duration_s = 232
drain_s    = 120
machines   = 3
class "wide" {
  team      = "research"
  priority  = "normal"
  at_s      = [0, 2, 0, 3, 4, 5, 12, 14, 16, 9]
  tasks     = [6, 10]
  cpus      = 4
  memory_gb = 2
  run_s     = [183, 0.3]
}
class "short" {
  team       = "research"
  priority   = "normal"
  per_hour   = 1094
  tasks      = [1, 3]
  cpus       = 2
  memory_gb  = 1
  run_s      = [5, 0.5]
  due_factor = 6
}
`

// An experiment that is played again has the same result to the byte, also where a decision is
// close: the order in which the scheduler reads its maps differs from one play to the next.
func TestPlayedAgain(t *testing.T) {
	const plays = 8 // two may agree by chance
	experiment, err := Parse([]byte(fallingBehind), "falling-behind.hcl")
	if err != nil {
		t.Fatal(err)
	}
	var first []byte
	for play := range plays {
		report, err := experiment.Play(func(int, int) {})
		if err != nil {
			t.Fatal(err)
		}
		result, err := json.Marshal(report)
		if err != nil {
			t.Fatal(err)
		}
		if play == 0 {
			first = result
			continue
		}
		if at := firstDifference(first, result); at >= 0 {
			t.Fatalf("play %d differs from the first one at byte %d: %.80q and %.80q", play+1, at, result[at:], first[at:])
		}
	}
}

// firstDifference is the index of the first byte in which two texts differ, or -1.
func firstDifference(a, b []byte) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	if len(a) != len(b) {
		return min(len(a), len(b))
	}
	return -1
}
