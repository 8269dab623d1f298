package backend

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// FaultHeader is the request header that asks for a fault. It counts only when
// Config.Faults is set.
const FaultHeader = "X-Fault"

// fault is how one request is to be mishandled. The zero value is no fault.
type fault struct {
	slow     time.Duration
	status   int
	truncate bool
	hang     bool
	close    bool
}

// parseFault reads slow=DURATION, status=CODE, truncate, hang or close.
func parseFault(text string) (fault, error) {
	name, value, _ := strings.Cut(text, "=")
	var f fault
	var err error
	switch name {
	case "":
	case "slow":
		f.slow, err = time.ParseDuration(value)
	case "status":
		f.status, err = strconv.Atoi(value)
	case "truncate":
		f.truncate = true
	case "hang":
		f.hang = true
	case "close":
		f.close = true
	default:
		err = fmt.Errorf("unknown fault")
	}
	if err != nil {
		return fault{}, fmt.Errorf("%s %q: %w", FaultHeader, text, err)
	}
	return f, nil
}

func (s *Server) requestedFault(r *http.Request) (fault, error) {
	if !s.config.Faults {
		return fault{}, nil
	}
	return parseFault(r.Header.Get(FaultHeader))
}

// sendTruncated announces more bytes than it sends and cuts the connection.
func sendTruncated(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
