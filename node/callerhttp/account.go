package callerhttp

import (
	"bytes"
	"net"
	"net/netip"
	"sync"
	"time"

	"auburnladder.example/core/steady"
	"auburnladder.example/node/budget"
	"golang.org/x/sys/unix"
)

// What is charged for a connection and its requests. It is an upper bound of what they allocate, measured
// with header sections of the shortest fields and rounded up.
const (
	// connectionBytes is for the buffers of a connection and the stacks of its goroutines.
	connectionBytes = 28 << 10
	// exchangeBytes is for a request and its goroutine, and queuedBytes for one behind an unanswered one,
	// whose response of up to 15 KiB also waits in memory.
	exchangeBytes = 8 << 10
	queuedBytes   = 24 << 10
	// fieldBytes is for a parsed field and its copies for the server's node, beside its own bytes.
	fieldBytes = 256
	// maxPooledBytes is the largest charge of an exchange that is used again: its buffers stay as large
	// as they were.
	maxPooledBytes = 64 << 10
)

const (
	// minStall is how long a caller must have made no progress for its connection to be closed in favour
	// of others. It is above the pauses of a caller on a slow link whose node is short of processor time.
	minStall = 250 * time.Millisecond
	// progressRate is the number of bytes per second with which a caller counts as making progress. At a
	// lower rate it counts as stalled for a part of the time.
	progressRate = 32 << 10
	// roomTimeout bounds the wait for memory that connections release which were closed.
	roomTimeout = 250 * time.Millisecond
	// releaseTime is how long a connection that was closed may take to release its memory before another
	// one is closed.
	releaseTime = 25 * time.Millisecond
	// roomInterval is the time between two looks whether they have.
	roomInterval = 2 * time.Millisecond
	// reportInterval is the time between two reports about the same address.
	reportInterval = 10 * time.Second
	// maxReported bounds the number of addresses whose last report is kept.
	maxReported = 1024
)

// Account holds what the connections of callers take of a node's memory: buffers, header sections,
// parsed fields, bodies, requests and responses that wait. Everything is charged to the connection and to the
// node before it is allocated; what an address holds is the sum of its connections, which is only needed
// when one of them is to close. When the node's budget runs short, the
// connections close first whose callers have made no progress for longest, relative to what they hold and
// to what their address holds. An address has no limit of its own, because all clients of a VM may share
// one. Create it with NewAccount. The nil Account has no limit. It is safe for concurrent use.
type Account struct {
	budget *budget.Budget
	limit  int64
	// onClose is called for a connection that is closed for the benefit of others, once for each
	// address and reportInterval.
	onClose func(ClosedCaller)

	// room is held by the goroutine that makes room, so that no more is closed than needed.
	room sync.Mutex

	mu       sync.Mutex
	servers  []*Server
	reported map[netip.Addr]time.Time
}

// ClosedCaller describes a connection that was closed because the node was short of memory or
// connections.
type ClosedCaller struct {
	Address netip.Addr
	// Bytes is what the connection held, AddressBytes what all of its address did.
	Bytes, AddressBytes int64
	// Stalled is how long its caller had made no progress.
	Stalled time.Duration
}

// NewAccount returns an account of limit bytes, published as budget under name.
func NewAccount(name string, limit int64, onClose func(ClosedCaller)) *Account {
	return &Account{budget: budget.New(name, limit), limit: limit, onClose: onClose, reported: make(map[netip.Addr]time.Time)}
}

// addServer makes the connections of s candidates for closing.
func (a *Account) addServer(s *Server) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.servers = append(a.servers, s)
}

