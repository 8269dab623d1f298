package query

import (
	"fmt"
	"sync"
	"time"

	"auburnladder.example/cli/console"
)

// progressInterval is the minimum time between two progress lines.
const progressInterval = 3 * time.Second

// progress prints to standard error how many VMs a command has queried.
type progress struct {
	console *console.Console

	mu sync.Mutex
	// last is the time of the last line; before the first one, the start time.
	last time.Time
}

func newProgress(c *console.Console) *progress {
	return &progress{console: c, last: c.Now()}
}

// report prints a line if progressInterval has passed since the last one. It is safe
// for concurrent use.
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
