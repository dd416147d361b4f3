package heads_test

import (
	"fmt"
	"testing"

	"egretshunt/check"
	"egretshunt/heads"
)

func ExampleCheckStatus() {
	fmt.Println(heads.CheckStatus(204))
	fmt.Println(heads.CheckStatus(0))
	// Output:
	// <nil>
	// heads.malformed: a response has status 000, want 200 to 999
}

func TestStatus(t *testing.T) {
	for status, want := range map[int]string{
		-1: "none", 0: "none", 99: "none", 100: "interim", 101: "none", 102: "interim", 199: "interim", 200: "final", 599: "final", 600: "final", 999: "final", 1000: "none",
	} {
		got := "none"
		switch {
		case heads.CheckStatus(status) == nil:
			got = "final"
		case heads.IsInterim(status):
			got = "interim"
		}
		check.Equal(t, fmt.Sprint("status ", status), got, want)
	}
}
