// Command lab runs one script of the review: it starts nodes as separate processes, and stands in for
// the store, the backend servers and the clients. It is called as lab CASE RECORD.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// trouble is unset if the script runs without its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

// cases holds the scripts by name. They return whether the rule was broken.
var cases = map[string]func(l *lab) (bool, error){
	"freeze":  runFreeze,
	"endless": runEndless,
	"uploads": runUploads,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		return couldNot
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	l, err := newLab(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer l.close()
	l.printf("case %s, trouble %t", os.Args[1], trouble)
	isBroken, err := cases[os.Args[1]](l)
	switch {
	case err != nil:
		l.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	case isBroken:
		l.printf("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	default:
		l.printf("the rule held")
		fmt.Println("the rule held")
		return held
	}
}
