package ingress

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/anishathalye/porcupine"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

// bookingInput is one booking of a seat, or a look at the number of seats taken.
type bookingInput struct {
	read bool
}

// bookingOutput is the verdict of a booking or the number of a look.
type bookingOutput struct {
	verdict string
	seats   int
}

// bookingModel is a counter: a booking that ran adds one, one that was not run adds
// none, one that may have run adds one or none.
var bookingModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		seats, in, out := state.(int), input.(bookingInput), output.(bookingOutput)
		switch {
		case in.read && out.seats == seats:
			return []any{seats}
		case in.read:
			return nil
		case out.verdict == "ran":
			return []any{seats + 1}
		case out.verdict == "not-run":
			return []any{seats}
		default:
			return []any{seats, seats + 1}
		}
	},
}

// bookingServer counts the bookings that run, and treats each call by chance as
// one of the faults that the users name.
type bookingServer struct {
	mu    sync.Mutex
	seats int
}

func (b *bookingServer) run() {
	b.mu.Lock()
	b.seats++
	b.mu.Unlock()
}

func (b *bookingServer) taken() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seats
}

func (b *bookingServer) serve(l *link, call *peerpb.Call, st *session.Stream) {
	switch rand.IntN(8) {
	case 0:
		refuseOverloadBriefly(call, st)
	case 1:
		dropSession(l, call, st) // before it ran
	case 2:
		b.run()
		dropSession(l, call, st) // after it ran
	case 3:
		b.run()
		answerCrossed(l, call, st)
	default:
		b.run()
		answerOK(l, call, st)
	}
}

func refuseOverloadBriefly(call *peerpb.Call, st *session.Stream) {
	_ = st.Send(&peerpb.Reply{
		Id: call.GetId(), Verdict: peerpb.Verdict_VERDICT_NOT_RUN,
		Refusal: peerpb.Refusal_REFUSAL_OVERLOAD, RetryAfterMs: 1,
	})
}

func TestBookingsRunAtMostOnce(t *testing.T) {
	Convey("Concurrent bookings under faults agree with a counter", t, func() {
		const rounds, callers, bookings = 20, 4, 4
		for range rounds {
			b := &bookingServer{}
			f := newFleet(t, b.serve, b.serve, b.serve)
			history := recordBookings(f, b, callers, bookings)
			f.close()
			result := porcupine.CheckOperationsTimeout(bookingModel.ToModel(), history, time.Minute)
			So(result, ShouldEqual, porcupine.Ok)
		}
	})
}

func recordBookings(f *fleet, b *bookingServer, callers, bookings int) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	started := time.Now()
	record := func(client int, in bookingInput, do func() bookingOutput) {
		begin := time.Since(started).Nanoseconds()
		out := do()
		end := time.Since(started).Nanoseconds()
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: begin, Output: out, Return: end})
	}
	var wg conc.WaitGroup
	for client := range callers {
		wg.Go(func() {
			for range bookings {
				record(client, bookingInput{}, func() bookingOutput {
					_, v := f.status("POST", "/", "")
					return bookingOutput{verdict: v}
				})
			}
		})
	}
	wg.Wait()
	record(callers, bookingInput{read: true}, func() bookingOutput { return bookingOutput{seats: b.taken()} })
	return history
}
