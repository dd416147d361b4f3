package value_test

import (
	"fmt"

	"egretshunt/value"
)

func ExampleSet() {
	s := value.SetOf("b", "a")
	s.Add("c")
	s.Remove("b")
	fmt.Println(s.Sorted(), s.Has("b"))
	// Output: [a c] false
}

func ExampleOption() {
	fmt.Println(value.Some(3).Or(7), value.None[int]().Or(7))
	// Output: 3 7
}

func ExampleCache() {
	c := value.NewCache[string, int](2)
	c.Put("a", 1)
	c.Put("b", 2)
	c.Get("a")
	c.Put("c", 3)
	_, a := c.Get("a")
	_, b := c.Get("b")
	fmt.Println(a, b, c.Len())
	// Output: true false 2
}
