package follow

import (
	"net"
	"testing"
	"time"
)

// waitTimeout bounds every wait for a condition. No test asserts how long a wait takes.
const waitTimeout = 30 * time.Second

// eventually polls condition and fails the test if it is not met within waitTimeout.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("condition was not met within the wait timeout")
}

// connPair returns both ends of a TCP connection over loopback.
func connPair(t *testing.T) (net.Conn, net.Conn) {
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
