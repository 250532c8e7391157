package hclfile

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// fileBytes is the size of the files of these tests, in bytes.
const fileBytes = 128 << 10

// maxStack is the stack that reading a file may take, in bytes. It is a quarter of the memory of the smallest
// deployment's controllers.
const maxStack = 98 << 20 / 4

// repeated returns text that opens something as often as fits into a file, a value, and what closes it as often.
func repeated(opening, value, closing string) string {
	count := fileBytes / len(opening+closing)
	return strings.Repeat(opening, count) + value + strings.Repeat(closing, count)
}

// Guards against: a file with deeply nested brackets ended the process that read it, a controller or a command, with
// "goroutine stack exceeds 1000000000-byte limit"; 64 KiB sufficed.
func TestDeepNestingIsRejected(t *testing.T) {
	for name, text := range map[string]string{
		"parentheses":   "x = " + repeated("(", "1", ")"),
		"lists":         "x = " + repeated("[", "", "]"),
		"line breaks":   "x = " + repeated("[\n", "", "]\n"),
		"objects":       "x = " + repeated("{a=", "1", "}"),
		"templates":     "x = " + repeated(`"${`, "1", `}"`),
		"calls":         "x = " + repeated("f(", "1", ")"),
		"blocks":        repeated("a {\n", "", "}\n"),
		"not closed":    "x = " + repeated("(", "1", ""),
		"negations":     "x = " + repeated("!", "true", ""),
		"minus":         "x = " + repeated("-", "1", ""),
		"conditions":    "x = " + repeated("true ? 1 : ", "1", ""),
		"sums":          "x = " + repeated("1+", "1", ""),
		"long sums":     "x = (" + repeated("1+\n", "1", "") + ")",
		"sums of lists": "x = " + repeated("[1,1]+", "1", ""),
		"indices":       "x = a" + repeated("[*]", "", ""),
		"controls":      "x = \"" + repeated("%{if true}", "", "") + "\"",
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			go func() { // on a stack of its own, which has not grown yet
				defer close(done)
				checkRejected(t, text+"\n")
			}()
			<-done
		})
	}
}

func checkRejected(t *testing.T, text string) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err := Decode([]byte(text), "f.hcl", &struct{}{})
	runtime.ReadMemStats(&after)
	if err == nil || !strings.Contains(err.Error(), "Too complex") || strings.Contains(err.Error(), "\n") {
		t.Errorf("got %v, want one line that says that the file is too complex", err)
	}
	if stack := int64(after.StackInuse) - int64(before.StackInuse); stack > maxStack {
		t.Errorf("reading %d bytes took %d bytes of stack, want %d at most", len(text), stack, maxStack)
	}
}

// Checks that what is long, but not nested, is read.
func TestLongFileIsRead(t *testing.T) {
	var text strings.Builder
	for i := range 2_000 {
		fmt.Fprintf(&text, "item \"%d\" {\n  value = (1 + 2) * -3\n  list = [1, 2, (3 + 4)]\n}\n", i)
	}
	var content struct {
		Items []struct {
			Name  string    `hcl:",label"`
			Value float64   `hcl:"value"`
			List  []float64 `hcl:"list"`
		} `hcl:"item,block"`
	}
	if err := Decode([]byte(text.String()), "f.hcl", &content); err != nil {
		t.Fatal(err)
	}
	if len(content.Items) != 2_000 || content.Items[7].Value != -9 || content.Items[7].List[2] != 7 {
		t.Errorf("%d items were read, the first is %+v", len(content.Items), content.Items[0])
	}
}
