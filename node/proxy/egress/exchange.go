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
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/metrics"
	"auburnladder.example/node/peers"
	"auburnladder.example/node/tracing"
	"auburnladder.example/node/transfer"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// egressStats holds the expvar counters and gauges of the egress.
var egressStats = expvar.NewMap("egress")

// pastDeadline is a connection deadline in the past. Setting it ends blocked reads and
// writes at once.
var pastDeadline = time.Unix(1, 0)

// transitDelayThreshold is the transit delay from which a call is checked for a caller
// that disconnected before the call arrived.
const transitDelayThreshold = 100 * time.Millisecond

var (
	errCallerEndedCall  = errors.New("call ended by the caller's node")
	errUnknownLength    = errors.New("backend response has no known length")
	errResponseTooLarge = errors.New("backend response exceeds the size limit of the resource")
)

// exchange is one call from its arrival until its reply is sent completely.
type exchange struct {
	egress   *Egress
	peer     peers.Peer
	call     *peerpb.Call
	stream   *session.Stream
	deadline time.Time
	// end is when the response must have been delivered.
	end time.Time
	// caller ends when the caller's node ends the stream.
	caller context.Context
	// objective is the time by which the response should arrive. A later response is of
	// less use.
	objective   time.Time
	traceparent string
	// transfer is the transfer of the response body over the VM's network link, nil if
	// none has begun. progress is signalled when the caller's node confirms received
	// bytes.
	transfer atomic.Pointer[transfer.Transfer]
	progress chan struct{}
	// maybeStale is set if the call may have waited in a buffer during a process pause.
	maybeStale bool
	// transitDelay is how much longer than usual the call took from the peer to this
	// node.
	transitDelay time.Duration
	// priority weights the caller's share of the queue under admission.OrderFair.
	priority mesh.Priority
	// target is the run of the server that the call is addressed to, the zero value if unknown.
	target vmlist.Run
	// replySent is set when a Reply is sent, even if sending it fails.
	replySent bool
	// body is the request body that follows the call on the stream, nil before it is
	// read.
	body *requestBody
	// upload is the accepted body that the caller's node announced, nil before and without one.
	upload *acceptedUpload
	// closeDelimited is set if the end of the connection ends the response body.
	closeDelimited bool
	// admittedAt is when the call asked for a slot.
	admittedAt time.Time
	// slotReleased is set once the limiter's slot was released.
	slotReleased bool
	// started is when writing the request to the server began, zero before it.
	started time.Time
	// status is the status code of the server's response, 0 before it.
	status int
	// process is the server process that the request is sent to.
	process processID
	// work is the part of the call in the outstanding work of the server.
	work callWork
}

// serve runs the call and sends a reply in every case. It returns the verdict.
func (x *exchange) serve(ctx context.Context) (verdict.Verdict, error) {
	e := x.egress
	e.Quarantine.Merge(x.call.GetCrashes())
	if err := e.checkCall(x); err != nil {
		return x.refuse(err)
	}
	if x.cancelledInTransit() {
		return x.refuse(newRefusal(peerpb.Refusal_REFUSAL_DEADLINE, "the call was delayed in transit by %s and its caller has disconnected", x.transitDelay))
	}
	e.applyServerLimits()
	x.adoptRate()
	caller, cancel := context.WithCancel(ctx)
	defer cancel()
	x.caller = caller
	ctx, cancelDeadline := context.WithTimeout(caller, x.deadline.Sub(e.Now()))
	defer cancelDeadline()
	var watcher conc.WaitGroup
	defer watcher.Wait()
	defer x.stream.SetDeadline(pastDeadline)
	stopAsking := func() {}
	switch {
	case !x.call.GetMore():
		watcher.Go(func() { x.watchStream(cancel) })
	case x.call.GetAwaitProceed():
		stopAsking = x.watchAsking(&watcher, cancel)
	}
	if err := x.checkCallsOfRoute(); err != nil {
		return x.refuse(err)
	}
	if x.call.GetAwaitProceed() {
		// The body waits for the link without a slot: small calls need the slots meanwhile.
		defer x.endUpload()
		if err := x.acceptUpload(ctx); err != nil {
			return x.refuse(err)
		}
	}
	if err := x.admit(ctx); err != nil {
		return x.refuse(err)
	}
	if err := e.checkAdmitted(x); err != nil {
		x.releaseSlot(admission.Result{Unmeasured: true})
		return x.refuse(err)
	}
	x.reserveLink()
	defer x.endTransfer()
	e.active.Add(1)
	defer e.active.Add(-1)
	defer x.releaseSlot(admission.Result{Unmeasured: true})
	if !e.recentCalls.addIfNew(x.peer.VM, x.call) {
		return x.refuse(newRefusal(peerpb.Refusal_REFUSAL_DUPLICATE, "call %x is a duplicate of an earlier call", x.call.GetId()))
	}
	if x.call.GetAwaitProceed() {
		if err := x.receiveUpload(ctx, stopAsking, &watcher, cancel); err != nil {
			return x.refuse(err)
		}
	}
	return x.run(ctx, &watcher, cancel)
}

