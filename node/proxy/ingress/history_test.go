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

// bookingInput is one booking of a seat, or a read of the number of booked seats.
type bookingInput struct {
	read bool
}

// bookingOutput is the verdict on a booking or the number of booked seats of a read.
type bookingOutput struct {
	verdict string
	seats   int
}

// bookingModel is a counter. A booking with the verdict ran adds one, not-run adds none,
// and may-have-run adds one or none.
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

// bookingServer counts the bookings that run. It injects a random fault into some calls: a
// refusal for overload, a connection lost before or after the booking ran, or a mismatched
// response.
type bookingServer struct {
	mu    sync.Mutex
	seats int
}

func (b *bookingServer) book() {
	b.mu.Lock()
	b.seats++
	b.mu.Unlock()
}

func (b *bookingServer) seatsTaken() int {
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
		b.book()
		dropSession(l, call, st) // after it ran
	case 3:
		b.book()
		replyMismatched(l, call, st)
	default:
		b.book()
		replyOK(l, call, st)
	}
}

// refuseOverloadBriefly refuses a call for overload with the shortest Retry-After.
func refuseOverloadBriefly(call *peerpb.Call, st *session.Stream) {
	_ = st.Send(&peerpb.Reply{
		Id: call.GetId(), Verdict: peerpb.Verdict_VERDICT_NOT_RUN,
		Refusal: peerpb.Refusal_REFUSAL_OVERLOAD, RetryAfterMs: 1,
	})
}

// Guards against a booking, which is not idempotent, that runs twice because it is retried
// after an ambiguous failure, and against a verdict that contradicts what ran.
func TestBookingsRunAtMostOnce(t *testing.T) {
	Convey("The history of concurrent bookings under faults is linearizable as a counter", t, func() {
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

// recordBookings makes concurrent bookings and a final read, and returns their history.
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
	record(callers, bookingInput{read: true}, func() bookingOutput { return bookingOutput{seats: b.seatsTaken()} })
	return history
}
