package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id     string
	status int
	// whole is set for a success with its signature and its whole body.
	whole bool
	bytes int
	// took is the time from sending the request to the end of the answer or of the connection. ended is
	// unset if the client's own deadline came first.
	took  time.Duration
	ended bool
	err   error
}

// send sends a request on a new connection and waits for its answer until its deadline.
func (l *lab) send(v *vm, method, host, path, id string, deadline time.Duration) answer {
	return l.sendBody(v, method, host, path, id, deadline, nil)
}

// sendBody is send with a body.
func (l *lab) sendBody(v *vm, method, host, path, id string, deadline time.Duration, body []byte) answer {
	a := l.exchange(v, method, host, path, id, deadline, body)
	l.printf("client at %s: %s %s%s, request %s: status %d, %d bytes, whole %t, after %d ms, ended %t, %v",
		v.ip, method, host, path, id, a.status, a.bytes, a.whole, a.took.Milliseconds(), a.ended, a.err)
	return a
}

func (l *lab) exchange(v *vm, method, host, path, id string, deadline time.Duration, body []byte) answer {
	a := answer{id: id}
	c, err := net.DialTimeout("tcp", v.caller(), time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	began := time.Now()
	_ = c.SetDeadline(began.Add(deadline))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		method, path, host, id, deadline.Milliseconds(), len(body))
	// An error is found again by reading the answer.
	_, _ = c.Write(body)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		var n int64
		n, err = io.Copy(io.Discard, resp.Body)
		a.status, a.bytes = resp.StatusCode, int(n)
		a.whole = err == nil && a.status == http.StatusOK && resp.Header.Get("X-Server-Seal") == sealOf(a.bytes)
	}
	a.took, a.err = time.Since(began), err
	timeout, isNet := err.(net.Error)
	a.ended = !(isNet && timeout.Timeout())
	return a
}
