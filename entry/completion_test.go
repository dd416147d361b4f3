package entry

import (
	"testing"

	"egretshunt/check"
)

func TestPromptText(t *testing.T) {
	for body, want := range map[string]string{
		`{"model":"m","prompt":"x"}`:                                                                   "x",
		`{"model":"m","prompt":["a","b"]}`:                                                             "ab",
		`{"model":"m","messages":[{"role":"user","content":"hi"}]}`:                                    "user: hi\n",
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"extra":1}`: "user: hi\n",
	} {
		p, f := parsePrompt([]byte(body))
		if f != nil {
			t.Fatalf("%s: %v", body, f)
		}
		check.Equal(t, body, string(p.promptText), want)
	}
}

func FuzzParsePrompt(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"x","max_tokens":3}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		p, failure := parsePrompt(body)
		if (p == nil) == (failure == nil) {
			t.Fatal("want either a request or a failure")
		}
		if failure != nil && failure.Ran != No {
			t.Fatal("a malformed request must report that it did not run")
		}
	})
}
