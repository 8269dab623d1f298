package callerhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"auburnladder.example/core/lifetime"
	"auburnladder.example/core/steady"
	"auburnladder.example/core/target"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	// writeBufferBytes is the size of the write buffer of a connection.
	writeBufferBytes = 4 << 10
	// leaveCheckInterval is the time between two checks for a caller that closed its
	// connection while reading is paused.
	leaveCheckInterval = 100 * time.Millisecond
	// discardTimeout bounds dropping the bytes that a caller sent behind its last response.
	discardTimeout = 10 * time.Millisecond
	// lastLook is how long an idle connection is read once more before it is closed.
	lastLook = 10 * time.Millisecond
	// maxFirstRequestWait is how long after it was accepted a connection is kept for its first
	// request while the server stops.
	maxFirstRequestWait = 500 * time.Millisecond
)

// pastDeadline is a deadline that ends a blocked read or write at once.
var pastDeadline = time.Unix(1, 0)

// conn is one connection of a caller. Its reading goroutine runs serve; each exchange has a
// goroutine that runs it and, at its turn, writes the response.
type conn struct {
	server *Server
	nc     net.Conn
	in     arrivalReader
	out    outWriter
	br     *bufio.Reader
	// bw belongs to the exchange whose turn it is.
	bw       *bufio.Writer
	pipeline pipeline
	// ctx ends when the caller has left or the connection is closed.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup
	// accepted is when the connection was accepted, and requests counts the requests that were
	// read. They belong to the reading goroutine.
	accepted time.Time
	requests int
	// serial is set if the latest request has a protocol version whose responses may have to end the
	// connection: nothing is read behind it before it is answered. It belongs to the reading goroutine.
	serial bool
	// bodyUnread is set when a request was refused before its body was read. It belongs to the
	// reading goroutine.
	bodyUnread bool
	// answered receives a value after a response is complete.
	answered chan struct{}
	// aborted is set when this side cuts the connection.
	aborted atomic.Bool
	// awaiting is set while the reading goroutine waits for the first byte of a request.
	awaiting atomic.Bool
	// evicted is set when the connection must close, once idle, to make room for another one.
	evicted atomic.Bool
	// lastAnswer is when the last response was complete, or the connection accepted, as given by
	// steady.Nanos, and served is set with the first one.
	lastAnswer atomic.Int64
	served     atomic.Bool
	// from is the caller's address. held is what is charged to the connection.
	from netip.Addr
	held atomic.Int64
	// progressAt is the time up to which the caller has sent enough of the request that is being read, 0
	// if none is; writingSince is since when a write waits, 0 if none does. They are as given by
	// steady.Nanos.
	progressAt, writingSince atomic.Int64

	// mu guards the read deadline and lingering, which is set once the last response is
	// complete: no request is read after that.
	mu        sync.Mutex
	lingering bool
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, accepted: time.Now(), answered: make(chan struct{}, 1)}
	c.in.conn, c.in.owner = nc, c
	c.from = remoteIP(nc)
	c.out.owner = c
	c.br, c.bw = s.buffers.get(&c.in, &c.out, s.cfg.MaxHeaderBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.lastAnswer.Store(steady.Nanos(time.Now()))
	return c
}

// arrivalReader notes when the bytes of its last read arrived.
type arrivalReader struct {
	conn  net.Conn
	owner *conn
	// head is the exchange to which received parts of its header section are charged; nil if none is
	// being read.
	head *Exchange
	// noRoom is set when received bytes could not be charged. The parser does not always pass that on.
	noRoom bool
	// trailer charges the fields behind a body in chunks.
	trailer trailerCharge
	last    time.Time
	// pausedSince is when reading was paused with bytes of the caller possibly unread; zero if
	// it was not. The next read resets it.
	pausedSince time.Time
}

// promptRead is the duration of a read up to which its bytes were there before it began.
const promptRead = time.Millisecond

// Read implements io.Reader.
func (r *arrivalReader) Read(p []byte) (int, error) {
	began := time.Now()
	n, err := r.conn.Read(p)
	r.last = time.Now()
	if !r.pausedSince.IsZero() && r.last.Sub(began) < promptRead {
		r.last = r.pausedSince
	}
	r.pausedSince = time.Time{}
	r.owner.progress(n, r.last)
	if noRoom := r.trailer.receive(p[:n]); noRoom != nil {
		r.noRoom = true
		return 0, noRoom
	}
	if r.head != nil && n > 0 {
		size, complete := headBytes(p[:n])
		if noRoom := r.head.charge(size); noRoom != nil {
			r.noRoom = true
			return 0, noRoom
		}
		if complete {
			r.head = nil
		}
	}
	return n, err
}

