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

// FaultKind is the type of an event that the harness caused or observed on a node.
type FaultKind string

// Kinds of faults and of the recovery from them.
const (
	NodeKilled  FaultKind = "killed"
	NodeStarted FaultKind = "started"
	NodePaused  FaultKind = "paused"
	NodeResumed FaultKind = "resumed"
	// NodeReady is recorded when the node serves callers again.
	NodeReady FaultKind = "ready"
)

// Fault is one record of faults.jsonl.
type Fault struct {
	At   time.Time `json:"at"`
	VM   string    `json:"vm"`
	Kind FaultKind `json:"kind"`
}

// Summary counts calls by outcome.
type Summary struct {
	Calls int
	// Complete counts complete responses of backend servers, by service.
	Complete   map[string]int
	NotRun     int
	MayHaveRun int
	// NoResponse counts calls that got no complete response. This is allowed only if the
	// node that the caller sent them to was down or paused.
	NoResponse int
}

// CheckCalls checks the calls of a load against the request histories of all backend
// servers: each caller got the complete response to its own request or an error with a
// verdict, no call with the verdict not-run reached a server, and no call that is not
// idempotent reached servers more than once. The error joins all violations.
func (c *Cluster) CheckCalls(calls []Call) (Summary, error) {
	received, err := c.histories()
	if err != nil {
		return Summary{}, err
	}
	faults := c.Faults.Records()
	sum := Summary{Complete: make(map[string]int)}
	var violations []error
	for _, call := range calls {
		sum.Calls++
		if err := sum.checkCall(call, received[call.ID], faults); err != nil {
			violations = append(violations, fmt.Errorf("%s %s %s%s at %s: %w", call.ID, call.Method, call.Service, call.Path, call.Node, err))
		}
	}
	return sum, errors.Join(violations...)
}

// histories returns the requests that the backend servers received, by request ID.
func (c *Cluster) histories() (map[string][]backend.Record, error) {
	received := make(map[string][]backend.Record)
	for _, vm := range c.VMs {
		records, err := ReadJournal[backend.Record](vm.HistoryFile())
		if err != nil {
			return nil, err
		}
		for _, r := range records {
			// A server writes two lines for each request. The second one has an end time and
			// is skipped.
			if r.End.IsZero() {
				received[r.RequestID] = append(received[r.RequestID], r)
			}
		}
	}
	return received, nil
}

func (s *Summary) checkCall(call Call, received []backend.Record, faults []Fault) error {
	if !call.Idempotent && len(received) > 1 {
		return fmt.Errorf("call is not idempotent, but reached servers %d times: %+v", len(received), received)
	}
	if call.Status == 0 {
		s.NoResponse++
		if !nodeWasDown(faults, call) {
			return fmt.Errorf("no complete response although the node was up: %s", call.Error)
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
		if len(received) > 0 {
			return fmt.Errorf("verdict is not-run, but the call reached a server: %+v", received)
		}
	case verdict.MayHaveRun:
		s.MayHaveRun++
	case verdict.Ran:
		return s.checkComplete(call, received)
	}
	return nil
}

// checkComplete checks that a response with the verdict ran comes from a backend server
// that received the call, and, for status 200, that its body is complete and belongs to
// this call.
func (s *Summary) checkComplete(call Call, received []backend.Record) error {
	if len(received) == 0 {
		return errors.New("verdict is ran, but the call reached no server")
	}
	if call.Status != http.StatusOK {
		return nil
	}
	var response backend.Response
	if err := json.Unmarshal(call.Body, &response); err != nil {
		return fmt.Errorf("response body is truncated or malformed: %w", err)
	}
	if response.RequestID != call.ID || response.Service != call.Service || response.BodySHA256 != call.SentSHA256 {
		return fmt.Errorf("mismatched response, belongs to another request: %+v", response)
	}
	s.Complete[call.Service]++
	return nil
}

// nodeWasDown reports whether the node that the caller sent the call to was killed or
// paused during the call, or before it without having become ready again. The faults must
// be in order of time.
func nodeWasDown(faults []Fault, call Call) bool {
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
