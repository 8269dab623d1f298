package follow

import (
	"net"
	"testing"
	"time"
)

// patience bounds waiting for something that must happen; it asserts no speed.
const patience = 30 * time.Second

func eventually(t *testing.T, what func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if what() {
			return
		}
	}
	t.Fatal("did not happen in time")
}

func loopback(t *testing.T) (net.Conn, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return a, b
}
