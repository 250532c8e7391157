// Package golden is test support: it compares forms that must not change with files under
// a package's testdata directory.
//
// The files hold names and bytes that the operators' pages give, that other programs send
// and that earlier versions have stored. They were written by the version before the code's
// own names were revised. A difference means that the program has changed in a way that
// others notice: mend the program, not the file. The -update flag is for forms that are
// added; what a file already holds must not be rewritten.
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

var update = flag.Bool("update", false, "write golden files: for forms that are added, never for names and bytes that are there")

// Text compares a text with testdata/NAME.
func Text(t *testing.T, name, got string) {
	t.Helper()
	want := load(t, name, got)
	if got == want {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if line(gotLines, i) != line(wantLines, i) {
			t.Fatalf("testdata/%s, line %d:\n got %s\nwant %s", name, i+1, line(gotLines, i), line(wantLines, i))
		}
	}
}

// Subset checks that every line of testdata/NAME is still among the lines; others may be
// added to them.
func Subset(t *testing.T, name string, got []string) {
	t.Helper()
	want := load(t, name, strings.Join(got, "\n")+"\n")
	for _, wanted := range strings.Split(strings.TrimSpace(want), "\n") {
		if !slices.Contains(got, wanted) {
			t.Errorf("testdata/%s: %q is gone", name, wanted)
		}
	}
}

// Values compares values by name with the lines of testdata/NAME, each a name without
// spaces and its value. The function says whether two values mean the same.
func Values(t *testing.T, name string, values map[string]string, same func(of, got, want string) bool) {
	t.Helper()
	var out strings.Builder
	for _, of := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(&out, "%s %s\n", of, values[of])
	}
	wanted := map[string]bool{}
	for _, l := range strings.Split(strings.TrimSpace(load(t, name, out.String())), "\n") {
		of, want, _ := strings.Cut(l, " ")
		wanted[of] = true
		if got, ok := values[of]; !ok || got != want && !same(of, got, want) {
			t.Errorf("testdata/%s: %s is\n%s, want\n%s", name, of, got, want)
		}
	}
	for of := range values {
		if !wanted[of] {
			t.Errorf("testdata/%s has no %s", name, of)
		}
	}
}

func load(t *testing.T, name, got string) string {
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

func line(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(nothing)"
}

// Message is a type of message or of stored value, under a name that stays whatever the
// type is called.
type Message struct {
	Name string
	Zero any // a value of the type
}

// Messages compares each type's encoded forms with testdata/NAME: of a value with every
// field filled in, its MessagePack bytes and the same as JSON, which is the protocol's text
// form; of the zero value its MessagePack bytes; and, of types that are also printed as
// JSON, that. The bytes in the file must decode into the filled value as well.
func Messages(t *testing.T, name string, messages []Message) {
	t.Helper()
	var out strings.Builder
	for _, m := range messages {
		typ := reflect.TypeOf(m.Zero)
		filled := reflect.New(typ)
		fill(filled.Elem(), m.Name)
		fmt.Fprintf(&out, "[%s]\nmsgpack %s\ntext %s\nzero %s\n", m.Name,
			hex.EncodeToString(packed(t, filled.Interface())), looseJSON(t, packed(t, filled.Interface())),
			hex.EncodeToString(packed(t, m.Zero)))
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

// Complete checks that every struct of the package in the current directory that has names
// on the wire, in tags, is among the messages or a part of one.
func Complete(t *testing.T, messages []Message) {
	t.Helper()
	covered := map[string]bool{}
	for _, m := range messages {
		cover(reflect.TypeOf(m.Zero), covered)
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
			declared, ok := node.(*ast.TypeSpec)
			if !ok {
				return true
			}
			body, ok := declared.Type.(*ast.StructType)
			if ok && !covered[declared.Name.Name] && slices.ContainsFunc(body.Fields.List, func(f *ast.Field) bool {
				return f.Tag != nil && strings.Contains(f.Tag.Value, `msgpack:"`)
			}) {
				t.Errorf("%s: the form of %s is compared with no golden file", file, declared.Name.Name)
			}
			return true
		})
	}
}

// cover notes the names of a type and of all that it consists of.
func cover(t reflect.Type, names map[string]bool) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		cover(t.Elem(), names)
	case reflect.Struct:
		names[t.Name()] = true
		for i := range t.NumField() {
			cover(t.Field(i).Type, names)
		}
	}
}

