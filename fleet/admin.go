package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/table"
)

// Admin makes one call to the administration API, and retries it at the next control VM until one
// gives a final response. It decodes the response into result, unless that is nil.
func (f *Fleet) Admin(ctx context.Context, method, path string, body, result any) error {
	var lastErr error
	for attempt := 0; ; attempt++ {
		lastErr = f.adminOnce(ctx, f.AdminURL(attempt), method, path, body, result)
		if lastErr == nil || !errorx.IsOfType(lastErr, retriable) {
			return lastErr
		}
		select {
		case <-time.After(30 * time.Millisecond):
		case <-ctx.Done():
			return Failed.Wrap(lastErr, "%s %s", method, path)
		}
	}
}

// retriable reports a call that may succeed at another control VM or later.
var retriable = namespace.NewType("again")

// APIError is an error response of the administration API that a retry won't change.
type APIError struct {
	Status int
	Code   string          `json:"code"`
	Text   string          `json:"text"`
	Row    json.RawMessage `json:"row"`
}

// Error implements error.
func (r *APIError) Error() string { return fmt.Sprintf("%d %s: %s", r.Status, r.Code, r.Text) }

func (f *Fleet) adminOnce(ctx context.Context, baseURL, method, path string, body, result any) error {
	var reqBody bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&reqBody).Encode(body); err != nil {
			return Failed.Wrap(err, "encode request body")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, baseURL+path, &reqBody)
	if err != nil {
		return Failed.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return retriable.Wrap(err, "reach control VM")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return retriable.Wrap(err, "read response")
	}
	if resp.StatusCode >= 300 {
		apiErr := &APIError{Status: resp.StatusCode}
		if json.Unmarshal(data, apiErr) != nil || apiErr.Status == http.StatusMisdirectedRequest || apiErr.Status >= 500 {
			return retriable.New("status %d: %s", resp.StatusCode, data)
		}
		return apiErr
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return Failed.Wrap(err, "decode response")
	}
	return nil
}

// Put writes a row whose current version is base (0 for a new row), and returns the new revision.
func (f *Fleet) Put(ctx context.Context, tableName, name string, base uint64, row any) (uint64, error) {
	return f.PutAs(ctx, tableName, name, base, row, "")
}

// PutAs is Put with the caller's change ID; if id is empty, it makes one.
func (f *Fleet) PutAs(ctx context.Context, tableName, name string, base uint64, row any, id string) (uint64, error) {
	if id == "" {
		id = fmt.Sprintf("fleet-%s-%s-%d-%d", tableName, name, base, time.Now().UnixNano())
	}
	var result struct {
		Rev uint64 `json:"rev"`
	}
	err := f.Admin(ctx, http.MethodPut, fmt.Sprintf("/%s/%s?base=%d&id=%s", tableName, name, base, id), row, &result)
	return result.Rev, err
}

// PutExpectingConflict writes a pool whose expected version is base. It returns the row's version
// afterwards, and whether the write conflicted with an earlier change.
func (f *Fleet) PutExpectingConflict(ctx context.Context, name string, base uint64, row any, id string) (version uint64, conflict bool, err error) {
	rev, err := f.PutAs(ctx, "pools", name, base, row, id)
	var apiErr *APIError
	if !errors.As(err, &apiErr) || apiErr.Code != table.CodeConflict {
		return rev, false, err
	}
	var current table.Pool
	if len(apiErr.Row) > 0 {
		if err := json.Unmarshal(apiErr.Row, &current); err != nil {
			return 0, true, Failed.Wrap(err, "decode row")
		}
	}
	return current.Rev, true, nil
}

// Pool returns the named pool's row.
func (f *Fleet) Pool(ctx context.Context, name string) (*table.Pool, error) {
	p := &table.Pool{}
	return p, f.Admin(ctx, http.MethodGet, "/pools/"+name, nil, p)
}

// AwaitRevision waits until revision rev is in force everywhere.
func (f *Fleet) AwaitRevision(ctx context.Context, rev uint64) error {
	lagging := []string{}
	for {
		var status struct {
			Force   bool     `json:"force"`
			Lagging []string `json:"lagging"`
		}
		if err := f.Admin(ctx, http.MethodGet, fmt.Sprintf("/wait?rev=%d&time=2s", rev), nil, &status); err != nil {
			return Failed.Wrap(err, "wait for revision %d, which is not in force at %v", rev, lagging)
		}
		lagging = status.Lagging
		if status.Force {
			return nil
		}
		if ctx.Err() != nil {
			return Failed.New("revision %d is not in force at %v", rev, status.Lagging)
		}
	}
}

// WritePlatformList writes the platform's list of VMs, in which the given ones are leaving. It
// renames a complete file into place, so that no reader sees a partial one.
func (f *Fleet) WritePlatformList(leaving ...string) error {
	type vm struct {
		Name  string `json:"name"`
		State string `json:"state"`
	}
	list := struct {
		VMs []vm `json:"vms"`
	}{}
	for _, name := range leaving {
		list.VMs = append(list.VMs, vm{name, "leaving"})
	}
	data, err := json.Marshal(list)
	if err != nil {
		return Failed.Wrap(err, "encode the list of VMs")
	}
	temp := f.path("platform.json.new")
	return errors.Join(os.WriteFile(temp, data, 0o600), os.Rename(temp, f.path("platform.json")))
}
