package harness

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"auburnladder.example/core/verdict"
	"auburnladder.example/standin/backend"
)

const (
	// callTimeout bounds one call. It is longer than the deadlines of all call kinds, so
	// that the mesh, not the client, ends a call that takes too long.
	callTimeout = 15 * time.Second
	// callPause is the time that a worker sleeps between two calls.
	callPause = 2 * time.Millisecond
)

// Call records one request of a caller and its response. It is one record of calls.jsonl.
type Call struct {
	ID         string    `json:"id"`
	Node       string    `json:"node"`
	Method     string    `json:"method"`
	Service    string    `json:"service"`
	Path       string    `json:"path"`
	Idempotent bool      `json:"idempotent"`
	SentSHA256 string    `json:"sent_sha256"`
	Start      time.Time `json:"start"`
	End        time.Time `json:"end"`
	// Status is 0 if the caller got no complete response; Error then holds the reason.
	Status  int    `json:"status"`
	Verdict string `json:"verdict"`
	Error   string `json:"error,omitempty"`
	Body    []byte `json:"body,omitempty"`
}

// callKind is one of the kinds of calls that the load chooses from at random.
type callKind struct {
	service    string
	method     string
	path       string
	idempotent bool
}

var callKinds = []callKind{
	{"programma", http.MethodGet, "/sessions/42", true},
	{"programma", http.MethodPut, "/favourites/7", true},
	{"inschrijving", http.MethodPost, "/bookings", false},
	{"inschrijving", http.MethodGet, "/workshops", true},
}

// Load sends calls to random nodes until it is stopped.
type Load struct {
	Calls    *Journal[Call]
	cluster  *Cluster
	client   *http.Client
	next     atomic.Uint64
	excluded atomic.Pointer[VM]
	stop     context.CancelFunc
	workers  conc.WaitGroup
}

// StartLoad starts a number of workers, each of which sends one call at a time. Calls in
// flight are never cancelled.
func (c *Cluster) StartLoad(workers int, seed uint64) (*Load, error) {
	calls, err := NewJournal[Call](filepath.Join(c.Dir, "calls.jsonl"))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Load{Calls: calls, cluster: c, stop: stop, client: &http.Client{
		Timeout: callTimeout,
		// The standard client resends a request if a reused connection breaks, which would
		// look like a repeated call. A new connection for each call prevents that.
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
	for i := range workers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		l.workers.Go(func() { l.runWorker(ctx, rng) })
	}
	return l, nil
}

// Stop ends the load and waits for the calls in flight.
func (l *Load) Stop() {
	l.stop()
	l.workers.Wait()
}

// Exclude stops new calls to a VM's node, so that callers do not wait for a node that is
// paused or leaving; nil clears the exclusion. Other nodes still forward calls to the VM's
// backend server.
func (l *Load) Exclude(vm *VM) {
	l.excluded.Store(vm)
}

// AwaitCalls waits until n more calls have completed, with or without a response.
func (l *Load) AwaitCalls(n int) error {
	target := l.Calls.Len() + n
	return Eventually(fmt.Sprintf("%d more calls complete", n), func() error {
		if have := l.Calls.Len(); have < target {
			return fmt.Errorf("%d calls are outstanding", target-have)
		}
		return nil
	})
}

func (l *Load) runWorker(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		k := callKinds[rng.IntN(len(callKinds))]
		vm := l.cluster.VMs[rng.IntN(len(l.cluster.VMs))]
		if vm == l.excluded.Load() {
			continue
		}
		call := l.send(k, vm, rng)
		if err := l.Calls.Append(call); err != nil {
			return
		}
		time.Sleep(callPause)
	}
}

func (l *Load) send(k callKind, vm *VM, rng *rand.Rand) Call {
	body := make([]byte, rng.IntN(4096))
	for i := range body {
		body[i] = byte('a' + rng.IntN(26))
	}
	if k.method == http.MethodGet {
		body = nil
	}
	digest := sha256.Sum256(body)
	call := Call{
		ID:         fmt.Sprintf("call-%d", l.next.Add(1)),
		Node:       vm.ID,
		Method:     k.method,
		Service:    k.service,
		Path:       k.path,
		Idempotent: k.idempotent,
		SentSHA256: hex.EncodeToString(digest[:]),
		Start:      time.Now(),
	}
	l.do(&call, vm, body)
	call.End = time.Now()
	return call
}

func (l *Load) do(call *Call, vm *VM, body []byte) {
	req, err := http.NewRequest(call.Method, "http://"+vm.Caller.String()+call.Path, bytes.NewReader(body))
	if err != nil {
		call.Error = err.Error()
		return
	}
	req.Host = call.Service + ".zaalwijzer.example"
	req.Header.Set(backend.RequestIDHeader, call.ID)
	resp, err := l.client.Do(req)
	if err != nil {
		call.Error = err.Error()
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		call.Error = err.Error()
		return
	}
	call.Status = resp.StatusCode
	call.Verdict = resp.Header.Get(verdict.Header)
	call.Body = data
}
