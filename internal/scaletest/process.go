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

// clockTicks is how many ticks of processor time the kernel counts in a second (USER_HZ).
const clockTicks = 100

// Usage is what the kernel says of a process: processor seconds, resident megabytes, bytes
// read and written by system calls (for a controller all of them on sockets, but for its
// log), and open sockets.
type Usage struct {
	CPU      float64
	Resident float64
	Read     int64
	Written  int64
	Sockets  int
}

// usage reads a process's figures from /proc.
func usage(pid int) (u Usage, err error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return u, err
	}
	// The name in parentheses may hold spaces: fields count from behind it.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const userTime, systemTime, pages = 11, 12, 21
	if len(fields) <= pages {
		return u, fmt.Errorf("%s/stat: too short", dir)
	}
	for _, at := range []int{userTime, systemTime} {
		ticks, err := strconv.ParseFloat(fields[at], 64)
		if err != nil {
			return u, err
		}
		u.CPU += ticks / clockTicks
	}
	resident, err := strconv.ParseFloat(fields[pages], 64)
	if err != nil {
		return u, err
	}
	u.Resident = resident * float64(os.Getpagesize()) / (1 << 20)
	if u.Read, u.Written, err = transfers(filepath.Join(dir, "io")); err != nil {
		return u, err
	}
	u.Sockets, err = sockets(filepath.Join(dir, "fd"))
	return u, err
}

func transfers(path string) (read, written int64, err error) {
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

func sockets(dir string) (count int, err error) {
	open, err := os.ReadDir(dir)
	if err != nil {
		return 0, err
	}
	for _, file := range open {
		if target, err := os.Readlink(filepath.Join(dir, file.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count, nil
}

// Host is the machine that the run is on.
type Host struct {
	Cores    int     `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Busy     float64 `json:"busy"` // share of all processors that was in use while the run measured
}

// memoryMB is the machine's memory.
func memoryMB() (float64, error) {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 1 && fields[0] == "MemTotal:" {
			kb, err := strconv.ParseFloat(fields[1], 64)
			return kb / 1024, err
		}
	}
	return 0, errors.New("/proc/meminfo: no MemTotal")
}

// processorTicks is how many ticks all processors have had, and how many of them idle.
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
		const idleField, waitField = 4, 5
		if i == idleField || i == waitField {
			idle += ticks
		}
	}
	return all, idle, nil
}
