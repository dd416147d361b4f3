package ctrl

import "sync"

// notifier wakes all goroutines that wait for a change.
type notifier struct {
	// mu guards next, a channel that is closed and replaced at each change.
	mu   sync.Mutex
	next chan struct{}
}

func newNotifier() *notifier { return &notifier{next: make(chan struct{})} }

// announce wakes all waiting goroutines.
func (n *notifier) announce() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.next)
	n.next = make(chan struct{})
}

// wait returns a channel that is closed at the next change.
func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.next
}
