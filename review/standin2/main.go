// Command standin2 plays one case of the review on loopback: stand-ins of the state service, the cloud, the workers
// and the users around the project's own controllers. It writes record.txt to the current folder. Its exit status is
// 0 if the rule of the case held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	caseArgs = 2
)

// timeLimit is the longest that a case may take.
const timeLimit = 118 * time.Second

// cases are the cases by name. Each returns the exit status.
var cases = map[string]func(trouble bool) (int, error){
	"spread":   playSpread,
	"service":  playService,
	"claims":   playClaims,
	"status":   playStatus,
	"handover": playHandover,
}

func main() {
	if len(os.Args) != caseArgs || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE")
		os.Exit(notRun)
	}
	time.AfterFunc(timeLimit, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(notRun)
	})
	status, err := cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = notRun
	}
	os.Exit(status)
}
