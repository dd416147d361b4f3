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

// Rev implements wire.RevisionTracker.
func (c revisionTracker) Rev() uint64 {
	if c.process.follower == nil {
		return 0
	}
	return c.process.follower.Rev()
}

// Reload reads the files of keys and secrets again. Where a file can't be read, the
// former keys or secrets stay in use.
func (p *Process) Reload() error {
	secrets, err := p.secrets()
	if err == nil {
		err = p.wireKeys.Rotate(secrets...)
	}
	if p.entry != nil {
		accounts, keyErr := conf.LoadKeys(p.settings.Entry.Keys)
		if keyErr == nil {
			p.keyring.Replace(accounts)
		}
		err = errors.Join(err, keyErr)
	}
	if p.adminAPI != nil {
		operators, keyErr := conf.LoadOperators(p.settings.Member.Operators)
		if keyErr == nil {
			p.adminAPI.Replace(operators)
		}
		err = errors.Join(err, keyErr)
	}
	if err != nil {
		p.events.Emit(event.KeysBad, "err", err)
		return Failed.Wrap(err, "reload keys and secrets")
	}
	p.events.Emit(event.Keys)
	return nil
}

// Stop shuts the process down gracefully: it stops accepting requests, waits for those
// in flight, and then closes all roles. It returns the number of requests aborted
// because ctx ended first.
func (p *Process) Stop(ctx context.Context) int {
	p.events.Emit(event.Stopping)
	aborted := 0
	if p.agent != nil {
		aborted += p.agent.Drain(ctx)
	}
	if p.entry != nil {
		p.entry.StartDraining()
		p.callerConns.Drain()
		select {
		case <-time.After(p.settings.Entry.DrainDelay.Duration):
		case <-ctx.Done():
		}
		aborted += p.stopCallers(ctx)
	}
	p.closeAll()
	p.events.Emit(event.Stopped, "cut", aborted)
	p.events.Close()
	return aborted
}

const (
	// answerMargin is how long before the end of a shutdown the requests without a response get their final answer.
	answerMargin = 400 * time.Millisecond
	// closePollInterval is how often idle connections are looked for in a shutdown.
	closePollInterval = 20 * time.Millisecond
)

// stopCallers serves the requests that callers have begun to send, until ctx ends, and returns how many are still open then.
func (p *Process) stopCallers(ctx context.Context) int {
	// Server.Shutdown would drop the requests that are being read.
	p.callerConns.StopAccepting()
	if end, ok := ctx.Deadline(); ok {
		t := time.AfterFunc(time.Until(end)-answerMargin, p.entry.EndRequests)
		defer t.Stop()
	}
	t := time.NewTicker(closePollInterval)
	defer t.Stop()
	for p.callerConns.CloseIdle(time.Now()) > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return p.entry.OpenRequests()
		}
	}
	// Bookings go on after their caller has left.
	return p.entry.Drain(ctx)
}

// Kill stops the process at once, like a crash except that it releases the sockets.
func (p *Process) Kill() {
	p.closeAll()
	p.events.Close()
}

// closeAll closes everything that the process has started except its event log.
func (p *Process) closeAll() {
	for _, s := range []*http.Server{p.callerServer, p.adminServer, p.opsServer} {
		if s != nil {
			s.Close()
		}
	}
	if p.stopReaper != nil {
		p.stopReaper()
	}
	if p.peerPool != nil {
		p.peerPool.Close()
	}
	// The agent is closed before the wire server, because its goroutines end the streams
	// that the server's handlers wait for.
	for _, part := range []struct {
		started bool
		close   func()
	}{
		{p.agent != nil, p.agent.Close},
		{p.commandIssuer != nil, p.commandIssuer.Close},
		{p.wireServer != nil, p.wireServer.Close},
		{p.entry != nil, p.entry.Close},
		{p.follower != nil, p.follower.Close},
		{p.peers != nil, p.peers.Close},
		{p.member != nil, p.member.Close},
		{p.store != nil, p.store.Close},
		{p.dataFolder != nil, func() { p.dataFolder.Close() }},
	} {
		if part.started {
			part.close()
		}
	}
}

// BreakConnections drops every connection to other processes, to simulate a network fault.
func (p *Process) BreakConnections() { p.peerPool.CloseConns() }

// SetIsolated isolates this process from all other processes, or reconnects it, to simulate
// a network partition. Callers still reach it.
func (p *Process) SetIsolated(isolated bool) {
	p.peerPool.SetIsolated(isolated)
	p.wireServer.SetIsolated(isolated)
}

// View returns the small replicated state that this process has installed.
func (p *Process) View() *ctrl.View { return p.follower.View() }

// Rev returns the installed table revision.
func (p *Process) Rev() uint64 { return p.follower.Rev() }

// Fresh reports whether the control plane confirmed the tables within the lease.
func (p *Process) Fresh() bool { return p.follower.Fresh() }

// ControlClient returns the process's client of the control plane.
func (p *Process) ControlClient() *ctrl.Client { return p.client }

// IsLeader reports whether this process is the leader of the control VMs.
func (p *Process) IsLeader() bool {
	if p.member == nil {
		return false
	}
	_, ok := p.member.IsLeader()
	return ok
}

// StoreBlocks returns the number of KV blocks that this process's store holds in memory.
func (p *Process) StoreBlocks() int {
	if p.store == nil {
		return 0
	}
	return p.store.Stats().MemoryBlocks
}

// Err returns the error that keeps the process from working, or nil.
func (p *Process) Err() error {
	if p.member == nil {
		return nil
	}
	return p.member.Err()
}

// String returns the node's name and role.
func (p *Process) String() string { return fmt.Sprintf("%s (%s)", p.settings.Node, p.role()) }
