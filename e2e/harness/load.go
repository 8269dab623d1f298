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
	// callTimeout bounds one call; it is above the deadlines of all kinds.
	callTimeout = 15 * time.Second
	// callPause is how long a worker rests between two calls.
	callPause = 2 * time.Millisecond
)

// Call is what one caller sent and what came back.
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
	// Status is 0 if no whole answer came; Error then says why.
	Status  int    `json:"status"`
	Verdict string `json:"verdict"`
	Error   string `json:"error,omitempty"`
	Body    []byte `json:"body,omitempty"`
}

// kind is a sort of call that the load mixes.
type kind struct {
	service    string
	method     string
	path       string
	idempotent bool
}

var kinds = []kind{
	{"programma", http.MethodGet, "/sessions/42", true},
	{"programma", http.MethodPut, "/favourites/7", true},
	{"inschrijving", http.MethodPost, "/bookings", false},
	{"inschrijving", http.MethodGet, "/workshops", true},
}

// Load sends calls to random nodes until it is stopped.
type Load struct {
	Calls   *Journal[Call]
	cluster *Cluster
	client  *http.Client
	next    atomic.Uint64
	avoided atomic.Pointer[VM]
	stop    context.CancelFunc
	workers conc.WaitGroup
}

// StartLoad starts workers that send one call after the other. Calls in flight are
// never cancelled.
func (c *Cluster) StartLoad(workers int, seed uint64) (*Load, error) {
	calls, err := NewJournal[Call](filepath.Join(c.Dir, "calls.jsonl"))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Load{Calls: calls, cluster: c, stop: stop, client: &http.Client{
		Timeout: callTimeout,
		// The standard client sends a call again on a reused connection that broke. A
		// connection for each call rules that out.
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
	for i := range workers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		l.workers.Go(func() { l.work(ctx, rng) })
	}
	return l, nil
}

// Stop waits for the calls in flight.
func (l *Load) Stop() {
	l.stop()
	l.workers.Wait()
}

// Avoid sends no new calls to a VM's node, so that no caller has to wait for it; nil
// ends that. Calls to the VM's backend server go on.
func (l *Load) Avoid(vm *VM) {
	l.avoided.Store(vm)
}

// More waits until n more calls have ended.
func (l *Load) More(n int) error {
	target := l.Calls.Len() + n
	return Eventually(fmt.Sprintf("%d more calls", n), func() error {
		if have := l.Calls.Len(); have < target {
			return fmt.Errorf("%d calls are missing", target-have)
		}
		return nil
	})
}

func (l *Load) work(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		k := kinds[rng.IntN(len(kinds))]
		vm := l.cluster.VMs[rng.IntN(len(l.cluster.VMs))]
		if vm == l.avoided.Load() {
			continue
		}
		call := l.send(k, vm, rng)
		if err := l.Calls.Add(call); err != nil {
			return
		}
		time.Sleep(callPause)
	}
}

func (l *Load) send(k kind, vm *VM, rng *rand.Rand) Call {
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
