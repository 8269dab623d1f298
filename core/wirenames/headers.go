// Package wirenames holds the names of HTTP headers that callers, nodes and backend
// servers exchange. They depend on where a node is deployed.
package wirenames

// Headers names the headers. An empty name means that the header isn't used.
type Headers struct {
	// RequestID identifies a request; its answer repeats it.
	RequestID string
	// Deadline is the time that the sender of a request waits, in whole milliseconds.
	Deadline string
	// Seal is a server's signature on its answer. An answer without it is not whole.
	Seal string
	// Target names the run of the server that a request is meant for.
	Target string
	// NotExecuted in an answer says that the server did not run the request.
	NotExecuted string
	// Caller names the service beside the node where the request entered.
	Caller string
}
