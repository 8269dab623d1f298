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

// reserveLink adds the expected response size of an admitted call to the backlog of the
// VM's network link, if the route has long responses.
func (x *exchange) reserveLink() {
	if size := x.egress.responseSizes.mean(x.call.GetRoute()); size > 0 {
		x.beginTransfer(size)
	}
}

// beginTransfer starts the transfer of the response body, or corrects the size of one
// that was started. size is in bytes, 0 if unknown. Responses to callers on the same VM
// don't use the network link and have no transfer.
func (x *exchange) beginTransfer(size int) {
	switch t := x.transfer.Load(); {
	case t != nil:
		t.SetSize(size)
	case !x.callerIsLocal():
		x.transfer.Store(x.egress.linkWindow.Begin(x.egress.Now(), size, x.objective, x.deadline))
	}
}

// endTransfer removes the response from the link's backlog.
func (x *exchange) endTransfer() {
	if t := x.transfer.Load(); t != nil {
		t.End(x.egress.Now())
	}
}

// callerIsLocal reports whether the call came from a caller on this VM.
func (x *exchange) callerIsLocal() bool { return x.peer.VM == x.egress.State.Identity.VM }

// sendBodyPart waits for room on the network link and sends one part of the body, the first one with
// the head.
func (x *exchange) sendBodyPart(ctx context.Context, head *peerpb.Reply, part *peerpb.Body) error {
	if err := x.awaitLink(ctx, len(part.GetData())); err != nil {
		return err
	}
	x.beginReply(head)
	if ctx.Err() != nil {
		// What interrupted the stream may have done so before its deadline was set.
		return ctx.Err()
	}
	if err := x.stream.Send(part); err != nil {
		return fmt.Errorf("%w: %w", errCallerEndedCall, err)
	}
	return nil
}

// awaitLink waits for room for n bytes on the network link.
func (x *exchange) awaitLink(ctx context.Context, n int) error {
	if t := x.transfer.Load(); t != nil {
		if err := t.Acquire(ctx, n); err != nil {
			return fmt.Errorf("wait for room on the network link: %w", err)
		}
	}
	return nil
}

// awaitConfirmation waits until the caller's node has confirmed all bytes or ended the
// stream, for at most StallAfter.
func (x *exchange) awaitConfirmation(ctx context.Context) {
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

// relayBuffered reads the complete body, which frees the server and its slot, and then
// sends it in parts as the network link has room.
func (x *exchange) relayBuffered(ctx context.Context, conn *serverConn, resp *fasthttp.Response, head *peerpb.Reply, body io.Reader, stop func() bool) (verdict.Verdict, error) {
	data, err := readBody(body, resp.Header.ContentLength())
	if err != nil {
		return x.fail(ctx, conn, err)
	}
	x.finishResponse(conn, resp, stop)
	x.egress.responseSizes.observe(x.call.GetRoute(), len(data))
	head.More = true
	delivery, cancel := x.deliveryContext()
	defer cancel()
	err = x.sendBuffered(delivery, head, data)
	switch {
	case err == nil:
		return verdict.Ran, nil
	case x.replySent:
		return verdict.Ran, x.abort(err)
	default:
		x.sendReply(rejection(head.GetStatus(), err))
		return verdict.Ran, err
	}
}

// sendBuffered sends the head and data in parts of ChunkBytes, and waits for their confirmation. The
// head is sent once the link has room for the first part: until then the caller's node can still
// give its caller a complete response if something fails.
func (x *exchange) sendBuffered(ctx context.Context, head *peerpb.Reply, data []byte) error {
	x.beginTransfer(len(data))
	for rest := data; len(rest) > 0; {
		n := min(len(rest), x.egress.cfg.ChunkBytes)
		part := &peerpb.Body{Data: rest[:n]}
		rest = rest[n:]
		if len(rest) == 0 {
			part.Last, part.Total = true, uint64(len(data))
		}
		if err := x.sendBodyPart(ctx, head, part); err != nil {
			return err
		}
	}
	x.awaitConfirmation(ctx)
	return nil
}

// confirmReceived records how many bytes of the response the caller's node has received.
func (x *exchange) confirmReceived(received uint64) {
	if t := x.transfer.Load(); t != nil {
		t.Confirm(x.egress.Now(), int(received))
	}
	select {
	case x.progress <- struct{}{}:
	default:
	}
}

// linkMargin is the fraction of the time to the objective in which a response must be
// expected to pass the network link. The rest covers what the estimate leaves out:
// responses larger than usual and the time at the caller's node.
const linkMargin = 0.8

// checkLinkCapacity refuses a call whose response could not pass the network link in
// time, estimated from the mean response size of the route and the link's backlog.
func (x *exchange) checkLinkCapacity(now time.Time) error {
	route := x.call.GetRoute()
	size := x.egress.responseSizes.mean(route)
	if size == 0 || x.callerIsLocal() {
		return nil
	}
	finish := x.egress.linkWindow.EstimateFinish(x.egress.limiter.ServiceTime(route), size)
	budget := time.Duration(float64(x.objective.Sub(now)) * linkMargin)
	if budget <= 0 {
		budget = x.deadline.Sub(now)
	}
	if finish <= budget {
		return nil
	}
	return &refusalError{
		refusal:    peerpb.Refusal_REFUSAL_OVERLOAD,
		detail:     fmt.Sprintf("the response would need %s to pass the VM's network link, too long for its objective or deadline", finish),
		retryAfter: min(finish-budget, x.egress.cfg.Admission.MaxRetryAfter),
	}
}

// maxMeasuredRoutes limits the number of routes whose response sizes are recorded.
const maxMeasuredRoutes = 256

// sizeEWMAWeight is the weight of a new response in the moving average of response sizes.
const sizeEWMAWeight = 0.1

// routeResponseSizes holds, for each route, the moving average of the sizes of buffered
// responses: those longer than InlineBytes and no longer than BufferBytes. It is safe for
// concurrent use.
type routeResponseSizes struct {
	mu    sync.Mutex
	means map[string]float64
}

// observe records the size in bytes of one response.
func (s *routeResponseSizes) observe(route string, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, found := s.means[route]
	switch {
	case found:
		s.means[route] = mean + sizeEWMAWeight*(float64(size)-mean)
	case len(s.means) < maxMeasuredRoutes:
		s.means[route] = float64(size)
	}
}

// mean returns the mean size in bytes, 0 for a route without buffered responses.
func (s *routeResponseSizes) mean(route string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.means[route])
}
