// Command rig runs the cases of the review: it starts the project's nodes as separate processes
// beside stand-ins of the store, the servers and the clients, and checks one rule. It exits with 1
// if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// scenario is one case. trouble is unset if the disruption is to be left out. It reports whether
// the rule was broken.
type scenario func(c *cluster, trouble bool) (broken bool, err error)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO ROOT RECORD")
		return notRun
	}
	play := scenarios[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown scenario")
		return notRun
	}
	record, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	c, err := newCluster(os.Args[2], record)
	if c != nil {
		defer c.stop()
	}
	broken := false
	if err == nil {
		broken, err = play(c, os.Getenv("TROUBLE") != "0")
	}
	switch {
	case err != nil:
		record.note("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return notRun
	case broken:
		record.note("RESULT: the rule was broken")
		fmt.Println("the rule was broken")
		return ruleBroken
	default:
		record.note("RESULT: the rule held")
		fmt.Println("the rule held")
		return ruleHeld
	}
}
