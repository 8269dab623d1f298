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
	"auburnladder.example/node/tracing"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
)

const (
	// maxSessionStreams bounds the open streams of one session. It stays below the
	// session's backlog, above which opening a stream would block.
	maxSessionStreams = 200
	// serverDownHold is how long a server is left alone that its node can't reach
	// or that has only started, if the node gives no time.
	serverDownHold = 500 * time.Millisecond
	// inlineBytes is the size up to which a body travels with its call; longer ones follow
	// in parts of partBytes, far below the limit of a message.
	inlineBytes = 64 << 10
	partBytes   = 32 << 10
	// overloadHold bounds how long a server is left alone that refused for overload, if
	// waiting requests are ordered by urgency.
	overloadHold = 100 * time.Millisecond
	// replyMargin is how much sooner than the caller's node the server's node gives up,
	// so that its refusal still arrives.
	replyMargin = 5 * time.Millisecond
)

// attempt is one try of a call at one backend server.
type attempt struct {
	call     *call
	endpoint *routing.Endpoint
	session  *session.Session
	stream   *session.Stream
	watch    *watch
	reply    peerpb.Reply
	// err is why there is no answer; it carries the verdict on this attempt.
	err      error
	outcome  routing.Outcome
	deadline time.Time
	finished bool
}

// try makes one attempt at e. The attempt must be finished.
func (c *call) try(e *routing.Endpoint) *attempt {
	now := time.Now()
	a := &attempt{call: c, endpoint: e, deadline: now.Add(c.attemptTime(now))}
	e.Start()
	metrics.attempts.Add(1)
	span := c.ingress.Tracer.Start(tracing.HopAttempt, c.traceparent)
	span.Annotate("auburnladder.vm", e.VM)
	c.message.Traceparent = span.Traceparent()
	a.run()
	span.End(a.verdict(), a.err)
	return a
}

// verdict says whether this attempt may have run.
func (a *attempt) verdict() verdict.Verdict {
	if a.err == nil {
		return verdict.Ran
	}
	return verdict.Of(a.err)
}

func (a *attempt) run() {
	if err := a.open(); err != nil {
		a.err = verdict.Wrap(verdict.NotRun, err)
		a.outcome.Kind = routing.Unreachable
		return
	}
	if err := a.exchange(); err != nil {
		a.err = verdict.Wrap(verdict.MayHaveRun, a.cause(err))
		a.outcome.Kind = failureKind(a.err)
		return
	}
	a.judge()
}

// open gets a stream to the server's node. No byte of the request is sent.
func (a *attempt) open() error {
	ctx, cancel := context.WithDeadline(context.Background(), a.deadline)
	defer cancel()
	ses, err := a.call.ingress.Sessions.Get(ctx, a.endpoint.VM, a.endpoint.Peer)
	if err != nil {
		return fmt.Errorf("session: %w", err)
	}
	if ses.Streams() >= maxSessionStreams {
		return fmt.Errorf("session: %d streams are open", maxSessionStreams)
	}
	a.session = ses
	a.stream, err = ses.OpenStream()
	return err
}

// exchange sends the request and reads the head of the answer. After it began, the
// request may have run.
func (a *attempt) exchange() error {
	a.stream.SetDeadline(a.deadline)
	a.watch = startWatch(a)
	defer a.watch.stop()
	msg := a.call.message
	msg.Attempt = uint32(a.call.retry.Attempts() + 1)
	msg.RemainingUs = uint64(max(0, (time.Until(a.deadline) - replyMargin).Microseconds()))
	msg.ObjectiveUs = time.Until(a.call.objective).Microseconds()
	msg.Instance = a.endpoint.Instance
	msg.SentUs = steady.Boot().Microseconds()
	req := peerpb.Request{Kind: &peerpb.Request_Call{Call: msg}}
	if err := a.send(&req); err != nil {
		return err
	}
	if err := a.stream.Recv(&a.reply); err != nil {
		return err
	}
	if a.reply.GetId() != msg.GetId() {
		metrics.crossed.Add(1)
		return errCrossed
	}
	return nil
}

// send sends the call, and a long body in parts behind it.
func (a *attempt) send(req *peerpb.Request) error {
	msg := req.GetCall()
	body := msg.GetBody()
	if len(body) <= inlineBytes {
		return a.stream.Send(req)
	}
	msg.Body, msg.More = nil, true
	err := a.stream.Send(req)
	// Another attempt sends the whole body again.
	msg.Body, msg.More = body, false
	for rest := body; err == nil && len(rest) > 0; {
		part := rest[:min(partBytes, len(rest))]
		rest = rest[len(part):]
		err = a.stream.Send(&peerpb.Body{Data: part, Last: len(rest) == 0, Total: uint64(len(body))})
	}
	return err
}

