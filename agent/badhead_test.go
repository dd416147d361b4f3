package agent

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"egretshunt/check"
	"egretshunt/fake"
)

// startResponder starts an endpoint that responds to each request with the text and closes the connection.
func startResponder(t *testing.T, text string) *Service {
	t.Helper()
	e, err := fake.NewCutServer(fake.CutConfig{Text: text, End: fake.CutEnds["closes"]})
	check.NoError(t, err)
	t.Cleanup(e.Close)
	return NewService(e.Addr)
}

// exchangeWith makes a call to an endpoint that responds with the text, and reads the response.
func exchangeWith(t *testing.T, text string) (*Response, string, error) {
	t.Helper()
	got, err := startResponder(t, text).Run(t.Context(), Call{ID: "r1", Method: http.MethodPost, Path: "/x", Body: []byte("content"), AtMostOnce: true})
	if err != nil {
		return nil, "", err
	}
	data, err := io.ReadAll(got.Body)
	return got, string(data), errors.Join(err, got.Body.Close())
}

// checkRefused fails the test unless a response is refused: to a call, and to a look-up.
func checkRefused(t *testing.T, text string) {
	t.Helper()
	_, _, err := exchangeWith(t, text)
	check.Kind(t, err, Malformed)
	_, _, err = startResponder(t, text).Outcome(t.Context(), "/outcome")
	check.Kind(t, err, Malformed)
}

// TestBadStatusIsNoResponse guards against a response whose status is none, such as 000, and that reaches its caller.
func TestBadStatusIsNoResponse(t *testing.T) {
	for name, text := range fake.BadStatuses("Content-Type: text/plain\r\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkRefused(t, text)
		})
	}
}

// TestUnusualStatusIsTaken guards against a sound response that is refused for its status.
func TestUnusualStatusIsTaken(t *testing.T) {
	for name, text := range fake.UnusualStatuses("Content-Type: text/plain\r\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, body, err := exchangeWith(t, text)
			check.NoError(t, err)
			check.Equal(t, "status of 299 or more", got.Status >= 299, true)
			check.Equal(t, "body", body, "ok")
		})
	}
}

// TestBadFieldIsNoResponse guards against a response whose head breaks the grammar of HTTP, and that reaches its caller with that line or with a body that
// isn't the endpoint's.
func TestBadFieldIsNoResponse(t *testing.T) {
	for name, text := range fake.BadFields("Content-Type: text/plain\r\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkRefused(t, text)
		})
	}
}

// TestUnusualFieldIsTaken guards against a sound response that is refused for its head.
func TestUnusualFieldIsTaken(t *testing.T) {
	const note = "caf\xc3\xa9\tand \xff\x80"
	for name, text := range fake.UnusualFields("Content-Type: text/plain\r\n", note) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, body, err := exchangeWith(t, text)
			check.NoError(t, err)
			check.Equal(t, "body", body, "ok")
			check.Equal(t, "X-Note", got.Headers.Get("X-Note"), note)
		})
	}
}

// TestJoinedHeadIsNoResponse guards against a response made of the beginning of one head and the rest of another response.
func TestJoinedHeadIsNoResponse(t *testing.T) {
	for name, text := range fake.JoinedHeads("Content-Type: text/plain\r\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkRefused(t, text)
		})
	}
}
