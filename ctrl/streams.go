package ctrl

import (
	"context"
	"slices"
	"sync"
	"time"

	"egretshunt/clock"
	"egretshunt/origin"
	"egretshunt/wire"
)

const (
	// streamReportInterval is how often an entry looks for streams to report again.
	streamReportInterval = time.Second
	// streamRetryDelay is the delay after a report that failed.
	streamRetryDelay = 50 * time.Millisecond
	// streamRefresh is how long after its last report an open stream is reported again, well before control forgets it.
	streamRefresh = origin.MaxAge / 4
	// maxStreams bounds the streams that an entry keeps account of. Clients that resume further ones are rejected, unless the
	// pool has had one build only.
	maxStreams = 1 << 16
	// maxReportedStreams bounds the streams in one report.
	maxReportedStreams = 4096
)

// streamGuard keeps account of the builds at which an entry's resumable streams began.
type streamGuard struct {
	// news holds a value while there may be streams to report.
	news chan struct{}

	// mu guards the rest.
	mu      sync.Mutex
	streams map[origin.Key]*trackedStream
	// pending are the streams that control hasn't confirmed.
	pending map[origin.Key]bool
}

// trackedStream is a stream that open requests are for, or that broke off at endedAt. reportedAt is when control last confirmed its start; zero if it
// hasn't. Both are by clock.Now. confirmed is closed then, and replaced for a later attempt.
type trackedStream struct {
	origin.Start
	open                int
	endedAt, reportedAt time.Duration
	confirmed           chan struct{}
}

func newStreamGuard() *streamGuard {
	return &streamGuard{news: make(chan struct{}, 1), streams: map[origin.Key]*trackedStream{}, pending: map[origin.Key]bool{}}
}

// BeginStream records that a resumable stream is about to begin at a build, or goes on there. It is called before an endpoint is
// sent the request, whose work gives control time to learn of it before the client has the first event.
func (f *Feed) BeginStream(start origin.Start) {
	g := f.streams
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.streams[start.Key]
	switch {
	case s == nil && len(g.streams) >= maxStreams:
		return
	case s == nil:
		s = &trackedStream{Start: start, open: 1, confirmed: make(chan struct{})}
		g.streams[start.Key] = s
	case start.Attempt <= 1:
		// Another request for the same stream.
		s.open++
	case start.Attempt > s.Attempt && start.Build != s.Build:
		s.Start, s.reportedAt, s.confirmed = start, 0, make(chan struct{})
	}
	if s.reportedAt == 0 && f.hasSeveralBuilds(s.Build.Pool) {
		g.report(start.Key)
	}
}

// AwaitStart waits until control has replicated the latest start of a stream. It returns an error of type Unreachable if ctx ends
// before.
func (f *Feed) AwaitStart(ctx context.Context, key origin.Key) error {
	g := f.streams
	g.mu.Lock()
	s := g.streams[key]
	if s == nil {
		g.mu.Unlock()
		return Unreachable.New("the start of the stream isn't recorded")
	}
	confirmed := s.confirmed
	if s.reportedAt == 0 {
		g.report(key)
	}
	g.mu.Unlock()
	select {
	case <-confirmed:
		return nil
	case <-ctx.Done():
		return Unreachable.Wrap(ctx.Err(), "wait for the start of the stream to be replicated")
	}
}

// EndStream records that a stream has ended: completed, or broken off so that its client may resume it.
func (f *Feed) EndStream(key origin.Key, completed bool) {
	g := f.streams
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.streams[key]
	if s == nil {
		return
	}
	s.open--
	s.endedAt = clock.Now()
	if completed && s.open == 0 {
		delete(g.streams, key)
	}
}

// report marks a stream to be reported. The caller holds mu.
func (g *streamGuard) report(key origin.Key) {
	g.pending[key] = true
	select {
	case g.news <- struct{}{}:
	default:
	}
}

// hasSeveralBuilds reports whether streams of a pool may have begun at several builds, or that isn't known.
func (f *Feed) hasSeveralBuilds(pool string) bool {
	builds := f.View().Builds.Possible(pool, f.groupNow())
	if l := f.List(); l != nil {
		for _, e := range l.Pool(pool) {
			if !slices.Contains(builds, e.Build) {
				builds = append(builds, e.Build)
			}
		}
	}
	return len(builds) > 1
}

// groupNow returns the group time, as far as it is known.
func (f *Feed) groupNow() time.Time {
	return time.Unix(0, f.groupClock.Load()+int64(clock.Now()))
}

// reportAtSeveralBuilds marks the streams of pools that have several builds now and had one when the streams began.
func (f *Feed) reportAtSeveralBuilds() {
	g := f.streams
	g.mu.Lock()
	defer g.mu.Unlock()
	several := map[string]bool{}
	for key, s := range g.streams {
		if s.reportedAt != 0 || g.pending[key] {
			continue
		}
		pool := s.Build.Pool
		if _, known := several[pool]; !known {
			several[pool] = f.hasSeveralBuilds(pool)
		}
		if several[pool] {
			g.report(key)
		}
	}
}

