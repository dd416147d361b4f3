package ring_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/joomcode/errorx"

	"egretshunt/ring"
)

func ExampleRing_Offer() {
	r := ring.New[int](1)
	fmt.Println(r.Offer(1), r.Offer(2), r.Dropped())
	// Output: true false 1
}

func TestCloseDrains(t *testing.T) {
	r := ring.New[int](2)
	r.Offer(1)
	r.Close()
	if r.Offer(2) {
		t.Fatal("offer to a closed ring succeeded")
	}
	if v, err := r.Pop(context.Background()); v != 1 || err != nil {
		t.Fatalf("pop = %d, %v; want 1", v, err)
	}
	if _, err := r.Pop(context.Background()); !errorx.IsOfType(err, ring.Closed) {
		t.Fatalf("pop of a drained ring: %v", err)
	}
}
