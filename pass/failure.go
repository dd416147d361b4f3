package pass

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// failure is a final response of the entry's own.
type failure struct {
	status int
	// reason is a short fixed text for logs, metrics and the client.
	reason string
	// retryAfter is the value of the Retry-After header; zero means none.
	retryAfter time.Duration
}

// Reasons for rejections and failures.
const (
	reasonNoTables = "no tables or endpoints known yet"
	reasonStale    = "control can't be reached"
	// reasonUnreadable: control may run another build, which takes more.
	reasonUnreadable = "the newest tables can't be read here"
	reasonNoRoute    = "no route"
	reasonStopping   = "this entry stops before the request's deadline"
	reasonKey        = "unknown key"
	reasonNoneLeft   = "no endpoint can take it"
	reasonFull       = "endpoints are full"
	reasonLate       = "too late to be served"
	reasonBacklog    = "backlog is longer than the caller waits"
	reasonTimeout    = "no answer in time"
	reasonLost       = "answer lost"
	reasonUnsigned   = "answer not vouched for"
	reasonCrashes    = "it crashes endpoints"
	reasonFault      = "an internal check failed"
	reasonTooMany    = "too many requests at once"
	// reasonLimited: the endpoints have named limits for the requests that they take.
	reasonLimited = "endpoints limit their requests"
	// reasonCold: the endpoints that are left are cold, and get requests by turns.
	reasonCold = "endpoints are cold"
	// reasonUncounted: by this entry's reports control may quarantine the request.
	reasonUncounted = "endpoints ended under it, which control has yet to count"
	// reasonLastEndpoint: it is kept from the last endpoint of its pool that runs.
	reasonLastEndpoint = "endpoints ended under it, and only one is left"
	// reasonOriginUnknown: its stream may go on only at the build of the software that began it.
	reasonOriginUnknown = "where its stream began isn't known"
	// reasonBuildGone: no endpoint of that build is listed.
	reasonBuildGone = "no endpoint runs the software that began its stream"
	// reasonEvacuated: all endpoints that may run it are in evacuated data centres.
	reasonEvacuated = "evacuated"
	// reasonHomes: it is bound to regions none of which has an endpoint for it.
	reasonHomes = "homes"
	// reasonNoRoom: others hold the memory that its response needs.
	reasonNoRoom = "no memory for the answer"
)

// notRun reports whether the failure's status says that the request has not run and won't.
func (f *failure) notRun() bool {
	return f.status == http.StatusServiceUnavailable || f.status == http.StatusTooManyRequests
}

func refuse(reason string, retryAfter time.Duration) *failure {
	return &failure{http.StatusServiceUnavailable, reason, retryAfter}
}

// write sends the failure to the client.
func (f *failure) write(w http.ResponseWriter) {
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.status)
	// An error means that the client closed the connection; it needs no response.
	_ = json.NewEncoder(w).Encode(map[string]string{"error": f.reason})
}