// serve reads requests and starts their exchanges until the connection ends.
func (c *conn) serve() {
	defer c.finish()
	for c.awaitRoom() && c.awaitRequest() {
		x, err := c.readRequest()
		if err != nil && c.in.noRoom {
			err = ErrNoRoom
		}
		c.bodyUnread = errors.Is(err, ErrNoRoom) || errors.Is(err, fasthttp.ErrBodyTooLarge) || x.hasBody() && isTimeout(err)
		if err != nil && c.callerLeft(err) {
			releaseExchange(x)
			return
		}
		if !c.begin(x, err) {
			releaseExchange(x)
			return
		}
	}
}

// awaitRoom waits until one more request may be read. It returns false if no further request
// is to be read.
func (c *conn) awaitRoom() bool {
	for !c.hasRoom() {
		if c.in.pausedSince.IsZero() {
			c.in.pausedSince = time.Now()
			stats.paused.Add(1)
		}
		if !c.awaitAnswer() {
			return false
		}
	}
	return !c.pipeline.closing()
}

func (c *conn) hasRoom() bool {
	cfg := &c.server.cfg
	count, bytes := c.pipeline.load()
	return count == 0 || !c.serial && count < cfg.MaxPipelined && bytes < cfg.MaxPipelinedBytes && c.server.waiting.Load() < cfg.MaxWaiting &&
		c.held.Load() < connectionBytes+int64(cfg.MaxPipelinedBytes) && !cfg.Account.tight()
}

// awaitAnswer waits, without reading, until a response is complete. It returns false if the
// caller has left meanwhile.
func (c *conn) awaitAnswer() bool {
	ticker := time.NewTicker(leaveCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.answered:
			return true
		case <-c.ctx.Done():
			return false
		case <-ticker.C:
			if closedByRemote(c.nc) {
				c.cancel()
				return false
			}
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false if the connection is
// to be closed: the caller has left, it was idle for too long, another one needs the room, or the
// server stops.
func (c *conn) awaitRequest() bool {
	c.awaiting.Store(true)
	defer c.awaiting.Store(false)
	for looked := false; ; {
		closing, idle, evicted := c.server.closing.Load(), c.idle(), c.evicted.Load()
		wait := c.idleWait()
		if closing && idle {
			wait = c.firstRequestWait()
		}
		if wait <= 0 {
			return false
		}
		c.setReadDeadline(time.Now().Add(wait))
		// A wake-up between these checks and setting the deadline would be lost.
		if c.pipeline.closing() {
			return false
		}
		if c.server.closing.Load() != closing || c.idle() != idle || c.evicted.Load() != evicted {
			continue
		}
		_, err := c.br.Peek(1)
		switch {
		case err == nil:
			return c.pipeline.beginRead()
		case !isTimeout(err):
			c.callerLeft(err)
			return false
		case c.pipeline.closing() || looked && c.idleTooLong():
			return false
		case c.idleTooLong():
			looked = true
		}
	}
}

// firstRequestWait returns how long a connection without a request stays open while the server
// stops: its caller may just be sending the first one, which then gets a response.
func (c *conn) firstRequestWait() time.Duration {
	if c.requests > 0 {
		return 0
	}
	return time.Until(c.accepted.Add(maxFirstRequestWait))
}

// idle reports whether every response is complete.
func (c *conn) idle() bool {
	count, _ := c.pipeline.load()
	return count == 0
}

// idleFor returns the time since the last response was complete, or since the connection was
// accepted.
func (c *conn) idleFor() time.Duration {
	return time.Duration(steady.Nanos(time.Now()) - c.lastAnswer.Load())
}

// idleWait returns how long to wait for a request before the connection may have been idle for too
// long. Then it is still long enough to find a request that is there already: while the process does
// not run, the wait may end before such a request is seen.
func (c *conn) idleWait() time.Duration {
	limit := c.server.idleTimeout()
	if !c.idle() {
		return limit
	}
	if c.evicted.Load() {
		return lastLook
	}
	return max(limit-c.idleFor(), lastLook)
}

// idleTooLong reports whether the connection is idle and must not stay so.
func (c *conn) idleTooLong() bool {
	return c.idle() && (c.evicted.Load() || c.idleFor() >= c.server.idleTimeout())
}

// callerLeft reports whether err, from reading, means that the caller closed the connection,
// and if so cancels the requests in progress. Responses that are complete are still written
// unless the connection was reset.
func (c *conn) callerLeft(err error) bool {
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !isReset(err) {
		return false
	}
	c.cancel()
	if isReset(err) {
		c.pipeline.end()
	}
	return true
}

// readRequest reads one request. Its first byte is there. The caller releases the exchange,
// also after an error.
func (c *conn) readRequest() (*Exchange, error) {
	c.requests++
	x := acquireExchange(c)
	began := time.Now()
	c.progressAt.Store(steady.Nanos(began))
	defer c.progressAt.Store(0)
	c.setReadDeadline(began.Add(c.server.headTimeout()))
	if err := c.chargeHead(x); err != nil {
		return x, err
	}
	req := &x.Request
	err := req.Header.Read(c.br)
	c.in.head = nil
	if err != nil {
		return x, err
	}
	if x.hasBody() && c.br.Buffered() < req.Header.ContentLength() || chunked(x) {
		c.setReadDeadline(began.Add(c.server.cfg.ReadTimeout))
	}
	c.serial = !req.Header.IsHTTP11()
	if x.Target, err = target.Parse(string(req.Header.Method()), string(req.Header.RequestURI()), string(req.Header.Host())); err != nil {
		return x, err
	}
	x.closes = req.Header.ConnectionClose()
	if err := c.reserveBody(x); err != nil {
		return x, err
	}
	if req.MayContinue() {
		if err := c.sendContinue(); err != nil {
			return x, err
		}
	}
	c.boundBody(x)
	if err := c.readBody(x); err != nil {
		return x, err
	}
	x.size = len(req.Header.RawHeaders()) + len(req.Body())
	return x, nil
}

// sendContinue writes the interim response that the caller waits for before it sends a body.
// It waits for its turn, as any response.
func (c *conn) sendContinue() error {
	for !c.idle() {
		if !c.awaitAnswer() {
			return io.EOF
		}
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(lifetime.DeliveryTime))
	if _, err := c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return c.bw.Flush()
}

// setReadDeadline sets the read deadline unless the connection lingers. It may be called from
// any goroutine.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lingering {
		_ = c.nc.SetReadDeadline(t)
	}
}

