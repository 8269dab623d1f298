// Package wirenames holds the names of the HTTP headers that callers, nodes and backend
// servers exchange. The names differ between platforms.
package wirenames

// Headers holds the name of each header. An empty name means that the header is not
// used.
type Headers struct {
	// RequestID identifies a request. The response repeats it.
	RequestID string
	// Deadline is the remaining time of a request, in whole milliseconds, after which its
	// sender stops waiting.
	Deadline string
	// Seal is a server's signature over the body of a response. A successful response
	// without it is incomplete.
	Seal string
	// Target is the instance of the server for which a request is intended. A restarted
	// server is a new instance.
	Target string
	// NotExecuted in a response means that the server did not run the request.
	NotExecuted string
	// Caller is the name of the local service of the ingress node.
	Caller string
	// RateLimit in a response is the number of requests per second, a decimal number, that the
	// server accepts from all nodes together. It holds until a response does not have it.
	RateLimit string
	// Leaving with the value 1 in a response means that the server accepts no more requests
	// after its drain time and then ends.
	Leaving string
	// ColdMs in a health response is how many milliseconds longer the server stays cold, 0 if it is
	// warm.
	ColdMs string
	// Instance in a health response is the instance of the server.
	Instance string
	// ServerLoad in a response is the server's load: requests running, waiting, slots and, optionally,
	// how long work takes at present in percent of the usual time, as decimal numbers with commas
	// between.
	ServerLoad string
}
