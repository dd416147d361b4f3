package body

import (
	"context"
	"net"
	"net/http"
)

// Serve serves s on l in the background. It returns once s owns l, so that s.Close and s.Shutdown close it.
func Serve(s *http.Server, l net.Listener) {
	owned := make(chan struct{})
	// net/http calls BaseContext after it has taken the listener.
	s.BaseContext = func(net.Listener) context.Context {
		close(owned)
		return context.Background()
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// It ends with an error only once s is closed, or if s can't serve at all.
		_ = s.Serve(l)
	}()
	select {
	case <-owned:
	case <-ended:
	}
}
