package egress

import (
	"context"
	"errors"
	"fmt"
	"io"

	"auburnladder.example/core/admission"
	"auburnladder.example/core/lifetime"
	"auburnladder.example/core/verdict"
	"auburnladder.example/wire/peerpb"
)

// refuse replies that the call was not run because of err.
func (x *exchange) refuse(err error) (verdict.Verdict, error) {
	egressStats.Add("refused", 1)
	x.sendReply(refusalReply(err))
	x.discardRequestBody()
	return verdict.NotRun, err
}

// discardRequestBody reads and drops the streamed body of a refused call: the caller's
// node reads the reply only after it has sent the complete body.
func (x *exchange) discardRequestBody() {
	if !x.call.GetMore() || x.body != nil || x.awaitsProceed() {
		return
	}
	x.boundStream(x.end)
	if _, err := io.Copy(io.Discard, &requestBody{stream: x.stream}); err != nil {
		x.egress.Log.Debug().Err(err).Str("event", "body-not-skipped").Msg("reading the body of a refused call failed")
	}
}

// fail ends a call whose request may have reached the server. It replies that the call
// may have run, or aborts a reply that was already begun.
func (x *exchange) fail(ctx context.Context, conn *serverConn, err error) (verdict.Verdict, error) {
	conn.resetOnClose()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		err = fmt.Errorf("no complete response before the deadline: %w", err)
		x.egress.pool.discardUnresponsive(conn)
	} else {
		x.egress.pool.discard(conn)
	}
	x.recordUnanswered(ctx, err)
	if errors.Is(ctx.Err(), context.Canceled) {
		err = fmt.Errorf("%w: %w", errCallerEndedCall, err)
	}
	x.releaseSlot(admission.Result{
		ServiceTime: x.egress.Now().Sub(x.started),
		Unmeasured:  errors.Is(err, errCallerEndedCall),
	})
	if x.replySent {
		return verdict.Ran, x.abort(err)
	}
	x.sendReply(&peerpb.Reply{
		Verdict: peerpb.Verdict_VERDICT_MAY_HAVE_RUN,
		Detail:  "backend server: " + failureReason(ctx, err),
		Crashes: x.egress.Quarantine.Records(x.egress.runningRequests.beside(x)),
	})
	return verdict.MayHaveRun, err
}

// abort notifies the caller's node that the response body is incomplete.
func (x *exchange) abort(err error) error {
	egressStats.Add("aborted", 1)
	x.boundStream(lifetime.SendEnd(x.end, x.egress.Now()))
	if sendErr := x.stream.Send(&peerpb.Body{Aborted: true, Last: true}); sendErr != nil {
		return errors.Join(err, sendErr)
	}
	return err
}

// sendReply sends a complete reply, also if it is ready late.
func (x *exchange) sendReply(r *peerpb.Reply) {
	x.boundStream(lifetime.SendEnd(x.end, x.egress.Now()))
	x.send(r)
}

// beginReply sends the head of a response whose body follows, once. All of it must be sent before
// the end of the call.
func (x *exchange) beginReply(head *peerpb.Reply) {
	if !x.replySent {
		x.boundStream(x.end)
		x.send(head)
	}
}

// send completes r with the call's ID and the server's load, and sends it.
func (x *exchange) send(r *peerpb.Reply) {
	r.Id = x.call.GetId()
	r.Load = x.egress.Load()
	x.replySent = true
	if err := x.stream.Send(r); err != nil {
		x.egress.Log.Debug().Err(err).Str("event", "reply-lost").Msg("reply could not be sent to the caller's node")
	}
}
