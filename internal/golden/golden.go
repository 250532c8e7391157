// Package golden provides test helpers that compare encodings and names with golden files under a package's
// testdata directory.
//
// The golden files hold names and bytes that the operators' documentation gives, that other programs send, or
// that earlier versions have stored. The files were written before
// identifiers in the code were renamed, so they also reveal a rename that changes an encoded name. A difference
// means that the program has become incompatible: fix the program, not the file. Use the -update flag only when
// messages are added. Existing contents of a file must not be rewritten.
package golden

import (
	"cmp"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"hash/fnv"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"dalefront/wire"
)

var update = flag.Bool("update", false, "write the golden files: only for messages that are added, never to change existing names and bytes")

// Text compares a text with the file testdata/NAME.
func Text(t *testing.T, name, got string) {
	t.Helper()
	want := readGolden(t, name, got)
	if got == want {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if lineAt(gotLines, i) != lineAt(wantLines, i) {
			t.Fatalf("testdata/%s, line %d:\n got %s\nwant %s", name, i+1, lineAt(gotLines, i), lineAt(wantLines, i))
		}
	}
}

// Subset checks that got contains every line of testdata/NAME. got may contain further lines.
func Subset(t *testing.T, name string, got []string) {
	t.Helper()
	want := readGolden(t, name, strings.Join(got, "\n")+"\n")
	for _, wantLine := range strings.Split(strings.TrimSpace(want), "\n") {
		if !slices.Contains(got, wantLine) {
			t.Errorf("testdata/%s: line %q is missing", name, wantLine)
		}
	}
}

// Values compares the values by key with testdata/NAME. Each line of the file holds a key without spaces, a
// space and the key's value. The function same reports whether two different texts represent the same value.
func Values(t *testing.T, name string, values map[string]string, same func(key, got, want string) bool) {
	t.Helper()
	var out strings.Builder
	for _, key := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(&out, "%s %s\n", key, values[key])
	}
	wanted := map[string]bool{}
	for _, l := range strings.Split(strings.TrimSpace(readGolden(t, name, out.String())), "\n") {
		key, want, _ := strings.Cut(l, " ")
		wanted[key] = true
		if got, ok := values[key]; !ok || got != want && !same(key, got, want) {
			t.Errorf("testdata/%s: %s is\n%s, want\n%s", name, key, got, want)
		}
	}
	for key := range values {
		if !wanted[key] {
			t.Errorf("testdata/%s has no %s", name, key)
		}
	}
}

// readGolden returns the contents of testdata/NAME. With the -update flag it first writes got to the file.
func readGolden(t *testing.T, name, got string) string {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// lineAt returns the line with index i, or a placeholder if i is after the last line.
func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(no line)"
}

// Message is a type of message or stored value whose encodings are compared with a golden file. Name identifies
// the type in the file, and stays the same when the Go type is renamed.
type Message struct {
	Name string
	Zero any // zero value of the type
}

// Messages compares the encodings of each type with testdata/NAME. These are the encodings:
//
//   - the MessagePack bytes of a value with every field filled in, and the JSON rendering of these bytes, which
//     is the protocol's text form
//   - the MessagePack bytes of the zero value
//   - for types with json tags, the JSON encoding of the filled value
//
// Messages also checks that the encodings in the file decode into the filled value.
func Messages(t *testing.T, name string, messages []Message) {
	t.Helper()
	var out strings.Builder
	for _, m := range messages {
		typ := reflect.TypeOf(m.Zero)
		filled := reflect.New(typ)
		fill(filled.Elem(), m.Name)
		fmt.Fprintf(&out, "[%s]\nmsgpack %s\ntext %s\nzero %s\n", m.Name,
			hex.EncodeToString(marshal(t, filled.Interface())), msgpackToJSON(t, marshal(t, filled.Interface())),
			hex.EncodeToString(marshal(t, m.Zero)))
		if hasTag(typ, "json") {
			b, err := json.Marshal(filled.Interface())
			if err != nil {
				t.Fatal(m.Name, err)
			}
			fmt.Fprintf(&out, "json %s\n", b)
		}
	}
	Text(t, name, out.String())
	decodeAll(t, name, messages)
}

