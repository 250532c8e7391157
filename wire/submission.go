package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed means that a body is not a valid message.
var ErrMalformed = errors.New("malformed")

// FieldError is an ErrMalformed that names the invalid field of a submission.
type FieldError struct {
	Field   string // name on the wire
	Problem string // such as "is missing or unknown"
}

// Error returns one line with the field and the problem.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%v: %s %s", ErrMalformed, e.Field, e.Problem)
}

// Unwrap returns ErrMalformed, so that errors.Is matches it.
func (*FieldError) Unwrap() error { return ErrMalformed }

// Limits of the fields of a submission.
const (
	maxTasks = 100_000 // the protocol's limit
	maxTypes = 64      // number of machine types in the list of allowed types
	maxID    = 64      // length of the job ID in bytes
	maxName  = 200     // length in bytes of the names of class, team, zone and machine types
	maxImage = 400     // length of the image name in bytes
)

// maxAmount bounds resources, sizes and durations, so that whole microseconds fit into 64 bits.
const maxAmount = 1e9

// ParseJob decodes and validates a submission. Its errors wrap ErrMalformed. If there is an error, the
// returned job has only its ID, or is nil if the ID is not valid either.
func ParseJob(body []byte) (*Job, error) {
	values, err := decodeFields(body)
	if err != nil {
		return nil, err
	}
	fields := &fieldReader{values: values}
	job := fields.job()
	switch {
	case fields.err == nil:
		return job, nil
	case ValidID(job.ID):
		return &Job{ID: job.ID}, fields.err
	}
	return nil, fields.err
}

// submissionFields has the names on the wire of the fields of Job.
var submissionFields = fieldNames(reflect.TypeFor[Job]())

// fieldNames returns the names on the wire of a message's fields.
func fieldNames(message reflect.Type) map[string]bool {
	names := map[string]bool{}
	for _, field := range reflect.VisibleFields(message) {
		name, _, _ := strings.Cut(field.Tag.Get("msgpack"), ",")
		names[name] = true
	}
	return names
}

