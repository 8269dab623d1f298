package ingress

import (
	"bytes"
	"context"
	"io"

	"auburnladder.example/node/budget"
)

// heldBody is a response body of which the beginning, or all, was received before its head is written.
type heldBody struct {
	io.Reader
	// size is the size of the body in bytes, -1 if it was not received completely.
	size int
	// rest is the part that was not received.
	rest     *bodyReader
	budget   *budget.Budget
	reserved int64
}

// hold receives the body of a's response as far as the budget of buffered responses allows. While the
// node stops, a response that can't be completed in time must not have begun: its caller could not be
// told. The error says why the body is incomplete; a is finished then.
func (g *Ingress) hold(a *attempt) (*heldBody, error) {
	r := a.body
	r.ending = g.Ending
	h := &heldBody{size: -1, rest: r, budget: g.Buffers}
	stop := func() bool { return true }
	if g.Ending != nil {
		stop = context.AfterFunc(g.Ending, func() { a.stream.SetDeadline(pastDeadline) })
	}
	defer stop()
	var data []byte
	for {
		data = append(data, r.pending...)
		r.pending = nil
		if r.last {
			h.size = len(data)
			break
		}
		if !h.reserve(cap(data)) {
			break
		}
		if err := r.readPart(); err != nil {
			r.err = err
			_ = h.Close()
			return nil, err
		}
	}
	r.ending = nil
	h.Reader = io.MultiReader(bytes.NewReader(data), r)
	return h, nil
}

// reserve takes the budget for a buffer of n bytes.
func (h *heldBody) reserve(n int) bool {
	more := int64(n) - h.reserved
	if more <= 0 {
		return true
	}
	if !h.budget.Reserve(more) {
		return false
	}
	h.reserved += more
	return true
}

// Close implements io.Closer.
func (h *heldBody) Close() error {
	h.budget.Release(h.reserved)
	h.reserved = 0
	return h.rest.Close()
}
