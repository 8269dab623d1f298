package ingress

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/quarantine"
	"auburnladder.example/core/retry"
	"auburnladder.example/core/routing"
	"auburnladder.example/core/routing/rendezvous"
	"auburnladder.example/core/verdict"
	"auburnladder.example/node/callerhttp"
	"auburnladder.example/node/proxy"
	"auburnladder.example/wire/peerpb"
	"github.com/rs/zerolog"
)

// Errors of a call. Their texts reach the caller in failureBody.
var (
	// errNoServer reports that the service has no backend server that can be tried.
	errNoServer = errors.New("no backend server available")
	// errQuarantined reports that servers crashed each time they ran the request.
	errQuarantined = errors.New("backend servers crashed each time they ran this request")
	// errMismatchedResponse reports a response that belongs to another request.
	errMismatchedResponse = errors.New("answer to another request")
	// errCallerDisconnected reports that the caller closed its connection.
	errCallerDisconnected = errors.New("caller closed the connection")
	// errNodeEnding reports that this node is about to exit while the server is at work.
	errNodeEnding = errors.New("this node ends while the server is at work")
	// errSessionUnresponsive reports a session whose probe got no ack.
	errSessionUnresponsive = errors.New("session is silent")
	// errSessionCongested reports a session on which writes wait for the other node to read.
	errSessionCongested = errors.New("session: its queue is full")
	// errDeadline reports that the deadline of an attempt has passed.
	errDeadline = errors.New("deadline exceeded")
)

// refusedError is a refusal by the node of a backend server.
type refusedError struct {
	refusal peerpb.Refusal
	detail  string
}

// Error returns the kind of refusal and the detail that the node gave.
func (e *refusedError) Error() string {
	return fmt.Sprintf("refused (%s): %s", e.refusal, e.detail)
}

// randomSource is a rand.Source that uses the runtime's generator, which is safe for
// concurrent use.
type randomSource struct{}

// Uint64 implements rand.Source.
func (randomSource) Uint64() uint64 {
	return rand.Uint64()
}

// call is one request of a caller with all its attempts. It belongs to the goroutine of the
// request.
type call struct {
	ingress  *Ingress
	exchange *callerhttp.Exchange
	match    *mesh.Match
	message  *peerpb.Call
	// target is the service that runs the request.
	target *mesh.Service
	placement
	// end is when the response must have been delivered.
	end time.Time
	// traceparent is the trace context of the call and the parent of each attempt's span.
	traceparent string
	retry       retry.Call
	// answered is an earlier attempt with a complete response of a server, for example its own
	// failure, that is delivered if the retries get no response; nil if there is none.
	answered *attempt
	// retryAfter is the shortest Retry-After of the servers that refused the call for
	// overload or were in backoff when none was left to try; 0 if none is known.
	retryAfter time.Duration
	// wasShed is set if the call is refused because no server would start it in time.
	wasShed bool
}

// run makes attempts until no retry is allowed. If the error is nil, the returned attempt
// holds a response and the caller must finish the attempt. The error carries the verdict on
// the call.
func (c *call) run() (*attempt, error) {
	var last *attempt
	for {
		if c.quarantined() {
			return c.result(last, retry.Decision{Reason: retry.Quarantined})
		}
		if c.shed(last) {
			return c.result(last, retry.Decision{Reason: retry.NoServer})
		}
		picked := c.pick()
		if picked.Endpoint == nil {
			c.recordRetryAfter(picked.Wait)
			return c.result(last, retry.Decision{Reason: retry.NoServer})
		}
		if last != nil {
			last.finish()
			c.keepAnswer(last)
			metrics.retries.Add(1)
			c.logRetry(last)
		}
		if !c.justRead(last) && c.callerDisconnected() {
			return nil, verdict.Wrap(c.retry.Verdict(), errCallerDisconnected)
		}
		last = c.try(picked.Endpoint)
		decision := c.retry.Next(time.Now(), last.retryOutcome(), randomSource{})
		if !decision.Retry() {
			return c.result(last, decision)
		}
		if last.err != nil {
			last.finish()
		}
		c.recordTried(last)
		c.backOff(decision.Wait)
	}
}

