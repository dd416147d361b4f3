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
		t.Fatal("Offer on a closed ring returned true")
	}
	if v, err := r.Pop(context.Background()); v != 1 || err != nil {
		t.Fatalf("Pop = %d, %v; want 1 and no error", v, err)
	}
	if _, err := r.Pop(context.Background()); !errorx.IsOfType(err, ring.Closed) {
		t.Fatalf("Pop on a closed and empty ring: error %v, want type Closed", err)
	}
}
