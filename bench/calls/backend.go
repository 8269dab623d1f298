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
	// hopsHeader holds the number of backend servers that the call still has to pass
	// through, including the receiver.
	hopsHeader = "X-Hops"
	// directHeader makes a backend server call the next one directly instead of through
	// the mesh.
	directHeader = "X-Direct"
)

// backend is a small backend server with a limited number of slots, a fixed service time
// per request, and faults that can be switched on and off while it runs.
type backend struct {
	addr        string
	slots       chan struct{}
	serviceTime time.Duration
	// slowdown is a factor on serviceTime, 1 by default.
	slowdown atomic.Int64
	// failing makes the server respond immediately with status 500.
	failing atomic.Bool
	// localClient sends the server's own calls to its node's local listener. nextClient
	// calls the next backend server directly.
	localClient *fasthttp.HostClient
	nextClient  *fasthttp.HostClient
	server      *fasthttp.Server
	tasks       conc.WaitGroup
}

func newBackend(addr, localAddr, nextAddr string, slots int, serviceTime time.Duration) *backend {
	b := &backend{addr: addr, serviceTime: serviceTime, localClient: newClient(localAddr), nextClient: newClient(nextAddr)}
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

// start listens on the server's address and serves on a goroutine until stop is called.
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
	if b.failing.Load() {
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
	if b.serviceTime > 0 {
		time.Sleep(b.serviceTime * time.Duration(b.slowdown.Load()))
	}
	hops, _ := strconv.Atoi(string(ctx.Request.Header.Peek(hopsHeader)))
	if hops <= 1 {
		ctx.SetBodyString(`{"session":42,"room":"aula"}`)
		return
	}
	b.forward(ctx, hops-1)
}

// forward sends the call to the next server, through the mesh or directly, and copies the
// response. It responds with status 502 if the call fails.
func (b *backend) forward(ctx *fasthttp.RequestCtx, hops int) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	client := b.localClient
	direct := len(ctx.Request.Header.Peek(directHeader)) > 0
	if direct {
		client = b.nextClient
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
