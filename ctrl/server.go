package ctrl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/ledger"
	"egretshunt/quorum"
	"egretshunt/wire"
)

// ServerConfig constructs a Server.
type ServerConfig struct {
	Node *Node
	// Follower is the source for pulls while another member leads.
	Follower *Follower
	Lease    time.Duration
	// Hub serves the syncs of entries; nil when entries only follow the tables.
	Hub *Hub
}

// Server serves the streams that other processes open to one control VM.
type Server struct {
	config ServerConfig

	// mu guards leaderSince and roster.
	mu sync.Mutex
	// leaderSince is the start of the leadership term that roster belongs to.
	leaderSince time.Time
	roster      *Roster
}

// NewServer returns a server; pass its Handle to wire.Serve.
func NewServer(c ServerConfig) *Server {
	if c.Lease == 0 {
		c.Lease = Lease
	}
	return &Server{config: c, roster: NewRoster(c.Lease)}
}

// Handle serves one stream whose first frame was already read.
func (s *Server) Handle(ctx context.Context, stream *wire.Stream, first *wire.Frame) {
	switch body := first.GetBody().(type) {
	case *wire.Frame_Raft:
		s.receiveMessages(ctx, stream, body.Raft)
	case *wire.Frame_Pull:
		ServePulls(ctx, stream, body.Pull, s.currentSource, s.leaderAddr)
	case *wire.Frame_Propose:
		s.serveProposals(ctx, stream, body.Propose)
	case *wire.Frame_Sync:
		if s.config.Hub != nil {
			s.config.Hub.Handle(ctx, stream, body.Sync)
		}
	case *wire.Frame_Origins:
		if s.config.Hub != nil {
			s.config.Hub.serveOrigins(ctx, stream, body.Origins)
		}
	}
}

// currentSource returns the source from which pulls are served now.
func (s *Server) currentSource() tableSource {
	since, ok := s.config.Node.IsLeader()
	if ok || s.config.Follower == nil {
		return leaderSource{server: s, roster: s.rosterSince(since)}
	}
	return s.config.Follower
}

// rosterSince returns the roster of the leadership term that began at since. Reports from
// an earlier term are discarded: the relays that they came through may have changed.
func (s *Server) rosterSince(since time.Time) *Roster {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !since.IsZero() && !since.Equal(s.leaderSince) {
		s.leaderSince, s.roster = since, NewRoster(s.config.Lease)
	}
	return s.roster
}

// leaderAddr returns the leader's address, or the zero address.
func (s *Server) leaderAddr() netip.AddrPort {
	status := s.config.Node.Status()
	m, _ := status.Members.Find(status.Leader)
	return m.Addr
}

// receiveMessages delivers one other member's messages to the node until either ends: the sender then opens another
// stream, which reaches the member that replaces a failed one.
func (s *Server) receiveMessages(ctx context.Context, stream *wire.Stream, w *wire.Raft) {
	stop := context.AfterFunc(ctx, stream.Abort)
	defer stop()
	for {
		m, err := decodeMessage(w)
		if err != nil {
			return
		}
		if !s.config.Node.Deliver(m) {
			return
		}
		frame, err := stream.Recv()
		if err != nil || frame.GetRaft() == nil {
			return
		}
		w = frame.GetRaft()
	}
}

// serveProposals serves the proposals of one stream in order.
func (s *Server) serveProposals(ctx context.Context, stream *wire.Stream, p *wire.Propose) {
	stop := context.AfterFunc(ctx, stream.Abort)
	defer stop()
	for {
		if err := stream.Send(&wire.Frame{Body: &wire.Frame_Result{Result: s.propose(ctx, p)}}); err != nil {
			return
		}
		frame, err := stream.Recv()
		if err != nil || frame.GetPropose() == nil {
			return
		}
		p = frame.GetPropose()
	}
}

// Codes of a proposal that was not carried out or whose outcome is unknown.
const (
	codeNotLeader = "notleader"
	codeBusy      = "busy"
	codeUnsure    = "unsure"
	codeMalformed = "bad"
)

