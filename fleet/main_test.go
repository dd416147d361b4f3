package fleet_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/entry"
	"egretshunt/fake"
	"egretshunt/fleet"
)

func TestMain(m *testing.M) { check.Main(m) }

func startFleet(t *testing.T, edit func(*fleet.Shape)) *fleet.Fleet {
	t.Helper()
	shape := fleet.Tiny()
	if edit != nil {
		edit(&shape)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	f, err := fleet.Start(ctx, shape, t.TempDir(), nil)
	check.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// response is a response as the client received it.
type response struct {
	status int
	code   string
	ran    entry.Ran
	text   string
	header http.Header
	// complete is set if the response ended as a complete one does.
	complete bool
}

// errorBody is the JSON format of error responses.
type errorBody struct {
	Error struct {
		Code string    `json:"code"`
		Ran  entry.Ran `json:"ran"`
	} `json:"error"`
}

func promptBody(model, text string, tokens int, stream bool) []byte {
	b, _ := json.Marshal(map[string]any{"model": model, "prompt": text, "max_tokens": tokens, "stream": stream})
	return b
}

// sendPrompt sends one prompt and reads the response to its end.
func sendPrompt(ctx context.Context, f *fleet.Fleet, c *http.Client, e, account int, text string, tokens int, stream bool) (response, error) {
	resp, err := f.Send(ctx, c, e, account, http.MethodPost, "/v1/completions", promptBody(f.Shape.Model, text, tokens, stream), "")
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	a := response{status: resp.StatusCode, header: resp.Header}
	if resp.StatusCode != http.StatusOK {
		return readError(resp, a)
	}
	if !stream {
		return readNonStreaming(resp, a)
	}
	return readStream(resp, a), nil
}

func readError(resp *http.Response, a response) (response, error) {
	var r errorBody
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return a, err
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return a, fmt.Errorf("status %d with a body that is not in the error format: %s", resp.StatusCode, body)
	}
	a.code, a.ran = r.Error.Code, r.Error.Ran
	return a, nil
}

func readNonStreaming(resp *http.Response, a response) (response, error) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return a, nil
	}
	var got struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal(body, &got) == nil && len(got.Choices) == 1 {
		a.text, a.complete = got.Choices[0].Text, true
	}
	return a, nil
}

// readStream collects the text of the events. The response is complete only if it has a [DONE]
// event and ends without an error.
func readStream(resp *http.Response, a response) response {
	done := false
	var text strings.Builder
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			done = done || data == "[DONE]"
			var got struct {
				Choices []struct {
					Text string `json:"text"`
				} `json:"choices"`
			}
			if json.Unmarshal([]byte(data), &got) == nil && len(got.Choices) == 1 {
				text.WriteString(got.Choices[0].Text)
			}
		}
		if err != nil {
			a.text, a.complete = text.String(), done && err == io.EOF
			return a
		}
	}
}

func wantText(text string, tokens int) string { return strings.Join(fake.Text(text, tokens), "") }

// sendBooking sends one booking with an idempotency key and reads the response.
func sendBooking(ctx context.Context, f *fleet.Fleet, c *http.Client, e, account int, key, body string) (response, error) {
	resp, err := f.Send(ctx, c, e, account, http.MethodPost, "/svc/"+f.Shape.Service+"/jobs", []byte(body), key)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	a := response{status: resp.StatusCode, header: resp.Header}
	if resp.StatusCode >= 300 {
		return readError(resp, a)
	}
	text, err := io.ReadAll(resp.Body)
	a.text, a.complete = string(bytes.TrimSpace(text)), err == nil
	return a, nil
}

// effectCount returns how many times a key took effect on all services together.
func effectCount(f *fleet.Fleet, key string) int {
	n := 0
	for _, s := range f.Services {
		n += s.EffectCounts()[key]
	}
	return n
}
