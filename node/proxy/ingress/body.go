package ingress

import (
	"errors"
	"fmt"
	"io"
	"time"

	"auburnladder.example/core/routing"
	"auburnladder.example/wire/peerpb"
)

// bodyIdleTimeout bounds the time between two parts of an answer.
const bodyIdleTimeout = 15 * time.Second

var (
	// errAborted reports that the server's node gave up an answer it had begun.
	errAborted = errors.New("answer was aborted")
	// errTooLarge reports an answer above the resource's limit.
	errTooLarge = errors.New("answer is above the resource's limit")
)

// bodyReader reads the parts of an answer that follow its head. It returns io.EOF
// only after the whole answer. fasthttp closes the caller's connection on any
// other error, so the caller sees that the answer is broken.
type bodyReader struct {
	attempt *attempt
	part    peerpb.Body
	pending []byte
	total   uint64
	last    bool
	err     error
}

func newBodyReader(a *attempt) *bodyReader {
	inline := a.reply.GetBody()
	return &bodyReader{attempt: a, pending: inline, total: uint64(len(inline))}
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
		r.err = r.next()
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// next reads one part and checks it.
func (r *bodyReader) next() error {
	r.attempt.stream.SetDeadline(time.Now().Add(bodyIdleTimeout))
	r.part.Reset()
	if err := r.attempt.stream.Recv(&r.part); err != nil {
		return r.broken(err)
	}
	if r.part.GetAborted() {
		return r.broken(errAborted)
	}
	r.total += uint64(len(r.part.GetData()))
	if r.total > uint64(r.attempt.call.match.Resource.MaxResponseBytes) {
		return r.broken(errTooLarge)
	}
	r.last = r.part.GetLast()
	if r.last && r.part.GetTotal() != r.total {
		return r.broken(fmt.Errorf("%d bytes came of %d", r.total, r.part.GetTotal()))
	}
	r.pending = r.part.GetData()
	// If the report is lost, so is the stream, and the next read says so.
	_ = r.attempt.stream.Send(&peerpb.Progress{Received: r.total})
	return nil
}

func (r *bodyReader) broken(err error) error {
	metrics.broken.Add(1)
	r.attempt.outcome.Kind = routing.Failure
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("answer broke off after %d bytes: %w", r.total, err)
}

// Close implements io.Closer. fasthttp calls it when the answer was sent, or when
// the caller went away before its end.
func (r *bodyReader) Close() error {
	if !r.last && r.err == nil {
		r.attempt.outcome.Kind = routing.Cancelled
	}
	r.attempt.finish()
	return nil
}
