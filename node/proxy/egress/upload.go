package egress

import (
	"context"
	"errors"
	"time"

	"auburnladder.example/core/upload"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/sourcegraph/conc"
)

// maxHeldUploadBytes is the largest request body that is received completely before any byte of the
// request is sent to the server. A longer one is passed on as it comes, so that the node need not hold it.
const maxHeldUploadBytes = 1 << 20

// streamedUploadBytes is what the node holds at most of a request body that it passes on as it comes: the
// receive window of the stream.
const streamedUploadBytes = 256 << 10

// acceptedUpload is a request body that was announced with await_proceed and accepted.
type acceptedUpload struct {
	egress *Egress
	body   *upload.Upload
	// reserved is the number of bytes taken from the budget of request bodies.
	reserved int64
	// proceeded is set once the caller's node was told to send the body.
	proceeded bool
	received  int64
	// cold is whether the server was cold when the call got its slot.
	cold bool
	// unstarted is set while the body counts among those that have a slot and have not been sent to the server.
	unstarted bool
	// window says when the caller's node is told to send more.
	window upload.Window
}

// receivedPart records that n bytes of the body have arrived, and tells the caller's node to send more.
func (x *exchange) receivedPart(n int) {
	u := x.upload
	u.received += int64(n)
	u.egress.uploads.Received(u.egress.Now(), u.body, int64(n))
	for range u.window.Received(int64(n)) {
		if err := x.sendProceed(); err != nil {
			// The next read from the stream fails as well.
			return
		}
	}
}

// sendProceed tells the caller's node to send the body, or more of it.
func (x *exchange) sendProceed() error {
	return x.stream.Send(&peerpb.Reply{Id: x.call.GetId(), Proceed: true})
}

// start records that the request is about to be sent to the server, or will not be.
func (u *acceptedUpload) start() {
	if u.unstarted {
		u.unstarted = false
		u.egress.unstartedUploads.Add(-1)
	}
}

// end removes the body from the schedule and from the budget.
func (u *acceptedUpload) end() {
	u.start()
	u.egress.uploads.End(u.egress.Now(), u.body)
	u.egress.cfg.Uploads.Release(u.reserved)
}

// awaitsProceed reports whether the caller's node sends the body only after a reply with proceed, and
// has not been sent one.
func (x *exchange) awaitsProceed() bool {
	return x.call.GetAwaitProceed() && (x.upload == nil || !x.upload.proceeded)
}

// uploadMargin is the share of the time from the arrival of a call to its deadline by which its body must be
// expected earlier than the server needs it. Without it, bodies that arrived at the last moment were served
// late: the expected service time is a median.
const uploadMargin = 0.1

// maxServiceShare bounds the expected service time to a share of the time from the arrival of a call to its deadline.
// Requests that ended at their deadline raise the expectation to all of it, and with every further one refused for that
// it would stay there.
const maxServiceShare = 0.5

// scheduleUpload adds the announced body to the schedule. It must arrive in time for the latency objective if the
// link could carry it until then: with more bodies than the link carries, all of them would be late otherwise.
func (x *exchange) scheduleUpload(now time.Time, size int64) (*upload.Upload, upload.Decision) {
	schedule, usesLink := x.egress.uploads, !x.callerIsLocal()
	if us := x.call.GetObjectiveUs(); us > 0 {
		objective := now.Add(time.Duration(us)*time.Microsecond - x.transitDelay)
		body, d := schedule.Admit(now, size, x.latestArrival(now, objective), usesLink)
		if d.Reason != upload.LinkSlow {
			return body, d
		}
	}
	return schedule.Admit(now, size, x.latestArrival(now, x.deadline), usesLink)
}

// latestArrival returns when a request body must have arrived for its request to be served by end.
func (x *exchange) latestArrival(now, end time.Time) time.Time {
	total := float64(end.Sub(now))
	service := min(x.egress.limiter.ServiceTime(x.call.GetRoute()), time.Duration(maxServiceShare*total))
	return end.Add(-service - time.Duration(uploadMargin*total))
}

// uploadRefusal counts and returns the refusal of an announced body, or nil if it was accepted.
func (x *exchange) uploadRefusal(d upload.Decision) error {
	if d.Reason == upload.Accepted {
		return nil
	}
	x.countUploadRefused()
	refusal := peerpb.Refusal_REFUSAL_OVERLOAD
	if d.Reason == upload.LinkSlow {
		refusal = peerpb.Refusal_REFUSAL_DEADLINE
	}
	return &refusalError{refusal: refusal, detail: d.Reason.String(), retryAfter: min(d.RetryAfter, x.egress.cfg.Admission.MaxRetryAfter)}
}

