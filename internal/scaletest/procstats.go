package scaletest

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// clockTicksPerSecond is the unit of CPU times in /proc (USER_HZ).
const clockTicksPerSecond = 100

// ProcessStats holds the kernel's statistics of a process. ReadBytes and WrittenBytes count the bytes of all
// read and write system calls. A controller makes these calls on sockets, except for those that write
// its log.
type ProcessStats struct {
	CPUSeconds   float64 // user and system time
	ResidentMB   float64
	ReadBytes    int64
	WrittenBytes int64
	Sockets      int // open sockets
}

// readProcessStats reads the statistics of a process from /proc.
func readProcessStats(pid int) (stats ProcessStats, err error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return stats, err
	}
	// The command name, in parentheses, may contain spaces, so the fields after the name are counted.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const userTimeField, systemTimeField, residentPagesField = 11, 12, 21
	if len(fields) <= residentPagesField {
		return stats, fmt.Errorf("%s/stat: too few fields", dir)
	}
	for _, index := range []int{userTimeField, systemTimeField} {
		ticks, err := strconv.ParseFloat(fields[index], 64)
		if err != nil {
			return stats, err
		}
		stats.CPUSeconds += ticks / clockTicksPerSecond
	}
	resident, err := strconv.ParseFloat(fields[residentPagesField], 64)
	if err != nil {
		return stats, err
	}
	stats.ResidentMB = resident * float64(os.Getpagesize()) / (1 << 20)
	if stats.ReadBytes, stats.WrittenBytes, err = readIOBytes(filepath.Join(dir, "io")); err != nil {
		return stats, err
	}
	stats.Sockets, err = countSockets(filepath.Join(dir, "fd"))
	return stats, err
}

// readIOBytes returns the bytes read and written by system calls, from a process's io file in /proc.
func readIOBytes(path string) (read, written int64, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "rchar":
			read = n
		case "wchar":
			written = n
		}
	}
	return read, written, nil
}

// countSockets returns the number of sockets in a process's fd directory in /proc.
func countSockets(dir string) (count int, err error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return 0, err
	}
	for _, file := range files {
		if target, err := os.Readlink(filepath.Join(dir, file.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count, nil
}

// Host describes the machine on which the run takes place.
type Host struct {
	Cores       int     `json:"cores"`
	MemoryMB    float64 `json:"memory_mb"`
	Utilization float64 `json:"busy"` // share of all processor time that was used in the steady part, from 0 to 1
}

// totalMemoryMB returns the memory of the machine in MB.
func totalMemoryMB() (float64, error) {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	defer f.Close()
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		if fields := strings.Fields(scanner.Text()); len(fields) > 1 && fields[0] == "MemTotal:" {
			kb, err := strconv.ParseFloat(fields[1], 64)
			return kb / 1024, err
		}
	}
	return 0, errors.New("/proc/meminfo: no MemTotal")
}

// processorTicks returns the clock ticks of all processors since the machine started, and how many of these
// ticks were idle.
func processorTicks() (all, idle float64, err error) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0, err
	}
	line, _, _ := strings.Cut(string(text), "\n")
	for i, field := range strings.Fields(line) {
		ticks, err := strconv.ParseFloat(field, 64)
		if i == 0 || err != nil {
			continue
		}
		all += ticks
		const idleField, ioWaitField = 4, 5
		if i == idleField || i == ioWaitField {
			idle += ticks
		}
	}
	return all, idle, nil
}
