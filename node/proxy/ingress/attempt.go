package ingress

import (
	"context"
	"errors"
	"fmt"
	"time"

	"auburnladder.example/core/retry"
	"auburnladder.example/core/routing"
	"auburnladder.example/core/steady"
	"auburnladder.example/core/verdict"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/tracing"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
)

const (
	// maxSessionStreams limits the open streams of one session. It must be below the
	// session's accept backlog, beyond which opening a stream blocks.
	maxSessionStreams = 200
	// serverDownBackoff is the minimum time without calls to a server that its node cannot
	// reach or that is still starting. It applies if the node's Retry-After is shorter or
	// missing.
	serverDownBackoff = 500 * time.Millisecond
	// maxInlineBody is the largest request body, in bytes, that is sent within the call
	// message. A longer one follows in parts of bodyPartBytes, far below the size limit of
	// a message.
	maxInlineBody = 64 << 10
	bodyPartBytes = 32 << 10
	// maxOverloadBackoff limits the backoff after a refusal for overload if the server's
	// node orders waiting requests by urgency.
	maxOverloadBackoff = 100 * time.Millisecond
	// refusalMargin is how much earlier the deadline of the server's node is than the one
	// of this node, so that a refusal still arrives in time.
	refusalMargin = 5 * time.Millisecond
	// lateReplyTime is how long after the deadline of a call its last attempt still waits for the
	// reply. A node that is short of processor time sends a refusal late; only the refusal tells that
	// the request has not run. Callers expect the response of a request at most 250 ms after its timeout.
	lateReplyTime = 150 * time.Millisecond
	// milli is the number of thousandths in one.
	milli = 1000
)

// attempt is one attempt of a call at one backend server. It belongs to the goroutine of
// the request; its watchdog runs on a timer's goroutine.
type attempt struct {
	call     *call
	endpoint *routing.Endpoint
	session  *session.Session
	stream   *session.Stream
	watchdog *watchdog
	reply    peerpb.Reply
	// body reads the response body if it follows the reply, nil otherwise.
	body *bodyReader
	// err is the reason why there is no response, with the verdict on this attempt; nil
	// if there is a response.
	err      error
	outcome  routing.Outcome
	deadline time.Time
	finished bool
	// started and free are set if the work of requests is learned: free means that the server seemed to
	// have a free slot.
	started time.Time
	free    bool
	// asking is set while the server's node has been asked whether it takes the body and no byte of it was sent.
	asking bool
	// answered is set if the reply to the question is the final one.
	answered bool
}

// try makes one attempt at e. The caller must call finish on the returned attempt.
func (c *call) try(e *routing.Endpoint) *attempt {
	now := time.Now()
	a := &attempt{call: c, endpoint: e, deadline: now.Add(c.attemptTime(now))}
	e.Start()
	a.startWork(now)
	metrics.attempts.Add(1)
	span := c.ingress.Tracer.Start(tracing.HopAttempt, c.traceparent)
	span.Annotate("auburnladder.vm", e.VM)
	c.message.Traceparent = span.Traceparent()
	a.run()
	span.End(a.verdict(), a.err)
	return a
}

// verdict returns whether the request may have run in this attempt.
func (a *attempt) verdict() verdict.Verdict {
	if a.err == nil {
		return verdict.Ran
	}
	return verdict.Of(a.err)
}

// run carries out the attempt and sets reply, err and outcome.
func (a *attempt) run() {
	if !time.Now().Before(a.deadline) {
		// A retry may have waited until now. The wait for a late reply is for what was sent in time.
		a.err = verdict.Wrap(verdict.NotRun, errDeadline)
		return
	}
	if err := a.openStream(); err != nil {
		a.outcome.Kind = routing.Unreachable
		if a.call.callerDisconnected() {
			err = errCallerDisconnected
			a.outcome.Kind = routing.Cancelled
		}
		a.err = verdict.Wrap(verdict.NotRun, err)
		return
	}
	if err := a.exchange(); err != nil {
		a.err = verdict.Wrap(a.exchangeVerdict(), a.exchangeError(err))
		a.outcome.Kind = failureKind(a.err)
		return
	}
	a.classifyReply()
}