// JSON compares what filled values of types that are printed as JSON look like with
// testdata/NAME.
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

// decodeAll decodes the bytes that testdata/NAME holds.
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
	var of string
	for _, l := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		form, text, _ := strings.Cut(l, " ")
		if strings.HasPrefix(l, "[") {
			of = strings.Trim(l, "[]")
			continue
		}
		if types[of] == nil {
			t.Fatalf("testdata/%s: %s is gone", name, of)
		}
		want, got := reflect.New(types[of]), reflect.New(types[of])
		fill(want.Elem(), of)
		switch form {
		case "msgpack":
			raw, err := hex.DecodeString(text)
			if err != nil {
				t.Fatal(of, err)
			}
			if err := wire.Unmarshal(raw, got.Interface()); err != nil {
				t.Fatal(of, err)
			}
		case "json":
			if err := json.Unmarshal([]byte(text), got.Interface()); err != nil {
				t.Fatal(of, err)
			}
		default:
			continue
		}
		if !reflect.DeepEqual(got.Interface(), want.Interface()) {
			t.Errorf("testdata/%s: %s in %s is read as\n%+v, want\n%+v", name, of, form, got.Elem(), want.Elem())
		}
	}
}

func packed(t *testing.T, v any) []byte {
	t.Helper()
	b, err := wire.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// looseJSON is MessagePack as JSON, with the members in the order of their names.
func looseJSON(t *testing.T, b []byte) string {
	t.Helper()
	var loose any
	if err := wire.Unmarshal(b, &loose); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(loose)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

var rawMessage = reflect.TypeFor[msgpack.RawMessage]()

// fill sets everything that is encoded, with values that follow from the names on the
// wire: no two fields have the same one, and none is left out as empty.
func fill(v reflect.Value, path string) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(path))
	number := int64(h.Sum32()%30_000) + 1
	if v.Type() == rawMessage {
		b, _ := msgpack.Marshal(path) // a text always can be
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
	case reflect.Map: // one member, as their order is not fixed
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
		panic(fmt.Sprintf("%s: a %s is not filled in", path, v.Kind()))
	}
}

// hasTag says whether a struct's fields have a tag.
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

// Fields lists the names that files have, as a tag gives them, with the kinds of their
// values and whatever else the tag says; those within others have the outer names before.
func Fields(v any, tag string) []string {
	names := map[string]bool{}
	fields(reflect.TypeOf(v), tag, "", names)
	return slices.Sorted(maps.Keys(names))
}

func fields(t reflect.Type, tag, prefix string, names map[string]bool) {
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
				fields(f.Type, tag, prefix, names)
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
		names[entry+" "+kind(f.Type)] = true
		if inner.Kind() == reflect.Struct {
			fields(inner, tag, prefix+name+".", names)
		}
	}
}

// kind is what a field takes, without the names of Go types.
func kind(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return kind(t.Elem())
	case reflect.Slice:
		return "list of " + kind(t.Elem())
	case reflect.Map:
		return "map of " + kind(t.Elem())
	case reflect.Struct:
		return "block"
	}
	return t.Kind().String()
}

// Recorder is an HTTP server that keeps what it is asked, one line a request: method, path,
// content type and the body in the protocol's text form.
type Recorder struct {
	// Answer returns the status and the body of the answer to a request.
	Answer func(r *http.Request) (code int, body any)

	mu    sync.Mutex
	lines []string
}

// ServeHTTP implements http.Handler.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	var loose any
	if err == nil && len(body) > 0 {
		err = wire.Unmarshal(body, &loose)
	}
	text, jsonErr := json.Marshal(loose)
	if err = errors.Join(err, jsonErr); err != nil {
		text = []byte(err.Error())
	}
	r.mu.Lock()
	r.lines = append(r.lines, fmt.Sprintf("%s %s %s %s", req.Method, req.URL.RequestURI(), cmp.Or(req.Header.Get("Content-Type"), "-"), text))
	r.mu.Unlock()
	code, answer := r.Answer(req)
	packed, err := wire.Marshal(answer)
	if err != nil {
		code = http.StatusInternalServerError
	}
	w.WriteHeader(code)
	_, _ = w.Write(packed) // who asked sees a failure
}

// Lines are the requests so far.
func (r *Recorder) Lines() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.lines)
}
