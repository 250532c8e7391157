package scaletest

import (
	"math"
	"strings"
	"testing"
)

const small = `
counts {
  workers       = 10
  tasks_running = 100
  starts_per_s  = 4
}
`

// Mistakes get one line with the file, line and column.
func TestMistakes(t *testing.T) {
	for text, want := range map[string]string{
		"counts {\n  workers = 0\n  tasks_running = 1\n  starts_per_s = 0\n}":   "f.hcl:1:1: counts: workers must be",
		"counts {\n  workers = 10\n  tasks_running = 10\n  starts_per_s = 9\n}": "f.hcl:1:1: counts: starts_per_s times task_s",
		small + "limits {\n  memory_share = 0.9\n}":                             "f.hcl:1:1: limits: memory_share",
		small + "event \"flood\" {\n  at_s = 0\n}":                              `f.hcl:7:1: event "flood" is not one of`,
		small + "event \"kill\" {\n  at_s = 5\n}":                               "f.hcl:7:1: event kill: at_s must be",
		small + "sweep \"workers\" {\n  values = [1, 2]\n}":                     "f.hcl:7:1: sweep workers: at least four values",
		small + "sweep \"weather\" {\n  values = [1, 2, 3, 4]\n}":               `f.hcl:7:1: "weather" is not a count`,
		"worker = 1": "f.hcl:1:",
	} {
		if _, err := Parse([]byte(text), "f.hcl"); err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

// The workers are just large enough, and every task of the run has room.
func TestSizes(t *testing.T) {
	for _, c := range []Counts{{Workers: 2700, TasksRunning: 51000, StartsPerS: 920}, {Workers: 100, TasksRunning: 1900}, {Workers: 7, TasksRunning: 100}} {
		s := Spec{Counts: c}
		s.setDefaults()
		if room := s.coresPerWorker() * float64(c.Workers); room < float64(c.TasksRunning) || room > 1.2*float64(c.TasksRunning) {
			t.Errorf("%+v: room for %g tasks", c, room)
		}
	}
}

// A sweep varies one count and leaves the others, and the troubles out.
func TestWith(t *testing.T) {
	s, err := Parse([]byte(small+"trouble_s = 9\nevent \"kill\" {\n  at_s = 5\n}"), "f.hcl")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"workers", "tasks_running", "starts_per_s", "teams", "jobs_waiting", "gang_size", "config_per_s"} {
		v, err := s.with(name, 8)
		if err != nil || v.Counts.value(name) != 8 || len(v.Events) > 0 || v.DisruptionS != 0 {
			t.Errorf("%s: %+v, %v", name, v, err)
		}
		if len(s.Events) != 1 || s.Counts.Workers != 10 {
			t.Fatalf("varying %s changed the run itself", name)
		}
	}
}

// Slopes are those of the line, bends are seen, and points that don't count are left out.
func TestSlopes(t *testing.T) {
	point := func(x, y float64) Point { return Point{Value: x, Costs: map[string]float64{"leader cores": y}} }
	points := []Point{point(1, 12), point(2, 14), point(3, 16), point(4, 18), {Value: 5, Skipped: "it was late"}}
	got := slopes("workers", points, &Report{Counts: Counts{Workers: 10}, Roles: []Role{{Name: roleLeader, CPU: 60}}})
	if len(got) != 1 {
		t.Fatalf("%+v", got)
	}
	s := got[0]
	if math.Abs(s.PerUnit-2) > 1e-9 || math.Abs(s.Intercept-10) > 1e-9 || math.Abs(s.Fit-1) > 1e-9 || math.Abs(s.Bend-1) > 1e-9 {
		t.Errorf("%+v", s)
	}
	if math.Abs(s.Extrapolated-30) > 1e-9 || s.Measured != 60 || !s.Inaccurate {
		t.Errorf("beside the measured value: %+v", s)
	}
	bent := slopes("workers", []Point{point(1, 1), point(2, 2), point(3, 6), point(4, 10)}, nil)
	if bent[0].Bend < 2 {
		t.Errorf("a bend of %g is not seen", bent[0].Bend)
	}
	if slopes("workers", points[3:], nil) != nil {
		t.Error("a line was fitted through one point")
	}
}

// The kernel's figures of this process can be read.
func TestUsage(t *testing.T) {
	u, err := usage(1 << 30)
	if err == nil {
		t.Errorf("a process that is not there has %+v", u)
	}
	if memory, err := memoryMB(); err != nil || memory < 100 {
		t.Errorf("%g MB, %v", memory, err)
	}
	if all, idle, err := processorTicks(); err != nil || all < idle {
		t.Errorf("%g ticks, %g idle, %v", all, idle, err)
	}
}