// proposeTimeout bounds the wait for a majority to hold a proposal.
const proposeTimeout = 5 * time.Second

func (s *Server) propose(ctx context.Context, p *wire.Propose) *wire.Result {
	var c Command
	if err := json.Unmarshal(p.GetCommand(), &c); err != nil {
		return &wire.Result{Code: codeMalformed, Text: err.Error()}
	}
	if c.Claim != nil && c.Claim.Op == ledger.OpTakeOver {
		c.Claim.OwnerDead = s.isOwnerDead(c.Claim.Owner, c.Claim.Claim.Key.Account, c.Claim.Claim.Key.Key)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if c.JoinGroup != nil {
		return s.membershipResult(s.config.Node.JoinGroup(ctx, *c.JoinGroup))
	}
	if c.LeaveGroup != "" {
		return s.membershipResult(s.config.Node.LeaveGroup(ctx, c.LeaveGroup))
	}
	r, err := s.config.Node.Propose(ctx, c)
	if err != nil {
		return &wire.Result{Code: resultCode(err), Text: err.Error(), Leader: addrText(s.leaderAddr())}
	}
	body, err := json.Marshal(r)
	if err != nil {
		return &wire.Result{Code: codeUnsure, Text: err.Error()}
	}
	return &wire.Result{Body: body}
}

// membershipResult returns the response to a request for a change of the group.
func (s *Server) membershipResult(err error) *wire.Result {
	if err != nil {
		return &wire.Result{Code: resultCode(err), Text: err.Error(), Leader: addrText(s.leaderAddr())}
	}
	return &wire.Result{Body: []byte("{}")}
}

func resultCode(err error) string {
	switch {
	case errorx.IsOfType(err, NotLeader) || errorx.IsOfType(err, quorum.NotLeader):
		return codeNotLeader
	case errorx.IsOfType(err, Busy) || errorx.IsOfType(err, quorum.Busy):
		return codeBusy
	}
	return codeUnsure
}

func addrText(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// Lagging returns the nodes that may still act on a revision older than rev.
func (s *Server) Lagging(rev uint64, now time.Time) ([]string, error) {
	since, ok := s.config.Node.IsLeader()
	if !ok {
		return nil, NotLeader.New("the leader is %q", s.config.Node.Status().Leader)
	}
	return s.rosterSince(since).Lagging(rev, s.config.Node.Registered(), since, now), nil
}

// Nodes describes the nodes whose reports reach this member as leader.
func (s *Server) Nodes(now time.Time) []NodeReport { return s.currentRoster().NodeReports(now) }

// currentRoster returns the roster of the current leadership term, or of the last one.
func (s *Server) currentRoster() *Roster {
	since, _ := s.config.Node.IsLeader()
	return s.rosterSince(since)
}

// incarnationSeparator separates the node's name from its incarnation in a claim's owner.
const incarnationSeparator = "#"

// ClaimOwner returns the owner name that a node uses in claims. It contains the node's
// incarnation: after a restart the node is another owner.
func ClaimOwner(node string, life uint64) string {
	return fmt.Sprintf("%s%s%x", node, incarnationSeparator, life)
}

// isOwnerDead reports whether the entry that holds a claim can no longer act on it: its
// freshness has expired, its process was restarted or the leader has no report of it. It
// returns false during the first lease of a leadership term, when entries may not have
// reported yet.
func (s *Server) isOwnerDead(claimant, account, key string) bool {
	since, ok := s.config.Node.IsLeader()
	now := time.Now()
	if !ok || now.Sub(since) <= s.config.Lease {
		return false
	}
	claimOwner := s.config.Node.claimOwner(account, key)
	if claimOwner == "" || claimOwner == claimant {
		return false
	}
	for _, e := range s.rosterSince(since).NodeReports(now) {
		if strings.HasPrefix(claimOwner, e.Node+incarnationSeparator) {
			return !e.Live || claimOwner != ClaimOwner(e.Node, e.Life)
		}
	}
	return true
}

// MemberID returns this member's ID.
func (s *Server) MemberID() quorum.ID { return s.config.Node.config.ID }
