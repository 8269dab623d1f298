package calls

import (
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Headers between the load generator and the backend servers.
const (
	// hopsHeader is the number of backend servers still to pass, this one included.
	hopsHeader = "X-Hops"
	// directHeader makes a backend server call the next one without the mesh.
	directHeader = "X-Direct"
)

// backend is a small backend server: a number of slots, a time of work for each
// request, and faults that can be switched while it runs.
type backend struct {
	addr  string
	slots chan struct{}
	work  time.Duration
	// slowdown multiplies work.
	slowdown atomic.Int64
	// lying makes the server answer at once with status 500.
	lying atomic.Bool
	// local is the node's listener for the server's own calls, next the server to
	// call directly.
	local  *fasthttp.HostClient
	next   *fasthttp.HostClient
	server *fasthttp.Server
	tasks  conc.WaitGroup
}

func newBackend(addr, local, next string, slots int, work time.Duration) *backend {
	b := &backend{addr: addr, work: work, local: newClient(local), next: newClient(next)}
	if slots > 0 {
		b.slots = make(chan struct{}, slots)
	}
	b.slowdown.Store(1)
	return b
}

func newClient(addr string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                addr,
		MaxConns:            8192,
		MaxIdleConnDuration: 2 * time.Second,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// start listens and serves on a goroutine that ends with stop.
func (b *backend) start() error {
	l, err := net.Listen("tcp", b.addr)
	if err != nil {
		return err
	}
	b.server = &fasthttp.Server{Handler: b.handle, CloseOnShutdown: true, NoDefaultServerHeader: true}
	server := b.server
	b.tasks.Go(func() { _ = server.Serve(l) })
	return nil
}

func (b *backend) stop() {
	_ = b.server.Shutdown()
	b.tasks.Wait()
}

func (b *backend) handle(ctx *fasthttp.RequestCtx) {
	if b.lying.Load() {
		ctx.Error("lie", fasthttp.StatusInternalServerError)
		return
	}
	if b.slots != nil {
		select {
		case b.slots <- struct{}{}:
			defer func() { <-b.slots }()
		default:
			ctx.Error("all slots are busy", fasthttp.StatusServiceUnavailable)
			return
		}
	}
	if b.work > 0 {
		time.Sleep(b.work * time.Duration(b.slowdown.Load()))
	}
	hops, _ := strconv.Atoi(string(ctx.Request.Header.Peek(hopsHeader)))
	if hops <= 1 {
		ctx.SetBodyString(`{"session":42,"room":"aula"}`)
		return
	}
	b.call(ctx, hops-1)
}

// call passes the request on to the next server, through the mesh or directly.
func (b *backend) call(ctx *fasthttp.RequestCtx, hops int) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	client := b.local
	direct := len(ctx.Request.Header.Peek(directHeader)) > 0
	if direct {
		client = b.next
	}
	fillRequest(req, hops, direct)
	if err := client.DoTimeout(req, resp, callTimeout); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadGateway)
		return
	}
	ctx.SetStatusCode(resp.StatusCode())
	ctx.SetBody(resp.Body())
}

func fillRequest(req *fasthttp.Request, hops int, direct bool) {
	req.SetRequestURI("/sessions/42")
	req.Header.SetHost(serviceHost)
	req.Header.Set(hopsHeader, strconv.Itoa(hops))
	if direct {
		req.Header.Set(directHeader, "1")
	}
}
