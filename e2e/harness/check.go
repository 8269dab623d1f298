package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"auburnladder.example/core/verdict"
	"auburnladder.example/standin/backend"
)

// FaultKind is what happened to a node.
type FaultKind string

// Kinds of faults, and the ends of them.
const (
	NodeKilled  FaultKind = "killed"
	NodeStarted FaultKind = "started"
	NodePaused  FaultKind = "paused"
	NodeResumed FaultKind = "resumed"
	// NodeReady says that the node serves callers again.
	NodeReady FaultKind = "ready"
)

// Fault is one event in the life of a node.
type Fault struct {
	At   time.Time `json:"at"`
	VM   string    `json:"vm"`
	Kind FaultKind `json:"kind"`
}

// Summary counts the outcomes of calls.
type Summary struct {
	Calls int
	// Whole counts answers of a backend server, by service.
	Whole      map[string]int
	NotRun     int
	MayHaveRun int
	// Broken counts calls without an answer whose own node was down or paused.
	Broken int
}

// CheckCalls checks the calls of a load against the histories of all backend servers:
// each caller got a whole answer to its own request or an error with a verdict,
// nothing ran that was said not to run, and no call that is not idempotent reached
// a server twice.
func (c *Cluster) CheckCalls(calls []Call) (Summary, error) {
	seen, err := c.histories()
	if err != nil {
		return Summary{}, err
	}
	faults := c.Faults.Records()
	sum := Summary{Whole: make(map[string]int)}
	var violations []error
	for _, call := range calls {
		sum.Calls++
		if err := sum.check(call, seen[call.ID], faults); err != nil {
			violations = append(violations, fmt.Errorf("%s %s %s%s at %s: %w", call.ID, call.Method, call.Service, call.Path, call.Node, err))
		}
	}
	return sum, errors.Join(violations...)
}

// histories returns the requests that any backend server saw, by request id.
func (c *Cluster) histories() (map[string][]backend.Record, error) {
	seen := make(map[string][]backend.Record)
	for _, vm := range c.VMs {
		records, err := ReadJournal[backend.Record](vm.HistoryFile())
		if err != nil {
			return nil, err
		}
		for _, r := range records {
			// The second line of a request says how it ended.
			if r.End.IsZero() {
				seen[r.RequestID] = append(seen[r.RequestID], r)
			}
		}
	}
	return seen, nil
}

func (s *Summary) check(call Call, ran []backend.Record, faults []Fault) error {
	if !call.Idempotent && len(ran) > 1 {
		return fmt.Errorf("not idempotent, but reached servers %d times: %+v", len(ran), ran)
	}
	if call.Status == 0 {
		s.Broken++
		if !nodeFaulty(faults, call) {
			return fmt.Errorf("no answer though the node was up: %s", call.Error)
		}
		return nil
	}
	v, err := verdict.Parse(call.Verdict)
	if err != nil {
		return fmt.Errorf("status %d without a verdict: %w", call.Status, err)
	}
	switch v {
	case verdict.NotRun:
		s.NotRun++
		if len(ran) > 0 {
			return fmt.Errorf("told not-run, but reached a server: %+v", ran)
		}
	case verdict.MayHaveRun:
		s.MayHaveRun++
	case verdict.Ran:
		return s.checkWhole(call, ran)
	}
	return nil
}

// checkWhole checks that an answer is that of a backend server to this very call.
func (s *Summary) checkWhole(call Call, ran []backend.Record) error {
	if len(ran) == 0 {
		return errors.New("told ran, but reached no server")
	}
	if call.Status != http.StatusOK {
		return nil
	}
	var a backend.Response
	if err := json.Unmarshal(call.Body, &a); err != nil {
		return fmt.Errorf("answer is not whole: %w", err)
	}
	if a.RequestID != call.ID || a.Service != call.Service || a.BodySHA256 != call.SentSHA256 {
		return fmt.Errorf("answer to another request: %+v", a)
	}
	s.Whole[call.Service]++
	return nil
}

// nodeFaulty reports whether the node that the call went to was killed or paused at
// some time during the call, or not yet ready again.
func nodeFaulty(faults []Fault, call Call) bool {
	faulty := false
	for _, f := range faults {
		if f.VM != call.Node || f.At.After(call.End) {
			continue
		}
		switch f.Kind {
		case NodeKilled, NodePaused:
			faulty = true
		case NodeReady:
			if f.At.Before(call.Start) {
				faulty = false
			}
		}
	}
	return faulty
}
