package egress

import (
	"context"
	"errors"
	"expvar"
	"io"
	"sync/atomic"
	"time"

	"auburnladder.example/core/admission"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/verdict"
	"auburnladder.example/node/metrics"
	"auburnladder.example/node/peers"
	"auburnladder.example/node/tracing"
	"auburnladder.example/node/transfer"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// egressStats counts calls by verdict at this node's backend server.
var egressStats = expvar.NewMap("egress")

// longAgo is a deadline in the past: it ends waiting reads and writes at once.
var longAgo = time.Unix(1, 0)

// lateAfter is the delay of a call beyond which its caller may have left before the call
// arrived.
const lateAfter = 100 * time.Millisecond

var (
	errCallEnded = errors.New("the caller's node ended the call")
	errUnbounded = errors.New("the server's answer has no length")
	errTooLong   = errors.New("the server's answer is longer than the resource allows")
)

// exchange is one call from its arrival to the end of its answer.
type exchange struct {
	egress   *Egress
	from     peers.Peer
	call     *peerpb.Call
	stream   *session.Stream
	deadline time.Time
	// objective is when the answer ceases to be worth most.
	objective   time.Time
	traceparent string
	// transfer is the body on its way, nil before it; progress is signalled when the
	// caller's node confirms a part.
	transfer atomic.Pointer[transfer.Transfer]
	progress chan struct{}
	// stale is set if the call may have waited while this process was paused.
	stale bool
	// late is how much longer than usual the call was under way.
	late time.Duration
	// priority weighs the caller's share of the queue, if the queue is shared by caller.
	priority mesh.Priority
	// instance is the run of the server that the call is meant for, "" if unknown.
	instance string
	// headSent is set once a Reply was sent.
	headSent bool
	// body is what follows the call, nil before it is read.
	body *requestBody
	// endsByClose is set if the answer ends with its connection.
	endsByClose bool
	// released is set once the slot was given back.
	released bool
	started  time.Time
	// status is that of the server's answer, 0 before it.
	status int
}

// serve answers the call in any case and returns its verdict.
func (x *exchange) serve(ctx context.Context) (verdict.Verdict, error) {
	e := x.egress
	if err := e.check(x); err != nil {
		return x.refuse(err)
	}
	if x.cancelledOnTheWay() {
		return x.refuse(refused(peerpb.Refusal_REFUSAL_DEADLINE, "the call came %s late and its caller has left", x.late))
	}
	e.adoptServer()
	ctx, cancel := context.WithTimeout(ctx, x.deadline.Sub(e.Now()))
	defer cancel()
	var watcher conc.WaitGroup
	defer watcher.Wait()
	defer x.stream.SetDeadline(longAgo)
	if !x.call.GetMore() {
		watcher.Go(func() { x.watch(cancel) })
	}
	if err := x.admit(ctx); err != nil {
		return x.refuse(err)
	}
	if e.ByList {
		// The list may have changed while the call waited.
		if err := e.check(x); err != nil {
			x.release(admission.Result{Unmeasured: true})
			return x.refuse(err)
		}
	}
	x.reserve()
	defer x.endTransfer()
	e.active.Add(1)
	defer e.active.Add(-1)
	defer x.release(admission.Result{Unmeasured: true})
	if !e.seen.add(x.from.VM, x.call) {
		return x.refuse(refused(peerpb.Refusal_REFUSAL_DUPLICATE, "call %x was received before", x.call.GetId()))
	}
	return x.run(ctx, &watcher, cancel)
}

// cancelledOnTheWay reports whether the call came so late that its end arrived with it. A
// long body, which follows the call on the stream, is left to its reader.
func (x *exchange) cancelledOnTheWay() bool {
	return x.late >= lateAfter && !x.call.GetMore() && x.stream.Ended()
}

// logFailure records why a call got no whole answer and what that was decided by.
func (x *exchange) logFailure(v verdict.Verdict, err error) {
	e := x.egress
	line := e.Decisions.Notable("call-failed")
	if line == nil {
		return
	}
	load := e.limiter.Load()
	line.Err(err).Str("request", x.requestID()).Str("peer", x.from.VM).Str("route", x.call.GetRoute()).
		Str("instance", x.instance).Stringer("verdict", v).Uint32("rank", x.call.GetRank()).
		Int("in_flight", load.InFlight).Int("waiting", load.Queued).Int("limit", load.Limit).
		Dur("left_ms", x.deadline.Sub(e.Now())).Dur("late_ms", x.late).
		Uint64("vm_list", e.State.Fleet().Revision).Dur("vm_list_age_ms", e.State.Fleet().Age(e.Now())).
		Msg("call ended without a whole answer")
}

// watch cancels the call once the caller's node ends the stream.
func (x *exchange) watch(cancel context.CancelFunc) {
	defer cancel()
	for {
		var progress peerpb.Progress
		// Only reports of progress may follow a whole request; the end of the stream and any
		// error end the call.
		if err := x.stream.Recv(&progress); err != nil {
			return
		}
		x.confirm(progress.GetReceived())
	}
}

func (x *exchange) admit(ctx context.Context) error {
	l := x.egress.limiter
	now := x.egress.Now()
	x.objective = now.Add(time.Duration(x.call.GetObjectiveUs())*time.Microsecond - x.late)
	if err := x.checkLink(now); err != nil {
		return err
	}
	outcome := admission.ReasonNone
	defer func() { metrics.ObserveQueue(outcome.String(), x.egress.Now().Sub(now)) }()
	d := l.Acquire(now, admission.Request{
		Caller:    x.call.GetCaller(),
		Route:     x.call.GetRoute(),
		Priority:  x.priority,
		Rank:      x.call.GetRank(),
		Objective: x.objective,
		Deadline:  x.deadline,
	})
	if d.Outcome == admission.Queued {
		d = x.wait(ctx, d.Waiter)
	}
	outcome = d.Reason
	if d.Outcome != admission.Granted {
		return notAdmitted(d)
	}
	return nil
}

// wait follows a queued call until the limiter decides, the call has waited long enough
// or is cancelled.
func (x *exchange) wait(ctx context.Context, w *admission.Waiter) admission.Decision {
	e := x.egress
	timer := time.NewTimer(w.QueueDeadline().Sub(e.Now()))
	defer timer.Stop()
	select {
	case <-w.Done():
		return w.Decision()
	case <-timer.C:
	case <-ctx.Done():
	}
	return e.limiter.Abandon(e.Now(), w)
}

// release gives the slot back once.
func (x *exchange) release(res admission.Result) {
	if x.released {
		return
	}
	x.released = true
	if !x.started.IsZero() {
		metrics.ObserveServer(x.status, x.egress.Now().Sub(x.started))
	}
	res.Route = x.call.GetRoute()
	x.egress.limiter.Release(x.egress.Now(), res)
}

// run sends the request to the server and its answer to the caller's node.
func (x *exchange) run(ctx context.Context, watcher *conc.WaitGroup, cancel context.CancelFunc) (verdict.Verdict, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	var body io.Reader
	if x.call.GetMore() {
		x.extendStream()
		x.body = &requestBody{stream: x.stream, rest: x.call.GetBody(), total: uint64(len(x.call.GetBody()))}
		body = x.body
	}
	span := x.egress.Tracer.Start(tracing.HopServer, x.traceparent)
	fillRequest(req, x.call, body, span.Traceparent())
	x.setOwnHeaders(req)
	v, err := x.forward(ctx, req, watcher, cancel)
	span.End(v, err)
	return v, err
}

// forward sends the request and passes the answer on.
func (x *exchange) forward(ctx context.Context, req *fasthttp.Request, watcher *conc.WaitGroup, cancel context.CancelFunc) (verdict.Verdict, error) {
	conn, err := x.send(ctx, req)
	if err != nil {
		return x.refuse(err)
	}
	if conn.err != nil {
		return x.fail(ctx, conn.serverConn, conn.err)
	}
	if x.call.GetMore() {
		watcher.Go(func() { x.watch(cancel) })
	}
	stop := context.AfterFunc(ctx, func() { x.interrupt(conn.serverConn, false) })
	defer stop()
	return x.receive(ctx, conn.serverConn, stop)
}

// sentRequest is a connection that carries the request, or a part of it if err is set.
type sentRequest struct {
	*serverConn
	err error
}

// send writes the request to a connection. It returns an error only if the server got
// no byte of it; then the call did not run.
func (x *exchange) send(ctx context.Context, req *fasthttp.Request) (sentRequest, error) {
	e := x.egress
	for fresh := false; ; fresh = true {
		conn, err := e.pool.get(ctx, fresh)
		if err != nil {
			return sentRequest{}, notConnected(err)
		}
		now := e.Now()
		if e.pause.Observe(e.boot()) || !now.Before(x.deadline) || ctx.Err() != nil {
			e.pool.put(conn)
			return sentRequest{}, refused(peerpb.Refusal_REFUSAL_DEADLINE, "no time was left to send the call")
		}
		x.started = now
		conn.begin(now)
		stop := context.AfterFunc(ctx, func() { x.interrupt(conn, x.call.GetMore()) })
		err = conn.writeRequest(req)
		stop()
		if err == nil || conn.written > 0 {
			return sentRequest{serverConn: conn, err: err}, nil
		}
		e.pool.discard(conn)
		// A request whose body is a stream can't be written a second time.
		if fresh || x.call.GetMore() || ctx.Err() != nil {
			return sentRequest{}, refused(peerpb.Refusal_REFUSAL_SERVER_DOWN, "backend server: %v", err)
		}
	}
}

// interrupt ends waiting reads and writes on the connection and, while the request body
// is still coming, on the stream.
func (x *exchange) interrupt(conn *serverConn, uploading bool) {
	_ = conn.SetDeadline(longAgo)
	if uploading {
		x.stream.SetDeadline(longAgo)
	}
}

// extendStream lets the stream last a little longer than the call, so that the end of
// the call itself decides.
func (x *exchange) extendStream() {
	left := x.deadline.Sub(x.egress.Now())
	x.stream.SetDeadline(time.Now().Add(left + x.egress.cfg.ReplyTimeout))
}

func notConnected(err error) error {
	if errors.Is(err, errTooManyConns) {
		return refused(peerpb.Refusal_REFUSAL_OVERLOAD, "%v", err)
	}
	return refused(peerpb.Refusal_REFUSAL_SERVER_DOWN, "%v", err)
}
