// Package logevents holds a test alone: the log events in docs/operations.md are those of the code.
package logevents

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// logging are the directories whose code writes a controller's log.
var logging = []string{"../controller", "../sched"}

// page lists the events.
const page = "../../docs/operations.md"

// heading is that of the section with the table of events.
const heading = "## Log events"

// event is the first cell of a row of the table: the name, and the level where it isn't info.
var event = regexp.MustCompile("^\\| `([^`]+)`(?: \\((warning|error)\\))? \\|")

// levels are the names of the levels in the table, by the logger's method.
var levels = map[string]string{"Info": "", "log": "", "Warn": "warning", "Error": "error"}

// isLogger says whether an expression is a logger by its name: log, c.log, l.controller.log.
func isLogger(expr ast.Expr) bool {
	switch x := expr.(type) {
	case *ast.Ident:
		return x.Name == "log"
	case *ast.SelectorExpr:
		return x.Sel.Name == "log"
	}
	return false
}

// logCall returns the method by which a call writes an event at info or above: log.Info and the like,
// or the core's log function.
func logCall(call *ast.CallExpr) (method string, ok bool) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 {
		return "", false
	}
	method = selector.Sel.Name
	switch method {
	case "Info", "Warn", "Error":
		return method, isLogger(selector.X)
	case "log":
		return method, true
	}
	return "", false
}

// writtenEvent is an event that the code writes.
type writtenEvent struct{ where, level string }

// eventsInCode returns the events and where they are written. Only a function that hands events on
// may have one that is no constant.
func eventsInCode(t *testing.T) map[string]writtenEvent {
	t.Helper()
	found := map[string]writtenEvent{}
	files := token.NewFileSet()
	for _, dir := range logging {
		paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(paths) == 0 {
			t.Fatalf("%s: no files: %v", dir, err)
		}
		for _, path := range paths {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(file, func(node ast.Node) bool {
				call, ok := node.(*ast.CallExpr)
				if !ok {
					return true
				}
				method, ok := logCall(call)
				if !ok {
					return true
				}
				where := files.Position(call.Pos()).String()
				switch message := call.Args[0].(type) {
				case *ast.BasicLit:
					text, err := strconv.Unquote(message.Value)
					if err != nil {
						t.Errorf("%s: %v", where, err)
					}
					found[text] = writtenEvent{where, levels[method]}
				case *ast.Ident:
					if message.Name != "msg" {
						t.Errorf("%s: an event's name is a constant text", where)
					}
				default:
					t.Errorf("%s: an event's name is a constant text", where)
				}
				return true
			})
		}
	}
	return found
}

// eventsOnPage returns the events of the table with their levels.
func eventsOnPage(t *testing.T) map[string]string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	_, section, ok := strings.Cut(string(text), heading+"\n")
	if !ok {
		t.Fatalf("%s has no section %q", page, heading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	listed := map[string]string{}
	for line := range strings.Lines(section) {
		match := event.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		if _, twice := listed[match[1]]; twice {
			t.Errorf("%s: %q is listed twice", page, match[1])
		}
		listed[match[1]] = match[2]
	}
	return listed
}

// Each event at info or above is explained to operators, and no other is.
func TestPageHasEvents(t *testing.T) {
	inCode, onPage := eventsInCode(t), eventsOnPage(t)
	if len(inCode) < 40 {
		t.Errorf("only %d events were found in the code", len(inCode))
	}
	for name, written := range inCode {
		level, ok := onPage[name]
		if !ok {
			t.Errorf("%s: %q is not in the section %q of docs/operations.md", written.where, name, heading)
		} else if level != written.level {
			t.Errorf("%s: %q has level %q, and %q in docs/operations.md", written.where, name, written.level, level)
		}
	}
	for name := range onPage {
		if _, ok := inCode[name]; !ok {
			t.Errorf("docs/operations.md lists %q, which nothing writes", name)
		}
	}
}
