package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Record describes a request that the backend server received.
type Record struct {
	Sequence  int    `json:"sequence"`
	VM        string `json:"vm"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Start is the time of arrival, End the time at which the response ended. End is zero
	// while the request is in flight.
	Start time.Time `json:"start"`
	End   time.Time `json:"end,omitzero"`
	// Status is the status of the response, 0 if none was sent.
	Status    int   `json:"status"`
	BodyBytes int64 `json:"body_bytes"`
	// Shed marks a request that was refused because all slots were busy. It was not executed.
	Shed bool `json:"shed,omitempty"`
	// Cancelled marks a request whose client disconnected before the response was complete.
	Cancelled bool `json:"cancelled,omitempty"`
}

// History keeps all received requests in order of arrival. If out is set, it also writes a
// JSON line at the start and at the end of each request.
type History struct {
	mu      sync.Mutex
	records []Record
	out     io.Writer
}

// begin appends a record and returns its sequence number.
func (h *History) begin(r Record) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Sequence = len(h.records)
	h.records = append(h.records, r)
	h.write(r)
	return r.Sequence
}

// end applies the final change to the record with the given sequence number.
func (h *History) end(sequence int, change func(*Record)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &h.records[sequence]
	change(r)
	h.write(*r)
}

func (h *History) write(r Record) {
	if h.out == nil {
		return
	}
	_ = json.NewEncoder(h.out).Encode(r)
}

// WriteTo writes all records as JSON lines.
func (h *History) WriteTo(w io.Writer) (int64, error) {
	h.mu.Lock()
	records := append([]Record(nil), h.records...)
	h.mu.Unlock()
	var total int64
	for _, r := range records {
		line, err := json.Marshal(r)
		if err != nil {
			return total, fmt.Errorf("cannot encode request history: %w", err)
		}
		n, err := w.Write(append(line, '\n'))
		total += int64(n)
		if err != nil {
			return total, fmt.Errorf("cannot write request history: %w", err)
		}
	}
	return total, nil
}
