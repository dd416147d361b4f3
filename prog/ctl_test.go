package prog

import (
	"net/http"
	"testing"

	"egretshunt/check"
	"egretshunt/fake"
)

// TestBadStatusIsNoSuccess guards against a command that counts as carried out because the status of its response is none, such as 000.
func TestBadStatusIsNoSuccess(t *testing.T) {
	for name, text := range fake.BadStatuses("Content-Type: application/json\r\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := fake.NewCutServer(fake.CutConfig{Text: text, End: fake.CutEnds["closes"]})
			check.NoError(t, err)
			defer s.Close()
			_, final, err := (&ctlArgs{}).roundTripOnce(t.Context(), s.Addr, apiRequest{method: http.MethodGet, path: "/x"})
			check.Kind(t, err, Failed)
			check.Equal(t, "final", final, false)
		})
	}
}
