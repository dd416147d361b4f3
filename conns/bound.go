package conns

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"egretshunt/limit"
)

const (
	// headerSlack is how much more than the bound of a header is read: the server reads up to 4 KiB of what follows. Headers that are too large
	// by less get their response from the handler.
	headerSlack = 8 << 10
	// freeHeaderBytes is how much of a header is read into the buffer that the connection counts.
	freeHeaderBytes = 4 << 10
	// headerFactor is how many bytes a byte of a header takes: its own, and those of the parsed header.
	headerFactor = 2
	// lastWriteTime bounds the write of the last response on a connection that is closed for others.
	lastWriteTime = 5 * time.Millisecond
)

// Responses to requests that were not read to their end. The server hasn't written on their connections.
const (
	tooLargeText = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noRoomText   = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	stalledText  = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Bound counts connections and headers under a budget, from the next connection on; it is called before Listener. A connection beyond the bound takes
// the place of one that waits for its client, or is reset.
func (c *Conns) Bound(b *limit.Budget) { c.budget = b }

// setBuffers gives the connections of a listener kernel buffers of a fixed size.
func setBuffers(l net.Listener) {
	s, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	// Without the options, the kernel grows the buffers up to its own bounds.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, limit.SocketBuffer)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, limit.SocketBuffer)
	})
}

// admit returns the tracked connection for one that was accepted, or nil, with the connection reset, if there is no room for it.
func (c *Conns) admit(raw net.Conn) *conn {
	k := c.newConn(raw)
	var from netip.Addr
	if at, err := netip.ParseAddrPort(raw.RemoteAddr().String()); err == nil {
		from = at.Addr().Unmap().WithZone("")
	}
	k.client = from
	if k.hold = c.budget.Conn(from, k.abort); k.hold == nil {
		setLinger(raw, 0)
		raw.Close()
		return nil
	}
	return k
}

// newConn returns the tracked connection for one that counts nowhere yet.
func (c *Conns) newConn(raw net.Conn) *conn {
	var none *limit.Budget
	return &conn{Conn: raw, owner: c, hold: none.Conn(netip.Addr{}, nil)}
}

// abort ends the connection for others, unless it has left the stage; it reports whether the connection has ended.
func (c *conn) abort(s limit.Stage) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
	case s == limit.Idle && c.timer != nil && !c.hasRequest(), s == limit.InHeader && c.timer != nil:
		c.close()
	case s == limit.InBody && c.inBody && c.handlerReads:
		c.end(stalledText)
	case s == limit.InBody && c.inBody:
		// The server reads what its handler has left unread: the request may have run.
		c.close()
	case s == limit.Unread && c.inWrite:
		setLinger(c.Conn, 0)
		c.close()
	default:
		return false
	}
	return true
}

// end closes a connection whose request wasn't read to its end, with a last response. The caller holds mu.
func (c *conn) end(response string) {
	if !c.encrypted && !c.responded {
		// An error means that the client takes nothing.
		_ = c.Conn.SetWriteDeadline(time.Now().Add(lastWriteTime))
		_, _ = io.WriteString(c.Conn, response)
	}
	c.close()
}

// handlerBody is a request's body that notes when the handler reads it.
type handlerBody struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *handlerBody) Read(p []byte) (int, error) {
	b.conn.setHandlerReads(true)
	defer b.conn.setHandlerReads(false)
	return b.ReadCloser.Read(p)
}

func (c *conn) setHandlerReads(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlerReads = on
}

// withHandlerBody returns a request whose body notes when the handler reads it. The server's own request keeps its body, by whose type the server
// decides what to do with the rest.
func (c *conn) withHandlerBody(r *http.Request) *http.Request {
	if r.Body == nil || r.Body == http.NoBody {
		return r
	}
	r = r.WithContext(r.Context())
	r.Body = &handlerBody{r.Body, c}
	return r
}

// beginRead notes that a request's body is awaited, if it is. Under TLS reads don't tell that.
func (c *conn) beginRead(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer == nil && len(p) > 1 && !c.encrypted {
		c.inBody = true
		c.hold.Wait(limit.InBody)
	}
}

// endRead notes the bytes that were read, and returns io.EOF if the connection must not be read any further: it was ended, or the header is too large.
func (c *conn) endRead(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inBody {
		c.inBody = false
		c.hold.Wait(limit.Busy)
	}
	if c.closed {
		return io.EOF
	}
	if c.timer == nil || n == 0 {
		return nil
	}
	if c.headerBytes == 0 {
		c.hold.Wait(limit.InHeader)
	}
	c.headerBytes += n
	if c.encrypted {
		// A record may hold more than the header.
		return nil
	}
	if most := c.owner.limits().Header; most > 0 && int64(c.headerBytes) > most+headerSlack {
		c.end(tooLargeText)
		return io.EOF
	}
	if c.headerBytes > freeHeaderBytes {
		if c.header == nil {
			c.header = c.owner.budget.Hold(limit.UseHeader, c.abort).Of(c.client)
			c.header.Wait(limit.InHeader)
		}
		// The holder may be asked to end another connection meanwhile, not this one.
		header, bytes := c.header, headerFactor*c.headerBytes
		c.mu.Unlock()
		granted := header.Keep(bytes)
		c.mu.Lock()
		if c.closed {
			return io.EOF
		}
		if !granted {
			c.end(noRoomText)
			return io.EOF
		}
	}
	return nil
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.setWriting(true, !bytes.HasPrefix(p, []byte(interimPrefix)))
	defer c.setWriting(false, false)
	return c.Conn.Write(p)
}

// interimPrefix begins the response that asks for a body.
const interimPrefix = "HTTP/1.1 100 "

// setWriting notes the beginning or the end of a write, and whether it is of a final response.
func (c *conn) setWriting(on, final bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inWrite = on
	c.responded = c.responded || final
	if on {
		c.hold.Wait(limit.Unread)
	} else {
		c.hold.Wait(limit.Busy)
	}
}

// awaitHeader notes that the connection has no request. The caller holds mu.
func (c *conn) awaitHeader() {
	c.releaseHeader()
	c.hold.Wait(limit.Idle)
}

// releaseHeader gives the memory of a header back. The caller holds mu.
func (c *conn) releaseHeader() {
	c.headerBytes = 0
	if c.header != nil {
		c.header.Release()
		c.header = nil
	}
}

// release gives everything back that the connection counts.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHeader()
	c.hold.Release()
}
