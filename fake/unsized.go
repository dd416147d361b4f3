package fake

import (
	"net/http"
	"sync/atomic"
)

// framing selects how an endpoint delimits its responses.
type framing struct {
	unsized atomic.Bool
	// cutAfter is the number of bytes after which a body ends; zero leaves it whole.
	cutAfter atomic.Int64
}

// SetUnsized makes responses end with their connection, without a length or chunks, after the given number of
// bytes; zero leaves them whole.
func (f *framing) SetUnsized(cutAfter int64) {
	f.cutAfter.Store(cutAfter)
	f.unsized.Store(true)
}

// wrap returns next with the framing applied to its responses.
func (f *framing) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.unsized.Load() && r.URL.Path != "/health" {
			w.Header().Set("Transfer-Encoding", "identity")
			w = &cutWriter{ResponseWriter: w, whole: f.cutAfter.Load() == 0, left: f.cutAfter.Load()}
		}
		next.ServeHTTP(w, r)
	})
}

// cutWriter drops what exceeds the bytes left.
type cutWriter struct {
	http.ResponseWriter
	whole bool
	left  int64
}

// Write implements io.Writer.
func (c *cutWriter) Write(p []byte) (int, error) {
	if c.whole {
		return c.ResponseWriter.Write(p)
	}
	kept := p[:min(int64(len(p)), c.left)]
	c.left -= int64(len(kept))
	if _, err := c.ResponseWriter.Write(kept); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Unwrap lets http.ResponseController flush.
func (c *cutWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }
