package ctrl

import (
	"context"
	"time"

	"egretshunt/ledger"
	"egretshunt/limit"
	"egretshunt/origin"
	"egretshunt/quorum"
	"egretshunt/table"
)

// Audit returns a copy of the retained audit records, oldest first.
func (n *Node) Audit(ctx context.Context) ([]table.AuditRecord, error) {
	var records []table.AuditRecord
	err := n.runOnLoop(ctx, func() { records = append(records, n.machine.tables.Audit()...) })
	return records, err
}

// DryRun returns the result that a change would have, without applying it.
func (n *Node) DryRun(ctx context.Context, c table.Change) (table.Result, error) {
	var r table.Result
	err := n.runOnLoop(ctx, func() { r = n.machine.tables.DryRun(c) })
	return r, err
}

// Unresolved returns claims whose outcome is unknown.
func (n *Node) Unresolved(ctx context.Context, limit int) ([]*ledger.Claim, error) {
	var claims []*ledger.Claim
	err := n.runOnLoop(ctx, func() { claims = n.machine.ledger.Unresolved(limit) })
	return claims, err
}

// claimOwner returns the entry that holds the claim of a key, or "".
func (n *Node) claimOwner(account, key string) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	claimOwner := ""
	err := n.runOnLoop(ctx, func() {
		if c, ok := n.machine.ledger.Lookup(ledger.Key{Account: account, Key: key}); ok {
			claimOwner = c.Owner
		}
	})
	if err != nil {
		return ""
	}
	return claimOwner
}

// Snapshot returns the encoded state for an operator's backup.
func (n *Node) Snapshot(ctx context.Context) ([]byte, error) {
	var data []byte
	var err error
	if callErr := n.runOnLoop(ctx, func() { data, err = n.machine.Save() }); callErr != nil {
		return nil, callErr
	}
	return data, err
}

// Tables returns the tables as applied by this member.
func (n *Node) Tables() *table.Tables { return n.tables.Load() }

// View returns the view as applied by this member.
func (n *Node) View() *View { return n.view.Load() }

// Crashes returns the crashes attributed to requests, as applied by this member.
func (n *Node) Crashes() *limit.CrashTracker { return n.crashes.Load() }

func (n *Node) findOrigin(key origin.Key) (origin.Build, bool) { return n.origins.Load().Find(key) }

// groupNow returns the group time while this member leads.
func (n *Node) groupNow() time.Time {
	now, _ := n.groupTime()
	return now
}

// groupTime returns the group time while this member leads, and from when on it has run without a pause.
func (n *Node) groupTime() (now, since time.Time) {
	g := n.leaderClock.Load()
	if g == nil {
		return time.Time{}, time.Time{}
	}
	return g.time(n.config.Now()), g.since
}

// Changed returns a channel that is closed at the next change of tables, view or crashes.
func (n *Node) Changed() <-chan struct{} { return n.changed.wait() }

// Registered returns the registered nodes; the map must not be changed.
func (n *Node) Registered() map[string]NodeRegistration { return *n.nodes.Load() }

// Status returns the member's status in the group.
func (n *Node) Status() quorum.Status { return *n.status.Load() }

// IsLeader reports whether this member is the leader and holds a lease, and since when it has led.
func (n *Node) IsLeader() (since time.Time, ok bool) {
	at := n.electedAt.Load()
	if at == nil || int64(n.now()) > n.leaseEnd.Load() {
		return time.Time{}, false
	}
	return *at, true
}

// Err returns the error that stopped the member, or nil.
func (n *Node) Err() error {
	if p := n.failure.Load(); p != nil {
		return *p
	}
	return nil
}
