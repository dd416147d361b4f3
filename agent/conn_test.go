package agent

import (
	"errors"
	"testing"

	"egretshunt/check"
)

// TestRequestWrite guards against a request that counts as written before its last byte was.
func TestRequestWrite(t *testing.T) {
	failed := errors.New("reset")
	for name, c := range map[string]struct {
		body   int64
		writes []string
		err    error
		whole  bool
	}{
		"at once":                     {4, []string{"POST / HTTP/1.1\r\n\r\nbody"}, nil, true},
		"in pieces":                   {4, []string{"POST / HTTP/1.1\r", "\n\r", "\nbo", "dy"}, nil, true},
		"without a body":              {0, []string{"GET / HTTP/1.1\r\n\r\n"}, nil, true},
		"an empty line in the body":   {8, []string{"POST / HTTP/1.1\r\n\r\n\r\n\r\n"}, nil, false},
		"the last byte is missing":    {4, []string{"POST / HTTP/1.1\r\n\r\nbod"}, nil, false},
		"the head's end is missing":   {0, []string{"GET / HTTP/1.1\r\nA: b\r\n"}, nil, false},
		"a CR before the head's end":  {1, []string{"GET / HTTP/1.1\r\r\n\r\nb"}, nil, true},
		"failed":                      {4, []string{"POST / HTTP/1.1\r\n\r\nbo"}, failed, false},
		"failed, then written by all": {4, []string{"POST / HTTP/1.1\r\n\r\nbo", "dy"}, failed, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newRequestWrite(c.body)
			for i, p := range c.writes {
				err := c.err
				if i > 0 {
					err = nil
				}
				w.add([]byte(p), err)
			}
			whole := false
			select {
			case err := <-w.result:
				whole = err == nil
			default:
			}
			check.Equal(t, "whole", whole, c.whole)
		})
	}
}
