package callerhttp

import (
	"bufio"
	"io"
	"sync"
)

// buffers keeps the buffers of closed connections for new ones: most callers open a connection
// for each request, and the buffers are most of what that costs in memory.
type buffers struct {
	readers, writers sync.Pool
}

func (b *buffers) get(r io.Reader, w io.Writer, readBytes int) (*bufio.Reader, *bufio.Writer) {
	br, ok := b.readers.Get().(*bufio.Reader)
	if !ok {
		br = bufio.NewReaderSize(r, readBytes)
	}
	br.Reset(r)
	bw, ok := b.writers.Get().(*bufio.Writer)
	if !ok {
		bw = bufio.NewWriterSize(w, writeBufferBytes)
	}
	bw.Reset(w)
	return br, bw
}

// put takes the buffers of a connection that has ended and that nothing uses any more.
func (b *buffers) put(br *bufio.Reader, bw *bufio.Writer) {
	br.Reset(nil)
	bw.Reset(nil)
	b.readers.Put(br)
	b.writers.Put(bw)
}
