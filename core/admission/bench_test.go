package admission

import (
	"testing"
	"time"
)

// BenchmarkFreeSlot measures acquiring and releasing a slot without queueing, from one
// goroutine and from GOMAXPROCS goroutines in parallel.
func BenchmarkFreeSlot(b *testing.B) {
	req := Request{Caller: "a", Route: "read", Deadline: epoch.Add(time.Hour)}
	res := Result{Route: "read", ServiceTime: time.Millisecond}
	use := func(l *Limiter) {
		d := l.Acquire(epoch, req)
		if d.Outcome == Queued {
			<-d.Waiter.Done()
			d = d.Waiter.Decision()
		}
		if d.Outcome == Granted {
			l.Release(epoch, res)
		}
	}
	b.Run("one", func(b *testing.B) {
		l := New(testConfig(10, 20), epoch)
		b.ReportAllocs()
		for b.Loop() {
			use(l)
		}
	})
	b.Run("all", func(b *testing.B) {
		l := New(testConfig(1000, 20), epoch)
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				use(l)
			}
		})
	})
}
