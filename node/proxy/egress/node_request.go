package egress

import (
	"context"

	"github.com/valyala/fasthttp"
)

// maxNodeResponseBytes limits the response body to a request of the node itself.
const maxNodeResponseBytes = 64 << 10

// sendNodeRequest sends a request of the node itself, such as a drain poll or a stop
// request, to the backend server and returns the status code. It uses a separate
// connection and no slot of the limiter.
func (e *Egress) sendNodeRequest(ctx context.Context, method, path string) (int, error) {
	conn, err := e.pool.get(ctx, true)
	if err != nil {
		return 0, err
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
	if err := conn.writeRequest(req); err != nil {
		return 0, err
	}
	if err := resp.ReadLimitBody(conn.br, maxNodeResponseBytes); err != nil {
		return 0, unexpectedEOF(err)
	}
	return resp.StatusCode(), nil
}
