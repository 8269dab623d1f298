package ingress

import (
	"time"

	"auburnladder.example/core/routing"
	"auburnladder.example/core/upload"
	"auburnladder.example/core/verdict"
	"auburnladder.example/wire/peerpb"
)

// DefaultAskAbove is the size of a request body, in bytes, above which the server's node is asked before the
// body is sent. The question costs two messages and a round trip, about 2 ms between failure domains; on the
// slowest links, of 10 Mbit/s, a body of this size takes 13 ms.
const DefaultAskAbove = 16 << 10

// asks reports whether the server's node is asked before the body is sent. One of an earlier version would not reply and
// might send the head of the request to the server.
func (a *attempt) asks(body []byte) bool {
	above := a.call.ingress.AskAbove
	return above > 0 && len(body) > above && a.session.PeerProceeds()
}

// askAndSend sends the call without its body, and the body once the server's node says so. The node sends
// nothing to the server before that. If its reply is another one, it is the final reply.
func (a *attempt) askAndSend(req *peerpb.Request) error {
	msg := req.GetCall()
	body := msg.GetBody()
	metrics.bodiesAsked.Add(1)
	a.asking = true
	msg.Body, msg.More, msg.AwaitProceed, msg.BodyBytes = nil, true, true, uint64(len(body))
	err := a.stream.Send(req)
	// Restore the message for a further attempt.
	msg.Body, msg.More, msg.AwaitProceed = body, false, false
	if err != nil {
		return err
	}
	if err := a.stream.Recv(&a.reply); err != nil {
		return err
	}
	switch {
	case a.reply.GetId() != msg.GetId():
		// Nothing is known about this request; exchange reports the mismatch.
		a.asking, a.answered = false, true
		return nil
	case !a.reply.GetProceed():
		metrics.bodiesRefused.Add(1)
		a.answered = true
		return nil
	case !time.Now().Before(a.deadline):
		return errDeadline
	}
	a.asking = false
	return a.sendProceeded(body)
}

// sendProceeded sends a body as far as the server's node has said so. It ends early if that node gives its final
// reply instead.
func (a *attempt) sendProceeded(body []byte) error {
	window := upload.NewWindow(int64(len(body)))
	for sent := 0; sent < len(body); {
		n := min(bodyPartBytes, len(body)-sent)
		for window.Credit() < int64(sent+n) {
			a.reply.Reset()
			if err := a.stream.Recv(&a.reply); err != nil {
				return err
			}
			if a.reply.GetId() != a.call.message.GetId() || !a.reply.GetProceed() {
				a.answered = true
				return nil
			}
			window.Extend()
		}
		sent += n
		part := &peerpb.Body{Data: body[sent-n : sent], Last: sent == len(body), Total: uint64(len(body))}
		if err := a.stream.Send(part); err != nil {
			return err
		}
	}
	a.reply.Reset()
	return nil
}

// sendBody sends a body that follows the call, in parts.
func (a *attempt) sendBody(body []byte) error {
	for rest := body; len(rest) > 0; {
		part := rest[:min(bodyPartBytes, len(rest))]
		rest = rest[len(part):]
		if err := a.stream.Send(&peerpb.Body{Data: part, Last: len(rest) == 0, Total: uint64(len(body))}); err != nil {
			return err
		}
	}
	return nil
}

// receiveReply receives the final reply, unless it has been.
func (a *attempt) receiveReply() error {
	if a.answered {
		return nil
	}
	return a.stream.Recv(&a.reply)
}

// exchangeVerdict returns whether the request may have run if its exchange failed.
func (a *attempt) exchangeVerdict() verdict.Verdict {
	if a.asking {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// overloadKind returns the outcome kind of a refusal for overload. One of a large body says nothing about small
// requests, which must not be kept from the server by a backoff.
func (a *attempt) overloadKind() routing.OutcomeKind {
	if a.asking {
		return routing.Cancelled
	}
	return routing.Refused
}
