package lint

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strconv"
	"strings"
)

// maxDepth is the nesting that encoding/json accepts.
const maxDepth = 10000

// Lines gives the lines of a document's values. It holds only the paths that were asked for, since a document of the
// largest size has millions of values.
type Lines struct{ wanted *wantedPath }

// wantedPath is one element of the paths asked for; line is zero until the document has shown it.
type wantedPath struct {
	line     int
	children map[string]*wantedPath
}

// pathElements splits a path such as Routes[3].Host into its elements, here routes, 3 and host. Like encoding/json,
// names of fields ignore case.
func pathElements(path string) []string {
	return strings.FieldsFunc(strings.ToLower(path), func(r rune) bool { return r == '.' || r == '[' || r == ']' })
}

func wanted(paths []string) *wantedPath {
	root := &wantedPath{}
	for _, path := range paths {
		w := root
		for _, e := range pathElements(path) {
			if w.children == nil {
				w.children = map[string]*wantedPath{}
			}
			if w.children[e] == nil {
				w.children[e] = &wantedPath{}
			}
			w = w.children[e]
		}
	}
	return root
}

// Line returns the line of the value at a path that was asked for, or of the nearest value around it that the document
// has; zero if there is none, or for the empty path.
func (l *Lines) Line(path string) int {
	if path == "" {
		return 0
	}
	line, w := l.wanted.line, l.wanted
	for _, e := range pathElements(path) {
		if w = w.children[e]; w == nil || w.line == 0 {
			return line
		}
		line = w.line
	}
	return line
}

// JSONLines returns the lines of the values at the paths in a JSON document.
func JSONLines(text []byte, paths []string) *Lines {
	l := &Lines{wanted(paths)}
	if len(paths) == 0 {
		return l
	}
	line, counted := 1, 0
	walkJSON(text, l.wanted, func(w *wantedPath, at int) {
		line += bytes.Count(text[counted:at], []byte("\n"))
		counted = at
		w.line = line
	})
	return l
}

// walkJSON calls found for each wanted value, with the offset after its first token; it stops where the text is no JSON.
func walkJSON(text []byte, root *wantedPath, found func(w *wantedPath, at int)) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	// walk reads one value; w is nil for values that aren't wanted.
	var walk func(w *wantedPath, depth int) bool
	walk = func(w *wantedPath, depth int) bool {
		token, err := d.Token()
		if err != nil || depth > maxDepth {
			return false
		}
		if w != nil {
			found(w, int(d.InputOffset()))
		}
		opening, composite := token.(json.Delim)
		if !composite {
			return true
		}
		for i := 0; d.More(); i++ {
			var child *wantedPath
			name := ""
			if opening == '{' {
				key, err := d.Token()
				if err != nil {
					return false
				}
				name, _ = key.(string)
			}
			if w != nil && w.children != nil {
				if opening == '[' {
					name = strconv.Itoa(i)
				}
				child = w.children[strings.ToLower(name)]
			}
			if !walk(child, depth+1) {
				return false
			}
		}
		_, err = d.Token()
		return err == nil
	}
	walk(root, 0)
}

// JSONPath returns the path of the value whose first token ends at the offset, as in json.UnmarshalTypeError, and the
// offset of its first byte; ok is false if there is none.
func JSONPath(text []byte, offset int64) (path string, start int, ok bool) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var walk func(path []string) bool
	// found is set at the wanted value, which ends the walk.
	var found []string
	walk = func(path []string) bool {
		before := d.InputOffset()
		token, err := d.Token()
		if err != nil || len(path) > maxDepth || d.InputOffset() > offset {
			return false
		}
		if d.InputOffset() == offset {
			start = int(before) + len(text[before:]) - len(bytes.TrimLeft(text[before:], " \t\r\n:,"))
			found, ok = path, true
			return false
		}
		opening, composite := token.(json.Delim)
		if !composite {
			return true
		}
		for i := 0; d.More(); i++ {
			element := "[" + strconv.Itoa(i) + "]"
			if opening == '{' {
				key, err := d.Token()
				if err != nil {
					return false
				}
				element, _ = key.(string)
			}
			if !walk(append(path, element)) {
				return false
			}
		}
		_, err = d.Token()
		return err == nil
	}
	walk(nil)
	if !ok {
		return "", 0, false
	}
	return joinPath(found), start, true
}

func joinPath(elements []string) string {
	var b strings.Builder
	for i, e := range elements {
		if i > 0 && !strings.HasPrefix(e, "[") {
			b.WriteByte('.')
		}
		b.WriteString(e)
	}
	return b.String()
}

var (
	tomlHeader = regexp.MustCompile(`^\s*(\[\[?)\s*([A-Za-z0-9_."' -]+?)\s*\]\]?`)
	tomlIndex  = regexp.MustCompile(`\[\d+\]`)
	tomlKey    = regexp.MustCompile(`^\s*([A-Za-z0-9_."'-]+)\s*=`)
)

// TOMLLines returns the lines of the values at the paths in a TOML document. It knows tables and keys that begin a
// line; a value inside an inline table or array has the line of its key. (The TOML library tells no positions.)
func TOMLLines(text []byte, paths []string) *Lines {
	l := &Lines{wanted(paths)}
	counts := map[string]int{}
	table := ""
	for n, line := range strings.Split(string(text), "\n") {
		if m := tomlHeader.FindStringSubmatch(line); m != nil {
			table = tomlTable(counts, m[2], m[1] == "[[")
			l.mark(table, n+1)
		} else if m := tomlKey.FindStringSubmatch(line); m != nil {
			l.mark(strings.TrimPrefix(table+"."+cleanKey(m[1]), "."), n+1)
		}
	}
	return l
}

func cleanKey(key string) string {
	return strings.NewReplacer(`"`, "", "'", "", " ", "").Replace(key)
}

// tomlTable returns the path of a table: arrays of tables that the header names have the index of their last element.
// counts holds the elements of each array so far.
func tomlTable(counts map[string]int, header string, array bool) string {
	path := ""
	elements := strings.Split(cleanKey(header), ".")
	for i, e := range elements {
		path = strings.TrimPrefix(path+"."+e, ".")
		if array && i == len(elements)-1 {
			counts[path]++
		}
		if n := counts[path]; n > 0 {
			path += "[" + strconv.Itoa(n-1) + "]"
		}
	}
	return path
}

// mark records the line of a path and of those around it that have none.
func (l *Lines) mark(path string, line int) {
	// The TOML library names unknown keys without indexes.
	for _, p := range []string{path, tomlIndex.ReplaceAllString(path, "")} {
		w := l.wanted
		for _, e := range pathElements(p) {
			if w = w.children[e]; w == nil {
				break
			}
			if w.line == 0 {
				w.line = line
			}
		}
	}
}
