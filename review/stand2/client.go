package stand2

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Conn is a client's connection to a front, which it keeps open.
type Conn struct {
	net.Conn
	reader *bufio.Reader
}

// Dial opens a connection.
func Dial(addr string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{c, bufio.NewReader(c)}, nil
}

// NewID returns the ID of a client attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Request is one client attempt.
type Request struct {
	Method, Host, Path, ID, Key string
	Deadline                    time.Duration
	Header                      map[string]string
	Body                        []byte
}

// Send writes a request.
func (c *Conn) Send(r Request) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", r.Method, r.Path, r.Host, r.ID, r.Deadline.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&b, "Key: %s\r\n", r.Key)
	}
	for name, value := range r.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	_, err := c.Write(b.Bytes())
	return err
}

// Answer is what a client got.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Err is set if the answer didn't come whole.
	Err error
}

// Receive reads the answer to a request.
func (c *Conn) Receive(r Request) Answer {
	_ = c.SetReadDeadline(time.Now().Add(r.Deadline + 2*time.Second))
	got, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		return Answer{Err: err}
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	return Answer{Status: got.StatusCode, Header: got.Header, Body: body, Err: err}
}

// Do sends a request on a new connection and reads its answer.
func Do(addr string, r Request) Answer {
	c, err := Dial(addr)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	if err := c.Send(r); err != nil {
		return Answer{Err: err}
	}
	return c.Receive(r)
}
