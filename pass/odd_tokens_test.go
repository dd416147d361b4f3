package pass_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"egretshunt/check"
	"egretshunt/pass"
)

// TestOddOutputTokensMoveMemory guards against a client's number of output tokens that makes its engine's memory seem
// free, or full, for the prompts of others.
func TestOddOutputTokensMoveMemory(t *testing.T) {
	const promptTokens = 8800
	for _, output := range []int{math.MinInt, -promptTokens, 0, 100, math.MaxInt - promptTokens, math.MaxInt} {
		t.Run(fmt.Sprint(output), func(t *testing.T) {
			var fx *fixture
			reserved := []int{}
			fx = newFixture(t, func(s *pass.Send) (*pass.Reply, error) {
				for key, tokens := range fx.entry.OutstandingTokens() {
					if strings.HasSuffix(key, "/m") {
						reserved = append(reserved, tokens)
					}
				}
				return respondWith(200, eventA)(s)
			})
			fx.call("/stream/x", "k", func(c *pass.Call) { c.MaxOutputTokens = output })
			check.Equal(t, "reserved tokens", reserved, []int{promptTokens + min(max(output, 0), 1<<28)})
		})
	}
}
