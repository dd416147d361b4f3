package ctrl

import (
	"encoding/json"
	"runtime/debug"

	"egretshunt/event"
	"egretshunt/quorum"
)

func (n *Node) applyEntries(entries []quorum.Entry) {
	for _, e := range entries {
		out := outcome{}
		switch e.Kind {
		case quorum.Normal:
			out = n.applyCommand(e)
		case quorum.Config:
			n.config.Events.Emit(event.Members, "index", e.Index, "members", string(e.Data))
		}
		n.queueReply(e, out)
	}
}

// applyCommand applies an entry with a command. One that can't be decoded or applied is skipped: it stays in the log, so
// failing at it would end each member at each start. All members skip it, since they apply the same commands to the same state.
func (n *Node) applyCommand(e quorum.Entry) (out outcome) {
	defer func() {
		if r := recover(); r != nil {
			out.err = Malformed.New("apply entry %d: %v", e.Index, r)
			n.config.Events.Emit(event.Skipped, "index", e.Index, "term", e.Term, "err", out.err, "stack", string(debug.Stack()))
		}
	}()
	var c Command
	if err := json.Unmarshal(e.Data, &c); err != nil {
		out.err = Malformed.Wrap(err, "read entry %d", e.Index)
		n.config.Events.Emit(event.Skipped, "index", e.Index, "term", e.Term, "err", out.err)
		return out
	}
	out.result = n.machine.Apply(e.Index, c)
	n.emitChange(c, out.result)
	return out
}

func (n *Node) queueReply(e quorum.Entry, out outcome) {
	w, ok := n.waiters[e.Index]
	if !ok {
		return
	}
	delete(n.waiters, e.Index)
	if w.term != e.Term {
		out = outcome{err: OutcomeUnknown.New("another leader wrote entry %d", e.Index)}
	}
	n.queuedReplies = append(n.queuedReplies, queuedReply{w.reply, out})
}

// queuedReply is a reply to a proposal that is sent once the proposal's effect is published.
type queuedReply struct {
	reply chan outcome
	out   outcome
}

// sendReplies replies to proposals. It runs after publish, so that a caller can read
// its own change on this member.
func (n *Node) sendReplies() {
	for _, p := range n.queuedReplies {
		p.reply <- p.out
	}
	clear(n.queuedReplies)
	n.queuedReplies = n.queuedReplies[:0]
}

// emitChange emits the event of a table change; only the leader does so.
func (n *Node) emitChange(c Command, r Result) {
	if c.Evacuation != nil && r.Evacuation != nil && n.core.Role() == quorum.Leader {
		n.emitEvacuation(*c.Evacuation, *r.Evacuation)
	}
	if c.Change == nil || n.core.Role() != quorum.Leader {
		return
	}
	kind := event.ChangeAccepted
	if r.Change.Code != "" {
		kind = event.ChangeRejected
	}
	n.config.Events.Emit(kind, "table", c.Change.Table, "row", c.Change.Name, "op", c.Change.Op, "who", c.Change.Operator,
		"change", c.Change.ID, "rev", r.Change.Rev, "code", r.Change.Code, "text", r.Change.Text)
}