func (x *exchange) countUploadRefused() {
	egressStats.Add("uploads_refused", 1)
	egressStats.Add("upload_bytes_refused", int64(x.call.GetBodyBytes()))
}

// acceptUpload reserves memory and a share of the link for an announced body, and waits until it may be sent. The
// caller must call endUpload, whatever it returns.
func (x *exchange) acceptUpload(ctx context.Context) error {
	e := x.egress
	size := int64(x.call.GetBodyBytes())
	if size <= 0 {
		return newRefusal(peerpb.Refusal_REFUSAL_BAD_REQUEST, "a body of unknown size was announced")
	}
	now := e.Now()
	body, d := x.scheduleUpload(now, size)
	if body == nil {
		return x.uploadRefusal(d)
	}
	reserved := size
	if size > maxHeldUploadBytes {
		reserved = streamedUploadBytes
	}
	if !e.cfg.Uploads.Reserve(reserved) {
		e.uploads.End(now, body)
		x.countUploadRefused()
		return newRefusal(peerpb.Refusal_REFUSAL_OVERLOAD, "no memory for a request body of %d bytes", size)
	}
	x.upload = &acceptedUpload{egress: e, body: body, reserved: reserved, window: upload.NewWindow(size)}
	if err := x.awaitTurn(ctx); err != nil {
		x.countUploadRefused()
		return err
	}
	return nil
}

// coldUploadShare is how many accepted bodies may be on their way to a cold server, as a share of the requests that it
// tolerates per second. The limiter counts their starts when they get a slot; they start when the body has
// arrived, beside those that get a slot in that second. Together they stay within the 1.5 times that a cold server gets
// at most.
const coldUploadShare = 0.5

// checkColdUpload refuses the body of a call that was granted a slot if too many are on their way to a cold
// server.
func (x *exchange) checkColdUpload() error {
	s := x.egress.cold.status.Load()
	x.upload.cold, x.upload.unstarted = s.cold, true
	waiting := x.egress.unstartedUploads.Add(1)
	if !s.cold || float64(waiting) <= max(1, coldUploadShare*s.perSecond) {
		return nil
	}
	x.countUploadRefused()
	return newRefusal(peerpb.Refusal_REFUSAL_OVERLOAD, "%d request bodies are on their way to the cold backend server", waiting)
}

// checkTurnedCold refuses a call that got its slot from a warm server that is cold now: the start of the request was
// not counted against its limit.
func (x *exchange) checkTurnedCold() error {
	if x.upload.cold || !x.egress.cold.status.Load().cold {
		return nil
	}
	return newRefusal(peerpb.Refusal_REFUSAL_OVERLOAD, "the backend server became cold while the request body was on its way")
}

// watchAsking cancels the call if the caller's node ends the stream before it was told to send the body.
// The returned function ends the watch; after it, the stream can be read.
func (x *exchange) watchAsking(watcher *conc.WaitGroup, cancel context.CancelFunc) (stop func()) {
	done := make(chan struct{})
	watcher.Go(func() {
		defer close(done)
		// Nothing may be sent before the reply, so any message ends the call as well.
		if err := x.stream.Recv(&peerpb.Body{}); !errors.Is(err, session.ErrTimeout) {
			cancel()
		}
	})
	return func() {
		x.stream.SetReadDeadline(pastDeadline)
		<-done
		x.stream.SetReadDeadline(time.Time{})
	}
}

// receiveUpload tells the caller's node to send the body of a call that has a slot. It receives a body of up to
// maxHeldUploadBytes completely, and the first part of a longer one, into the call. If it returns an error, the server
// has been sent nothing.
func (x *exchange) receiveUpload(ctx context.Context, stopAsking func(), watcher *conc.WaitGroup, cancel context.CancelFunc) error {
	if err := x.checkColdUpload(); err != nil {
		return err
	}
	stopAsking()
	// The watch may have ended the call meanwhile.
	if ctx.Err() != nil {
		x.countUploadRefused()
		return newRefusal(peerpb.Refusal_REFUSAL_DEADLINE, "the call ended before its body was sent: %v", ctx.Err())
	}
	x.upload.proceeded = true
	x.boundStream(x.deadline)
	egressStats.Add("uploads_granted", 1)
	egressStats.Add("upload_bytes_granted", int64(x.call.GetBodyBytes()))
	if err := x.sendProceed(); err != nil {
		return newRefusal(peerpb.Refusal_REFUSAL_DEADLINE, "%v: %v", errCallerEndedCall, err)
	}
	if err := x.receiveBody(watcher, cancel); err != nil {
		egressStats.Add("upload_bytes_in_vain", x.upload.received)
		return err
	}
	x.upload.start()
	return nil
}

