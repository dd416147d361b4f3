package pass_test

import (
	"bytes"
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"egretshunt/check"
	"egretshunt/pass"
	"egretshunt/value"
)

// docs/METRICS.md must list exactly the metrics that entries export.
func TestMetricsAreDocumented(t *testing.T) {
	set := metrics.NewSet()
	cold := withTurn(coldFor(time.Hour, "w0", "w1", "w2", "w3"), 0, 1)
	fx := newColdFixtureWith(t, pass.Config{Metrics: set}, 20, cold, notRun(503, ""), lost, respondTruncated(eventA), respondWith(200, eventB))
	fx.call("/safe/x", "k")
	fx.call("/once/x", "no key")
	fx.call("/resume/x", "k", func(c *pass.Call) { c.Model, c.Parts = "m", []pass.Part{{ID: "own", Tokens: 100}} })
	fx.feed.stale = true
	fx.call("/public/x", "")
	var text bytes.Buffer
	set.WritePrometheus(&text)
	served := value.SetOf[string]()
	for _, m := range regexp.MustCompile(`(?m)^egretshunt_(pass_[a-z]+(?:_[a-z]+)*?)(?:_bucket|_sum|_count)?[{ ]`).FindAllStringSubmatch(text.String(), -1) {
		served.Add(m[1])
	}
	page, err := os.ReadFile("../docs/METRICS.md")
	check.NoError(t, err)
	documented := value.SetOf[string]()
	for _, m := range regexp.MustCompile("`(pass_[a-z_]+)").FindAllStringSubmatch(string(page), -1) {
		// pass_open_requests is exported by the process that holds the entry.
		if m[1] != "pass_open_requests" {
			documented.Add(m[1])
		}
	}
	check.Equal(t, "exported and documented metrics", served.Sorted(), documented.Sorted())
}
