package fleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/fake"
	"egretshunt/fleet"
)

// maxPartCrashes is how many engines may end under prompts that share one part before it is refused.
const maxPartCrashes = 8

// TestPartThatCrashesEngines guards against prompts of which no two are alike and that crash engine after engine by one
// message that they share; sound prompts with the same caller and first message must be served meanwhile.
func TestPartThatCrashesEngines(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	c := fleet.Client()
	chat := func(entry int, messages ...string) int {
		var list []map[string]string
		for _, m := range messages {
			list = append(list, map[string]string{"role": "user", "content": m})
		}
		body, err := json.Marshal(map[string]any{"model": f.Shape.Model, "messages": list, "max_tokens": 4, "stream": true})
		check.NoError(t, err)
		r, err := f.Send(t.Context(), c, entry, 0, http.MethodPost, "/v1/chat/completions", body, "")
		check.NoError(t, err)
		a := readStream(r, response{status: r.StatusCode})
		r.Body.Close()
		if r.StatusCode == http.StatusOK && !a.complete {
			return 0
		}
		return r.StatusCode
	}
	crashes := func() int {
		n := 0
		for _, e := range f.Engines {
			n += int(e.Totals().Crashes)
		}
		return n
	}
	const system = "You answer questions about pumps."
	crashing, sound := map[int]int{}, map[int]int{}
	const prompts = 16
	for i := range prompts {
		crashing[chat(i%3, system, "The manual. "+fake.CrashMark, fmt.Sprint("question ", i))]++
		// Agents notice within their health interval that an engine runs again.
		time.Sleep(400 * time.Millisecond)
		for n := range 3 {
			sound[chat(n, system, "Another manual.", fmt.Sprint("sound question ", i, n))]++
		}
	}
	t.Logf("%d engines crashed; crashing prompts by status %v, sound ones %v", crashes(), crashing, sound)
	if n := crashes(); n > maxPartCrashes {
		t.Errorf("%d engines crashed; want %d at most", n, maxPartCrashes)
	}
	check.Equal(t, "refused prompts with the part", crashing[http.StatusUnprocessableEntity] >= prompts-maxPartCrashes, true)
	check.Equal(t, "most sound prompts are served", sound[http.StatusOK] >= 3*prompts*9/10, true)
	check.Equal(t, "another prompt with the first message", chat(0, system, strings.Repeat("A long question. ", 20)), http.StatusOK)
}
