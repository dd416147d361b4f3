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

// Admin makes one call to the administration API of whichever control VM answers for it.
func (f *Fleet) Admin(ctx context.Context, method, path string, body, into any) error {
	var last error
	for try := 0; ; try++ {
		last = f.adminOnce(ctx, f.AdminURL(try), method, path, body, into)
		if last == nil || !errorx.IsOfType(last, again) {
			return last
		}
		select {
		case <-time.After(30 * time.Millisecond):
		case <-ctx.Done():
			return Failed.Wrap(last, "%s %s", method, path)
		}
	}
}

// again marks an answer that another control VM may give better.
var again = namespace.NewType("again")

// Refusal is an answer of the administration API that will not change by asking again.
type Refusal struct {
	Status int
	Code   string          `json:"code"`
	Text   string          `json:"text"`
	Row    json.RawMessage `json:"row"`
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("%d %s: %s", r.Status, r.Code, r.Text) }

func (f *Fleet) adminOnce(ctx context.Context, base, method, path string, body, into any) error {
	var text bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&text).Encode(body); err != nil {
			return Failed.Wrap(err, "write body")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, base+path, &text)
	if err != nil {
		return Failed.Wrap(err, "make request")
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return again.Wrap(err, "reach control")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return again.Wrap(err, "read answer")
	}
	if resp.StatusCode >= 300 {
		r := &Refusal{Status: resp.StatusCode}
		if json.Unmarshal(data, r) != nil || r.Status == http.StatusMisdirectedRequest || r.Status >= 500 {
			return again.New("status %d: %s", resp.StatusCode, data)
		}
		return r
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return Failed.Wrap(err, "read answer")
	}
	return nil
}

// Put changes a row that has the version base, and returns the new revision.
func (f *Fleet) Put(ctx context.Context, tableName, name string, base uint64, row any) (uint64, error) {
	return f.PutAs(ctx, tableName, name, base, row, "")
}

// PutAs is Put with a change id chosen by the caller.
func (f *Fleet) PutAs(ctx context.Context, tableName, name string, base uint64, row any, id string) (uint64, error) {
	if id == "" {
		id = fmt.Sprintf("fleet-%s-%s-%d-%d", tableName, name, base, time.Now().UnixNano())
	}
	var got struct {
		Rev uint64 `json:"rev"`
	}
	err := f.Admin(ctx, http.MethodPut, fmt.Sprintf("/%s/%s?base=%d&id=%s", tableName, name, base, id), row, &got)
	return got.Rev, err
}

// Race puts a pool over the version base. It returns the row's version after it, and
// whether another change had come first.
func (f *Fleet) Race(ctx context.Context, name string, base uint64, row any, id string) (version uint64, conflict bool, err error) {
	rev, err := f.PutAs(ctx, "pools", name, base, row, id)
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Code != table.CodeConflict {
		return rev, false, err
	}
	var now table.Pool
	if len(refusal.Row) > 0 {
		if err := json.Unmarshal(refusal.Row, &now); err != nil {
			return 0, true, Failed.Wrap(err, "read row")
		}
	}
	return now.Rev, true, nil
}

// Pool returns a pool's row.
func (f *Fleet) Pool(ctx context.Context, name string) (*table.Pool, error) {
	p := &table.Pool{}
	return p, f.Admin(ctx, http.MethodGet, "/pools/"+name, nil, p)
}

// Await waits until a revision is in force everywhere.
func (f *Fleet) Await(ctx context.Context, rev uint64) error {
	lagging := []string{}
	for {
		var got struct {
			Force   bool     `json:"force"`
			Lagging []string `json:"lagging"`
		}
		if err := f.Admin(ctx, http.MethodGet, fmt.Sprintf("/wait?rev=%d&time=2s", rev), nil, &got); err != nil {
			return Failed.Wrap(err, "wait for revision %d, not in force at %v", rev, lagging)
		}
		lagging = got.Lagging
		if got.Force {
			return nil
		}
		if ctx.Err() != nil {
			return Failed.New("revision %d is not in force at %v", rev, got.Lagging)
		}
	}
}

// SetPlatform writes the platform's list of VMs.
func (f *Fleet) SetPlatform(leaving ...string) error {
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
		return Failed.Wrap(err, "write list")
	}
	temp := f.path("platform.json.new")
	return errors.Join(os.WriteFile(temp, data, 0o600), os.Rename(temp, f.path("platform.json")))
}
