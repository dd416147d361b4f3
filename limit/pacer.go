package limit

import "time"

// Pacer runs pieces of work one at a time and pauses after each for as long as it took, so that they take half of one
// processor at most.
//
// The load pattern is a process that is given much to read at once, such as a leader that has just been elected and asks
// hundreds of engines what they hold: what it must not miss meanwhile waits for one piece.
type Pacer struct {
	// now reads a monotonic clock, sleep waits.
	now   func() time.Duration
	sleep func(time.Duration)

	// busy holds a value while a piece of work runs and during the pause after it.
	busy chan struct{}
}

// PacerConfig constructs a Pacer.
type PacerConfig struct {
	// Now reads a monotonic clock.
	Now func() time.Duration
	// Sleep waits; nil means time.Sleep.
	Sleep func(time.Duration)
}

// maxPause bounds the pause after one piece of work: a process that was suspended meanwhile measures too much.
const maxPause = 50 * time.Millisecond

// NewPacer returns a Pacer.
func NewPacer(c PacerConfig) *Pacer {
	if c.Sleep == nil {
		c.Sleep = time.Sleep
	}
	return &Pacer{now: c.Now, sleep: c.Sleep, busy: make(chan struct{}, 1)}
}

// Run runs work once those before it have had their pause.
func (p *Pacer) Run(work func()) {
	p.busy <- struct{}{}
	defer func() { <-p.busy }()
	began := p.now()
	work()
	p.sleep(min(p.now()-began, maxPause))
}
