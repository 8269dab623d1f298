package egress

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"auburnladder.example/core/verdict"
	"auburnladder.example/wire/peerpb"
	"github.com/valyala/fasthttp"
)

// reserve counts the answer of an admitted call among what the link has to carry, if the
// route's answers are long.
func (x *exchange) reserve() {
	if size := x.egress.sizes.typical(x.call.GetRoute()); size > 0 {
		x.beginTransfer(size)
	}
}

// beginTransfer starts the transfer of the answer, of size bytes as far as is known. An
// answer that doesn't leave the VM has none.
func (x *exchange) beginTransfer(size int) {
	switch t := x.transfer.Load(); {
	case t != nil:
		t.SetSize(size)
	case !x.local():
		x.transfer.Store(x.egress.window.Begin(x.egress.Now(), size, x.objective))
	}
}

func (x *exchange) endTransfer() {
	if t := x.transfer.Load(); t != nil {
		t.End(x.egress.Now())
	}
}

// local reports whether the call came from a caller on this VM.
func (x *exchange) local() bool { return x.from.VM == x.egress.State.Identity.VM }

// sendPart waits for room on the link and sends a part.
func (x *exchange) sendPart(ctx context.Context, part *peerpb.Body) error {
	if t := x.transfer.Load(); t != nil {
		if err := t.Acquire(ctx, len(part.GetData())); err != nil {
			return fmt.Errorf("wait for the link: %w", err)
		}
	}
	if err := x.stream.Send(part); err != nil {
		return fmt.Errorf("%w: %w", errCallEnded, err)
	}
	return nil
}

// awaitArrival returns once the caller's node has confirmed all parts or ended the stream,
// and after StallAfter in any case.
func (x *exchange) awaitArrival(ctx context.Context) {
	t := x.transfer.Load()
	if t == nil {
		return
	}
	timer := time.NewTimer(x.egress.cfg.Transfer.StallAfter)
	defer timer.Stop()
	for t.Pending() > 0 {
		select {
		case <-x.progress:
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		}
	}
}

// relayBuffered reads the whole body, so that the server and its slot are free again, and
// then sends it in parts as the link has room.
func (x *exchange) relayBuffered(ctx context.Context, conn *serverConn, resp *fasthttp.Response, head *peerpb.Reply, body io.Reader, stop func() bool) (verdict.Verdict, error) {
	data, err := readBody(body, resp.Header.ContentLength())
	if err != nil {
		return x.fail(ctx, conn, err)
	}
	x.finish(conn, resp, stop)
	x.egress.sizes.add(x.call.GetRoute(), len(data))
	head.More = true
	x.reply(head)
	x.extendStream()
	if err := x.sendBuffered(ctx, data); err != nil {
		return verdict.Ran, x.abort(err)
	}
	return verdict.Ran, nil
}

func (x *exchange) sendBuffered(ctx context.Context, data []byte) error {
	x.beginTransfer(len(data))
	for rest := data; len(rest) > 0; {
		n := min(len(rest), x.egress.cfg.ChunkBytes)
		part := &peerpb.Body{Data: rest[:n]}
		rest = rest[n:]
		if len(rest) == 0 {
			part.Last, part.Total = true, uint64(len(data))
		}
		if err := x.sendPart(ctx, part); err != nil {
			return err
		}
	}
	x.awaitArrival(ctx)
	return nil
}

// confirm notes how much of the answer has arrived at the caller's node.
func (x *exchange) confirm(received uint64) {
	if t := x.transfer.Load(); t != nil {
		t.Confirm(x.egress.Now(), int(received))
	}
	select {
	case x.progress <- struct{}{}:
	default:
	}
}

// linkMargin is the share of the time to the objective within which an answer is expected
// to have passed the link. The rest is for what the estimate doesn't know: answers larger
// than usual and the caller's node.
const linkMargin = 0.8

// checkLink refuses a call whose answer could not pass the link in time, by the size of
// the route's answers and what the link has still to carry.
func (x *exchange) checkLink(now time.Time) error {
	route := x.call.GetRoute()
	size := x.egress.sizes.typical(route)
	if size == 0 || x.local() {
		return nil
	}
	finish := x.egress.window.EstimateFinish(x.egress.limiter.ServiceTime(route), size)
	useful := time.Duration(float64(x.objective.Sub(now)) * linkMargin)
	if useful <= 0 {
		useful = x.deadline.Sub(now)
	}
	if finish <= useful {
		return nil
	}
	return &refusalError{
		why:        peerpb.Refusal_REFUSAL_OVERLOAD,
		detail:     fmt.Sprintf("the answer would have passed the link in %s", finish),
		retryAfter: min(finish-useful, x.egress.cfg.Admission.MaxRetryAfter),
	}
}

// maxSizedRoutes bounds the routes whose answers are measured.
const maxSizedRoutes = 256

// sizeWeight is the weight of one answer against those before it.
const sizeWeight = 0.1

// bodySizes holds the mean size of the long answers of each route. It is safe for
// concurrent use.
type bodySizes struct {
	mu    sync.Mutex
	means map[string]float64
}

func (b *bodySizes) add(route string, size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	mean, found := b.means[route]
	switch {
	case found:
		b.means[route] = mean + sizeWeight*(float64(size)-mean)
	case len(b.means) < maxSizedRoutes:
		b.means[route] = float64(size)
	}
}

// typical returns the mean size in bytes, 0 for a route without long answers.
func (b *bodySizes) typical(route string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(b.means[route])
}