// pick picks the server of the next attempt from the list as it is now: one that was used for an
// earlier attempt may have left since.
func (c *call) pick() routing.PickResult {
	table := c.ingress.Router.Table(c.target.Name)
	if table == nil {
		return routing.PickResult{}
	}
	for {
		now := time.Now()
		picked := c.choose(now, randomSource{}, c.picker(), table)
		if picked.Endpoint == nil || picked.Endpoint.Claim(now) {
			return picked
		}
	}
}

// reserveRetry reports whether the attempt in progress at e may be given up for another one, and
// withdraws that from the retry budget. The watchdog calls it while the request's goroutine waits for
// the response.
func (c *call) reserveRetry(e *routing.Endpoint) bool {
	table := c.ingress.Router.Table(c.target.Name)
	if table == nil {
		return false
	}
	tried := append(slices.Clone(c.tried), e)
	if c.picker().Pick(time.Now(), randomSource{}, table, tried).Endpoint == nil {
		return false
	}
	return c.retry.Reserve(time.Now())
}

// quarantined reports whether the request must not be sent to a server. It then sets
// retryAfter to the time that this will last.
func (c *call) quarantined() bool {
	state, left := c.ingress.Quarantine.State(c.fingerprint())
	if state != quarantine.Quarantined {
		return false
	}
	metrics.quarantined.Add(1)
	c.retryAfter = left
	return true
}

// picker returns the policy that picks the server of the next attempt. All nodes pick the same
// server for a suspect, so that equal ones do not crash several servers at a time.
func (c *call) picker() routing.Picker {
	if state, _ := c.ingress.Quarantine.State(c.fingerprint()); state == quarantine.Suspect {
		return rendezvous.Picker{Key: uint64(c.fingerprint())}
	}
	return c.policy()
}

// keepAnswer keeps the response of an attempt that is retried, if it is held completely.
func (c *call) keepAnswer(a *attempt) {
	if a.err == nil && !a.reply.GetMore() {
		c.answered = a
	}
}

// backOff waits before the next attempt, unless the caller disconnects.
func (c *call) backOff(wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.exchange.Context().Done():
	}
}

// justReadTime is how long after reading a request its caller is taken to be there: looking at its
// connection costs a system call, and the reading goroutine has looked since.
const justReadTime = 50 * time.Millisecond

// justRead reports whether the request is about to be tried for the first time, right after it was
// read, and its caller has not left as far as is known.
func (c *call) justRead(last *attempt) bool {
	x := c.exchange
	return last == nil && time.Since(x.Arrived()) < justReadTime && x.Context().Err() == nil
}

// callerDisconnected reports whether the caller closed its connection, for example while
// its request waited to be read.
func (c *call) callerDisconnected() bool {
	return c.exchange.CallerLeft()
}

// recordRetryAfter keeps the shortest time after which a server may accept the request.
// 0 means unknown and is ignored.
func (c *call) recordRetryAfter(d time.Duration) {
	if d > 0 && (c.retryAfter == 0 || d < c.retryAfter) {
		c.retryAfter = d
	}
}

// logRetry logs that the call is retried after a.
func (c *call) logRetry(a *attempt) {
	addDetail(c.addFields(c.ingress.Decisions.Warn("request-retried")), a.err).Err(a.err).Str("server", a.endpoint.VM).
		Stringer("verdict", a.verdict()).Dur("left_ms", c.retry.Remaining(time.Now())).
		Stringer("fingerprint", c.fingerprint()).Msg("attempt failed; retrying at another server")
}

// addFields adds the log fields that identify the request and the configuration by which it
// was routed. A nil line stays nil.
func (c *call) addFields(line *zerolog.Event) *zerolog.Event {
	if line == nil {
		return nil
	}
	st := c.ingress.State
	return line.Str("request", c.requestID()).Str("service", c.target.Name).Str("route", c.match.Route.Name).
		Uint32("attempts", uint32(c.retry.Attempts())).Uint64("release", c.message.GetRelease().GetSequence()).
		Uint64("vm_list", st.Fleet().Revision).Dur("vm_list_age_ms", st.Fleet().Age(time.Now()))
}

