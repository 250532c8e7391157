// Package limits holds the page on fixed limits against the code.
package limits

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	root = "../.."
	page = root + "/docs/CAPACITY.md"
)

// row is one limit as the page says it.
type row struct {
	name  string // package.constant, package.function or package.Type.method
	value string // expression
	line  int
}

// rows reads the tables of the page's section on fixed limits.
func rows(t *testing.T) (out []row) {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	within := false
	for i, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "## ") {
			within = line == "## Fixed limits"
		}
		if !within || !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| package ") || strings.HasPrefix(line, "| --- ") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "| "), " | ")
		if len(cells) != 6 {
			t.Errorf("line %d has %d columns, want 6: %s", i+1, len(cells), line)
			continue
		}
		for _, cell := range cells {
			if strings.TrimSpace(cell) == "" {
				t.Errorf("line %d has an empty column: %s", i+1, line)
			}
		}
		out = append(out, row{cells[0] + "." + strings.Trim(cells[1], "*`"), strings.Trim(cells[2], "`"), i + 1})
	}
	return out
}

// source is what the test needs of the program's code.
type source struct {
	fset   *token.FileSet
	values map[string]string // expressions of constants, and of functions that return one
	consts map[string]token.Position
	files  []*ast.File
}

// parse reads the program's code without its tests.
func parse(t *testing.T) *source {
	t.Helper()
	s := &source{fset: token.NewFileSet(), values: map[string]string{}, consts: map[string]token.Position{}}
	for _, top := range []string{"internal", "wire", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(s.fset, path, nil, parser.SkipObjectResolution)
			if err == nil {
				s.add(filepath.Base(filepath.Dir(path)), file)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// add takes a file's constants and functions.
func (s *source) add(pkg string, file *ast.File) {
	s.files = append(s.files, file)
	for _, decl := range file.Decls {
		switch d := decl.(type) {
		case *ast.GenDecl:
			if d.Tok == token.CONST {
				s.addConsts(pkg, d)
			}
		case *ast.FuncDecl:
			if ret := onlyReturn(d); ret != nil {
				s.values[pkg+"."+receiver(d)+d.Name.Name] = s.text(ret)
			}
		}
	}
}

func (s *source) addConsts(pkg string, decl *ast.GenDecl) {
	for _, spec := range decl.Specs {
		v := spec.(*ast.ValueSpec)
		for i, name := range v.Names {
			if i < len(v.Values) {
				s.values[pkg+"."+name.Name] = s.text(v.Values[i])
				s.consts[pkg+"."+name.Name] = s.fset.Position(name.Pos())
			}
		}
	}
}

// onlyReturn is what a function returns that does nothing else.
func onlyReturn(f *ast.FuncDecl) ast.Expr {
	if f.Body == nil || len(f.Body.List) != 1 {
		return nil
	}
	if ret, ok := f.Body.List[0].(*ast.ReturnStmt); ok && len(ret.Results) == 1 {
		return ret.Results[0]
	}
	return nil
}

// receiver is the type of a method with a dot, or nothing.
func receiver(f *ast.FuncDecl) string {
	if f.Recv == nil {
		return ""
	}
	typ := f.Recv.List[0].Type
	if star, ok := typ.(*ast.StarExpr); ok {
		typ = star.X
	}
	if name, ok := typ.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

func (s *source) text(x ast.Expr) string {
	var out bytes.Buffer
	_ = printer.Fprint(&out, s.fset, x) // to memory
	return out.String()
}

// The page says of each limit what the code says.
func TestPageHasLimits(t *testing.T) {
	s := parse(t)
	all := rows(t)
	if len(all) < 100 {
		t.Fatalf("%d rows were read", len(all))
	}
	seen := map[string]int{}
	for _, r := range all {
		switch got, ok := s.values[r.name]; {
		case !ok:
			t.Errorf("docs/CAPACITY.md:%d: there is no constant, and no function of one expression, %s", r.line, r.name)
		case got != r.value:
			t.Errorf("docs/CAPACITY.md:%d: %s is %q there, and %q in the code", r.line, r.name, r.value, got)
		}
		if before := seen[r.name]; before != 0 {
			t.Errorf("docs/CAPACITY.md:%d: %s stands on line %d, too", r.line, r.name, before)
		}
		seen[r.name] = r.line
	}
}

// named are the names of constants that bound something.
var named = regexp.MustCompile(`\.((max|most|min|least)[A-Z]|Max[A-Z]|Most[A-Z]|Min[A-Z]|.*(Page|Conns|Bytes|Queue)$)`)

// notLimits are constants with such names that don't bound a size, a rate, a count or a buffer.
var notLimits = map[string]string{}

// Each constant that bounds a number of something has its row.
func TestLimitsAreOnPage(t *testing.T) {
	s := parse(t)
	onPage := map[string]bool{}
	for _, r := range rows(t) {
		onPage[r.name] = true
	}
	found := 0
	for _, name := range slices.Sorted(maps.Keys(s.consts)) {
		if !named.MatchString(name) || strings.Contains(s.values[name], "time.") || strings.HasPrefix(s.values[name], `"`) {
			continue
		}
		found++
		if _, isNone := notLimits[name]; !isNone && !onPage[name] {
			t.Errorf("%s: %s is not in the section \"Fixed limits\" of docs/CAPACITY.md", s.consts[name], name)
		}
	}
	if found < 60 {
		t.Errorf("only %d limits were found", found)
	}
	for name := range notLimits {
		if _, ok := s.consts[name]; !ok {
			t.Errorf("there is no constant %s", name)
		}
	}
}

// bounding are calls whose numbers bound something.
var bounding = regexp.MustCompile(`^(make|rate\.NewLimiter|io\.LimitReader|http\.MaxBytesReader|httpclient\.New|grpc\.(Max|Read|Write|Initial).*)$`)

// Buffers, rates and sizes are given by names, not by numbers. Room for one or two, such as a
// result that nobody may wait for, is none.
func TestLimitsHaveNames(t *testing.T) {
	s := parse(t)
	calls := 0
	for _, file := range s.files {
		ast.Inspect(file, func(node ast.Node) bool {
			call, ok := node.(*ast.CallExpr)
			if !ok || !bounding.MatchString(s.text(call.Fun)) {
				return true
			}
			args := call.Args
			if s.text(call.Fun) == "make" {
				if len(args) == 0 {
					return true // a function of that name
				}
				if _, isChan := args[0].(*ast.ChanType); !isChan {
					return true
				}
				args = args[1:]
			}
			calls++
			for _, arg := range args {
				if naked(arg) {
					t.Errorf("%s: a number without a name: %s", s.fset.Position(arg.Pos()), s.text(arg))
				}
			}
			return true
		})
	}
	if calls < 20 {
		t.Errorf("only %d calls were found", calls)
	}
}

// naked says whether an expression has a number above 2 that isn't a divisor.
func naked(x ast.Expr) bool {
	switch e := x.(type) {
	case *ast.BasicLit:
		n, err := strconv.ParseFloat(strings.ReplaceAll(e.Value, "_", ""), 64)
		return err == nil && n > 2
	case *ast.ParenExpr:
		return naked(e.X)
	case *ast.BinaryExpr:
		if e.Op == token.QUO {
			return naked(e.X)
		}
		return naked(e.X) || naked(e.Y)
	case *ast.CallExpr:
		return slices.ContainsFunc(e.Args, naked)
	}
	return false
}
