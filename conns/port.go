package conns

import (
	"net"
	"net/http"
	"time"

	"egretshunt/board"
	"egretshunt/body"
	"egretshunt/limit"
)

// PortConfig configures a port that isn't for callers: of operators, probes or metrics. Zero fields get defaults.
type PortConfig struct {
	// Conns bounds the connections. They don't count among the callers', so that neither can take the others' place.
	Conns int
	// Bodies is set if requests may have bodies; others are rejected without reading them, and each response ends its connection.
	Bodies bool
}

const (
	// portConns is the default of PortConfig.Conns.
	portConns = 32
	// portHeaderBytes bounds a request's headers, portHeaderTime the time in which they must arrive, and portIdleTime how long a connection may be
	// without a request.
	portHeaderBytes = 16 << 10
	portHeaderTime  = 5 * time.Second
	portIdleTime    = time.Minute
	// portWriteTime bounds the response to a request without a body. Responses are short.
	portWriteTime = 5 * time.Second
)

// ServePort serves s on l in the background, within the bounds of a port. At the bound of connections, one that waits for its client is closed: the
// one that has been idle for longest, then the one with the oldest incomplete header.
func ServePort(s *http.Server, l net.Listener, p PortConfig) {
	if p.Conns <= 0 {
		p.Conns = portConns
	}
	if !p.Bodies {
		s.Handler = withoutBodies(s.Handler)
		s.WriteTimeout = portWriteTime
		// A client that reads no responses could otherwise keep its connection busy with further requests.
		s.SetKeepAlivesEnabled(false)
	}
	limits := board.Limits{Header: portHeaderBytes, HeaderTimeout: portHeaderTime, IdleTimeout: portIdleTime}
	c := Track(s, func() board.Limits { return limits })
	c.Bound(limit.NewBudget(limit.BudgetConfig{Conns: p.Conns}))
	body.Serve(s, c.Listener(l))
}

// withoutBodies rejects requests with a body without reading it.
func withoutBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		http.Error(w, "requests here have no body", http.StatusRequestEntityTooLarge)
		// The server would otherwise wait for the rest of the body. An error means that the client is gone.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	})
}