// openStream opens a stream to the server's node. It sends no byte of the request.
func (a *attempt) openStream() error {
	ctx, cancel := context.WithDeadline(a.call.exchange.Context(), a.deadline)
	defer cancel()
	ending := a.call.ingress.Ending
	if ending != nil {
		defer context.AfterFunc(ending, cancel)()
	}
	ses, err := a.call.ingress.Sessions.Get(ctx, a.endpoint.VM, a.endpoint.Peer)
	switch {
	case err != nil && ending != nil && ending.Err() != nil:
		return errNodeEnding
	case err != nil:
		return fmt.Errorf("session: %w", err)
	}
	if ses.Streams() >= maxSessionStreams {
		return fmt.Errorf("session: %d streams are open", maxSessionStreams)
	}
	if ses.Congested() {
		return errSessionCongested
	}
	a.session = ses
	a.stream, err = ses.OpenStream()
	return err
}

// exchange sends the request and reads the head of the response. Once it has started, the
// request may have run, whatever error it returns, except while asking is set.
func (a *attempt) exchange() error {
	a.stream.SetDeadline(a.deadline)
	a.stream.SetReadDeadline(a.replyDeadline())
	a.watchdog = startWatchdog(a)
	defer a.watchdog.stop()
	msg := a.call.message
	msg.Attempt = uint32(len(a.call.tried) + 1)
	msg.RemainingUs = uint64(max(0, (time.Until(a.deadline) - refusalMargin).Microseconds()))
	msg.DeliveryUs = uint64(max(0, (time.Until(a.call.end) - refusalMargin).Microseconds()))
	msg.ObjectiveUs = time.Until(a.call.objective).Microseconds()
	msg.Instance = a.endpoint.Run.Instance
	msg.SentUs = steady.Boot().Microseconds()
	sent := msg.Headers
	msg.Headers = a.headers(sent)
	err := a.sendCall(&peerpb.Request{Kind: &peerpb.Request_Call{Call: msg}})
	msg.Headers = sent
	if err != nil {
		return err
	}
	if err := a.receiveReply(); err != nil {
		return err
	}
	if a.reply.GetId() != msg.GetId() {
		metrics.mismatched.Add(1)
		return errMismatchedResponse
	}
	a.recordCrashes()
	return a.beginBody()
}

// replyDeadline returns until when the attempt waits for the reply.
func (a *attempt) replyDeadline() time.Time {
	if a.call.retry.Remaining(a.deadline) > 0 {
		// Another attempt may follow.
		return a.deadline
	}
	return a.deadline.Add(lateReplyTime)
}

// beginBody receives the first part of a body that follows the reply. If that fails, nothing of the
// response has reached the caller yet.
func (a *attempt) beginBody() error {
	if !a.reply.GetMore() {
		return nil
	}
	a.body = newBodyReader(a)
	if len(a.reply.GetBody()) > 0 {
		return nil
	}
	return a.body.receive()
}

// recordCrashes records what the reply says about a crash of the server, and passes it on with
// the next attempt: the next server's node may otherwise run two suspects beside each other.
func (a *attempt) recordCrashes() {
	if crashes := a.reply.GetCrashes(); len(crashes) > 0 {
		a.call.ingress.Quarantine.Merge(crashes)
		a.call.message.Crashes = crashes
	}
}

// sendCall sends the call. A body above maxInlineBody follows in parts, and one above AskAbove only if the
// server's node takes it.
func (a *attempt) sendCall(req *peerpb.Request) error {
	msg := req.GetCall()
	body := msg.GetBody()
	if a.asks(body) {
		return a.askAndSend(req)
	}
	if len(body) <= maxInlineBody {
		return a.stream.Send(req)
	}
	msg.Body, msg.More = nil, true
	err := a.stream.Send(req)
	// Restore the message: a further attempt sends the complete body again.
	msg.Body, msg.More = body, false
	if err != nil {
		return err
	}
	return a.sendBody(body)
}

