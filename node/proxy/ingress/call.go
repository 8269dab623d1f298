package ingress

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/retry"
	"auburnladder.example/core/routing"
	"auburnladder.example/core/verdict"
	"auburnladder.example/node/proxy"
	"auburnladder.example/wire/peerpb"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
)

var (
	// errNoServer reports that no backend server of the service may be tried.
	errNoServer = errors.New("no backend server available")
	// errCrossed reports an answer that belongs to another request.
	errCrossed = errors.New("answer to another request")
	// errCallerGone reports that the caller closed its connection.
	errCallerGone = errors.New("caller closed the connection")
	// errSilent reports a session that carries no data any more.
	errSilent = errors.New("session is silent")
	// errDeadline reports that the time of an attempt is over.
	errDeadline = errors.New("deadline exceeded")
)

// refusedError is a refusal by the node of a backend server.
type refusedError struct {
	refusal peerpb.Refusal
	detail  string
}

// Error names the refusal and what the node said about it.
func (e *refusedError) Error() string {
	return fmt.Sprintf("refused (%s): %s", e.refusal, e.detail)
}

// randomSource draws from the generator of the runtime, which is safe for
// concurrent use.
type randomSource struct{}

// Uint64 implements rand.Source.
func (randomSource) Uint64() uint64 {
	return rand.Uint64()
}

// call is one caller's request on its way through its attempts. It belongs to the
// goroutine of the request.
type call struct {
	ingress *Ingress
	ctx     *fasthttp.RequestCtx
	match   *mesh.Match
	message *peerpb.Call
	// target is the service that runs the request.
	target *mesh.Service
	// objective is when an answer ceases to be worth most.
	objective time.Time
	// traceparent is the trace context of the call; each attempt has one below it.
	traceparent string
	retry       retry.Call
	tried       []*routing.Endpoint
	// wait is how long all servers asked to be left alone, if none was left to try.
	wait time.Duration
}

// run makes attempts until one is final. The returned attempt holds an answer if
// err is nil; the caller must finish it. The error carries the verdict on the call.
func (c *call) run() (*attempt, error) {
	table := c.ingress.Router.Table(c.target.Name)
	if table == nil {
		return nil, verdict.Wrap(verdict.NotRun, errNoServer)
	}
	var last *attempt
	for {
		picked := c.ingress.Router.Picker.Pick(time.Now(), randomSource{}, table, c.tried)
		if picked.Endpoint == nil {
			c.noteWait(picked.Wait)
			return c.conclude(last, retry.Decision{Reason: retry.NoServer})
		}
		if last != nil {
			last.finish()
			metrics.retries.Add(1)
			c.logRetry(last)
		}
		if c.callerLeft() {
			return nil, verdict.Wrap(c.retry.Verdict(), errCallerGone)
		}
		last = c.try(picked.Endpoint)
		decision := c.retry.Next(time.Now(), last.retryOutcome(), randomSource{})
		if !decision.Retry() {
			return c.conclude(last, decision)
		}
		if last.err != nil {
			last.finish()
		}
		c.tried = append(c.tried, picked.Endpoint)
		time.Sleep(decision.Wait)
	}
}

// callerLeft reports whether the caller closed its connection, for example while its
// request waited to be read.
func (c *call) callerLeft() bool {
	return connectionEnded(c.ctx.Conn())
}

// noteWait keeps the shortest time after which a server may have room.
func (c *call) noteWait(d time.Duration) {
	if d > 0 && (c.wait == 0 || d < c.wait) {
		c.wait = d
	}
}

// logRetry records that another attempt follows a.
func (c *call) logRetry(a *attempt) {
	c.describe(c.ingress.Decisions.Warn("request-retried")).Err(a.err).Str("server", a.endpoint.VM).
		Stringer("verdict", a.verdict()).Dur("left_ms", c.retry.Remaining(time.Now())).Msg("another attempt follows")
}

// describe adds what identifies the request and what its routing was decided by.
func (c *call) describe(line *zerolog.Event) *zerolog.Event {
	if line == nil {
		return nil
	}
	st := c.ingress.State
	return line.Str("request", c.requestID()).Str("service", c.target.Name).Str("route", c.match.Route.Name).
		Uint32("attempts", uint32(c.retry.Attempts())).Uint64("release", c.message.GetRelease().GetSequence()).
		Uint64("vm_list", st.Fleet().Revision).Dur("vm_list_age_ms", st.Fleet().Age(time.Now()))
}

// requestID returns the id that the caller gave the request, "" if none.
func (c *call) requestID() string {
	return string(c.ctx.Request.Header.Peek(cmp.Or(c.ingress.Headers.RequestID, proxy.RequestIDHeader)))
}

// conclude returns the last attempt's answer or its error. a is nil if no attempt was
// made.
func (c *call) conclude(a *attempt, d retry.Decision) (*attempt, error) {
	if a == nil {
		return nil, verdict.Wrap(verdict.NotRun, errNoServer)
	}
	if a.err == nil {
		return a, nil
	}
	a.finish()
	if d.Reason == retry.NoBudget {
		metrics.budgetSpent.Add(1)
	}
	err := fmt.Errorf("attempt %d at %s (no retry: %s): %w", c.retry.Attempts(), a.endpoint.VM, d.Reason, a.err)
	return nil, &verdict.Error{Verdict: c.retry.Verdict(), Err: err}
}

// attemptTime returns how long the next attempt may take. Where callers state deadlines
// that is all that is left: a server's silence ends no request. Elsewhere it is half while
// a lost answer can be asked for again.
func (c *call) attemptTime(now time.Time) time.Duration {
	left := c.retry.Remaining(now)
	route := c.match.Route
	if c.ingress.Headers.Deadline == "" && route.Idempotent && c.retry.Attempts()+1 < route.Retry.Attempts {
		return left / 2
	}
	return left
}

// rank returns the order of a route under overload, 0 first.
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

// newCallMessage returns the message for the request of ctx. It refers to the
// memory of ctx and is valid until the handler returns.
func newCallMessage(ctx *fasthttp.RequestCtx, snap *mesh.Snapshot, m *mesh.Match, caller string) *peerpb.Call {
	return &peerpb.Call{
		Id:               rand.Uint64(),
		Route:            m.Route.Name,
		Method:           string(ctx.Method()),
		Uri:              string(ctx.RequestURI()),
		Host:             string(ctx.Host()),
		Headers:          callerHeaders(&ctx.Request.Header),
		Body:             ctx.PostBody(),
		Caller:           caller,
		Traceparent:      string(ctx.Request.Header.Peek("Traceparent")),
		Release:          &peerpb.Version{Sequence: snap.Version.Sequence, Digest: snap.Version.Digest[:]},
		Idempotent:       m.Route.Idempotent,
		Priority:         string(m.Owner.Priority),
		Rank:             rank(m),
		MaxResponseBytes: m.Resource.MaxResponseBytes,
	}
}