// receiveBody receives the body, or its first part, and checks again what may have changed meanwhile.
func (x *exchange) receiveBody(watcher *conc.WaitGroup, cancel context.CancelFunc) error {
	if x.call.GetBodyBytes() > maxHeldUploadBytes {
		if err := x.receiveFirstPart(); err != nil {
			return err
		}
	} else {
		if err := x.holdUpload(); err != nil {
			return err
		}
		x.stream.SetDeadline(time.Time{})
		watcher.Go(func() { x.watchStream(cancel) })
	}
	if err := x.egress.checkAdmitted(x); err != nil {
		return err
	}
	return x.checkTurnedCold()
}

// awaitTurn waits until the body may be sent. It returns an error if it could no longer arrive in time.
func (x *exchange) awaitTurn(ctx context.Context) error {
	e := x.egress
	for waiting := true; waiting; {
		timer := time.NewTimer(e.cfg.Upload.StallAfter)
		select {
		case <-x.upload.body.Turn():
			waiting = false
		case <-ctx.Done():
			timer.Stop()
			return newRefusal(peerpb.Refusal_REFUSAL_DEADLINE, "the call ended while its body waited for the network link: %v", ctx.Err())
		case <-timer.C:
			e.uploads.Refresh(e.Now())
		}
		timer.Stop()
	}
	if !e.uploads.InTime(e.Now(), x.upload.body) {
		return newRefusal(peerpb.Refusal_REFUSAL_DEADLINE, "%s: other bodies took longer than expected", upload.LinkBusy)
	}
	return nil
}

// holdUpload receives the complete body into the call, of which it then is a part.
func (x *exchange) holdUpload() error {
	size := int(x.call.GetBodyBytes())
	body := &requestBody{stream: x.stream, onPart: x.receivedPart}
	data := make([]byte, 0, size)
	for !body.lastReceived {
		if err := body.readPart(); err != nil {
			// What the caller's node still sends need not be read: it ended the stream, or it is too late.
			x.body = body
			return newRefusal(peerpb.Refusal_REFUSAL_DEADLINE, "%v", err)
		}
		if len(data)+len(body.pending) > size {
			return newRefusal(peerpb.Refusal_REFUSAL_BAD_REQUEST, "the body is longer than the %d bytes that were announced", size)
		}
		data = append(data, body.pending...)
	}
	x.body = body
	if len(data) != size {
		return newRefusal(peerpb.Refusal_REFUSAL_BAD_REQUEST, "the body has %d bytes, not the %d that were announced", len(data), size)
	}
	x.call.Body, x.call.More = data, false
	return nil
}

// receiveFirstPart receives the first part of a body that is passed on as it comes. Without it the caller's node may
// have given the call up, as not run, before it was told to send the body.
func (x *exchange) receiveFirstPart() error {
	x.body = &requestBody{stream: x.stream, onPart: x.receivedPart}
	if err := x.body.readPart(); err != nil {
		return newRefusal(peerpb.Refusal_REFUSAL_DEADLINE, "%v", err)
	}
	if x.body.lastReceived {
		return newRefusal(peerpb.Refusal_REFUSAL_BAD_REQUEST, "the body has %d bytes, not the %d that were announced", x.body.received, x.call.GetBodyBytes())
	}
	x.call.Body = x.body.pending
	return nil
}

// endUpload ends what an accepted body occupies.
func (x *exchange) endUpload() {
	if x.upload != nil {
		x.upload.end()
	}
}

// publishUploadMetrics updates the gauges of request bodies.
func (e *Egress) publishUploadMetrics() {
	s := e.uploads.Status()
	egressStats.Set("upload_bytes_held", gauge(s.Held))
	egressStats.Set("upload_bytes_missing", gauge(s.Missing))
}