// CheckCoverage checks that every struct type with msgpack tags in the current directory's package is the type
// of one of the messages or a part of such a type.
func CheckCoverage(t *testing.T, messages []Message) {
	t.Helper()
	covered := map[string]bool{}
	for _, m := range messages {
		addTypeNames(reflect.TypeOf(m.Zero), covered)
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(node ast.Node) bool {
			typeSpec, ok := node.(*ast.TypeSpec)
			if !ok {
				return true
			}
			structType, ok := typeSpec.Type.(*ast.StructType)
			if ok && !covered[typeSpec.Name.Name] && slices.ContainsFunc(structType.Fields.List, func(f *ast.Field) bool {
				return f.Tag != nil && strings.Contains(f.Tag.Value, `msgpack:"`)
			}) {
				t.Errorf("%s: no golden file covers the encoding of %s", file, typeSpec.Name.Name)
			}
			return true
		})
	}
}

// addTypeNames adds to the map names the names of the type t and of all types that t consists of.
func addTypeNames(t reflect.Type, names map[string]bool) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		addTypeNames(t.Elem(), names)
	case reflect.Struct:
		names[t.Name()] = true
		for i := range t.NumField() {
			addTypeNames(t.Field(i).Type, names)
		}
	}
}

// JSON compares the JSON encodings of filled values with testdata/NAME.
func JSON(t *testing.T, name string, messages []Message) {
	t.Helper()
	var out strings.Builder
	for _, m := range messages {
		filled := reflect.New(reflect.TypeOf(m.Zero))
		fill(filled.Elem(), m.Name)
		b, err := json.Marshal(filled.Interface())
		if err != nil {
			t.Fatal(m.Name, err)
		}
		fmt.Fprintf(&out, "[%s]\n%s\n", m.Name, b)
	}
	Text(t, name, out.String())
}

// decodeAll checks that the encodings in testdata/NAME decode into the filled values.
func decodeAll(t *testing.T, name string, messages []Message) {
	t.Helper()
	types := map[string]reflect.Type{}
	for _, m := range messages {
		types[m.Name] = reflect.TypeOf(m.Zero)
	}
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	var current string
	for _, l := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		form, text, _ := strings.Cut(l, " ")
		if strings.HasPrefix(l, "[") {
			current = strings.Trim(l, "[]")
			continue
		}
		if types[current] == nil {
			t.Fatalf("testdata/%s: there is no message %s any more", name, current)
		}
		want, got := reflect.New(types[current]), reflect.New(types[current])
		fill(want.Elem(), current)
		switch form {
		case "msgpack":
			raw, err := hex.DecodeString(text)
			if err != nil {
				t.Fatal(current, err)
			}
			if err := wire.Unmarshal(raw, got.Interface()); err != nil {
				t.Fatal(current, err)
			}
		case "json":
			if err := json.Unmarshal([]byte(text), got.Interface()); err != nil {
				t.Fatal(current, err)
			}
		default:
			continue
		}
		if !reflect.DeepEqual(got.Interface(), want.Interface()) {
			t.Errorf("testdata/%s: %s in %s is decoded as\n%+v, want\n%+v", name, current, form, got.Elem(), want.Elem())
		}
	}
}