// remoteIP returns the address of the caller of nc.
func remoteIP(nc net.Conn) netip.Addr {
	if tcp, isTCP := nc.RemoteAddr().(*net.TCPAddr); isTCP {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// tight reports whether most of the budget is used. Connections then serve one request at a time.
func (a *Account) tight() bool { return a != nil && a.budget.Used() > a.limit/4*3 }

// makeRoom calls reserve until it succeeds, and closes connections other than c for it. It returns false
// if that does not help in time.
func (a *Account) makeRoom(c *conn, reserve func() bool) bool {
	if a == nil {
		return false
	}
	end := time.Now().Add(roomTimeout)
	// The caller waits for this node, not the other way round.
	if c.progressAt.Swap(0) != 0 {
		defer func() { c.progressAt.Store(steady.Nanos(time.Now())) }()
	}
	a.room.Lock()
	defer a.room.Unlock()
	var next time.Time
	for !reserve() {
		now := time.Now()
		if !now.Before(end) {
			return false
		}
		if !now.Before(next) {
			if !a.closeOne(c) {
				return false
			}
			next = now.Add(releaseTime)
		}
		time.Sleep(roomInterval)
	}
	return true
}

// closeOne closes the connection, other than c, that has made no progress for longest relative to what
// it holds. It returns false if there is none.
func (a *Account) closeOne(c *conn) bool {
	a.mu.Lock()
	servers := a.servers
	a.mu.Unlock()
	now := steady.Nanos(time.Now())
	var worst *conn
	var most float64
	for _, s := range servers {
		s.mu.Lock()
		if candidate, score := s.mostStalled(now, c); score > most {
			worst, most = candidate, score
		}
		s.mu.Unlock()
	}
	if worst == nil {
		return false
	}
	worst.server.cutStalled(worst, now)
	return true
}

// report calls onClose unless the address was reported a short time ago.
func (a *Account) report(closed ClosedCaller) {
	if a == nil || a.onClose == nil {
		return
	}
	now := time.Now()
	a.mu.Lock()
	if now.Sub(a.reported[closed.Address]) < reportInterval {
		a.mu.Unlock()
		return
	}
	if len(a.reported) >= maxReported {
		clear(a.reported)
	}
	a.reported[closed.Address] = now
	a.mu.Unlock()
	a.onClose(closed)
}

// mostStalled returns the connection, other than except, to close first, and how much it is to be
// closed. mu is held.
func (s *Server) mostStalled(now int64, except *conn) (*conn, float64) {
	var worst *conn
	var most float64
	held := s.heldByAddress()
	for c := range s.conns {
		stalled := c.stalledFor(now)
		if c == except || stalled < minStall || c.evicted.Load() {
			continue
		}
		score := stalled.Seconds() * float64(c.held.Load()+connectionBytes)
		if a := s.cfg.Account; a != nil {
			score *= 1 + float64(held[c.from])/float64(a.limit)
		}
		if score > most && !c.waitsForNode(now) {
			worst, most = c, score
		}
	}
	return worst, most
}

// heldByAddress returns what the connections from each address hold. mu is held.
func (s *Server) heldByAddress() map[netip.Addr]int64 {
	held := make(map[netip.Addr]int64)
	for c := range s.conns {
		held[c.from] += c.held.Load()
	}
	return held
}

// waitsForNode reports whether a connection that seems stalled waits for this process: its caller has sent
// what was not read, or taken what was written. It then counts as making progress.
func (c *conn) waitsForNode(now int64) bool {
	if c.writingSince.Load() != 0 {
		return isReady(c.nc, unix.POLLOUT)
	}
	if !isReady(c.nc, unix.POLLIN) {
		return false
	}
	if at := c.progressAt.Load(); at != 0 {
		c.progressAt.CompareAndSwap(at, now)
	}
	return true
}

// cutStalled closes a connection whose caller makes no progress. Its request has not run, or its
// response is incomplete, which the caller can tell.
func (s *Server) cutStalled(c *conn, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.conns[c]; open && !c.evicted.Load() {
		s.markCutLocked(c, now)
	}
}

// markCutLocked is cutStalled for a caller that holds mu, of a connection that is open.
func (s *Server) markCutLocked(c *conn, now int64) {
	closed := ClosedCaller{
		Address: c.from, Bytes: c.held.Load(), AddressBytes: s.heldByAddress()[c.from], Stalled: c.stalledFor(now),
	}
	c.evicted.Store(true)
	s.evicted++
	stats.stalled.Add(1)
	c.abort()
	s.cfg.Account.report(closed)
}

// charge charges n bytes to the connection. It returns ErrNoRoom if they don't fit.
func (c *conn) charge(n int64) error {
	a := c.server.cfg.Account
	if a == nil {
		return nil
	}
	if !a.budget.Reserve(n) && !a.makeRoom(c, func() bool { return a.budget.Reserve(n) }) {
		return ErrNoRoom
	}
	c.held.Add(n)
	return nil
}

// discharge gives back n bytes.
func (c *conn) discharge(n int64) {
	a := c.server.cfg.Account
	if a == nil || n == 0 {
		return
	}
	c.held.Add(-n)
	a.budget.Release(n)
}

// charge charges n bytes to the connection of x until x is released.
func (x *Exchange) charge(n int64) error {
	if err := x.conn.charge(n); err != nil {
		return err
	}
	x.charged += n
	return nil
}

// discharge gives back n of the bytes of x.
func (x *Exchange) discharge(n int64) {
	x.conn.discharge(n)
	x.charged -= n
}

// headEnd ends a header section.
var headEnd = []byte("\n\r\n")

// headBytes returns what the parts of a header section in data take once they are parsed, and whether the
// section ends in data.
func headBytes(data []byte) (size int64, complete bool) {
	end := bytes.Index(data, headEnd)
	if end >= 0 {
		data = data[:end]
	}
	return int64(2*len(data) + fieldBytes*bytes.Count(data, headEnd[:1])), end >= 0
}

// chargeHead charges the part of a header section that was received.
func (c *conn) chargeHead(x *Exchange) error {
	received, _ := c.br.Peek(c.br.Buffered())
	size, complete := headBytes(received)
	own := int64(exchangeBytes)
	if !c.idle() {
		own = queuedBytes
	}
	if err := x.charge(own + size); err != nil {
		return err
	}
	if !complete {
		c.in.head = x
	}
	return nil
}

// trailerCharge charges the fields behind a body in chunks while they are received. Where the body ends is
// only known once they are parsed. They may begin at each line that begins with 0; what was charged for
// lines of the body is given back at the end.
type trailerCharge struct {
	exchange *Exchange
	// last is the last byte that was received.
	last byte
	// begun is set once the fields may have begun, and charged is what was charged for them.
	begun   bool
	charged int64
	// most bounds charged: a section that doesn't fit into the read buffer is refused.
	most int64
}

// begin starts charging for x, of which the given bytes were received behind the header section.
func (t *trailerCharge) begin(x *Exchange, received []byte, bufferBytes int) error {
	const shortestField = 4 // a character, the colon and the end of the line
	*t = trailerCharge{exchange: x, last: '\n', most: int64(2*bufferBytes + bufferBytes/shortestField*fieldBytes)}
	return t.receive(received)
}

// lastChunk may begin the last chunk.
var lastChunk = []byte("\n0")

// receive charges the lines in data.
func (t *trailerCharge) receive(data []byte) error {
	if t.exchange == nil || len(data) == 0 {
		return nil
	}
	if !t.begun {
		begin := 0
		if t.last != '\n' || data[0] != '0' {
			begin = bytes.Index(data, lastChunk)
		}
		t.last = data[len(data)-1]
		if begin < 0 {
			return nil
		}
		t.begun = true
		data = data[begin:]
	}
	size := min(int64(2*len(data)+fieldBytes*bytes.Count(data, headEnd[:1])), t.most-t.charged)
	if err := t.exchange.charge(size); err != nil {
		return err
	}
	t.charged += size
	return nil
}

// end replaces what was charged by what the parsed fields take.
func (t *trailerCharge) end() {
	if t.charged > 0 {
		actual := int64(0)
		for _, name := range t.exchange.Request.Header.PeekTrailerKeys() {
			actual += fieldBytes + 2*int64(len(name))
		}
		t.exchange.discharge(max(0, t.charged-actual))
	}
	*t = trailerCharge{}
}

// progress records that n bytes were received at the time now.
func (c *conn) progress(n int, now time.Time) {
	const perByte = int64(time.Second) / progressRate
	if at := c.progressAt.Load(); at != 0 {
		c.progressAt.Store(min(steady.Nanos(now), at+int64(n)*perByte))
	}
}

// stalledFor returns for how long the connection has waited for its caller to send, or to take, the next
// byte; 0 if it waits for a server.
func (c *conn) stalledFor(now int64) time.Duration {
	switch {
	case c.writingSince.Load() != 0:
		return time.Duration(now - c.writingSince.Load())
	case c.progressAt.Load() != 0:
		return time.Duration(now - c.progressAt.Load())
	case c.awaiting.Load() && c.idle():
		stalled := time.Duration(now - c.lastAnswer.Load())
		if c.served.Load() && stalled < minEvictIdle {
			return 0
		}
		return stalled
	default:
		return 0
	}
}
