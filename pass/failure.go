package pass

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// failure is a final answer of the entry's own.
type failure struct {
	status int
	// why is a short fixed reason, for logs, metrics and the caller.
	why string
	// after tells the caller when to come back; zero says nothing.
	after time.Duration
}

// Reasons of refusals and failures.
const (
	whyNoTables = "no tables or endpoints known yet"
	whyStale    = "control can't be reached"
	whyNoRoute  = "no route"
	whyKey      = "unknown key"
	whyNoneLeft = "no endpoint can take it"
	whyFull     = "endpoints are full"
	whyLate     = "too late to be served"
	whyBacklog  = "backlog is longer than the caller waits"
	whyTimeout  = "no answer in time"
	whyLost     = "answer lost"
	whyUnsigned = "answer not vouched for"
	whyCrashes  = "it crashes endpoints"
	whyTooMany  = "too many requests at once"
)

// notRun reports whether the failure's status says that the request has not run and will not.
func (f *failure) notRun() bool {
	return f.status == http.StatusServiceUnavailable || f.status == http.StatusTooManyRequests
}

func refuse(why string, after time.Duration) *failure {
	return &failure{http.StatusServiceUnavailable, why, after}
}

// write sends the failure.
func (f *failure) write(w http.ResponseWriter) {
	if f.after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(f.after.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.status)
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(map[string]string{"error": f.why})
}
