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
	// generations is the number of valid snapshots that are kept in a directory. It is also the number of
	// copies in the state service.
	generations = 2

	fileSuffix  = ".snapshot"
	tempPattern = ".snapshot-*" // pattern of the names of temporary files
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

// WriteFile writes a snapshot to a file atomically. It writes a temporary file and renames it.
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

// syncDirectory syncs a directory, so that renames in it are durable.
func syncDirectory(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// SaveFile writes a snapshot into a directory. It then removes all but the newest two valid snapshots, and the
// temporary files that interrupted writers have left. The order of the file names is the order of the
// times at which the snapshots were taken.
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

// removeOldFiles removes temporary files from a directory, and all but the newest valid snapshots. An invalid
// snapshot is kept unless the directory has at least two newer valid snapshots (see generations).
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

// File is a snapshot file in a directory.
type File struct {
	Path     string
	Bytes    int       // size of the file
	Snapshot *Snapshot // nil if the file is invalid
	Err      error     // why the file is invalid
}

// ListFiles reads all snapshot files in a directory and returns them newest first.
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
	slices.Reverse(files) // os.ReadDir sorts by name, so the oldest snapshot comes first
	return files, nil
}
