package main

import (
	"errors"
	"io"
	"os"
	"path/filepath"
)

// writeFile creates a file in a directory and calls write for its content. It creates the directory if it does
// not exist.
func writeFile(dir, name string, write func(io.Writer) error) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(dir, name))
	if err != nil {
		return err
	}
	return errors.Join(write(out), out.Close())
}
