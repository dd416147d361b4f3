package pass_test

import (
	"fmt"
	"strconv"
	"testing"

	"egretshunt/check"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/origin"
	"egretshunt/pass"
)

// TestStreamThatGoesOnIsNotRefused guards against a sound stream that is refused as one that crashes endpoints: endpoints that are
// replaced without notice end under it one after the other.
func TestStreamThatGoesOnIsNotRefused(t *testing.T) {
	event := func(n int) string { return fmt.Sprintf("id: %d\ndata: a\n\n", n) }
	for name, c := range map[string]struct {
		// last and events are the event behind which each attempt resumes, and those that it has.
		last    func(attempt int) int
		events  func(attempt int) string
		refused bool
	}{
		"each attempt gets further":         {func(n int) int { return n }, func(n int) string { return event(n + 1) }, false},
		"each attempt begins anew":          {func(int) int { return 0 }, func(int) string { return event(1) }, true},
		"attempts end where they resume":    {func(n int) int { return min(n, 1) }, func(n int) string { return event(1)[:(1-min(n, 1))*len(event(1))] }, true},
		"attempts have nothing but comment": {func(n int) int { return min(n, 1) }, func(int) string { return ": wait\n\n" }, true},
	} {
		t.Run(name, func(t *testing.T) {
			attempt := 0
			fx := newFixture(t, func(s *pass.Send) (*pass.Reply, error) {
				if attempt == limit.MaxAttributedCrashes {
					return respondStream(event(c.last(attempt) + 1))(s)
				}
				return respondTruncated(c.events(attempt) + "id")(s)
			})
			fx.feed.origins = map[origin.Key]origin.Build{origin.KeyOf("a", "first"): {Pool: "p"}}
			for ; ; attempt++ {
				// A pool of one: the entry makes one attempt a call.
				e := fx.feed.list.Endpoints[0]
				e.ID, e.Born = fmt.Sprint("w-", attempt), int64(attempt+1)
				fx.feed.list = (&member.List{Endpoints: []member.Endpoint{e}}).Index()
				got, aborted := fx.call("/resume/x", "k", func(call *pass.Call) {
					call.ID = "first"
					if last := c.last(attempt); last > 0 {
						resuming("first")(call)
						call.LastEventID = strconv.Itoa(last)
					}
				})
				if attempt == limit.MaxAttributedCrashes {
					check.Equal(t, "refused", got.Code == 503, c.refused)
					return
				}
				check.Equal(t, "aborted", aborted || got.Code == 502, true)
			}
		})
	}
}

// TestResumedAttemptIsReported guards against a report that takes an attempt for one that went on with a stream, or the reverse, because
// of another attempt of the same request.
func TestResumedAttemptIsReported(t *testing.T) {
	begins, goesOn, stuck := respondTruncated(eventA+"id"), respondTruncated(eventB+"id"), respondTruncated("id")
	for name, c := range map[string]struct {
		change    []func(*pass.Call)
		responses []func(*pass.Send) (*pass.Reply, error)
		want      []bool
	}{
		"the entry resumes":                {nil, []func(*pass.Send) (*pass.Reply, error){begins, goesOn}, []bool{false, true}},
		"the entry resumes, and is stuck":  {nil, []func(*pass.Send) (*pass.Reply, error){begins, stuck}, []bool{false, false}},
		"the client resumes":               {[]func(*pass.Call){resuming("first")}, []func(*pass.Send) (*pass.Reply, error){goesOn, stuck}, []bool{true, false}},
		"the client resumes, and is stuck": {[]func(*pass.Call){resuming("first")}, []func(*pass.Send) (*pass.Reply, error){stuck, goesOn}, []bool{false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, c.responses...)
			fx.feed.origins = map[origin.Key]origin.Build{origin.KeyOf("a", "first"): {Pool: "p"}}
			fx.call("/resume/x", "k", c.change...)
			check.Equal(t, "reported as resumed, by attempt", fx.feed.resumed, c.want)
		})
	}
}
