package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// Marshal encodes a message.
func Marshal(v any) ([]byte, error) { return msgpack.Marshal(v) }

// Unmarshal decodes a message and ignores fields it does not know.
func Unmarshal(b []byte, v any) error { return msgpack.Unmarshal(b, v) }

// ErrMalformed marks a body that is not a valid message.
var ErrMalformed = errors.New("malformed")

// ValidID says whether a job id has the protocol's form.
func ValidID(id string) bool {
	digits, ok := strings.CutPrefix(id, "j-")
	if !ok || len(digits) < 1 || len(digits) > 32 {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// TaskName is the name of a job's task.
func TaskName(job string, task int32) string {
	return job + "/" + strconv.Itoa(int(task))
}

// ParseTask splits a task's name.
func ParseTask(name string) (job string, task int32, ok bool) {
	job, num, found := strings.Cut(name, "/")
	if !found || !ValidID(job) {
		return "", 0, false
	}
	n, err := strconv.ParseInt(num, 10, 32)
	if err != nil || n < 0 {
		return "", 0, false
	}
	return job, int32(n), true
}

// fields reads the members of a loosely decoded map and keeps the first error.
type fields struct {
	m   map[string]any
	err error
}

func (f *fields) fail(name, what string) {
	if f.err == nil {
		f.err = fmt.Errorf("%w: %s %s", ErrMalformed, name, what)
	}
}

func (f *fields) text(name string, most int) string {
	s, ok := f.m[name].(string)
	if !ok || s == "" || len(s) > most {
		f.fail(name, "is missing or not a text")
	}
	return s
}

func (f *fields) oneOf(name string, allowed ...string) string {
	s, _ := f.m[name].(string)
	for _, a := range allowed {
		if s == a {
			return s
		}
	}
	f.fail(name, "is missing or unknown")
	return s
}

func (f *fields) flag(name string) bool {
	b, ok := f.m[name].(bool)
	if !ok {
		f.fail(name, "is missing or not a boolean")
	}
	return b
}

func number(v any) (float64, bool) {
	switch n := v.(type) {
	case float64:
		return n, true
	case int64:
		return float64(n), true
	case uint64:
		return float64(n), true
	}
	return 0, false
}

// maxAmount bounds every amount, so that whole microseconds fit into 64 bits.
const maxAmount = 1e9

// What a job may have at most.
const (
	maxTasks = 100_000 // the protocol's limit
	maxTypes = 64      // types of machines that it names
	maxID    = 64      // bytes
	maxName  = 200     // bytes of the names of class, team, zone and types
	maxImage = 400     // bytes of the image's name
)

func (f *fields) amount(name string) float64 {
	x, ok := number(f.m[name])
	if !ok || math.IsNaN(x) || x < 0 || x > maxAmount {
		f.fail(name, "is missing or not an amount")
	}
	return x
}

// ParseJob decodes and checks a submission. Its errors wrap ErrMalformed; then the job has no
// more than its id, if that is valid, and is nil otherwise.
func ParseJob(body []byte) (*Job, error) {
	r := bytes.NewReader(body)
	dec := msgpack.NewDecoder(r)
	dec.UseLooseInterfaceDecoding(true)
	m, err := dec.DecodeMap()
	if err != nil || m == nil {
		return nil, fmt.Errorf("%w: not a map", ErrMalformed)
	}
	if r.Len() > 0 {
		return nil, fmt.Errorf("%w: bytes after the map", ErrMalformed)
	}
	f := &fields{m: m}
	j := &Job{
		ID:                  f.text("Id", maxID),
		Class:               f.text("Jobclass", maxName),
		Team:                f.text("Owner", maxName),
		Shape:               f.oneOf("Shape", Array, Gang, Service),
		Priority:            f.oneOf("Urgency", Production, High, Normal, Low),
		CPUs:                f.amount("Cores"),
		GPUs:                f.amount("Gpus"),
		MemoryGB:            f.amount("RamGb"),
		Image:               f.text("Bundle", maxImage),
		ImageGB:             f.amount("SizeGb"),
		OneZone:             f.flag("SamePlace"),
		Spread:              f.flag("Spread"),
		Spot:                f.flag("Loaners"),
		EstimateS:           f.amount("ExpectedS"),
		CheckpointIntervalS: f.amount("SnapshotEveryS"),
		CheckpointDurationS: f.amount("SnapshotS"),
	}
	if !ValidID(j.ID) {
		f.fail("Id", "has the wrong form")
	}
	n, ok := number(m["Pieces"])
	if !ok || n != math.Trunc(n) || n < 1 || n > maxTasks {
		f.fail("Pieces", "is missing or out of range")
	} else {
		j.Tasks = int(n)
	}
	if v := m["District"]; v != nil {
		z := f.text("District", maxName)
		j.Zone = &z
	}
	if v := m["DueS"]; v != nil {
		d := f.amount("DueS")
		j.DeadlineS = &d
	}
	if v := m["Builds"]; v != nil {
		list, ok := v.([]any)
		if !ok || len(list) > maxTypes {
			f.fail("Builds", "is not a list of texts")
		}
		j.Types = []string{}
		for _, e := range list {
			s, ok := e.(string)
			if !ok || len(s) > maxName {
				f.fail("Builds", "is not a list of texts")
			}
			j.Types = append(j.Types, s)
		}
	}
	switch {
	case f.err == nil:
		return j, nil
	case ValidID(j.ID):
		return &Job{ID: j.ID}, f.err
	}
	return nil, f.err
}