// exchangeError replaces the error of an interrupted stream by the reason for the
// interruption.
func (a *attempt) exchangeError(err error) error {
	switch {
	case errors.Is(err, errMismatchedResponse):
		return err
	case a.watchdog.callerDisconnected.Load():
		return errCallerDisconnected
	case a.watchdog.nodeEnding.Load():
		return errNodeEnding
	case a.watchdog.unresponsive.Load():
		return errSessionUnresponsive
	case !time.Now().Before(a.deadline):
		return errDeadline
	default:
		return err
	}
}

// failureKind returns the outcome kind of an exchange that failed with err.
func failureKind(err error) routing.OutcomeKind {
	if errors.Is(err, errCallerDisconnected) || errors.Is(err, errNodeEnding) {
		return routing.Cancelled
	}
	return routing.Failure
}

// classifyReply sets err and outcome from a reply whose ID matches the request.
func (a *attempt) classifyReply() {
	a.outcome.Load = routingLoad(a.reply.GetLoad())
	a.recordAnnouncements(a.reply.GetLoad().GetLeavingServer())
	switch v := verdictFromWire(a.reply.GetVerdict()); v {
	case verdict.Ran:
		if err := checkReply(&a.reply); err != nil {
			a.err = verdict.Wrap(verdict.MayHaveRun, err)
			a.outcome.Kind = routing.Failure
			return
		}
		a.recordRate()
		a.recordWork()
		if int64(len(a.reply.GetBody())) > a.call.match.Resource.MaxResponseBytes {
			a.err = verdict.Wrap(v, errTooLarge)
			a.outcome.Kind = routing.Failure
			return
		}
		a.outcome.Kind = statusKind(int(a.reply.GetStatus()))
	case verdict.NotRun:
		a.classifyRefusal()
	default:
		var err error = &replyError{detail: a.reply.GetDetail()}
		if !time.Now().Before(a.deadline) {
			err = fmt.Errorf("%w: %w", errDeadline, err)
		}
		a.err = verdict.Wrap(v, err)
		a.outcome.Kind = routing.Failure
	}
}

// recordAnnouncements records that the server announced that it leaves. The server's node may
// forget it in a restart; this node passes the response on and must not.
func (a *attempt) recordAnnouncements(leaving *peerpb.ServerRun) {
	if recorder := a.call.ingress.Announcements; recorder != nil && leaving != nil {
		recorder.RecordLeavingServer(vmlist.Run{Instance: leaving.GetInstance(), StartedAtMs: leaving.GetStartedAtMs()})
	}
}

// statusKind returns the outcome kind of a response with an HTTP status.
func statusKind(status int) routing.OutcomeKind {
	switch {
	case status == 503:
		return routing.Shed
	case status >= 500:
		return routing.Failure
	default:
		return routing.Success
	}
}

