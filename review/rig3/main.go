// Command rig3 plays the cases of the third review: it starts the project's nodes as the deploy file does, with
// small stand-ins of the store, the servers and the clients, and exits with 1 if the rule of the case was broken.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Print(line)
	}
}

// scenario plays a case. trouble is false for the run without the disruption.
type scenario func(r *record, trouble bool) (int, error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 SCENARIO RECORD")
		os.Exit(cannotRun)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	r := &record{file: file, began: time.Now()}
	code, err := scenarios[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = cannotRun
	}
	r.printf("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken", cannotRun: "the case could not run"}[code])
	_ = file.Close()
	os.Exit(code)
}
