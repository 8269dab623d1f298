package egress

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"

	"auburnladder.example/core/responsehead"
	"github.com/valyala/fasthttp"
)

// chunkedBody reads a response body in chunks and the trailer section behind it. The body ends with io.EOF
// only if the trailer section is well-formed. Its fields are dropped.
type chunkedBody struct {
	chunks io.Reader
	br     *bufio.Reader
	header *fasthttp.ResponseHeader
	// end is the result of reading the trailer section, nil before it.
	end error
}

func newChunkedBody(br *bufio.Reader, header *fasthttp.ResponseHeader) *chunkedBody {
	return &chunkedBody{chunks: httputil.NewChunkedReader(br), br: br, header: header}
}

// Read implements io.Reader. It returns data without waiting for the trailer section, and an error only without
// data.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.chunks.Read(p)
	switch {
	case n > 0:
		return n, nil
	case errors.Is(err, io.EOF):
		b.end = b.readTrailer()
		return 0, b.end
	default:
		return 0, err
	}
}

// readTrailer reads the trailer section and returns io.EOF if it is well-formed.
func (b *chunkedBody) readTrailer() error {
	trailer := responsehead.NewTrailerScanner()
	if err := peekSection(b.br, &trailer); err != nil {
		return unexpectedEOF(err)
	}
	// The parser also fails on fields that no trailer section may hold.
	if err := b.header.ReadTrailer(b.br); err != nil {
		return wrapHeadError(unexpectedEOF(err))
	}
	return io.EOF
}
