package ingress

import (
	"errors"
	"fmt"

	"auburnladder.example/core/responsehead"
	"auburnladder.example/wire/peerpb"
	"github.com/rs/zerolog"
)

// maxLoggedDetail limits the detail of a reply in the log, in bytes.
const maxLoggedDetail = 256

// replyError reports that the node of a server got no response that can be passed on. The detail may quote
// what the server sent if that node runs an earlier version, and is only for logs.
type replyError struct{ detail string }

// Error returns a text that quotes nothing of the reply.
func (e *replyError) Error() string { return "the node of the server got no usable response" }

// checkReply returns a *replyError if a reply with the verdict ran holds what no response of a server may. Nodes of
// earlier versions don't check that.
func checkReply(r *peerpb.Reply) error {
	if !responsehead.ValidStatus(int(r.GetStatus())) {
		return &replyError{detail: fmt.Sprintf("reply with status %d", r.GetStatus())}
	}
	for _, field := range r.GetHeaders() {
		if !responsehead.ValidField(field.GetName(), field.GetValue()) {
			return &replyError{detail: fmt.Sprintf("reply with a malformed field %q", field.GetName())}
		}
	}
	return nil
}

// addDetail adds the detail of a replyError to a log line. A nil line stays nil.
func addDetail(line *zerolog.Event, err error) *zerolog.Event {
	var reply *replyError
	if line == nil || !errors.As(err, &reply) {
		return line
	}
	return line.Str("detail", reply.detail[:min(len(reply.detail), maxLoggedDetail)])
}