// cancelledInTransit reports whether the call was so delayed that the end of its stream
// arrived before it was served. Calls whose body follows on the stream at once are not
// checked here; reading it finds the end.
func (x *exchange) cancelledInTransit() bool {
	return x.transitDelay >= transitDelayThreshold && (!x.call.GetMore() || x.call.GetAwaitProceed()) && x.stream.Ended()
}

// logFailure logs why a call got no complete response, with the figures that the decision
// was based on.
func (x *exchange) logFailure(v verdict.Verdict, err error) {
	e := x.egress
	entry := e.Decisions.Warn("call-failed")
	if entry == nil {
		return
	}
	load := e.limiter.Load()
	entry.Err(err).Str("request", x.requestID()).Str("peer", x.peer.VM).Str("route", x.call.GetRoute()).
		Str("instance", x.target.Instance).Stringer("verdict", v).Uint32("rank", x.call.GetRank()).Uint64("body_bytes", x.call.GetBodyBytes()).
		Int("in_flight", load.InFlight).Int("waiting", load.Queued).Int("limit", load.Limit).
		Dur("left_ms", x.deadline.Sub(e.Now())).Dur("late_ms", x.transitDelay).
		Uint64("vm_list", e.State.Fleet().Revision).Dur("vm_list_age_ms", e.State.Fleet().Age(e.Now())).
		Stringer("fingerprint", x.fingerprint()).Msg("call ended without a complete response")
}

// watchStream cancels the call and returns when the caller's node ends the stream. Until
// then it processes reports of received bytes.
func (x *exchange) watchStream(cancel context.CancelFunc) {
	defer cancel()
	for {
		var progress peerpb.Progress
		// After a complete request, the peer sends only Progress messages. The end of the
		// stream and any error end the call.
		if err := x.stream.Recv(&progress); err != nil {
			return
		}
		x.confirmReceived(progress.GetReceived())
	}
}

// admit acquires a slot from the limiter, waiting in its queue if necessary. It returns a
// refusalError if no slot was granted.
func (x *exchange) admit(ctx context.Context) error {
	l := x.egress.limiter
	now := x.egress.Now()
	x.admittedAt = now
	x.objective = now.Add(time.Duration(x.call.GetObjectiveUs())*time.Microsecond - x.transitDelay)
	if err := x.checkLinkCapacity(now); err != nil {
		return err
	}
	x.countWaiting(now)
	granted := false
	defer func() { x.countAdmitted(granted) }()
	outcome := admission.ReasonNone
	defer func() { metrics.ObserveQueue(outcome.String(), x.egress.Now().Sub(now)) }()
	d := l.Acquire(now, admission.Request{
		Caller:    x.call.GetCaller(),
		Route:     x.call.GetRoute(),
		Priority:  x.priority,
		Rank:      x.call.GetRank(),
		Objective: x.objective,
		Deadline:  x.deadline,
		First:     x.call.GetAttempt() == 1 && x.egress.hasSiblings.Load(),
	})
	if d.Outcome != admission.Granted {
		x.egress.countHeldBack(d)
	}
	if d.Outcome == admission.Queued {
		d = x.awaitSlot(ctx, d.Waiter)
	}
	outcome = d.Reason
	if granted = d.Outcome == admission.Granted; !granted {
		countRankRefusal(x.call.GetRank())
		return admissionRefusal(d)
	}
	return nil
}

// awaitSlot waits for the limiter's decision on a queued call. It abandons the call when
// its maximum wait is over or ctx ends.
func (x *exchange) awaitSlot(ctx context.Context, w *admission.Waiter) admission.Decision {
	limiter, now := x.egress.limiter, x.egress.Now()
	for now.Before(w.QueueDeadline()) {
		until := w.QueueDeadline()
		if at, limited := limiter.RefreshAt(now); limited && at.Before(until) {
			until = at
		}
		timer := time.NewTimer(until.Sub(now))
		select {
		case <-w.Done():
			timer.Stop()
			return w.Decision()
		case <-ctx.Done():
			timer.Stop()
			return limiter.Abandon(x.egress.Now(), w)
		case <-timer.C:
		}
		now = x.egress.Now()
		limiter.Refresh(now)
	}
	return limiter.Abandon(now, w)
}

// releaseSlot releases the limiter's slot and records the time at the server. Only the
// first call has an effect.
func (x *exchange) releaseSlot(res admission.Result) {
	if x.slotReleased {
		return
	}
	x.slotReleased = true
	x.countEnded(res)
	if !x.started.IsZero() {
		metrics.ObserveServer(x.status, x.egress.Now().Sub(x.started))
	}
	x.recordCallsOfRoute(x.egress.Now(), res)
	res.Route = x.call.GetRoute()
	x.egress.limiter.Release(x.egress.Now(), res)
}