// requestID returns the request ID from the caller's header, or "" if there is none.
func (c *call) requestID() string {
	return string(header(&c.exchange.Request.Header, cmp.Or(c.ingress.Headers.RequestID, proxy.RequestIDHeader)))
}

// fingerprint returns what identifies requests that ask for the same.
func (c *call) fingerprint() quarantine.Fingerprint {
	return quarantine.Fingerprint(c.message.GetFingerprint())
}

// result returns the last attempt if it has a response, otherwise an earlier one that has, and
// otherwise the error of the last one. a is nil if no attempt was made.
func (c *call) result(a *attempt, d retry.Decision) (*attempt, error) {
	if a == nil && d.Reason == retry.Quarantined {
		return nil, verdict.Wrap(verdict.NotRun, errQuarantined)
	}
	if a == nil && c.wasShed {
		return nil, verdict.Wrap(verdict.NotRun, errNoSlotInTime)
	}
	if a == nil {
		return nil, verdict.Wrap(verdict.NotRun, errNoServer)
	}
	if a.err == nil {
		return a, nil
	}
	a.finish()
	if d.Reason == retry.NoBudget {
		metrics.budgetExhausted.Add(1)
	}
	if c.answered != nil && !errors.Is(a.err, errCallerDisconnected) {
		return c.answered, nil
	}
	err := fmt.Errorf("attempt %d at %s (no retry: %s): %w", c.retry.Attempts(), a.endpoint.VM, d.Reason, a.err)
	return nil, &verdict.Error{Verdict: c.retry.Verdict(), Err: err}
}

// attemptTime returns how long the next attempt may take. If callers send deadlines, it is
// all the remaining time: an unresponsive server must not end a request early. Otherwise it
// is half of it while the route allows a retry, so that time remains to repeat the request
// after a lost response.
func (c *call) attemptTime(now time.Time) time.Duration {
	left := c.retry.Remaining(now)
	route := c.match.Route
	if c.ingress.Headers.Deadline == "" && route.Idempotent && c.retry.Attempts()+1 < route.Retry.Attempts {
		return left / 2
	}
	return left
}

// rank returns the rank of a route under overload. Requests with lower ranks are served
// first.
func rank(m *mesh.Match) uint32 {
	switch {
	case m.Route.Rank != nil:
		return uint32(max(0, *m.Route.Rank))
	case m.Owner.Priority == mesh.PriorityHigh:
		return 0
	case m.Owner.Priority == mesh.PriorityLow:
		return 2
	default:
		return 1
	}
}

// newCallMessage returns the call message for a request. It refers to memory of x and is
// valid only until the task of the request returns.
func newCallMessage(x *callerhttp.Exchange, snap *mesh.Snapshot, m *mesh.Match, caller string) *peerpb.Call {
	req := &x.Request
	return &peerpb.Call{
		Id:               rand.Uint64(),
		Route:            m.Route.Name,
		Method:           string(req.Header.Method()),
		Uri:              x.Target.Raw,
		Host:             x.Target.Host,
		Headers:          forwardedHeaders(&req.Header),
		Body:             req.Body(),
		Caller:           caller,
		Traceparent:      string(header(&req.Header, "Traceparent")),
		Release:          &peerpb.Version{Sequence: snap.Version.Sequence, Digest: snap.Version.Digest[:]},
		Idempotent:       m.Route.Idempotent,
		Priority:         string(m.Owner.Priority),
		Rank:             rank(m),
		MaxResponseBytes: m.Resource.MaxResponseBytes,
		Fingerprint:      requestFingerprint(x, caller),
	}
}

// requestFingerprint returns what identifies requests that ask for the same.
func requestFingerprint(x *callerhttp.Exchange, caller string) uint64 {
	req := &x.Request
	return uint64(quarantine.FingerprintOf(caller, string(req.Header.Method()), x.Target.Host, x.Target.Raw, req.Body()))
}
