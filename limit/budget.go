package limit

import (
	"bytes"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Use is what memory is held for.
type Use int

// Uses of memory.
const (
	// UseConn is a client's connection: a goroutine, buffers, and the kernel's buffers.
	UseConn Use = iota
	// UseHeader is the header of a request, beyond what its connection counts.
	UseHeader
	// UseBody is the body of a request, from its first byte to the end of the request.
	UseBody
	// UseResponse is a response that is held back until it is complete.
	UseResponse
	uses
)

// String returns the use's label in metrics and log lines.
func (u Use) String() string { return [uses]string{"connection", "header", "body", "response"}[u] }

// Stage is what a holder of memory waits for.
type Stage int32

// Stages. Holders in later ones are aborted only if there are none in earlier ones; Idle and InHeader count as one (see HeaderPatience).
const (
	// Busy holders don't wait for their peer, and are never aborted.
	Busy Stage = iota
	// Idle connections have no request.
	Idle
	// InHeader connections have an incomplete header.
	InHeader
	// InBody holders wait for the rest of a body.
	InBody
	// Unread holders wait for their client to read a response.
	Unread
	stages
)

// String returns the stage's label in metrics and log lines.
func (s Stage) String() string {
	return [stages]string{"busy", "idle", "header", "body", "unread"}[s]
}

const (
	// HeaderPatience is how long a connection must have been Idle or InHeader to be aborted while there are others to abort.
	HeaderPatience = 500 * time.Millisecond
	// BodyPatience is how long a body must have been without a further byte to be aborted for others.
	BodyPatience = time.Second
	// UnreadPatience is how long a client must have read nothing of a response that is aborted for others.
	UnreadPatience = 10 * time.Second
	// SlowRate is the average rate, in bytes a second, below which a body may be aborted for others though it goes on arriving, once it has been
	// arriving for SlowAge. Slow links of ordinary clients carry far more.
	SlowRate = 1 << 10
	SlowAge  = 5 * time.Second
)

// patience is how long a holder must have waited in each stage to be aborted for others.
var patience = [stages]time.Duration{InBody: BodyPatience, Unread: UnreadPatience}

const (
	// SocketBuffer is the size to set for both of the kernel's buffers of a client's connection. Linux takes twice as much.
	SocketBuffer = 16 << 10
	// ConnBytes is what a connection counts: goroutines and buffers of net/http (measured: 24 KiB) and the kernel's buffers.
	ConnBytes = 24<<10 + 2*2*SocketBuffer
	// SmallBytes is what each holder may keep of the part that large ones can't use.
	SmallBytes = 32 << 10

	// defaultMemory is the memory of a VM that doesn't know its own.
	defaultMemory = 512 << 20
	// Shares of the memory. The rest is for the program, its tables and the garbage between two collections.
	connShare, largeShare = 0.4, 0.2
	// smallShare has room for SmallBytes of a body on each connection.
	smallShare = 0.15
	// connFilesShare is the share of the descriptors that clients' connections may have. Each may need one to an endpoint, and some idle ones are kept.
	connFilesShare = 0.4
	// clientPercent is the share of all connections, and of each part of the memory, that one client address may have.
	clientPercent = 75
)

// BudgetConfig constructs a Budget. Zero fields get defaults.
type BudgetConfig struct {
	// Memory is the VM's memory, in bytes; the bounds below are shares of it by default.
	Memory int64
	// Files is how many descriptors there are for connections; zero means enough.
	Files int
	// Conns bounds the clients' connections, ClientConns those of one client address.
	Conns, ClientConns int
	// Small and Large bound the bytes of all holders together: up to SmallBytes of each, and beyond that.
	Small, Large int64
	// ClientPercent bounds what the holders of one client address have of Small and of Large, and by default of Conns.
	ClientPercent int
	// Now reads a monotonic clock.
	Now func() time.Duration
	// Aborted is called after a holder was aborted for others; nil means nothing. It must not call the Budget.
	Aborted func(Abort)
}

// Abort is a holder that was aborted for others.
type Abort struct {
	Use   Use
	Stage Stage
	// Bytes is what it held, and what is linked to it, Waited for how long it had waited for its peer.
	Bytes  int64
	Waited time.Duration
}

// Budget is the owner of a process's memory for traffic. What a client can make the process hold is counted here before it is allocated, by the
// capacity of buffers. It is safe for concurrent use. A nil Budget grants everything.
//
// A server takes a Hold for each connection with Conn, and a Hold for each body that it reads or response that it holds back:
//
//	h := budget.Hold(limit.UseBody, func(limit.Stage) bool { return controller.SetReadDeadline(time.Now()) == nil })
//	defer h.Release()
//	h.Wait(limit.InBody)
//	data, whole, err := h.Read(r.Body, most+1, r.ContentLength)
//	h.Wait(limit.Busy)
//
// There are three parts: connections at a fixed cost each, the first SmallBytes of each holder, and what holders keep beyond that. So
// ordinary requests are accepted while large ones fill their part. A part that is full gets room from the holder that has waited longest for its
// peer, and long enough (see Stage); without one, the memory isn't granted.
type Budget struct {
	config BudgetConfig

	// mu guards the rest.
	mu      sync.Mutex
	held    amounts
	holders map[*Hold]struct{}
	clients map[netip.Addr]*clientUse
	stats   BudgetStats
	// ofClient bounds what one client address has of each part.
	ofClient amounts
}

// amounts are bytes of the two parts.
type amounts struct{ small, large int64 }

func (a amounts) add(other amounts) amounts {
	return amounts{a.small + other.small, a.large + other.large}
}
func (a amounts) sub(other amounts) amounts {
	return amounts{a.small - other.small, a.large - other.large}
}

// clientUse is what one client address has.
type clientUse struct {
	conns int
	held  amounts
}

// updateClient changes what a client address has. Holders without one count for none. The caller holds mu.
func (b *Budget) updateClient(client netip.Addr, change func(*clientUse)) {
	if !client.IsValid() {
		return
	}
	u := b.clients[client]
	if u == nil {
		u = &clientUse{}
		b.clients[client] = u
	}
	if change(u); *u == (clientUse{}) {
		delete(b.clients, client)
	}
}

// clientUse returns what a client address has. The caller holds mu.
func (b *Budget) clientUse(client netip.Addr) clientUse {
	if u := b.clients[client]; u != nil {
		return *u
	}
	return clientUse{}
}

// BudgetStats are the sums of a Budget.
type BudgetStats struct {
	// Bytes is held now, Refused how often memory was not granted, by use.
	Bytes   [uses]int64
	Refused [uses]uint64
	// Aborted is how many holders were aborted, by stage.
	Aborted [stages]uint64
	// Conns is the number of connections.
	Conns int
}

// Uses returns all uses, for metrics.
func Uses() []Use { return []Use{UseConn, UseHeader, UseBody, UseResponse} }

// Stages returns the stages in which holders may be aborted, for metrics.
func Stages() []Stage { return []Stage{Idle, InHeader, InBody, Unread} }

// NewBudget returns a Budget of which nothing is held.
func NewBudget(c BudgetConfig) *Budget {
	orDefault := func(n *int64, fallback int64) {
		if *n <= 0 {
			*n = fallback
		}
	}
	orDefault(&c.Memory, defaultMemory)
	orDefault(&c.Small, int64(smallShare*float64(c.Memory)))
	orDefault(&c.Large, int64(largeShare*float64(c.Memory)))
	if c.Conns <= 0 {
		c.Conns = int(connShare*float64(c.Memory)) / ConnBytes
		if c.Files > 0 {
			c.Conns = min(c.Conns, int(connFilesShare*float64(c.Files)))
		}
		c.Conns = max(c.Conns, 1)
	}
	if c.ClientPercent <= 0 {
		c.ClientPercent = clientPercent
	}
	c.ClientPercent = min(c.ClientPercent, 100)
	if c.ClientConns <= 0 {
		c.ClientConns = max(c.Conns*c.ClientPercent/100, 1)
	}
	if c.Now == nil {
		began := time.Now()
		c.Now = func() time.Duration { return time.Since(began) }
	}
	b := &Budget{config: c, holders: map[*Hold]struct{}{}, clients: map[netip.Addr]*clientUse{}}
	share := func(n int64) int64 { return int64(float64(n) * float64(c.ClientPercent) / 100) }
	// One holder of any client may keep SmallBytes.
	b.ofClient = amounts{max(share(c.Small), min(c.Small, SmallBytes)), share(c.Large)}
	return b
}

// Config returns the bounds in force.
func (b *Budget) Config() BudgetConfig { return b.config }

// Stats returns the present sums.
func (b *Budget) Stats() BudgetStats {
	if b == nil {
		return BudgetStats{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// Bytes returns how many bytes of headers, bodies and responses are held.
func (b *Budget) Bytes() int64 {
	s := b.Stats()
	return s.Bytes[UseHeader] + s.Bytes[UseBody] + s.Bytes[UseResponse]
}

// Hold is what one holder keeps of a Budget. Its methods are safe for concurrent use with an abort; otherwise one goroutine uses it.
type Hold struct {
	budget *Budget
	use    Use
	client netip.Addr
	// abort makes the holder give up; it reports whether it does. It is called without locks.
	abort func(Stage) bool

	// wait is the present stage and the number of the wait: an abort that fails ends only the wait that it was for.
	wait atomic.Uint64
	// since is when the holder last heard of its peer, or began to wait for it, by the Budget's clock; began is when it last began to wait.
	since, began atomic.Int64
	// received is how many bytes it has read since then.
	received atomic.Int64

	// The Budget's mu guards the rest.
	held amounts
	// linked is aborted with this holder; nil means none.
	linked *Hold
	// aborting is set while abort is called, aborted once the holder gave up.
	aborting, aborted bool
}

// Hold returns a holder that keeps nothing yet. Abort is called, from any goroutine, when the holder is to give up in the stage that it has
// set; it reports whether the holder does. Nil means that it can't be aborted. A holder must be released.
func (b *Budget) Hold(use Use, abort func(Stage) bool) *Hold {
	h := &Hold{budget: b, use: use, abort: abort}
	if b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.holders[h] = struct{}{}
	}
	return h
}

// Link says that the abort of this holder ends another one too, such as that of the request's body with the response. What the other keeps counts as
// what this one's abort frees. This one, which keeps nothing yet, counts for the client of the other. Nil means none.
func (h *Hold) Link(other *Hold) {
	if h.budget != nil && other != nil {
		h.budget.mu.Lock()
		defer h.budget.mu.Unlock()
		h.linked, h.client = other, other.client
	}
}

// Of says for which client address the holder, which keeps nothing yet, counts; it returns the holder.
func (h *Hold) Of(client netip.Addr) *Hold {
	if h.budget != nil {
		h.budget.mu.Lock()
		defer h.budget.mu.Unlock()
		h.client = client
	}
	return h
}

// frees returns what the abort of the holder frees. The caller holds mu.
func (h *Hold) frees() amounts {
	if h.linked == nil {
		return h.held
	}
	return h.held.add(h.linked.held)
}

// Conn returns the holder of a client's connection, in the stage Idle, or nil if there is no room for it. At the bound of all connections, or of
// those of its address, the one that has been Idle or InHeader for longest is aborted, then those in later stages.
func (b *Budget) Conn(client netip.Addr, abort func(Stage) bool) *Hold {
	h := &Hold{budget: b, use: UseConn, client: client, abort: abort}
	if b == nil {
		return h
	}
	h.Wait(Idle)
	isOfClient := func(other *Hold) bool { return other.use == UseConn && other.client == client }
	isConn := func(other *Hold) bool { return other.use == UseConn }
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		fits := isConn
		switch {
		case b.clientUse(client).conns >= b.config.ClientConns:
			fits = isOfClient
		case b.stats.Conns < b.config.Conns:
			b.stats.Conns++
			b.stats.Bytes[UseConn] += ConnBytes
			b.updateClient(client, func(u *clientUse) { u.conns++ })
			b.holders[h] = struct{}{}
			return h
		}
		if !b.abortOne(fits) {
			b.stats.Refused[UseConn]++
			return nil
		}
	}
}

// Keep reports whether the holder may keep so many bytes in all; if so, it does. It is asked before the bytes are allocated.
// A holder that was released or aborted keeps nothing.
func (h *Hold) Keep(bytes int) bool {
	b := h.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, held := b.holders[h]; !held && !h.aborted {
		return false
	}
	for !h.aborted {
		want, full := h.split(int64(bytes), amounts{}, amounts{})
		if full.fits() {
			h.set(want)
			return true
		}
		// Aborts nothing unless all that may be aborted make enough room.
		_, rest := h.split(int64(bytes), b.freeable(h, false), b.freeable(h, true))
		if !rest.fits() || !b.abortOne(func(other *Hold) bool { return other.mayMakeRoom(h, full) }) {
			break
		}
	}
	b.stats.Refused[h.use]++
	return false
}

// fullness is which bounds keep a holder from more: those of the parts, and those of its client address.
type fullness struct{ small, ownSmall, large, ownLarge bool }

func (f fullness) fits() bool { return !f.large && !f.ownLarge }

// split divides bytes between the two parts, of which so much is freed in all and by the holder's client, and reports what is full. The caller
// holds mu.
func (h *Hold) split(bytes int64, freed, freedOwn amounts) (want amounts, full fullness) {
	b := h.budget
	all, own := b.held.sub(freed), b.clientUse(h.client).held.sub(freedOwn)
	bounded := h.client.IsValid()
	want.small = min(bytes, SmallBytes)
	if more := want.small - h.held.small; more > 0 {
		full.small, full.ownSmall = all.small+more > b.config.Small, bounded && own.small+more > b.ofClient.small
	}
	if full.small || full.ownSmall {
		// It may take the place of large ones.
		want.small = h.held.small
	}
	want.large = bytes - want.small
	if more := want.large - h.held.large; more > 0 {
		full.large, full.ownLarge = all.large+more > b.config.Large, bounded && own.large+more > b.ofClient.large
	}
	return want, full
}

// mayMakeRoom reports whether the abort of the holder helps another one for which parts are full. The caller holds mu.
func (h *Hold) mayMakeRoom(other *Hold, full fullness) bool {
	if h == other || h.linked == other {
		return false
	}
	frees, isOwn := h.frees(), h.client == other.client
	return frees.large > 0 && (isOwn || !full.ownLarge) || frees.small > 0 && (full.small || full.ownSmall) && (isOwn || !full.ownSmall)
}

// freeable returns what the holders keep that may be aborted now for another one; with own set, only those of its client address. The caller
// holds mu.
func (b *Budget) freeable(other *Hold, own bool) (sum amounts) {
	now := b.config.Now()
	for h := range b.holders {
		if h != other && h.linked != other && (!own || h.client == other.client) && h.mayAbort(now) {
			sum = sum.add(h.frees())
		}
	}
	return sum
}

// mayAbort reports whether the holder has waited for long enough to be aborted for others. The caller holds the Budget's mu.
func (h *Hold) mayAbort(now time.Duration) bool {
	s := stageOf(h.wait.Load())
	return s != Busy && h.abort != nil && !h.aborting && h.waited(now, s) >= patience[s]
}

// waited returns how long the holder has waited for its peer in a stage: since it last heard of it, or, of a body that arrives below SlowRate, the
// time by which it is late.
func (h *Hold) waited(now time.Duration, s Stage) time.Duration {
	w := now - time.Duration(h.since.Load())
	if age := now - time.Duration(h.began.Load()); s == InBody && age >= SlowAge {
		w = max(w, age-time.Duration(h.received.Load())*time.Second/SlowRate)
	}
	return w
}

// set sets what the holder keeps. The caller holds mu.
func (h *Hold) set(held amounts) {
	b, more := h.budget, held.sub(h.held)
	b.held = b.held.add(more)
	b.updateClient(h.client, func(u *clientUse) { u.held = u.held.add(more) })
	b.stats.Bytes[h.use] += more.small + more.large
	h.held = held
}

// Wait says what the holder waits for from now on.
func (h *Hold) Wait(s Stage) {
	if h.budget != nil {
		now := int64(h.budget.config.Now())
		h.since.Store(now)
		h.began.Store(now)
		h.received.Store(0)
		for {
			last := h.wait.Load()
			if h.wait.CompareAndSwap(last, nextWait(last, s)) {
				return
			}
		}
	}
}

// stageOf returns the stage of a wait.
func stageOf(wait uint64) Stage { return Stage(wait % uint64(stages)) }

// nextWait returns the wait that follows one.
func nextWait(last uint64, s Stage) uint64 {
	return (last/uint64(stages)+1)*uint64(stages) + uint64(s)
}

// Heard says that the holder's peer has sent or taken something.
func (h *Hold) Heard() {
	if h.budget != nil {
		h.since.Store(int64(h.budget.config.Now()))
	}
}

// Aborted reports whether the holder was aborted; what it kept counts no more.
func (h *Hold) Aborted() bool {
	if h.budget == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.aborted
}

// Release gives everything back. Further calls do nothing.
func (h *Hold) Release() {
	if h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.release()
}

// release is Release; the caller holds mu.
func (h *Hold) release() {
	b := h.budget
	if _, ok := b.holders[h]; !ok {
		return
	}
	delete(b.holders, h)
	h.set(amounts{})
	if h.use != UseConn {
		return
	}
	b.stats.Conns--
	b.stats.Bytes[UseConn] -= ConnBytes
	b.updateClient(h.client, func(u *clientUse) { u.conns-- })
}

// abortOne aborts the holder that is the first to go of those that fit, and reports whether there was one. The caller holds mu, which is
// free while the holder learns of it.
func (b *Budget) abortOne(fits func(*Hold) bool) bool {
	for {
		h, wait, waited := b.longestWaiting(fits)
		if h == nil {
			return false
		}
		frees, stage := h.frees(), stageOf(wait)
		a := Abort{Use: h.use, Stage: stage, Bytes: frees.small + frees.large, Waited: waited}
		h.aborting = true
		b.mu.Unlock()
		gone := h.abort(stage)
		if gone && b.config.Aborted != nil {
			b.config.Aborted(a)
		}
		b.mu.Lock()
		h.aborting = false
		if gone {
			h.giveUp()
			if h.linked != nil {
				h.linked.giveUp()
			}
			b.stats.Aborted[stage]++
			return true
		}
		// It has just heard of its peer, or waits anew.
		h.wait.CompareAndSwap(wait, nextWait(wait, Busy))
	}
}

// giveUp notes that the holder was aborted. The caller holds mu.
func (h *Hold) giveUp() {
	h.aborted = true
	h.release()
}

// longestWaiting returns the holder that is the first to go of those that fit, and its wait; nil if there is none. The caller holds mu.
func (b *Budget) longestWaiting(fits func(*Hold) bool) (first *Hold, wait uint64, waited time.Duration) {
	now, rank := b.config.Now(), 0
	for h := range b.holders {
		present := h.wait.Load()
		s := stageOf(present)
		w := h.waited(now, s)
		r := order(s, w)
		if !h.mayAbort(now) || first != nil && (r > rank || r == rank && w <= waited) || !fits(h) {
			continue
		}
		first, wait, waited, rank = h, present, w, r
	}
	return first, wait, waited
}

// order returns the place of a holder in the order of aborts. Connections that were accepted just now come last: the next request may be on its way.
func order(s Stage, waited time.Duration) int {
	switch {
	case s > InHeader:
		return int(s)
	case waited < HeaderPatience:
		return int(stages)
	}
	return int(Idle)
}

// Read keeps and returns what source holds, most bytes of it at most; sized is how many it is known to hold, or below zero. Whole is set if that
// is all. If it isn't, and fewer came than most, no more may be kept, or the holder was aborted.
func (h *Hold) Read(source io.Reader, most, sized int64) (data []byte, whole bool, err error) {
	const first = 2 << 10
	for int64(len(data)) < most {
		if int64(len(data)) == sized {
			// Nothing more is expected, so that no larger buffer is taken to learn of the end.
			var one [1]byte
			n, err := source.Read(one[:])
			if n == 0 && err == io.EOF {
				return data, true, nil
			}
			if n == 0 && err != nil {
				return nil, false, err
			}
			source = io.MultiReader(bytes.NewReader(one[:n]), source)
			sized = -1
		}
		if len(data) == cap(data) {
			size := int64(max(2*cap(data), first))
			if sized > int64(len(data)) {
				size = min(max(size, SmallBytes), sized)
			}
			size = min(size, most)
			if !h.Keep(int(size)) {
				return data, false, nil
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := source.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if n > 0 {
			h.Heard()
			h.received.Add(int64(n))
		}
		if err == io.EOF {
			return data, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return data, false, nil
}
