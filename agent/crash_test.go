package agent

import (
	"testing"

	"egretshunt/check"
	"egretshunt/event"
)

// TestMalformedResponseIsNoCrash guards against an endpoint that counts as ended by a request because its health check gets a malformed
// response.
func TestMalformedResponseIsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		health error
		want   bool
	}{
		"healthy": {nil, false}, "malformed": {Malformed.New("status 000"), false}, "broken": {Interrupted.New("reset"), true}, "ended": {Unreachable.New("refused"), true},
	} {
		t.Run(name, func(t *testing.T) {
			a := &Agent{config: Config{Backend: &healthBackend{errors: []error{c.health}}, Events: event.Discard()}, pace: newPace("e", event.Discard()), cache: newMirror()}
			check.Equal(t, "crashed", a.checkCrash(t.Context(), &exchange{}), c.want)
		})
	}
}