func marshal(t *testing.T, v any) []byte {
	t.Helper()
	b, err := wire.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// msgpackToJSON converts MessagePack to JSON, with the members of objects sorted by name.
func msgpackToJSON(t *testing.T, b []byte) string {
	t.Helper()
	var decoded any
	if err := wire.Unmarshal(b, &decoded); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

var rawMessage = reflect.TypeFor[msgpack.RawMessage]()

// fill sets every encoded field of v to a value that is derived from path, the field's encoded name with those
// of the outer fields. Different fields get different values. No value is empty, because an encoding can leave
// out empty fields.
func fill(v reflect.Value, path string) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(path))
	number := int64(h.Sum32()%30_000) + 1
	if v.Type() == rawMessage {
		b, _ := msgpack.Marshal(path) // encoding a string can't fail
		v.SetBytes(b)
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(path)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int32, reflect.Int64:
		v.SetInt(number)
	case reflect.Int8:
		v.SetInt(number % 100)
	case reflect.Uint8:
		v.SetUint(uint64(number % 200))
	case reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uint:
		v.SetUint(uint64(number))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(number) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), path)
	case reflect.Interface:
		v.Set(reflect.ValueOf(path))
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(v.Index(i), fmt.Sprintf("%s.%d", path, i))
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), fmt.Sprintf("%s.%d", path, i))
		}
	case reflect.Map: // only one entry, because the order of a map's entries is not fixed
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, path+".key")
		fill(value, path+".value")
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Type().Field(i)
			name, _, _ := strings.Cut(cmp.Or(f.Tag.Get("msgpack"), f.Tag.Get("json")), ",")
			if name == "-" || !f.IsExported() {
				continue
			}
			name = cmp.Or(name, f.Name)
			fill(v.Field(i), path+"."+name)
		}
	default:
		panic(fmt.Sprintf("%s: can't fill a %s", path, v.Kind()))
	}
}

// hasTag reports whether t is a struct type with the given tag on any field.
func hasTag(t reflect.Type, tag string) bool {
	if t.Kind() != reflect.Struct {
		return false
	}
	for i := range t.NumField() {
		if t.Field(i).Tag.Get(tag) != "" {
			return true
		}
	}
	return false
}

// Fields lists the fields of a file format, given by the struct type of v. Each entry holds the field's name
// and options from the given tag, and the kind of the field's value. The name of a nested field has the names
// of the outer fields as its prefix.
func Fields(v any, tag string) []string {
	names := map[string]bool{}
	collectFields(reflect.TypeOf(v), tag, "", names)
	return slices.Sorted(maps.Keys(names))
}

// collectFields adds to the map names an entry for each field of the type t, see Fields.
func collectFields(t reflect.Type, tag, prefix string, names map[string]bool) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return
	}
	for i := range t.NumField() {
		f := t.Field(i)
		name, options, _ := strings.Cut(f.Tag.Get(tag), ",")
		if name == "" || name == "-" {
			if f.Anonymous {
				collectFields(f.Type, tag, prefix, names)
			}
			continue
		}
		inner := f.Type
		for inner.Kind() == reflect.Pointer || inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		entry := prefix + name
		if options != "" {
			entry += " " + options
		}
		names[entry+" "+kindName(f.Type)] = true
		if inner.Kind() == reflect.Struct {
			collectFields(inner, tag, prefix+name+".", names)
		}
	}
}

// kindName returns the kind of value that a field of type t holds, without the names of defined Go types.
func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return kindName(t.Elem())
	case reflect.Slice:
		return "list of " + kindName(t.Elem())
	case reflect.Map:
		return "map of " + kindName(t.Elem())
	case reflect.Struct:
		return "block"
	}
	return t.Kind().String()
}

// Recorder is an HTTP handler that records each request as one line. The line holds the method, the path, the
// content type, and the body in the protocol's text form.
type Recorder struct {
	// Respond returns the status and the body of the response to a request.
	Respond func(r *http.Request) (code int, body any)

	mu    sync.Mutex
	lines []string
}

// ServeHTTP implements http.Handler.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	var decoded any
	if err == nil && len(body) > 0 {
		err = wire.Unmarshal(body, &decoded)
	}
	text, jsonErr := json.Marshal(decoded)
	if err = errors.Join(err, jsonErr); err != nil {
		text = []byte(err.Error())
	}
	r.mu.Lock()
	r.lines = append(r.lines, fmt.Sprintf("%s %s %s %s", req.Method, req.URL.RequestURI(), cmp.Or(req.Header.Get("Content-Type"), "-"), text))
	r.mu.Unlock()
	code, answer := r.Respond(req)
	encoded, err := wire.Marshal(answer)
	if err != nil {
		code = http.StatusInternalServerError
	}
	w.WriteHeader(code)
	_, _ = w.Write(encoded) // if writing fails, the client's request fails
}

// Requests returns the recorded requests, one line for each.
func (r *Recorder) Requests() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.lines)
}
