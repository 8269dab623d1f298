package calls

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	// histogramMax is the highest latency that can be recorded, in microseconds.
	histogramMax = int64(60 * time.Second / time.Microsecond)
	// histogramDigits is the number of significant decimal digits of recorded values.
	histogramDigits = 3
	// histogramShards is the number of separately locked histograms, which reduces lock
	// contention between the goroutines that record latencies.
	histogramShards = 16
)

// load is an open-loop stream of calls: arrivals follow a Poisson process and do not wait
// for responses to earlier calls.
type load struct {
	rate     int // calls per second
	duration time.Duration
	seed     uint64
	hops     int
	direct   bool
	// pick returns the client for the i-th call.
	pick func(i int) *fasthttp.HostClient
}

// loadResult holds the results of one load.
type loadResult struct {
	latency *hdrhistogram.Histogram // of responses with status 200, in microseconds
	sent    int64
	good    int64 // calls with status 200
	// lag is the delay between the scheduled and the actual time of sending, in
	// microseconds.
	lag *hdrhistogram.Histogram
}

type shard struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// run sends the load and waits for all responses. Latency is measured from the time at
// which a call is actually sent; the delay since its scheduled time is recorded as lag. No
// call waits for the response to another.
func (l load) run(ctx context.Context) loadResult {
	var shards [histogramShards]shard
	for i := range shards {
		shards[i].histogram = hdrhistogram.New(1, histogramMax, histogramDigits)
	}
	var good atomic.Int64
	var wg conc.WaitGroup
	result := loadResult{lag: hdrhistogram.New(1, histogramMax, histogramDigits)}
	rnd := rand.New(rand.NewPCG(l.seed, 0))
	begin := time.Now()
	for due := time.Duration(0); due < l.duration && ctx.Err() == nil; {
		sleepUntil(begin.Add(due))
		sentAt := time.Now()
		_ = result.lag.RecordValue(max(1, sentAt.Sub(begin.Add(due)).Microseconds()))
		i := int(result.sent)
		result.sent++
		wg.Go(func() {
			status, err := sendCall(l.pick(i), l.hops, l.direct)
			if err != nil || status != http.StatusOK {
				return
			}
			good.Add(1)
			s := &shards[i%histogramShards]
			s.mu.Lock()
			defer s.mu.Unlock()
			_ = s.histogram.RecordValue(max(1, time.Since(sentAt).Microseconds()))
		})
		due += time.Duration(rnd.ExpFloat64() * float64(time.Second) / float64(l.rate))
	}
	wg.Wait()
	result.good = good.Load()
	result.latency = shards[0].histogram
	for i := range shards[1:] {
		result.latency.Merge(shards[i+1].histogram)
	}
	return result
}

// sleepUntil sleeps until t. It does not busy-wait, because that would take a core away
// from the nodes.
func sleepUntil(t time.Time) {
	if d := time.Until(t); d > 0 {
		time.Sleep(d)
	}
}

func sendCall(client *fasthttp.HostClient, hops int, direct bool) (int, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fillRequest(req, hops, direct)
	if err := client.DoTimeout(req, resp, callTimeout); err != nil {
		return 0, err
	}
	return resp.StatusCode(), nil
}
