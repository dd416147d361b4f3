package check

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Client is what a client that isn't trusted does on its connection.
type Client struct {
	// send writes to the connection and returns when it has done so, or when the connection takes no more; its errors are of no interest.
	send func(c net.Conn)
	// unread is set if the client doesn't read responses.
	unread bool
}

// comesAgain is how soon a client whose connection was closed, or that got a response, connects again.
const comesAgain = 250 * time.Millisecond

// stalled is how long a connection takes no bytes before its client stops to write.
const stalled = time.Second

// write writes as long as the connection takes bytes, and reports whether it took all of them.
func write(c net.Conn, p []byte) bool {
	_ = c.SetWriteDeadline(time.Now().Add(stalled))
	_, err := c.Write(p)
	return err == nil
}

// Silent returns a client that sends nothing.
func Silent() Client { return Client{send: func(net.Conn) {}} }

// PartialHandshake returns a client that sends the beginning of a TLS handshake.
func PartialHandshake() Client {
	return Client{send: func(c net.Conn) { write(c, []byte{22, 3, 1, 2, 0, 1}) }}
}

// PartialHeader returns a client that sends the beginning of a request's headers.
func PartialHeader(method, path string) Client {
	return Client{send: func(c net.Conn) { write(c, fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: h\r\nX-A: ", method, path)) }}
}

// ShortBody returns a client that announces a body of a size and stops one byte short of it.
func ShortBody(method, path, headers string, size int) Client {
	return Client{send: func(c net.Conn) {
		if !write(c, fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n", method, path, headers, size)) {
			return
		}
		writeSpaces(c, size-1)
	}}
}

// WholeBody returns a client that sends a body of a size, which begins with a text and ends with spaces.
func WholeBody(method, path, headers, text string, size int) Client {
	return Client{send: func(c net.Conn) {
		if write(c, fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", method, path, headers, size, text)) {
			writeSpaces(c, size-len(text))
		}
	}}
}

// writeSpaces writes size spaces, which JSON ignores, in pieces.
func writeSpaces(c net.Conn, size int) {
	piece := bytes.Repeat([]byte{' '}, 256<<10)
	for size > 0 && write(c, piece[:min(size, len(piece))]) {
		size -= len(piece)
	}
}

// ChunkedBody returns a client that sends a body of a size in chunks and never its end.
func ChunkedBody(method, path, headers string, size, chunk int) Client {
	return Client{send: func(c net.Conn) {
		if !write(c, fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: h\r\n%sTransfer-Encoding: chunked\r\n\r\n", method, path, headers)) {
			return
		}
		one := fmt.Appendf(nil, "%x\r\n%s\r\n", chunk, strings.Repeat(" ", chunk))
		// Small chunks are sent some at a time.
		perWrite := max(1, 64<<10/len(one))
		for sent := 0; sent < size && write(c, bytes.Repeat(one, perWrite)); sent += chunk * perWrite {
		}
	}}
}

// Unread returns a client that sends a number of requests without a body and doesn't read the responses.
func Unread(method, path, headers string, requests int) Client {
	return Client{send: func(c net.Conn) {
		one := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: h\r\n%s\r\n", method, path, headers)
		write(c, bytes.Repeat(one, requests))
	}, unread: true}
}

// Clients runs n clients of an address until the returned function is called or the test ends, and returns when each has done once what it
// does. Those whose connections are closed come again.
func Clients(t testing.TB, n int, to netip.AddrPort, client Client) (leave func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var first, all sync.WaitGroup
	first.Add(n)
	for range n {
		all.Go(func() {
			done := sync.OnceFunc(first.Done)
			defer done()
			for ctx.Err() == nil {
				client.run(ctx, to, done)
				select {
				case <-time.After(comesAgain):
				case <-ctx.Done():
				}
			}
		})
	}
	first.Wait()
	leave = sync.OnceFunc(func() {
		cancel()
		all.Wait()
	})
	t.Cleanup(leave)
	return leave
}

// run connects once, and returns when the connection is closed or answered, or when ctx ends. It calls done when all is sent.
func (k Client) run(ctx context.Context, to netip.AddrPort, done func()) {
	defer done()
	c, err := net.DialTimeout("tcp", to.String(), 10*time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	k.send(c)
	done()
	if k.unread {
		<-ctx.Done()
		return
	}
	// An error means that the connection was closed.
	_, _ = c.Read(make([]byte, 1))
}

// Bounds are what a process may use.
type Bounds struct {
	// Memory is the largest resident memory that it may ever have, with the bytes that the kernel holds on its connections.
	Memory int64
	// Fds is how many descriptors it may have open.
	Fds int
}

// Watch samples what a process uses.
type Watch struct {
	pid  int
	end  chan struct{}
	done sync.WaitGroup

	// mu guards the rest.
	mu sync.Mutex
	// resident, kernel and fds are the largest samples; kernel is what the kernel holds on the process's connections.
	resident, kernel int64
	fds              int
	err              error
}

// sampleInterval is the interval between two samples.
const sampleInterval = 20 * time.Millisecond

// StartWatch begins to sample a process.
func StartWatch(t testing.TB, pid int) *Watch {
	w := &Watch{pid: pid, end: make(chan struct{})}
	w.sample()
	w.done.Go(func() {
		for {
			select {
			case <-w.end:
				return
			case <-time.After(sampleInterval):
				w.sample()
			}
		}
	})
	t.Cleanup(func() {
		close(w.end)
		w.done.Wait()
	})
	return w
}

// sample takes one sample.
func (w *Watch) sample() {
	w.mu.Lock()
	defer w.mu.Unlock()
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid))
	w.fds = max(w.fds, len(fds))
	status, statusErr := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.pid))
	for line := range strings.Lines(string(status)) {
		var kib int64
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			_, scanErr := fmt.Sscan(text, &kib)
			err = errors.Join(err, scanErr)
			w.resident = max(w.resident, kib<<10)
		}
	}
	sockets, socketErr := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", w.pid))
	w.kernel = max(w.kernel, queued(string(sockets), inodes(w.pid, fds)))
	w.err = errors.Join(err, statusErr, socketErr)
}

