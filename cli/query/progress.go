package query

import (
	"fmt"
	"sync"
	"time"

	"auburnladder.example/cli/console"
)

// progressInterval is the time between two lines of progress.
const progressInterval = 3 * time.Second

// progress reports on the error stream how far a long command is.
type progress struct {
	console *console.Console

	mu   sync.Mutex
	last time.Time
}

func newProgress(c *console.Console) *progress {
	return &progress{console: c, last: c.Now()}
}

// report is safe for concurrent use.
func (p *progress) report(done, total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.console.Now()
	if now.Sub(p.last) < progressInterval {
		return
	}
	p.last = now
	fmt.Fprintf(p.console.Err, "asked %d of %d VMs\n", done, total)
}
