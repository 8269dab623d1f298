package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// backend is a stand-in of one application server. It implements http.Handler.
type backend struct {
	service  string
	instance string
	zone     string
	addr     string
	born     int64
	slots    int
	work     time.Duration
	record   *recorder
	// loseAnswer, if not nil, says whether the answer to a request that has run is lost.
	loseAnswer func(r *http.Request) bool

	running  atomic.Int64
	sequence atomic.Int64
}

// serve listens on the server's address.
func (b *backend) serve() error {
	l, err := net.Listen("tcp", b.addr)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, b) }()
	return nil
}

// entry returns what the server writes to the store about itself.
func (b *backend) entry() []byte {
	return fmt.Appendf(nil, `{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},`+
		`"status":{"state":"ready","sequence":%d,"coldLeft":"0ms"}}`,
		b.addr, b.born, b.service, b.zone, b.slots, b.sequence.Add(1))
}

// ServeHTTP runs a request as the pages say: 421 for another instance, 503 with X-Not-Executed when
// all slots are taken, otherwise the work and a signed answer.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != b.instance {
		h.Set("X-Instance-Id", b.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n := b.running.Add(1)
	defer b.running.Add(-1)
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", min(n, int64(b.slots)), b.slots))
	if n > int64(b.slots) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.record.begin(b, r)
	digest := sha256.New()
	size, err := io.Copy(digest, r.Body)
	if err != nil {
		return
	}
	time.Sleep(b.work)
	if b.loseAnswer != nil && b.loseAnswer(r) {
		b.record.note("server %s ran request %s and its answer is lost", b.instance, id)
		b.reset(w)
		return
	}
	body := fmt.Sprintf("%s ran %s %s with %d bytes %s", b.service, r.Method, r.RequestURI, size, hex.EncodeToString(digest.Sum(nil)[:8]))
	seal := sha256.Sum256([]byte(b.instance + id + body))
	h.Set("X-Server-Seal", hex.EncodeToString(seal[:8]))
	_, _ = io.WriteString(w, body)
}

// reset resets the connection of a request.
func (b *backend) reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