// inodes returns the inodes of the sockets among a process's descriptors.
func inodes(pid int, fds []os.DirEntry) map[string]bool {
	out := map[string]bool{}
	for _, fd := range fds {
		// A descriptor may have been closed meanwhile.
		link, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, fd.Name()))
		if inode, ok := strings.CutPrefix(link, "socket:["); ok {
			out[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return out
}

// queued adds up the bytes that the kernel holds on sockets with the inodes, of a table of sockets.
func queued(sockets string, inodes map[string]bool) (sum int64) {
	// The queues of a listener count connections.
	const state, queues, inode, listening = 3, 4, 9, "0A"
	for line := range strings.Lines(sockets) {
		fields := strings.Fields(line)
		if len(fields) <= inode || !inodes[fields[inode]] || fields[state] == listening {
			continue
		}
		var unsent, unread int64
		if _, err := fmt.Sscanf(fields[queues], "%x:%x", &unsent, &unread); err == nil {
			sum += unsent + unread
		}
	}
	return sum
}

// Within fails the test unless the process runs and was within bounds in each sample.
func (w *Watch) Within(t testing.TB, desc string, b Bounds) {
	t.Helper()
	w.sample()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		t.Fatalf("%s: the process has ended: %v", desc, w.err)
	}
	t.Logf("%s: at the peak %d MiB resident, %d MiB in the kernel, %d descriptors", desc, w.resident>>20, w.kernel>>20, w.fds)
	if used := w.resident + w.kernel; w.resident == 0 || used > b.Memory {
		t.Errorf("%s: the peak of memory is %d MiB, want at most %d", desc, used>>20, b.Memory>>20)
	}
	if w.fds > b.Fds {
		t.Errorf("%s: %d descriptors were open, want at most %d", desc, w.fds, b.Fds)
	}
}

// Alone waits until no other test on this machine that calls it runs: such a test needs much memory.
func Alone(t testing.TB) {
	t.Helper()
	f, err := os.OpenFile(filepath.Join(os.TempDir(), "egretshunt-alone.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	NoError(t, err)
	NoError(t, syscall.Flock(int(f.Fd()), syscall.LOCK_EX))
	t.Cleanup(func() { f.Close() })
}
