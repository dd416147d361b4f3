package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/block"
	"egretshunt/body"
	"egretshunt/heads"
)

const (
	// maxBodyBytes bounds the response body of a short call, such as an exported block.
	maxBodyBytes = 16 << 20
	// headerTimeout bounds the time until a response's headers arrive.
	headerTimeout = 5 * time.Minute
)

// Service is an HTTP service that isn't a model engine.
type Service struct {
	base   string
	client *http.Client
}

// ModelEngine is a model engine with an HTTP API; docs/ENDPOINTS.md lists its calls.
type ModelEngine struct{ *Service }

// NewEngine returns the engine at addr.
func NewEngine(addr netip.AddrPort) *ModelEngine { return &ModelEngine{NewService(addr)} }

// NewService returns the service at addr.
func NewService(addr netip.AddrPort) *Service {
	return &Service{
		base: "http://" + addr.String(),
		client: &http.Client{
			Transport: &http.Transport{
				DialContext: dialEndpoint,
				// No connection is kept: responses need not name their requests, so an earlier one that is written once
				// more would be taken for that of the next call. DisableKeepAlives would also send Connection: close, and
				// some servers then respond without a length or chunks.
				MaxIdleConnsPerHost:   -1,
				ResponseHeaderTimeout: headerTimeout,
				DisableCompression:    true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// singleUseBody hides a body's type, so that net/http can't rewind and resend it: an
// Idempotency-Key header would make it consider the request safe to retry.
type singleUseBody struct{ io.Reader }

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// Run implements Backend.
func (s *Service) Run(ctx context.Context, c Call) (*Response, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, s.base+c.Path, nil)
	if err != nil {
		return nil, Unreachable.Wrap(err, "create request")
	}
	if len(c.Body) > 0 || c.AtMostOnce {
		req.Body = singleUseBody{bytes.NewReader(c.Body)}
		req.ContentLength = int64(len(c.Body))
	}
	if c.AtMostOnce && len(c.Body) == 0 {
		req.ContentLength = -1
	}
	for k, v := range c.Headers {
		req.Header[k] = v
	}
	req.Header.Set("X-Request-Id", c.ID)
	req.Header.Set("X-Priority", strconv.Itoa(int(c.Urgency)))
	setCacheHeaders(req.Header, c)
	resp, err := s.do(req)
	if err != nil {
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Headers: resp.Header, Length: resp.ContentLength, UntilClose: body.IsUntilClose(resp), Body: resp.Body}, nil
}

// do sends a request and returns the response, whose body is yet to be read.
func (s *Service) do(req *http.Request) (*http.Response, error) {
	// The length is unknown, -1, only for an empty body.
	bodyBytes := max(req.ContentLength, 0)
	resp, err := s.client.Do(req.WithContext(withBodyBytes(req.Context(), bodyBytes)))
	if err != nil {
		return nil, classifyCallError(err)
	}
	return resp, nil
}

func setCacheHeaders(h http.Header, c Call) {
	if c.Version == "" {
		return
	}
	names := make([]string, len(c.Chain))
	for i, n := range c.Chain {
		names[i] = n.String()
	}
	h.Set("X-Cache-Salt", c.Account)
	h.Set("X-Weight-Version", c.Version)
	h.Set("X-Kv-Chain", strings.Join(names, ","))
}

// classifyCallError distinguishes calls that were never sent (Unreachable) from the others
// (Interrupted), of which some got a malformed response (Malformed).
func classifyCallError(err error) error {
	var known *errorx.Error
	if errors.As(err, &known) && known.IsOfType(heads.Malformed) {
		return Malformed.Wrap(err, "call endpoint")
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED) {
		return Unreachable.Wrap(err, "connect to endpoint")
	}
	return Interrupted.Wrap(err, "call endpoint")
}

// Health implements Backend. A service need not implement the path: any sound response
// shows that it is running.
func (s *Service) Health(ctx context.Context) (Health, error) {
	_, err := s.get(ctx, "/health")
	if errorx.IsOfType(err, NotFound) || errorx.IsOfType(err, Rejected) {
		err = nil
	}
	return Health{}, err
}

// Health implements Backend; an engine reports its incarnation and its weight version.
func (m *ModelEngine) Health(ctx context.Context) (Health, error) {
	var health Health
	body, err := m.get(ctx, "/health")
	if err != nil {
		return health, err
	}
	if err := json.Unmarshal(body, &health); err != nil {
		return health, Rejected.Wrap(err, "decode health")
	}
	return health, nil
}

func (s *Service) get(ctx context.Context, path string) ([]byte, error) {
	_, data, err := s.roundTrip(ctx, http.MethodGet, path, nil, nil)
	return data, err
}

// roundTrip makes one short call and returns a successful response and its body.
func (s *Service) roundTrip(ctx context.Context, method, path string, header http.Header, request []byte) (*Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, s.base+path, bytes.NewReader(request))
	if err != nil {
		return nil, nil, Unreachable.Wrap(err, "create request")
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := s.do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	tracker := body.NewTracker(resp.Header.Get("Content-Type"), body.IsUntilClose(resp))
	data, err := io.ReadAll(io.LimitReader(io.TeeReader(resp.Body, tracker), maxBodyBytes))
	if err != nil {
		return nil, nil, Interrupted.Wrap(err, "read response body")
	}
	switch {
	case tracker.Open():
		return nil, nil, Interrupted.New("%s %s: the body ends after %d bytes, which aren't all of it", method, path, len(data))
	case resp.StatusCode == http.StatusNotFound:
		return nil, nil, NotFound.New("%s %s: not found", method, path)
	case resp.StatusCode >= 300:
		return nil, nil, Rejected.New("%s %s: status %d: %.200s", method, path, resp.StatusCode, data)
	}
	return &Response{Status: resp.StatusCode, UntilClose: body.IsUntilClose(resp), Body: io.NopCloser(bytes.NewReader(data))}, data, nil
}

// Warm implements Engine.
func (m *ModelEngine) Warm(ctx context.Context, c Call, prompt []byte) error {
	body, err := json.Marshal(map[string]any{"prompt": string(prompt), "max_tokens": 1})
	if err != nil {
		return Rejected.Wrap(err, "encode prompt")
	}
	header := http.Header{"X-Prefill-Only": {"1"}, "Content-Type": {"application/json"}}
	setCacheHeaders(header, c)
	_, _, err = m.roundTrip(ctx, http.MethodPost, "/v1/completions", header, body)
	return err
}

// Events implements Engine.
func (m *ModelEngine) Events(ctx context.Context, since uint64) (CacheEvents, error) {
	var ev CacheEvents
	body, err := m.get(ctx, "/kv/events?since="+strconv.FormatUint(since, 10))
	if err != nil {
		return ev, err
	}
	if err := json.Unmarshal(body, &ev); err != nil {
		return ev, Rejected.Wrap(err, "decode cache events")
	}
	return ev, nil
}

// Export implements Engine. A block without length and chunks may have been broken off and is rejected.
func (m *ModelEngine) Export(ctx context.Context, name block.Name) ([]byte, error) {
	r, data, err := m.roundTrip(ctx, http.MethodGet, "/kv/"+name.String(), nil, nil)
	if err == nil && r.UntilClose {
		return nil, Interrupted.New("block %s came with neither a length nor chunks", name)
	}
	return data, err
}

// Import implements Engine.
func (m *ModelEngine) Import(ctx context.Context, name block.Name, data []byte) error {
	_, _, err := m.roundTrip(ctx, http.MethodPut, "/kv/"+name.String(), nil, data)
	return err
}

// Load implements Engine.
func (m *ModelEngine) Load(ctx context.Context, epoch uint64, version string) error {
	body, err := json.Marshal(map[string]any{"epoch": epoch, "version": version})
	if err != nil {
		return Rejected.Wrap(err, "encode load command")
	}
	_, _, err = m.roundTrip(ctx, http.MethodPost, "/orders", nil, body)
	return err
}

// Outcome implements OutcomeFinder.
func (s *Service) Outcome(ctx context.Context, path string) (bool, *Response, error) {
	r, _, err := s.roundTrip(ctx, http.MethodGet, path, nil, nil)
	if err == nil {
		return true, r, nil
	}
	if isNotFound(err) {
		return false, nil, nil
	}
	return false, nil, err
}
