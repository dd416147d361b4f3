package store

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/block"
	"egretshunt/table"
	"egretshunt/wire"
)

func parseName(text string) (block.Name, bool) {
	raw, err := hex.DecodeString(text)
	if err != nil {
		return block.Name{}, false
	}
	return block.ParseName(raw)
}

// streamIdleTimeout is how long an agent may leave a stream idle before it is closed.
const streamIdleTimeout = time.Minute

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Store *Store
	// Pool is the name of the store pool that this store belongs to.
	Pool string
	// Tables returns the installed tables.
	Tables func() *table.Tables
}

// Service serves agents' requests to find, read and write blocks.
type Service struct {
	config ServiceConfig
}

// NewService returns a Service, whose Handle method is passed to wire.Serve.
func NewService(c ServiceConfig) *Service { return &Service{config: c} }

// Handle serves one stream, whose first frame has already been read.
func (s *Service) Handle(ctx context.Context, stream *wire.Stream, first *wire.Frame) {
	stop := context.AfterFunc(ctx, stream.Abort)
	defer stop()
	frame := first
	for {
		reply, ok := s.respond(frame)
		if !ok || stream.Send(reply) != nil {
			return
		}
		stream.SetDeadline(time.Now().Add(streamIdleTimeout))
		var err error
		if frame, err = stream.Recv(); err != nil {
			return
		}
	}
}

func (s *Service) respond(frame *wire.Frame) (*wire.Frame, bool) {
	switch body := frame.GetBody().(type) {
	case *wire.Frame_Find:
		return s.find(body.Find), true
	case *wire.Frame_Read:
		return s.read(body.Read), true
	case *wire.Frame_Block:
		return s.put(body.Block), true
	}
	return nil, false
}

// isAllowed reports whether the account's route allows its blocks to be stored in this
// pool.
func (s *Service) isAllowed(account, route string) bool {
	r, ok := s.config.Tables().Routes[route]
	if !ok || r.Account != account {
		return false
	}
	for _, p := range r.Stores {
		if p == s.config.Pool {
			return true
		}
	}
	return false
}

func (s *Service) find(f *wire.Find) *wire.Frame {
	found := &wire.Found{}
	if s.isAllowed(f.GetAccount(), f.GetRoute()) {
		chain := make([]block.Name, 0, len(f.GetNames()))
		for _, raw := range f.GetNames() {
			n, ok := block.ParseName(raw)
			if !ok {
				break
			}
			chain = append(chain, n)
		}
		count, bytes := s.config.Store.LongestPrefix(f.GetAccount(), chain)
		found.Count, found.Bytes = uint32(count), uint64(bytes)
	}
	return &wire.Frame{Body: &wire.Frame_Found{Found: found}}
}

func (s *Service) read(r *wire.Read) *wire.Frame {
	b := &wire.Block{Name: r.GetName(), Gone: true}
	n, ok := block.ParseName(r.GetName())
	if ok && s.isAllowed(r.GetAccount(), r.GetRoute()) {
		if k, err := s.config.Store.Read(r.GetAccount(), n); err == nil {
			b.Gone, b.Data, b.Sum, b.Depth = false, k.Data, k.Sum, uint32(k.Depth)
		}
	}
	return &wire.Frame{Body: &wire.Frame_Block{Block: b}}
}

func (s *Service) put(b *wire.Block) *wire.Frame {
	saved := &wire.Saved{}
	n, ok := block.ParseName(b.GetName())
	switch {
	case !ok:
		saved.Code = "malformed"
	case !s.isAllowed(b.GetAccount(), b.GetRoute()):
		saved.Code = "unlawful"
	default:
		err := s.config.Store.Put(StoredBlock{Account: b.GetAccount(), Name: n, Data: b.GetData(), Sum: b.GetSum(), Depth: int(b.GetDepth())})
		saved.Ok = err == nil
		if errorx.IsOfType(err, Corrupt) {
			saved.Code = "wrong"
		} else if err != nil {
			saved.Code = "full"
		}
	}
	return &wire.Frame{Body: &wire.Frame_Saved{Saved: saved}}
}
