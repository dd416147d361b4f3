package lint

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"egretshunt/check"
)

func TestJSONLines(t *testing.T) {
	text := "{\"A\":[\n{\"b\":\n1},\n[2,\n{\"C\":null}]],\n\"d\":{}}"
	paths := []string{"", "A", "a[0]", "A[0].b", "A[0].gone", "A[1][1].C", "D.e", "none"}
	lines := JSONLines([]byte(text), paths)
	for path, want := range map[string]int{"": 0, "A": 1, "a[0]": 2, "A[0].b": 3, "A[0].gone": 2, "A[1][1].C": 5, "D.e": 6, "none": 1} {
		check.Equal(t, path, lines.Line(path), want)
	}
	quoted := "{\"x\":[\"\\\"]}\",\"\\\\\"],\n\"\\u0061\":1}"
	check.Equal(t, "after "+quoted, JSONLines([]byte(quoted), []string{"a"}).Line("a"), 2)
	check.Equal(t, "no JSON", JSONLines([]byte("{\n\"a\":1,]"), []string{"a"}).Line("a"), 2)
	deep := strings.Repeat("[", 1<<20)
	check.Equal(t, "too deep", JSONLines([]byte(deep), []string{"a"}).Line("a"), 1)
}

// TestJSONPath guards against another meaning of the offsets of encoding/json: the check would name another value.
func TestJSONPath(t *testing.T) {
	type row struct {
		S string
		N int
		L []struct{ F float64 }
	}
	for text, want := range map[string][2]string{
		`{"Rows":[{"S":"x"},{"S": 17 }]}`:       {"Rows[1].S", "17"},
		`{"Rows":[{"S":{"a":[1]}}]}`:            {"Rows[0].S", "{"},
		`{"Rows":[{"N":1.5}]}`:                  {"Rows[0].N", "1.5"},
		`{"Rows":[{"N":"1"}]}`:                  {"Rows[0].N", `"1"`},
		`{"Rows":[{"L":[{"F":0},{"F":true}]}]}`: {"Rows[0].L[1].F", "true"},
		`{"Rows":[{"L":[{"F":1e400}]}]}`:        {"Rows[0].L[0].F", "1e400"},
		`{"Rows" : [ 5 ]}`:                      {"Rows[0]", "5"},
		`{"Rows":{}}`:                           {"Rows", "{}"},
		`[]`:                                    {"", "[]"},
		`{"Rows":[{"s":"é\u00e9"},{"n":99999999999999999999}]}`: {"Rows[1].n", "99999999999999999999"},
	} {
		var d struct{ Rows []row }
		err := json.Unmarshal([]byte(text), &d)
		wrong := (*json.UnmarshalTypeError)(nil)
		check.Equal(t, "a wrong type in "+text, errors.As(err, &wrong), true)
		path, start, ok := JSONPath([]byte(text), wrong.Offset)
		check.Equal(t, "found in "+text, ok, true)
		check.Equal(t, "path in "+text, path, want[0])
		check.Equal(t, "value in "+text, strings.HasPrefix(text[start:], want[1]), true)
	}
}

func TestTOMLLines(t *testing.T) {
	text := `# pools
node = "n"
[wire]
listen = "a"
[[pools]]
name = "a"
  [[pools.endpoints]]
  name = "e"
  [[pools.endpoints]]
  "addr" = "x"
[[pools]]
endpoints = [
  {name = "e"},
]
[[routes]]
[routes.limits]
rate = 1
`
	want := map[string]int{
		"node": 2, "wire.listen": 4, "wire.secrets": 3, "pools[0].name": 6, "pools[0].endpoints[1].addr": 10, "pools[0].endpoints[0].addr": 7,
		"pools[1].endpoints[0].name": 12, "routes[0].limits.rate": 17, "routes[0].name": 15, "pools.endpoints.addr": 10, "gone": 0,
	}
	var paths []string
	for path := range want {
		paths = append(paths, path)
	}
	lines := TOMLLines([]byte(text), paths)
	for path, line := range want {
		check.Equal(t, path, lines.Line(path), line)
	}
}

func FuzzLines(f *testing.F) {
	f.Add([]byte(`{"a":[1,{"b":null}]}`), int64(7))
	f.Add([]byte("[[a]]\nb = 1"), int64(0))
	f.Fuzz(func(t *testing.T, text []byte, offset int64) {
		paths := []string{"a", "a[1].b", "[0]", "a[0].b"}
		last := strings.Count(string(text), "\n") + 1
		for _, lines := range []*Lines{JSONLines(text, paths), TOMLLines(text, paths)} {
			for _, p := range paths {
				check.Equal(t, "line in the document", lines.Line(p) >= 0 && lines.Line(p) <= last, true)
			}
		}
		if _, start, ok := JSONPath(text, offset); ok && start > len(text) {
			t.Fatalf("start %d", start)
		}
	})
}