// reportStreams reports starts to the leader until ctx ends.
func (f *Feed) reportStreams(ctx context.Context) {
	t := time.NewTicker(streamReportInterval)
	defer t.Stop()
	var again <-chan time.Time
	for {
		select {
		case <-f.streams.news:
		case <-again:
		case <-t.C:
			f.streams.refresh(clock.Now())
		case <-ctx.Done():
			return
		}
		again = nil
		if !f.reportPending(ctx) {
			again = time.After(streamRetryDelay)
		}
	}
}

// refresh drops the streams that ended long ago, and marks open ones that control is about to forget.
func (g *streamGuard) refresh(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, s := range g.streams {
		switch {
		case s.open == 0 && now-s.endedAt >= origin.MaxAge:
			delete(g.streams, key)
			delete(g.pending, key)
		case s.open > 0 && s.reportedAt != 0 && now-s.reportedAt >= streamRefresh:
			g.report(key)
		}
	}
}

// reportPending reports the pending starts to the leader until none are left, and returns whether it could.
func (f *Feed) reportPending(ctx context.Context) bool {
	starts := f.streams.unreported()
	if len(starts) == 0 {
		return true
	}
	s, err := f.openOrigins(ctx)
	if err != nil {
		return false
	}
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	defer s.Close()
	for len(starts) > 0 {
		if _, err := callOrigins(s, &wire.Origins{Starts: encodeStarts(starts)}); err != nil {
			return false
		}
		f.streams.confirm(starts, clock.Now())
		starts = f.streams.unreported()
	}
	return true
}

// unreported returns starts that control hasn't confirmed.
func (g *streamGuard) unreported() []origin.Start {
	g.mu.Lock()
	defer g.mu.Unlock()
	var starts []origin.Start
	for key := range g.pending {
		s := g.streams[key]
		if s == nil {
			// It completed.
			delete(g.pending, key)
			continue
		}
		if starts = append(starts, s.Start); len(starts) == maxReportedStreams {
			break
		}
	}
	return starts
}

// confirm records that control has replicated some starts.
func (g *streamGuard) confirm(starts []origin.Start, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, start := range starts {
		s := g.streams[start.Key]
		if s != nil && s.Start != start {
			// A later attempt began meanwhile.
			continue
		}
		delete(g.pending, start.Key)
		if s == nil {
			continue
		}
		if s.reportedAt == 0 {
			close(s.confirmed)
		}
		s.reportedAt = now
	}
}

// openOrigins opens a stream to the leader for calls about starts of streams.
func (f *Feed) openOrigins(ctx context.Context) (*wire.Stream, error) {
	to := f.syncedWith.Load()
	if to == nil {
		return nil, Unreachable.New("no leader has answered yet")
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	return f.config.Pool.Open(ctx, *to)
}

// callOrigins makes one call about starts of streams. It returns an error of type Unreachable or NotLeader if the answer didn't
// come, or isn't the leader's.
func callOrigins(s *wire.Stream, req *wire.Origins) (*wire.Known, error) {
	s.SetDeadline(time.Now().Add(originTimeout))
	if err := s.Send(&wire.Frame{Body: &wire.Frame_Origins{Origins: req}}); err != nil {
		return nil, Unreachable.Wrap(err, "ask for the origins of streams")
	}
	frame, err := s.Recv()
	if err != nil {
		return nil, Unreachable.Wrap(err, "ask for the origins of streams")
	}
	known := frame.GetKnown()
	if !known.GetFresh() || len(known.GetOrigins()) != len(req.GetWanted()) {
		return nil, NotLeader.New("the origins of streams were asked of a control VM that doesn't lead, or couldn't replicate starts")
	}
	return known, nil
}

// Origin returns the build at which a stream of a pool began; false if nobody knows. An error says that the leader couldn't be
// asked; its type is Unreachable or NotLeader.
func (f *Feed) Origin(ctx context.Context, key origin.Key, pool string) (origin.Build, bool, error) {
	if b, ok := f.streams.find(key); ok {
		return b, true, nil
	}
	s, err := f.openOrigins(ctx)
	if err != nil {
		return origin.Build{}, false, err
	}
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	defer s.Close()
	known, err := callOrigins(s, &wire.Origins{Wanted: []*wire.Wanted{{Key: uint64(key), Pool: pool}}})
	if err != nil {
		return origin.Build{}, false, err
	}
	o := known.GetOrigins()[0]
	return origin.Build{Pool: o.GetPool(), Name: o.GetBuild()}, o.GetFound(), nil
}

func (g *streamGuard) find(key origin.Key) (origin.Build, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.streams[key]; s != nil {
		return s.Build, true
	}
	return origin.Build{}, false
}
