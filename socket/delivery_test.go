package socket

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"egretshunt/check"
)

// TestJudgeDelivery replays looks at a connection, one each half of the patience, until the wait is over.
func TestJudgeDelivery(t *testing.T) {
	const patience, closeWait, closed = time.Second, 8, 7
	type look struct {
		written     bool
		state       uint8
		acked       uint64
		undelivered int
		unknown     bool
	}
	for name, c := range map[string]struct {
		looks []look
		// over is the look that ends the wait, counted from one; zero if none does.
		over  int
		whole bool
	}{
		"all acknowledged":            {[]look{{true, closeWait, 100, 0, false}}, 1, true},
		"written later":               {[]look{{false, closeWait, 100, 0, false}, {true, closeWait, 100, 0, false}}, 2, true},
		"reset":                       {[]look{{true, closeWait, 10, 90, false}, {true, closed, 10, 90, false}}, 2, false},
		"reset, nothing unacked":      {[]look{{true, closed, 100, 0, false}}, 1, false},
		"takes more, slowly":          {[]look{{false, closeWait, 10, 90, false}, {false, closeWait, 10, 90, false}, {true, closeWait, 20, 80, false}, {true, closeWait, 20, 80, false}, {true, closeWait, 100, 0, false}}, 5, true},
		"takes no more":               {[]look{{true, closeWait, 10, 90, false}, {true, closeWait, 10, 90, false}, {true, closeWait, 10, 90, false}}, 3, false},
		"isn't written":               {[]look{{false, closeWait, 10, 0, false}, {false, closeWait, 10, 0, false}, {false, closeWait, 10, 0, false}}, 3, false},
		"not known":                   {[]look{{true, 0, 0, 0, true}}, 1, true},
		"not known, isn't written":    {[]look{{false, 0, 0, 0, true}, {false, 0, 0, 0, true}, {false, 0, 0, 0, true}}, 3, false},
		"waits while time is left":    {[]look{{true, closeWait, 10, 90, false}, {true, closeWait, 10, 90, false}}, 0, false},
		"has taken all, too late too": {[]look{{false, closeWait, 10, 90, false}, {false, closeWait, 10, 90, false}, {true, closeWait, 10, 0, false}}, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Unix(0, 0)
			d, got, whole := delivery{patience: patience, progressAt: began}, 0, false
			for i, l := range c.looks {
				d.written = l.written
				over, err := d.judge(began.Add(time.Duration(i)*patience/2), State{&unix.TCPInfo{State: l.state, Bytes_acked: l.acked}, l.undelivered}, !l.unknown)
				if over {
					got, whole = i+1, err == nil
					break
				}
			}
			check.Equal(t, "look that ends the wait", got, c.over)
			check.Equal(t, "whole", whole, c.whole)
		})
	}
}
