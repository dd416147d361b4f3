package conns

import (
	"net/http"
	"sync/atomic"
)

// Response is a response that records whether its final status has been sent.
type Response struct {
	http.ResponseWriter
	begun atomic.Bool
}

// NewResponse returns a response that hasn't begun.
func NewResponse(w http.ResponseWriter) *Response { return &Response{ResponseWriter: w} }

// Begun reports whether the final status has been sent.
func (r *Response) Begun() bool { return r.begun.Load() }

// WriteHeader implements http.ResponseWriter.
func (r *Response) WriteHeader(status int) {
	r.ResponseWriter.WriteHeader(status)
	if status >= http.StatusOK {
		r.begun.Store(true)
	}
}

// Write implements http.ResponseWriter.
func (r *Response) Write(p []byte) (int, error) {
	r.begun.Store(true)
	return r.ResponseWriter.Write(p)
}

// Unwrap lets an http.ResponseController find the server's own writer.
func (r *Response) Unwrap() http.ResponseWriter { return r.ResponseWriter }
