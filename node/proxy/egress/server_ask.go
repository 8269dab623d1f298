package egress

import (
	"context"

	"github.com/valyala/fasthttp"
)

// maxAskBytes bounds the answer to a question of the node itself.
const maxAskBytes = 64 << 10

// ask sends a request of the node itself to the backend server, over a connection of
// its own and outside the slots, and returns the status.
func (e *Egress) ask(ctx context.Context, method, path string) (int, error) {
	conn, err := e.pool.get(ctx, true)
	if err != nil {
		return 0, err
	}
	defer e.pool.discard(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(longAgo) })
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
	if err := resp.ReadLimitBody(conn.br, maxAskBytes); err != nil {
		return 0, unexpectedEOF(err)
	}
	return resp.StatusCode(), nil
}
