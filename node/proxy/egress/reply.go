package egress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"auburnladder.example/core/admission"
	"auburnladder.example/core/verdict"
	"auburnladder.example/wire/peerpb"
)

// refuse replies that the call did not run.
func (x *exchange) refuse(err error) (verdict.Verdict, error) {
	egressStats.Add("refused", 1)
	x.reply(notRun(err))
	x.skipBody()
	return verdict.NotRun, err
}

// skipBody reads what follows a refused call: the caller's node reads the reply only once
// it has sent the body.
func (x *exchange) skipBody() {
	if !x.call.GetMore() || x.body != nil {
		return
	}
	x.extendStream()
	if _, err := io.Copy(io.Discard, &requestBody{stream: x.stream}); err != nil {
		x.egress.Log.Debug().Err(err).Str("event", "body-not-skipped").Msg("body of a refused call broke off")
	}
}

// fail replies that the call may have run, or breaks an answer that had begun.
func (x *exchange) fail(ctx context.Context, conn *serverConn, err error) (verdict.Verdict, error) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		err = fmt.Errorf("no whole answer within the deadline: %w", err)
		x.egress.pool.discardSilent(conn)
	} else {
		x.egress.pool.discard(conn)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		err = fmt.Errorf("%w: %w", errCallEnded, err)
	}
	x.release(admission.Result{
		ServiceTime: x.egress.Now().Sub(x.started),
		Unmeasured:  errors.Is(err, errCallEnded),
	})
	if x.headSent {
		return verdict.Ran, x.abort(err)
	}
	x.reply(&peerpb.Reply{Verdict: peerpb.Verdict_VERDICT_MAY_HAVE_RUN, Detail: "backend server: " + err.Error()})
	return verdict.MayHaveRun, err
}

// abort marks the answer as broken.
func (x *exchange) abort(err error) error {
	egressStats.Add("aborted", 1)
	x.stream.SetDeadline(time.Now().Add(x.egress.cfg.ReplyTimeout))
	if sendErr := x.stream.Send(&peerpb.Body{Aborted: true, Last: true}); sendErr != nil {
		return errors.Join(err, sendErr)
	}
	return err
}

func (x *exchange) reply(r *peerpb.Reply) {
	r.Id = x.call.GetId()
	r.Load = x.egress.Load()
	x.headSent = true
	x.stream.SetDeadline(time.Now().Add(x.egress.cfg.ReplyTimeout))
	if err := x.stream.Send(r); err != nil {
		x.egress.Log.Debug().Err(err).Str("event", "reply-lost").Msg("reply could not be sent")
	}
}