// classifyRefusal sets err and outcome from a refusal. A refusal as a duplicate means that
// the node received the same request before, so it may have run.
func (a *attempt) classifyRefusal() {
	refusal := a.reply.GetRefusal()
	v := verdict.NotRun
	a.outcome.RetryAfter = time.Duration(a.reply.GetRetryAfterMs()) * time.Millisecond
	switch refusal {
	case peerpb.Refusal_REFUSAL_OVERLOAD:
		a.outcome.Kind = a.overloadKind()
		a.call.recordRetryAfter(a.outcome.RetryAfter)
		if a.call.ingress.Headers.Deadline != "" {
			// The refusal depends on this request's position in the queue: the server may
			// soon accept a more urgent one.
			a.outcome.RetryAfter = min(a.outcome.RetryAfter, maxOverloadBackoff)
			if a.outcome.Load.ServesMoreUrgent(a.call.message.GetRank()) {
				a.outcome.RetryAfter = 0
			}
		}
	case peerpb.Refusal_REFUSAL_LEAVING:
		a.outcome.Kind = routing.Refused
		a.outcome.Load = &routing.Load{Leaving: true}
	case peerpb.Refusal_REFUSAL_EVACUATED:
		a.classifyEvacuated()
	case peerpb.Refusal_REFUSAL_SERVER_DOWN, peerpb.Refusal_REFUSAL_STARTING:
		a.outcome.Kind = routing.Starting
		a.outcome.RetryAfter = max(a.outcome.RetryAfter, serverDownBackoff)
	case peerpb.Refusal_REFUSAL_WRONG_SERVICE:
		a.outcome.Kind = routing.Unreachable
	case peerpb.Refusal_REFUSAL_SHED:
		a.outcome.Kind = routing.Shed
	case peerpb.Refusal_REFUSAL_QUARANTINED, peerpb.Refusal_REFUSAL_ISOLATED, peerpb.Refusal_REFUSAL_REPEATED:
		a.outcome.Kind = routing.Cancelled
		a.call.recordRetryAfter(a.outcome.RetryAfter)
	case peerpb.Refusal_REFUSAL_DEADLINE:
		a.call.recordRetryAfter(a.outcome.RetryAfter)
	case peerpb.Refusal_REFUSAL_DUPLICATE:
		v = verdict.MayHaveRun
	}
	a.err = verdict.Wrap(v, &refusedError{refusal: refusal, detail: a.reply.GetDetail()})
}

// retryOutcome returns the outcome on which the retry decision is based.
func (a *attempt) retryOutcome() retry.Outcome {
	if a.err != nil {
		return retry.Outcome{Verdict: verdict.Of(a.err), Final: a.isFinal(), Reached: a.reply.GetReachedServer()}
	}
	return retry.Outcome{Verdict: verdict.Ran, Status: int(a.reply.GetStatus())}
}

// isFinal reports whether a retry is pointless: another server would return the same error,
// or the caller has disconnected.
func (a *attempt) isFinal() bool {
	if errors.Is(a.err, errCallerDisconnected) || errors.Is(a.err, errNodeEnding) {
		return true
	}
	var refused *refusedError
	if !errors.As(a.err, &refused) {
		return false
	}
	switch refused.refusal {
	case peerpb.Refusal_REFUSAL_FORBIDDEN, peerpb.Refusal_REFUSAL_BAD_REQUEST,
		peerpb.Refusal_REFUSAL_QUARANTINED, peerpb.Refusal_REFUSAL_REPEATED:
		return true
	default:
		return false
	}
}

// finish closes the stream and records the outcome with the endpoint. Closing this side of
// the stream cancels the request at the server's node if it is still running. Further calls
// do nothing.
func (a *attempt) finish() {
	if a.finished {
		return
	}
	a.finished = true
	if a.body != nil {
		a.body.stopWatching()
	}
	if a.stream != nil {
		a.stream.Close()
	}
	a.endWork()
	a.endpoint.Done(time.Now(), a.outcome)
}

// routingLoad converts the load from a reply; it returns nil for nil.
func routingLoad(l *peerpb.Load) *routing.Load {
	if l == nil {
		return nil
	}
	waits, known := routingWaits(l.GetWaitMs())
	return &routing.Load{
		InFlight:   l.GetInFlight(),
		Queued:     l.GetQueued(),
		Limit:      l.GetLimit(),
		Leaving:    l.GetLeaving(),
		Waits:      waits,
		WaitsKnown: known,

		Cold:            time.Duration(l.GetColdMs()) * time.Millisecond,
		StartRate:       float64(l.GetStartRateMilli()) / milli,
		Work:            time.Duration(l.GetWorkMs()) * time.Millisecond,
		SlowdownPercent: l.GetSlowdownPercent(),
	}
}

// verdictFromWire converts the verdict from a reply. Unknown values become MayHaveRun.
func verdictFromWire(v peerpb.Verdict) verdict.Verdict {
	switch v {
	case peerpb.Verdict_VERDICT_NOT_RUN:
		return verdict.NotRun
	case peerpb.Verdict_VERDICT_RAN:
		return verdict.Ran
	default:
		return verdict.MayHaveRun
	}
}
