package main

import (
	"encoding/json"
	"io"
	"os"

	"dalefront/wire"
)

// readJob turns a job written in JSON, with the names of the wire, into a
// submission.
func readJob(file string) ([]byte, error) {
	var b []byte
	var err error
	if file == "-" {
		b, err = io.ReadAll(os.Stdin)
	} else {
		b, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, err
	}
	var m map[string]any
	if err := json.Unmarshal(b, &m); err != nil {
		return nil, err
	}
	return wire.Marshal(m)
}
