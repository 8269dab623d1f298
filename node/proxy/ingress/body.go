package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"auburnladder.example/core/routing"
	"auburnladder.example/wire/peerpb"
)

var (
	// errAborted reports that the server's node aborted a response after its head.
	errAborted = errors.New("response aborted by the server's node")
	// errTooLarge reports a response body above the resource's limit.
	errTooLarge = errors.New("answer is above the resource's limit")
)

// bodyReader reads the parts of a response body that follow the head. It returns io.EOF
// only after the complete body. On any other error fasthttp closes the caller's connection,
// so that the caller can detect the truncated response.
type bodyReader struct {
	attempt *attempt
	part    peerpb.Body
	pending []byte // received from the server's node, not yet read by fasthttp
	total   uint64 // bytes received
	last    bool   // the last part has been received
	err     error  // returned by all further reads
	// caller ends when the caller disconnects, which interrupts a pending read.
	caller context.Context
	// ending ends reading before the response has begun when the node is about to exit; nil means
	// never.
	ending       context.Context
	stopWatching func() bool
}

// newBodyReader returns a reader that starts with the part of the body in a's reply.
func newBodyReader(a *attempt) *bodyReader {
	inline := a.reply.GetBody()
	caller := a.call.exchange.Context()
	stop := context.AfterFunc(caller, func() { a.stream.SetDeadline(pastDeadline) })
	return &bodyReader{attempt: a, pending: inline, total: uint64(len(inline)), caller: caller, stopWatching: stop}
}

// Read implements io.Reader. It never returns 0 bytes without an error.
func (r *bodyReader) Read(p []byte) (int, error) {
	for len(r.pending) == 0 {
		if r.err == nil && r.last {
			r.err = io.EOF
		}
		if r.err != nil {
			return 0, r.err
		}
		r.err = r.readPart()
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// readPart reads the next part unless the caller has disconnected, the request has ended or the node
// is about to exit.
func (r *bodyReader) readPart() error {
	end := r.attempt.call.end
	r.attempt.stream.SetDeadline(end)
	switch {
	case !time.Now().Before(end):
		return r.truncated(errDeadline)
	case r.caller.Err() != nil:
		return r.truncated(errCallerDisconnected)
	case r.ending != nil && r.ending.Err() != nil:
		return r.truncated(errNodeEnding)
	}
	return r.receive()
}

// receive receives the next part, checks it against the limit and the total, and reports the
// progress to the server's node.
func (r *bodyReader) receive() error {
	r.part.Reset()
	if err := r.attempt.stream.Recv(&r.part); err != nil {
		return r.truncated(err)
	}
	if r.part.GetAborted() {
		return r.truncated(errAborted)
	}
	r.total += uint64(len(r.part.GetData()))
	if r.total > uint64(r.attempt.call.match.Resource.MaxResponseBytes) {
		return r.truncated(errTooLarge)
	}
	r.last = r.part.GetLast()
	if r.last && r.part.GetTotal() != r.total {
		return r.truncated(fmt.Errorf("received %d of %d bytes", r.total, r.part.GetTotal()))
	}
	r.pending = r.part.GetData()
	// A failed send means that the stream has failed; the next read returns that error.
	_ = r.attempt.stream.Send(&peerpb.Progress{Received: r.total})
	return nil
}

// truncated counts a response that ends before its body is complete, and returns err with
// the number of bytes received.
func (r *bodyReader) truncated(err error) error {
	metrics.truncated.Add(1)
	r.attempt.outcome.Kind = routing.Failure
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("response from %s truncated after %d bytes: %w", r.attempt.endpoint.VM, r.total, err)
}

// Close implements io.Closer. fasthttp calls it after the response has been sent, or when
// the caller disconnects before that.
func (r *bodyReader) Close() error {
	r.stopWatching()
	if !r.last && r.err == nil {
		r.attempt.outcome.Kind = routing.Cancelled
	}
	r.attempt.finish()
	return nil
}
