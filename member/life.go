package member

// Life is what is known of an endpoint's process.
type Life int

// Lives of a process.
const (
	// Unknown is also the life of a process that doesn't respond in time.
	Unknown Life = iota
	// Running means that the process accepts connections.
	Running
	// Ended means that nothing listens at its address, or another process does.
	Ended
)

// String returns the life's name, as log lines give it.
func (l Life) String() string { return [...]string{"unknown", "running", "ended"}[l] }