// decodeFields decodes a body that must consist of exactly one map. It returns the values of the fields that a
// submission has. The other fields are ignored.
func decodeFields(body []byte) (map[string]any, error) {
	if len(body) == 0 || !isMap(body[0]) {
		return nil, fmt.Errorf("%w: not a map", ErrMalformed)
	}
	size, err := checkStructure(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if size < len(body) {
		return nil, fmt.Errorf("%w: bytes after the map", ErrMalformed)
	}
	decoder := msgpack.NewDecoder(bytes.NewReader(body))
	decoder.UseLooseInterfaceDecoding(true) // all integers become int64 or uint64, all floats float64
	values, err := decodeKnownFields(decoder, submissionFields)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return values, nil
}

// decodeKnownFields decodes the known fields of a map and skips the other fields.
func decodeKnownFields(decoder *msgpack.Decoder, known map[string]bool) (map[string]any, error) {
	entries, err := decoder.DecodeMapLen()
	if err != nil {
		return nil, err
	}
	values := make(map[string]any, len(known))
	for range entries {
		name, err := decoder.DecodeString()
		if err != nil {
			return nil, err
		}
		if !known[name] {
			err = decoder.Skip()
		} else {
			values[name], err = decodeField(decoder)
		}
		if err != nil {
			return nil, err
		}
	}
	return values, nil
}

// unexpected stands for a list or a map where no field of a submission has one.
type unexpected struct{}

// decodeField decodes a value: a number, a text, a boolean, nil or a list of these.
func decodeField(decoder *msgpack.Decoder) (any, error) {
	code, err := decoder.PeekCode()
	if err != nil {
		return nil, err
	}
	if !isList(code) {
		return decodeScalar(decoder)
	}
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	list := make([]any, 0, min(length, maxTypes+1))
	for range length {
		element, err := decodeScalar(decoder)
		if err != nil {
			return nil, err
		}
		if len(list) <= maxTypes { // one too many shows that the list is too long
			list = append(list, element)
		}
	}
	return list, nil
}

// decodeScalar decodes a number, a text, a boolean or nil. It skips a list or a map.
func decodeScalar(decoder *msgpack.Decoder) (any, error) {
	code, err := decoder.PeekCode()
	if err != nil {
		return nil, err
	}
	if isList(code) || isMap(code) {
		return unexpected{}, decoder.Skip()
	}
	return decoder.DecodeInterfaceLoose()
}

// fieldReader reads the fields of a decoded map. It keeps the first error and continues, so that the ID
// is read even if another field is not valid.
type fieldReader struct {
	values map[string]any
	err    error
}

// job reads all fields of a submission. It maps the names on the wire to the fields of Job.
func (r *fieldReader) job() *Job {
	job := &Job{
		ID:                  r.text("Id", maxID),
		Class:               r.text("Jobclass", maxName),
		Team:                r.text("Owner", maxName),
		Shape:               r.oneOf("Shape", Array, Gang, Service),
		Priority:            r.oneOf("Urgency", Production, High, Normal, Low),
		CPUs:                r.amount("Cores"),
		GPUs:                r.amount("Gpus"),
		MemoryGB:            r.amount("RamGb"),
		Image:               r.text("Bundle", maxImage),
		ImageGB:             r.amount("SizeGb"),
		OneZone:             r.flag("SamePlace"),
		Spread:              r.flag("Spread"),
		Spot:                r.flag("Loaners"),
		EstimateS:           r.amount("ExpectedS"),
		CheckpointIntervalS: r.amount("SnapshotEveryS"),
		CheckpointDurationS: r.amount("SnapshotS"),
	}
	if !ValidID(job.ID) {
		r.fail("Id", "has the wrong form")
	}
	job.Tasks = r.taskCount("Pieces")
	if r.values["District"] != nil {
		zone := r.text("District", maxName)
		job.Zone = &zone
	}
	if r.values["DueS"] != nil {
		deadline := r.amount("DueS")
		job.DeadlineS = &deadline
	}
	if r.values["Builds"] != nil {
		job.Types = r.machineTypes("Builds")
	}
	return job
}

func (r *fieldReader) fail(name, problem string) {
	if r.err == nil {
		r.err = &FieldError{Field: name, Problem: problem}
	}
}

// text reads a string that is not empty and has at most maxBytes bytes.
func (r *fieldReader) text(name string, maxBytes int) string {
	text, ok := r.values[name].(string)
	if !ok || text == "" || len(text) > maxBytes {
		r.fail(name, "is missing or not a text")
	}
	return text
}

// oneOf reads a string that is one of the allowed values.
func (r *fieldReader) oneOf(name string, allowed ...string) string {
	text, _ := r.values[name].(string)
	if !slices.Contains(allowed, text) {
		r.fail(name, "is missing or unknown")
	}
	return text
}

func (r *fieldReader) flag(name string) bool {
	flag, ok := r.values[name].(bool)
	if !ok {
		r.fail(name, "is missing or not a boolean")
	}
	return flag
}

// amount reads a resource, a size or a duration: a number from 0 to maxAmount.
func (r *fieldReader) amount(name string) float64 {
	amount, ok := number(r.values[name])
	if !ok || math.IsNaN(amount) || amount < 0 || amount > maxAmount {
		r.fail(name, "is missing or not an amount")
	}
	return amount
}

// taskCount reads an integer number of tasks from 1 to maxTasks. It returns 0 on an error.
func (r *fieldReader) taskCount(name string) int {
	count, ok := number(r.values[name])
	if !ok || count != math.Trunc(count) || count < 1 || count > maxTasks {
		r.fail(name, "is missing or out of range")
		return 0
	}
	return int(count)
}

// machineTypes reads a list of names. The result is never nil, because an empty list allows no type but
// nil allows any type.
func (r *fieldReader) machineTypes(name string) []string {
	const problem = "is not a list of texts"
	list, ok := r.values[name].([]any)
	if !ok || len(list) > maxTypes {
		r.fail(name, problem)
	}
	types := []string{}
	for _, element := range list {
		machineType, ok := element.(string)
		if !ok || len(machineType) > maxName {
			r.fail(name, problem)
		}
		types = append(types, machineType)
	}
	return types
}

// number converts a decoded number to a float64. It handles all number types that loose decoding
// returns, and reports whether the value has one of these types.
func number(value any) (float64, bool) {
	switch n := value.(type) {
	case float64:
		return n, true
	case int64:
		return float64(n), true
	case uint64:
		return float64(n), true
	}
	return 0, false
}
