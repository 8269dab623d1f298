package ingress

import (
	"sync"
	"time"

	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/proxy"
	"auburnladder.example/wire/peerpb"
)

// rateMemory is how long a rate limit is remembered after the last response that named it. Longer
// bridges longer absences of the server's node; the node corrects what is outdated with the next
// response.
const rateMemory = 30 * time.Second

// serverRates remembers the rate limits that runs of backend servers named in responses that this
// node passed on. The node of such a server, which keeps to the limit, may restart and forget it. The
// zero value is empty and safe for concurrent use.
type serverRates struct {
	// known holds a knownRate for each vmlist.Run with a limit.
	known sync.Map
}

// knownRate is the text of a limit and when it was heard last.
type knownRate struct {
	text  string
	heard time.Time
}

// record notes what a response of run says about its limit; "" means that it has none.
func (s *serverRates) record(run vmlist.Run, text string, now time.Time) {
	if text == "" {
		s.known.Delete(run)
		return
	}
	if _, found := s.known.Swap(run, knownRate{text: text, heard: now}); !found {
		s.forget(now)
	}
}

// forget drops what was heard too long ago.
func (s *serverRates) forget(now time.Time) {
	s.known.Range(func(run, rate any) bool {
		if now.Sub(rate.(knownRate).heard) > rateMemory {
			s.known.CompareAndDelete(run, rate)
		}
		return true
	})
}

// get returns the limit that run named, "" if none is remembered.
func (s *serverRates) get(run vmlist.Run, now time.Time) string {
	rate, found := s.known.Load(run)
	if !found || now.Sub(rate.(knownRate).heard) > rateMemory {
		return ""
	}
	return rate.(knownRate).text
}

// recordRate remembers what the server's response says about its rate limit. A reply with a detail is
// of the server's node, in place of a response that it could not pass on.
func (a *attempt) recordRate() {
	name := a.call.ingress.Headers.RateLimit
	if name == "" || a.reply.GetDetail() != "" {
		return
	}
	text := ""
	for _, h := range a.reply.GetHeaders() {
		if h.GetName() == name {
			text = h.GetValue()
		}
	}
	a.call.ingress.Router.rates.record(a.endpoint.Run, text, time.Now())
}

// headers returns the headers of the call for this attempt: with the rate limit of the server, if it
// named one.
func (a *attempt) headers(sent []*peerpb.Header) []*peerpb.Header {
	text := a.call.ingress.Router.rates.get(a.endpoint.Run, time.Now())
	if text == "" {
		return sent
	}
	value := proxy.FormatServerLimit(text, a.endpoint.Run)
	return append(sent[:len(sent):len(sent)], &peerpb.Header{Name: proxy.ServerLimitHeader, Value: value})
}
