package snapshot

import (
	"fmt"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"dalefront/internal/golden"
)

// What is stored of copies and restores, and a file's content, stay as they are.
func TestStoredStaysAsItIs(t *testing.T) {
	messages := []golden.Message{
		{Name: "snapshot", Zero: Snapshot{}},
		{Name: "head of a stored copy", Zero: copyHead{}},
		{Name: "mark of a restore", Zero: restoreMark{}},
	}
	golden.Messages(t, "stored.golden", messages)
	golden.Complete(t, messages)
	golden.Text(t, "keys.golden", fmt.Sprintf("%s\n%s\n%s\n%s\n", StoredPrefix, headKey(1), partKey(1, 23), markKey))
}

// goldenSnapshot is what the files hold that the earlier version has written.
func goldenSnapshot() *Snapshot {
	return &Snapshot{Revision: 4711, TakenAt: 1_790_000_000_000_000,
		Keys:     map[string]msgpack.RawMessage{"q/a/j-1": {0x81, 0xa1, 'A', 0x07}, "l/7.1": {0x80}, "learned": {0xa2, 'o', 'k'}},
		Versions: map[string]uint64{"q/a/j-1": 4000, "l/7.1": 4001, "learned": 4710}}
}

// Files of the earlier version are read, with a key and without.
func TestFilesOfTheEarlierVersion(t *testing.T) {
	for name, key := range map[string][]byte{"plain.snapshot": nil, "keyed.snapshot": DeriveKey([]byte("a secret"))} {
		s, err := ReadFile(filepath.Join("testdata", name), key)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(s, goldenSnapshot()) {
			t.Errorf("%s is read as %+v", name, s)
		}
		if _, err := ReadFile(filepath.Join("testdata", name), DeriveKey([]byte("another"))); err == nil {
			t.Errorf("%s is read with another key", name)
		}
		// What this version writes begins alike and is read alike.
		b, err := s.Encode(key)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := Decode(b, key); err != nil || !reflect.DeepEqual(again, s) {
			t.Errorf("%s, written again, is read as %+v: %v", name, again, err)
		}
		if !strings.HasPrefix(string(b), "dalefront snapshot\n\x01") {
			t.Errorf("%s begins with %q", name, b[:24])
		}
	}
}
