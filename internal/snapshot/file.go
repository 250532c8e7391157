package snapshot

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

const (
	// generations is how many snapshots a directory, or the state service, keeps.
	generations = 2

	fileSuffix  = ".snapshot"
	tempPattern = ".snapshot-*" // of files that are being written
	dirMode     = 0o700
)

// ReadFile reads a snapshot from a file.
func ReadFile(path string, key []byte) (*Snapshot, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	snap, err := Decode(content, key)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return snap, nil
}

// WriteFile writes a file atomically: under another name first, then it is renamed.
func (s *Snapshot) WriteFile(path string, key []byte) error {
	content, err := s.Encode(key)
	if err != nil {
		return err
	}
	file, err := os.CreateTemp(filepath.Dir(path), tempPattern)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	err = errors.Join(err, file.Sync(), file.Close())
	if err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		return errors.Join(err, os.Remove(file.Name()))
	}
	return syncDirectory(filepath.Dir(path))
}

// syncDirectory makes a rename in a directory durable.
func syncDirectory(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// SaveFile writes a snapshot into a directory, and then removes all but the newest two
// valid ones and what interrupted writers have left. Snapshots of later times have
// later names.
func (s *Snapshot) SaveFile(dir string, key []byte) (path string, err error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return "", err
	}
	path = filepath.Join(dir, fmt.Sprintf("%020d-%020d%s", s.TakenAt, s.Revision, fileSuffix))
	if err := s.WriteFile(path, key); err != nil {
		return "", err
	}
	return path, removeOldFiles(dir, key)
}

// removeOldFiles removes all but the newest valid snapshots of a directory, and temporary
// files. Invalid snapshots are kept while there are too few valid ones.
func removeOldFiles(dir string, key []byte) error {
	files, err := ListFiles(dir, key)
	if err != nil {
		return err
	}
	valid := 0
	for _, file := range files {
		if file.Err == nil {
			valid++
		}
		if valid > generations || file.Err != nil && valid >= generations {
			err = errors.Join(err, os.Remove(file.Path))
		}
	}
	temporary, _ := filepath.Glob(filepath.Join(dir, tempPattern)) // the pattern is valid
	for _, path := range temporary {
		err = errors.Join(err, os.Remove(path))
	}
	return err
}

// File is a file of a directory: a snapshot, or why it is invalid.
type File struct {
	Path     string
	Bytes    int
	Snapshot *Snapshot
	Err      error
}

// ListFiles reads the snapshots of a directory, the newest first.
func ListFiles(dir string, key []byte) ([]File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var files []File
	for _, entry := range entries {
		if !strings.HasSuffix(entry.Name(), fileSuffix) {
			continue
		}
		file := File{Path: filepath.Join(dir, entry.Name())}
		if info, err := entry.Info(); err == nil {
			file.Bytes = int(info.Size())
		}
		file.Snapshot, file.Err = ReadFile(file.Path, key)
		files = append(files, file)
	}
	slices.Reverse(files) // names rise with time
	return files, nil
}