// wake makes the reading goroutine check whether the server stops. It may be called from any
// goroutine.
func (c *conn) wake() { c.setReadDeadline(pastDeadline) }

// abort cuts the connection and cancels its requests. It may be called from any goroutine.
func (c *conn) abort() {
	c.aborted.Store(true)
	c.cancel()
	c.pipeline.end()
	_ = c.nc.Close()
}

// finish waits for the exchanges that have started and closes the connection. It runs on the
// reading goroutine. Until the last response is complete it reads no further byte: what lies
// behind it has not been read, so that the caller may send it again.
func (c *conn) finish() {
	for !c.idle() && c.awaitAnswer() {
	}
	if c.ctx.Err() != nil {
		// The caller left. What is complete may still be written, for a short time.
		_ = c.nc.SetWriteDeadline(time.Now().Add(c.server.cfg.LingerTimeout))
	}
	c.tasks.Wait()
	switch {
	case c.bodyUnread && c.lingers():
		c.discardInput(c.server.cfg.LingerTimeout)
	case c.lingers():
		c.awaitClose()
	}
	c.cancel()
	c.pipeline.end()
	_ = c.nc.Close()
	c.server.buffers.put(c.br, c.bw)
	c.discharge(connectionBytes)
}

// awaitClose waits until the caller closes the connection behind its last response, for at most
// LingerTimeout. Meanwhile it reads nothing, so that the caller can tell that what it sends is not
// served. Then it drops what was sent: closing with unread bytes would reset the connection, and
// what a slow caller has not received of the response would be lost.
func (c *conn) awaitClose() {
	_ = c.nc.SetReadDeadline(time.Now().Add(c.server.cfg.LingerTimeout))
	if awaitRemoteClose(c.nc) {
		return
	}
	c.discardInput(discardTimeout)
}

// discardInput drops what the caller sends until it closes the connection, for at most the given
// time. A caller that is still sending the body of a request that was refused may not read the
// response before it has sent all of it.
func (c *conn) discardInput(most time.Duration) {
	_ = c.nc.SetReadDeadline(time.Now().Add(most))
	// The connection is closed next, whatever ended the reading.
	_, _ = io.Copy(io.Discard, c.nc)
}

func (c *conn) lingers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lingering
}
