// Command standin runs one case of the review. It starts the project's controllers as processes of their own, with the
// command of the deploy file, and plays everything around them on loopback addresses: the state service, the cloud and
// the workers are those of internal/emulator; the platform, which restarts a controller 5 s after its end, and the users
// are here. It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// timeLimit is the time after which a case that has not ended counts as one that couldn't run.
const timeLimit = 116 * time.Second

var (
	errUnknownCase = errors.New("there is no such case")
	errTimeLimit   = errors.New("the case took too long or was told to end")
	errNotRunning  = errors.New("the job does not run")
)

// cases has the function of each case by the name of its flag. The function reports whether the rule held.
var cases = map[string]func(*world) (held bool, err error){
	"malformed": runMalformed,
	"change":    runChange,
	"mistake":   runMistake,
}

func main() {
	name := flag.String("case", "", "the case to run")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("program", "target/dalefront", "the controllers' program")
	flag.Parse()
	os.Exit(runCase(*name, *out, *program))
}

// runCase runs a case and returns the exit code.
func runCase(name, out, program string) int {
	file, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	log := &record{out: file, began: time.Now()}
	held, err := play(name, program, log)
	switch {
	case err != nil:
		log.addf("the case couldn't run: %v", err)
		return exitFailed
	case held:
		log.addf("the rule held")
		return exitHeld
	}
	log.addf("the rule was broken")
	return exitBroken
}

// play starts the site of a case, runs the case and ends everything that it started.
func play(name, program string, log *record) (held bool, err error) {
	script := cases[name]
	if script == nil {
		return false, fmt.Errorf("%q: %w", name, errUnknownCase)
	}
	absolute, err := filepath.Abs(program)
	if err != nil {
		return false, err
	}
	ctx, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer release()
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	w := &world{ctx: ctx, log: log, trouble: os.Getenv("TROUBLE") != "0", starts: map[string]int{}}
	log.addf("case %s, disruption: %v", name, w.trouble)
	defer w.stop()
	if err := w.start(absolute, name); err != nil {
		return false, err
	}
	held, err = script(w)
	if err == nil && ctx.Err() != nil {
		err = errTimeLimit
	}
	return held, err
}

// counter counts events of several goroutines.
type counter struct{ atomic.Int64 }
