package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"egretshunt/conf"
	"egretshunt/ctrl"
	"egretshunt/event"
)

// Rev implements wire.Clock.
func (c clock) Rev() uint64 {
	if c.p.follow == nil {
		return 0
	}
	return c.p.follow.Rev()
}

// Reload reads keys and secrets again; what can't be read leaves the former ones in use.
func (p *Process) Reload() error {
	secrets, err := p.secrets()
	if err == nil {
		err = p.keys.Rotate(secrets...)
	}
	if p.entry != nil {
		accounts, keyErr := conf.LoadKeys(p.settings.Entry.Keys)
		if keyErr == nil {
			p.keyring.Replace(accounts)
		}
		err = errors.Join(err, keyErr)
	}
	if p.api != nil {
		people, keyErr := conf.LoadOperators(p.settings.Member.Operators)
		if keyErr == nil {
			p.api.Replace(people)
		}
		err = errors.Join(err, keyErr)
	}
	if err != nil {
		p.events.Emit(event.KeysBad, "err", err)
		return Failed.Wrap(err, "read keys again")
	}
	p.events.Emit(event.Keys)
	return nil
}

// Stop ends the process gracefully: it stops taking work, finishes what it has, and
// then closes. It returns how many requests were cut off because ctx ended first.
func (p *Process) Stop(ctx context.Context) int {
	p.events.Emit(event.Stopping)
	cut := 0
	if p.agent != nil {
		cut += p.agent.Drain(ctx)
	}
	if p.entry != nil {
		p.entry.Leave()
		select {
		case <-time.After(p.settings.Entry.Notice.Duration):
		case <-ctx.Done():
		}
		// Shutdown closes idle connections and waits for the others.
		if err := p.callers.Shutdown(ctx); err != nil {
			cut += p.entry.Open()
		}
		cut += p.entry.Drain(ctx)
	}
	p.release()
	p.events.Emit(event.Stopped, "cut", cut)
	p.events.Close()
	return cut
}

// Kill ends the process at once, as a crash would but for releasing its sockets.
func (p *Process) Kill() {
	p.release()
	p.events.Close()
}

// release ends all that the process has started but its log.
func (p *Process) release() {
	for _, s := range []*http.Server{p.callers, p.operator, p.ops} {
		if s != nil {
			s.Close()
		}
	}
	if p.stopReap != nil {
		p.stopReap()
	}
	if p.pool != nil {
		p.pool.Close()
	}
	// The agent's goroutines end the streams that the server's handlers wait for.
	for _, part := range []struct {
		started bool
		close   func()
	}{
		{p.agent != nil, p.agent.Close},
		{p.owner != nil, p.owner.Close},
		{p.server != nil, p.server.Close},
		{p.entry != nil, p.entry.Close},
		{p.follow != nil, p.follow.Close},
		{p.peers != nil, p.peers.Close},
		{p.member != nil, p.member.Close},
		{p.store != nil, p.store.Close},
		{p.folder != nil, func() { p.folder.Close() }},
	} {
		if part.started {
			part.close()
		}
	}
}

// BreakConnections loses every connection to other processes, as a network fault would.
func (p *Process) BreakConnections() { p.pool.Break() }

// SetCut cuts this process off from all others, or heals it; its callers still reach it.
func (p *Process) SetCut(cut bool) {
	p.pool.SetCut(cut)
	p.server.SetCut(cut)
}

// View returns the small replicated state as installed here.
func (p *Process) View() *ctrl.View { return p.follow.View() }

// Rev returns the installed table revision.
func (p *Process) Rev() uint64 { return p.follow.Rev() }

// Fresh reports whether control has confirmed the tables within the lease.
func (p *Process) Fresh() bool { return p.follow.Fresh(time.Now()) }

// Control returns the client by which this process asks the control plane.
func (p *Process) Control() *ctrl.Client { return p.client }

// Leads reports whether this process's control VM leads.
func (p *Process) Leads() bool {
	if p.member == nil {
		return false
	}
	_, ok := p.member.Leads()
	return ok
}

// Blocks returns how many blocks this process's store holds in memory.
func (p *Process) Blocks() int {
	if p.store == nil {
		return 0
	}
	return p.store.Counts().MemoryBlocks
}

// Err returns why the process can't go on, or nil.
func (p *Process) Err() error {
	if p.member == nil {
		return nil
	}
	return p.member.Err()
}

// String names the process.
func (p *Process) String() string { return fmt.Sprintf("%s (%s)", p.settings.Node, p.role()) }
