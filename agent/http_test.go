package agent

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"egretshunt/check"
)

// TestUnsizedBlockIsRejected guards against an exported block that its engine broke off: without length and chunks, its
// end looks like that of a whole one.
func TestUnsizedBlockIsRejected(t *testing.T) {
	unsized := false
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if unsized {
			w.Header().Set("Transfer-Encoding", "identity")
		}
		_, err := w.Write([]byte("half of a block"))
		check.NoError(t, err)
	}))
	defer s.Close()
	m := NewEngine(netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
	data, err := m.Export(t.Context(), nameOf(1))
	check.NoError(t, err)
	check.Equal(t, "block with a length", string(data), "half of a block")
	unsized = true
	_, err = m.Export(t.Context(), nameOf(1))
	check.Kind(t, err, Interrupted)
}
