package backend

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// FaultHeader is the request header that selects a fault. It is ignored unless
// Config.Faults is set.
const FaultHeader = "X-Fault"

// fault is the fault to inject into one request. The zero value is no fault.
type fault struct {
	slow     time.Duration
	status   int
	truncate bool
	hang     bool
	close    bool
}

// parseFault parses slow=DURATION, status=CODE, truncate, hang, close or an empty text.
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

// sendTruncated sends the Content-Length of the complete body but only half of the body, and
// closes the connection.
func sendTruncated(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
