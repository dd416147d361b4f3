package ctrl

import (
	"context"
	"slices"
	"sync"
	"time"

	"egretshunt/event"
	"egretshunt/member"
	"egretshunt/origin"
	"egretshunt/wire"
)

const (
	// startBatchTime is how long the leader collects starts of streams for one entry of the log. Each entry costs a sync of the disk.
	startBatchTime = 20 * time.Millisecond
	// originTimeout bounds one call about starts of streams.
	originTimeout = 300 * time.Millisecond
	// buildsTimeout bounds the replication of the builds that the list shows.
	buildsTimeout = time.Second
)

// buildsOf returns the builds of the software of some endpoints, sorted.
func buildsOf(endpoints []member.Endpoint) []origin.Build {
	var builds []origin.Build
	for i := range endpoints {
		builds = append(builds, origin.Build{Pool: endpoints[i].Pool, Name: endpoints[i].Build})
	}
	slices.SortFunc(builds, origin.Build.Compare)
	return slices.Compact(builds)
}

// replicateBuilds replicates the builds that the list shows, if they have changed.
func (lt *leaderTerm) replicateBuilds(ctx context.Context, listed []member.Endpoint) {
	builds := buildsOf(listed)
	if lt.node.View().Builds.Shows(builds) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, buildsTimeout)
	defer cancel()
	if _, err := lt.node.Propose(ctx, Command{Builds: &Builds{Listed: builds}}); err != nil {
		lt.tasks.config.Events.Emit(event.CommandFailed, "duty", "builds", "err", err)
		return
	}
	lt.tasks.config.Events.Emit(event.BuildsListed, "count", len(builds))
}

// withKnownBuilds returns a copy of the endpoints whose builds are replicated. No stream may begin at another: who takes it up
// wouldn't know that there were several builds.
func (lt *leaderTerm) withKnownBuilds(endpoints []member.Endpoint) []member.Endpoint {
	known := lt.node.View().Builds
	return slices.DeleteFunc(slices.Clone(endpoints), func(e member.Endpoint) bool {
		return !known.Has(origin.Build{Pool: e.Pool, Name: e.Build})
	})
}

// startBatcher collects starts of streams that entries report, for one entry of the log.
type startBatcher struct {
	// mu guards open, the batch that takes further starts; nil before the next.
	mu   sync.Mutex
	open *startBatch
}

// startBatch holds starts that are replicated together. Once done is closed, err is why they weren't; nil if they were.
type startBatch struct {
	starts []origin.Start
	done   chan struct{}
	err    error
}

// recordStarts replicates starts together with those that other entries report at the time.
func (h *Hub) recordStarts(ctx context.Context, starts []origin.Start) error {
	h.starts.mu.Lock()
	b := h.starts.open
	if b == nil {
		b = &startBatch{done: make(chan struct{})}
		h.starts.open = b
		time.AfterFunc(startBatchTime, func() { h.replicateStarts(b) })
	}
	b.starts = append(b.starts, starts...)
	h.starts.mu.Unlock()
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return OutcomeUnknown.Wrap(ctx.Err(), "wait for the starts of streams to be replicated")
	}
}

func (h *Hub) replicateStarts(b *startBatch) {
	defer close(b.done)
	h.starts.mu.Lock()
	h.starts.open = nil
	h.starts.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), originTimeout)
	defer cancel()
	_, b.err = h.node.Propose(ctx, Command{Starts: origin.Encode(b.starts)})
}

// serveOrigins answers the calls of one entry about starts of streams until its stream ends.
func (h *Hub) serveOrigins(ctx context.Context, s *wire.Stream, first *wire.Origins) {
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	for req := first; req != nil; {
		s.SetDeadline(time.Now().Add(pullTimeout))
		if err := s.Send(&wire.Frame{Body: &wire.Frame_Known{Known: h.answerOrigins(ctx, req)}}); err != nil {
			return
		}
		s.SetDeadline(time.Now().Add(pullIdleTimeout))
		frame, err := s.Recv()
		if err != nil {
			return
		}
		req = frame.GetOrigins()
	}
}

// answerOrigins records the starts of a call and finds the origins that it wants. The answer is fresh only if this member leads
// before and after, so that no other one has recorded anything meanwhile.
func (h *Hub) answerOrigins(ctx context.Context, req *wire.Origins) *wire.Known {
	since, leads := h.node.IsLeader()
	if !leads {
		return &wire.Known{}
	}
	var starts []origin.Start
	for _, s := range req.GetStarts() {
		starts = append(starts, decodeStarts(s)...)
	}
	if len(starts) > 0 {
		if err := h.recordStarts(ctx, starts); err != nil {
			h.events.Emit(event.CommandFailed, "duty", "starts", "count", len(starts), "err", err)
			return &wire.Known{}
		}
	}
	reply := &wire.Known{}
	for _, wanted := range req.GetWanted() {
		reply.Origins = append(reply.Origins, h.findOrigin(origin.Key(wanted.GetKey()), wanted.GetPool()))
	}
	again, leads := h.node.IsLeader()
	reply.Fresh = leads && again.Equal(since)
	return reply
}

// findOrigin returns where a stream of a pool began: by its report, or at the only build that the pool has had.
func (h *Hub) findOrigin(key origin.Key, pool string) *wire.Origin {
	if b, ok := h.node.findOrigin(key); ok {
		return &wire.Origin{Found: true, Pool: b.Pool, Build: b.Name}
	}
	if builds := h.node.View().Builds.Possible(pool, h.node.groupNow()); len(builds) == 1 {
		return &wire.Origin{Found: true, Pool: pool, Build: builds[0]}
	}
	return &wire.Origin{}
}

func encodeStarts(starts []origin.Start) []*wire.Start {
	var encoded []*wire.Start
	for _, g := range origin.Encode(starts) {
		encoded = append(encoded, &wire.Start{Pool: g.Pool, Build: g.Name, Starts: g.Encoded})
	}
	return encoded
}

func decodeStarts(w *wire.Start) []origin.Start {
	return origin.Starts{Build: origin.Build{Pool: w.GetPool(), Name: w.GetBuild()}, Encoded: w.GetStarts()}.Decode()
}