// run builds the request, sends it to the server and relays the response to the caller's
// node.
func (x *exchange) run(ctx context.Context, watcher *conc.WaitGroup, cancel context.CancelFunc) (verdict.Verdict, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	var body io.Reader
	if x.call.GetMore() {
		// The call's own deadline, which expires first, determines the outcome.
		x.boundStream(x.end)
		x.body = &requestBody{stream: x.stream, pending: x.call.GetBody(), received: uint64(len(x.call.GetBody()))}
		if x.upload != nil {
			x.body.onPart = x.receivedPart
		}
		body = x.body
	}
	span := x.egress.Tracer.Start(tracing.HopServer, x.traceparent)
	buildRequest(req, x.call, body, span.Traceparent())
	x.setNodeHeaders(req)
	v, err := x.forward(ctx, req, watcher, cancel)
	span.End(v, err)
	return v, err
}

// forward sends the request and relays the response.
func (x *exchange) forward(ctx context.Context, req *fasthttp.Request, watcher *conc.WaitGroup, cancel context.CancelFunc) (verdict.Verdict, error) {
	conn, err := x.sendRequest(ctx, req)
	if err != nil {
		return x.refuse(err)
	}
	defer x.egress.runningRequests.remove(x)
	if conn.err != nil {
		return x.fail(ctx, conn.serverConn, conn.err)
	}
	if x.call.GetMore() {
		watcher.Go(func() { x.watchStream(cancel) })
	}
	stop := context.AfterFunc(ctx, func() { x.interrupt(conn.serverConn, false) })
	defer stop()
	return x.receiveResponse(ctx, conn.serverConn, stop)
}

// sentRequest is a connection on which the request was written, or a part of it if err is
// set.
type sentRequest struct {
	*serverConn
	err error
}

// sendRequest writes the request to a pooled or new connection. It returns an error only
// if no byte of the request reached the server; the call did not run then.
func (x *exchange) sendRequest(ctx context.Context, req *fasthttp.Request) (sentRequest, error) {
	e := x.egress
	for forceDial := false; ; forceDial = true {
		conn, err := e.pool.get(ctx, forceDial)
		if err != nil {
			return sentRequest{}, connectRefusal(err)
		}
		now := e.Now()
		if e.pauseDetector.Observe(e.boot()) || !now.Before(x.deadline) || ctx.Err() != nil {
			e.pool.put(conn)
			return sentRequest{}, newRefusal(peerpb.Refusal_REFUSAL_DEADLINE, "call not sent: its deadline passed, it was cancelled or this node was paused")
		}
		// Getting a connection may have taken until an evacuation.
		if err := e.checkEvacuation(); err != nil {
			e.pool.put(conn)
			// None of a streamed body was read; it is skipped like that of any refused call.
			x.body = nil
			return sentRequest{}, err
		}
		x.process = conn.process
		if err := e.runningRequests.add(now, x); err != nil {
			e.pool.put(conn)
			return sentRequest{}, err
		}
		x.started = now
		egressStats.Add("sent", 1)
		conn.beginRequest(now)
		stop := context.AfterFunc(ctx, func() { x.interrupt(conn, x.call.GetMore()) })
		err = conn.writeRequest(req)
		stop()
		if err == nil || conn.written > 0 {
			return sentRequest{serverConn: conn, err: err}, nil
		}
		e.pool.discard(conn)
		e.runningRequests.remove(x)
		// A streamed body has been consumed and can't be written a second time.
		if forceDial || x.call.GetMore() || ctx.Err() != nil {
			return sentRequest{}, newRefusal(peerpb.Refusal_REFUSAL_SERVER_DOWN, "write request to backend server: %v", err)
		}
	}
}

// interrupt ends blocked reads and writes on the connection and, while a body passes through it,
// on the stream.
func (x *exchange) interrupt(conn *serverConn, streaming bool) {
	_ = conn.SetDeadline(pastDeadline)
	if streaming {
		x.stream.SetDeadline(pastDeadline)
	}
}

// boundStream sets the deadline of the stream to a time of the egress's clock.
func (x *exchange) boundStream(until time.Time) {
	x.stream.SetDeadline(time.Now().Add(until.Sub(x.egress.Now())))
}

// connectRefusal returns the refusal for a failure to get a connection to the server.
func connectRefusal(err error) error {
	if errors.Is(err, errTooManyConns) {
		return newRefusal(peerpb.Refusal_REFUSAL_OVERLOAD, "%v", err)
	}
	return newRefusal(peerpb.Refusal_REFUSAL_SERVER_DOWN, "%v", err)
}
