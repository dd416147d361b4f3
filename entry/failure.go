package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Ran reports whether a request ran at an endpoint and may have taken effect.
type Ran string

// Values of Ran. No is a guarantee that the request did not run.
const (
	No      Ran = "no"
	Yes     Ran = "yes"
	Unknown Ran = "unknown"
)

// Error codes in responses to callers. They are stable; docs/CALLERS.md explains each.
const (
	CodeBadKey             = "bad_key"
	CodeMalformed          = "malformed"
	CodeTooLarge           = "too_large"
	CodeTooSlow            = "too_slow"
	CodeUnknownModel       = "unknown_model"
	CodeUnknownService     = "unknown_service"
	CodeUnknownPath        = "unknown_path"
	CodeLimited            = "limited"
	CodeBusy               = "busy"
	CodeNoEndpoint         = "no_endpoint"
	CodeStale              = "stale"
	CodeShuttingDown       = "shutting_down"
	CodeKeyReused          = "key_reused"
	CodeInProgress         = "in_progress"
	CodeOutcomeUnknown     = "outcome_unknown"
	CodeResponseGone       = "answer_gone"
	CodeQuarantined        = "quarantined"
	CodeIsolatedRun        = "trial"
	CodeResponseCut        = "cut"
	CodeEndpointFailed     = "endpoint_failed"
	CodeControlUnreachable = "control_unreachable"
	CodeDeadlineExceeded   = "late"
)

// Failure is an error response to a caller.
type Failure struct {
	Status int
	Code   string
	Text   string
	Ran    Ran
	// RetryAfter is the delay after which a retry may succeed; zero if none is suggested.
	RetryAfter time.Duration
}

// Error implements error.
func (f *Failure) Error() string { return f.Code + ": " + f.Text }

func newFailure(status int, code string, ran Ran, text string) *Failure {
	return &Failure{Status: status, Code: code, Ran: ran, Text: text}
}

func (f *Failure) withRetryAfter(d time.Duration) *Failure {
	f.RetryAfter = d
	return f
}

type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Ran     Ran    `json:"ran"`
	RetryMs int64  `json:"retry_ms,omitempty"`
}

func (f *Failure) body() []byte {
	// Strings and integers always encode, so the error is always nil.
	b, _ := json.Marshal(failureBody{failureDetail{f.Code, f.Text, f.Ran, f.RetryAfter.Milliseconds()}})
	return b
}

// write sends the failure as the complete response.
func (f *Failure) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if f.RetryAfter > 0 {
		seconds := int64((f.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(f.Status)
	// An error means that the client disconnected.
	_, _ = w.Write(append(f.body(), '\n'))
}
