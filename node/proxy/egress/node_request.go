package egress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

// maxNodeResponseBytes limits the response body to a request of the node itself.
const maxNodeResponseBytes = 64 << 10

var errNodeResponseTooLarge = errors.New("response to a request of the node exceeds the size limit")

// sendNodeRequest sends a request of the node itself, such as a drain poll or a stop
// request, to the backend server and returns the status code. It uses a separate
// connection and no slot of the limiter.
func (e *Egress) sendNodeRequest(ctx context.Context, method, path string) (status int, err error) {
	err = e.doNodeRequest(ctx, method, path, func(_ time.Time, resp *fasthttp.Response) { status = resp.StatusCode() })
	return status, err
}

// doNodeRequest is sendNodeRequest, but passes the response and the time at which the request was sent to
// read. The response is valid until read returns.
func (e *Egress) doNodeRequest(ctx context.Context, method, path string, read func(sent time.Time, resp *fasthttp.Response)) error {
	conn, err := e.pool.get(ctx, true)
	if err != nil {
		return err
	}
	defer e.pool.discard(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(pastDeadline) })
	defer stop()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.Header.SetRequestURI(path)
	req.Header.SetHost(e.pool.addr)
	req.Header.SetConnectionClose()
	sent := e.Now()
	if err := conn.writeRequest(req); err != nil {
		return err
	}
	if err := readResponse(conn.br, resp); err != nil {
		return unexpectedEOF(err)
	}
	if err := skipNodeResponseBody(resp); err != nil {
		return unexpectedEOF(err)
	}
	read(sent, resp)
	return nil
}

// skipNodeResponseBody reads the body of a response to its end, so that a broken response is an error.
func skipNodeResponseBody(resp *fasthttp.Response) error {
	body := resp.BodyStream()
	if body == nil {
		return nil
	}
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxNodeResponseBytes+1))
	if err != nil {
		return fmt.Errorf("response body truncated after %d bytes: %w", n, err)
	}
	if n > maxNodeResponseBytes {
		return errNodeResponseTooLarge
	}
	return resp.CloseBodyStream()
}