// cause replaces the error of an interrupted stream by the reason of the
// interruption.
func (a *attempt) cause(err error) error {
	switch {
	case errors.Is(err, errCrossed):
		return err
	case a.watch.callerGone.Load():
		return errCallerGone
	case a.watch.silent.Load():
		return errSilent
	case !time.Now().Before(a.deadline):
		return errDeadline
	default:
		return err
	}
}

func failureKind(err error) routing.OutcomeKind {
	if errors.Is(err, errCallerGone) {
		return routing.Cancelled
	}
	return routing.Failure
}

// judge derives verdict and outcome from a reply that belongs to the request.
func (a *attempt) judge() {
	a.outcome.Load = routingLoad(a.reply.GetLoad())
	switch v := fromWire(a.reply.GetVerdict()); v {
	case verdict.Ran:
		if int64(len(a.reply.GetBody())) > a.call.match.Resource.MaxResponseBytes {
			a.err = verdict.Wrap(v, errTooLarge)
			a.outcome.Kind = routing.Failure
			return
		}
		a.outcome.Kind = statusKind(int(a.reply.GetStatus()))
	case verdict.NotRun:
		a.judgeRefusal()
	default:
		a.err = verdict.Wrap(v, fmt.Errorf("node of the server: %s", a.reply.GetDetail()))
		a.outcome.Kind = routing.Failure
	}
}

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

// judgeRefusal maps a refusal. A duplicate means that the same request came to the
// node before, so it may have run.
func (a *attempt) judgeRefusal() {
	refusal := a.reply.GetRefusal()
	v := verdict.NotRun
	a.outcome.RetryAfter = time.Duration(a.reply.GetRetryAfterMs()) * time.Millisecond
	switch refusal {
	case peerpb.Refusal_REFUSAL_OVERLOAD:
		a.outcome.Kind = routing.Refused
		a.call.noteWait(a.outcome.RetryAfter)
		if a.call.ingress.Headers.Deadline != "" {
			// The refusal is about this request's place in the queue: the server may soon
			// take a more urgent one.
			a.outcome.RetryAfter = min(a.outcome.RetryAfter, overloadHold)
		}
	case peerpb.Refusal_REFUSAL_LEAVING:
		a.outcome.Kind = routing.Refused
		a.outcome.Load = &routing.Load{Leaving: true}
	case peerpb.Refusal_REFUSAL_SERVER_DOWN, peerpb.Refusal_REFUSAL_STARTING:
		a.outcome.Kind = routing.Starting
		a.outcome.RetryAfter = max(a.outcome.RetryAfter, serverDownHold)
	case peerpb.Refusal_REFUSAL_WRONG_SERVICE:
		a.outcome.Kind = routing.Unreachable
	case peerpb.Refusal_REFUSAL_SHED:
		a.outcome.Kind = routing.Shed
	case peerpb.Refusal_REFUSAL_DUPLICATE:
		v = verdict.MayHaveRun
	}
	a.err = verdict.Wrap(v, &refusedError{refusal: refusal, detail: a.reply.GetDetail()})
}

// retryOutcome returns what the decision on another attempt needs.
func (a *attempt) retryOutcome() retry.Outcome {
	if a.err != nil {
		return retry.Outcome{Verdict: verdict.Of(a.err), Final: a.final(), Reached: a.reply.GetReachedServer()}
	}
	return retry.Outcome{Verdict: verdict.Ran, Status: int(a.reply.GetStatus())}
}

// final reports an error that another server would repeat, or that nobody waits
// to see mended.
func (a *attempt) final() bool {
	if errors.Is(a.err, errCallerGone) {
		return true
	}
	var refused *refusedError
	if !errors.As(a.err, &refused) {
		return false
	}
	return refused.refusal == peerpb.Refusal_REFUSAL_FORBIDDEN || refused.refusal == peerpb.Refusal_REFUSAL_BAD_REQUEST
}

// finish gives the stream back and counts the outcome. Ending this side of the
// stream cancels the request at the server's node if it still runs.
func (a *attempt) finish() {
	if a.finished {
		return
	}
	a.finished = true
	if a.stream != nil {
		a.stream.Close()
	}
	a.endpoint.Done(time.Now(), a.outcome)
}

func routingLoad(l *peerpb.Load) *routing.Load {
	if l == nil {
		return nil
	}
	return &routing.Load{
		InFlight: l.GetInFlight(),
		Queued:   l.GetQueued(),
		Limit:    l.GetLimit(),
		Leaving:  l.GetLeaving(),
	}
}

func fromWire(v peerpb.Verdict) verdict.Verdict {
	switch v {
	case peerpb.Verdict_VERDICT_NOT_RUN:
		return verdict.NotRun
	case peerpb.Verdict_VERDICT_RAN:
		return verdict.Ran
	default:
		return verdict.MayHaveRun
	}
}
