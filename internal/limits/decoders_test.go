package limits

import (
	"go/ast"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// decoderCalls has the functions that turn bytes into values without regard to what they cost, each with the files
// that may call it, because they check the bytes first.
var decoderCalls = map[string][]string{
	"msgpack.Unmarshal":         {"wire/wire.go"},
	"msgpack.NewDecoder":        {"wire/submission.go"},
	"msgpack.GetDecoder":        {},
	"hclparse.NewParser":        {"internal/hclfile/hclfile.go"},
	"hclsyntax.ParseConfig":     {},
	"hclsyntax.ParseExpression": {},
	"hclsimple.Decode":          {},
	"hclsimple.DecodeFile":      {},
	"gob.NewDecoder":            {},
	"json.NewDecoder":           {},
}

// limitedReaders are the functions whose result may be read whole.
var limitedReaders = []string{"io.LimitReader", "http.MaxBytesReader"}

// testPackages are packages of the program's tests, which read only what the tests send.
var testPackages = []string{"internal/golden/"}

// Guards against: bytes from outside reached a decoder that allocates what the bytes announce. A new decoder has to
// check its bytes first, as wire.Unmarshal and hclfile.Parse do, and a body has to be read up to a limit.
func TestBytesAreCheckedBeforeDecoding(t *testing.T) {
	s := parseSource(t)
	found := map[string]int{}
	for _, file := range s.files {
		ast.Inspect(file, func(node ast.Node) bool {
			call, ok := node.(*ast.CallExpr)
			if !ok {
				return true
			}
			function, position := s.text(call.Fun), s.fset.Position(call.Pos())
			path, _ := filepath.Rel(root, position.Filename)
			if slices.ContainsFunc(testPackages, func(prefix string) bool { return strings.HasPrefix(path, prefix) }) {
				return true
			}
			found[function]++
			if allowed, isDecoder := decoderCalls[function]; isDecoder && !slices.Contains(allowed, path) {
				t.Errorf("%s: %s decodes bytes that were not checked", position, function)
			}
			if function == "io.ReadAll" && !isLimited(s, call.Args[0]) {
				t.Errorf("%s: what is read has no limit: %s", position, s.text(call))
			}
			return true
		})
	}
	for _, function := range []string{"msgpack.Unmarshal", "msgpack.NewDecoder", "hclparse.NewParser", "io.ReadAll"} {
		if found[function] == 0 {
			t.Errorf("the code has no call of %s, so that the test checks nothing", function)
		}
	}
}

// isLimited reports whether an expression is a call to one of limitedReaders.
func isLimited(s *source, reader ast.Expr) bool {
	call, ok := reader.(*ast.CallExpr)
	return ok && slices.Contains(limitedReaders, s.text(call.Fun))
}
