package admission

import "time"

// RefuseWaiting refuses all queued requests, because the failure domain of the server is evacuated.
// Requests in slots continue, and new requests are decided on as before: the caller refuses them itself.
func (l *Limiter) RefuseWaiting() {
	if l.load().waiting() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for w := l.queue.pop(time.Time{}, nil); w != nil; w = l.queue.pop(time.Time{}, nil) {
		l.update(func(s state) state { return s.addWaiting(-1) })
		w.resolve(l.newRefusal(ReasonEvacuated))
	}
}
