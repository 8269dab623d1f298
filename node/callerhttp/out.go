package callerhttp

import (
	"io"
	"sync"
	"time"

	"auburnladder.example/core/steady"
)

// outPart is the most that is written at a time. A caller that takes less within minStall counts as
// stalled.
const outPart = 32 << 10

// outWriter writes to the connection and records since when a write waits for the caller.
type outWriter struct{ owner *conn }

// Write implements io.Writer.
func (w *outWriter) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+outPart)]
		w.owner.writingSince.Store(steady.Nanos(time.Now()))
		n, err := w.owner.nc.Write(part)
		w.owner.writingSince.Store(0)
		written += n
		if err != nil || written >= len(p) {
			return written, err
		}
	}
}

var outParts = sync.Pool{New: func() any { return new([outPart]byte) }}

// ReadFrom implements io.ReaderFrom, with which a streamed response is written in large parts.
func (w *outWriter) ReadFrom(r io.Reader) (int64, error) {
	part := outParts.Get().(*[outPart]byte)
	defer outParts.Put(part)
	var total int64
	for {
		n, err := r.Read(part[:])
		if n > 0 {
			written, writeErr := w.Write(part[:n])
			total += int64(written)
			if writeErr != nil {
				return total, writeErr
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}
