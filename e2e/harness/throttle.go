package harness

import (
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// QuotaPeriod is the period of the platform's processor quotas.
const QuotaPeriod = 100 * time.Millisecond

// Throttle gives the process a processor quota: it runs for share of each period and is stopped for the
// rest, until it exits or the returned function is called, which lets it run on. A long period stands for
// a process with much to do, in which each task waits for many others.
func (p *Process) Throttle(share float64, period time.Duration) (release func()) {
	done := make(chan struct{})
	var task conc.WaitGroup
	task.Go(func() {
		run := time.Duration(share * float64(period))
		for p.runFor(run, done) {
			_ = p.Signal(syscall.SIGSTOP)
			resumed := p.runFor(period-run, done)
			_ = p.Signal(syscall.SIGCONT)
			if !resumed {
				return
			}
		}
	})
	return func() {
		close(done)
		task.Wait()
	}
}

// runFor waits for d. It returns false if the process exits or done is closed before that.
func (p *Process) runFor(d time.Duration, done <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.exited:
	case <-done:
	}
	return false
}
