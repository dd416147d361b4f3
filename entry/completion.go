package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"egretshunt/block"
	"egretshunt/ledger"
)

// defaultOutputTokens is the output length assumed when a request sets no max_tokens, in tokens.
const defaultOutputTokens = 256

// completionRequest holds the fields of a completion request that affect routing. The
// body is forwarded to the endpoint unchanged.
type completionRequest struct {
	Model      string          `json:"model"`
	Prompt     json.RawMessage `json:"prompt"`
	Messages   []chatMessage   `json:"messages"`
	Stream     bool            `json:"stream"`
	MaxTokens  int             `json:"max_tokens"`
	promptText []byte
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parsePrompt parses and validates the fields of a completion request that affect routing.
func parsePrompt(body []byte) (*completionRequest, *Failure) {
	p := &completionRequest{}
	if err := json.Unmarshal(body, p); err != nil {
		return nil, newFailure(http.StatusBadRequest, CodeMalformed, No, "the body is not a JSON object of the expected shape: "+err.Error())
	}
	if p.Model == "" {
		return nil, newFailure(http.StatusBadRequest, CodeMalformed, No, "model is missing")
	}
	if p.MaxTokens < 0 {
		return nil, newFailure(http.StatusBadRequest, CodeMalformed, No, "max_tokens is negative")
	}
	if p.MaxTokens == 0 {
		p.MaxTokens = defaultOutputTokens
	}
	promptText, f := p.render()
	if f != nil {
		return nil, f
	}
	p.promptText = []byte(promptText)
	return p, nil
}

// render returns the prompt as one text, from which the prefix cache derives its blocks.
func (p *completionRequest) render() (string, *Failure) {
	if len(p.Messages) == 0 {
		if len(p.Prompt) == 0 {
			return "", newFailure(http.StatusBadRequest, CodeMalformed, No, "prompt or messages is missing")
		}
		text, ok := joinText(p.Prompt)
		if !ok {
			return "", newFailure(http.StatusBadRequest, CodeMalformed, No, "prompt is neither text nor a list of texts")
		}
		return text, nil
	}
	var b strings.Builder
	for _, m := range p.Messages {
		text, ok := joinText(m.Content)
		if !ok {
			return "", newFailure(http.StatusBadRequest, CodeMalformed, No, "a message's content is neither text nor a list of parts")
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(text)
		b.WriteByte('\n')
	}
	return b.String(), nil
}

// maxSharedParts bounds the parts of one prompt to which crashes are attributed.
const maxSharedParts = 32

// sharedParts returns the fingerprints of the parts of the prompt that other requests may share: the messages,
// texts or blocks before the last one.
func (p *completionRequest) sharedParts(account string) []string {
	var texts [][]byte
	var list []string
	switch {
	case len(p.Messages) > 0:
		for _, m := range p.Messages {
			texts = append(texts, append([]byte(m.Role+": "), m.Content...))
		}
	case json.Unmarshal(p.Prompt, &list) == nil:
		for _, text := range list {
			texts = append(texts, []byte(text))
		}
	default:
		texts = slices.Collect(slices.Chunk(p.promptText, block.TextBytes))
	}
	texts = texts[:max(len(texts)-1, 0)]
	parts := make([]string, 0, min(len(texts), maxSharedParts))
	for _, text := range texts[:min(len(texts), maxSharedParts)] {
		parts = append(parts, ledger.Fingerprint([]byte("part"), []byte(account), []byte(p.Model), text))
	}
	return parts
}

// joinText concatenates the text of raw, which is a string, a list of strings or a list of
// objects with a text field.
func joinText(raw json.RawMessage) (string, bool) {
	var one string
	if json.Unmarshal(raw, &one) == nil {
		return one, true
	}
	var many []string
	if json.Unmarshal(raw, &many) == nil {
		return strings.Join(many, ""), true
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	var b strings.Builder
	for _, part := range parts {
		b.WriteString(part.Text)
	}
	return b.String(), true
}

// estimateTokens estimates the length of a text in tokens.
func estimateTokens(text []byte) int { return len(text)*block.Tokens/block.TextBytes + 1 }
