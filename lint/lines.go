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
	c := jsonCursor{text: text}
	c.walk(l.wanted, func(w *wantedPath) {
		line += bytes.Count(text[counted:c.at], []byte("\n"))
		counted, w.line = c.at, line
	})
	return l
}

// jsonCursor walks through a JSON document. It passes over what isn't wanted without decoding it: documents may have
// millions of values. Where the text is no JSON it ends early.
type jsonCursor struct {
	text []byte
	at   int
}

// next passes over spaces and separators and returns the next byte, or 0 at the end.
func (c *jsonCursor) next() byte {
	for ; c.at < len(c.text); c.at++ {
		if b := c.text[c.at]; b != ' ' && b != '\t' && b != '\r' && b != '\n' && b != ',' && b != ':' {
			return b
		}
	}
	return 0
}

// walk passes over one value and calls found at the start of each wanted one in it; it returns false where the text ends early.
func (c *jsonCursor) walk(w *wantedPath, found func(*wantedPath)) bool {
	opening := c.next()
	if opening == 0 {
		return false
	}
	found(w)
	if len(w.children) == 0 || opening != '{' && opening != '[' {
		return c.skip()
	}
	c.at++
	for i := 0; ; i++ {
		b := c.next()
		if b == '}' || b == ']' {
			c.at++
			return true
		}
		name := ""
		if opening == '{' {
			start := c.at
			if b != '"' || !c.skip() || json.Unmarshal(c.text[start:c.at], &name) != nil {
				return false
			}
		} else {
			name = strconv.Itoa(i)
		}
		child, wanted := w.children[strings.ToLower(name)]
		if wanted && !c.walk(child, found) || !wanted && !c.skip() {
			return false
		}
	}
}

// skip passes over one value.
func (c *jsonCursor) skip() bool {
	c.next()
	for depth := 0; c.at < len(c.text); {
		switch b := c.text[c.at]; b {
		case '"':
			c.skipString()
		case '{', '[':
			depth++
			c.at++
		case '}', ']':
			depth--
			c.at++
		default:
			c.at++
			for depth == 0 && c.at < len(c.text) && !strings.ContainsRune(" \t\r\n,:{}[]\"", rune(c.text[c.at])) {
				c.at++
			}
		}
		if depth <= 0 {
			return depth == 0
		}
	}
	return false
}

func (c *jsonCursor) skipString() {
	for c.at++; c.at < len(c.text); c.at++ {
		switch c.text[c.at] {
		case '\\':
			c.at++
		case '"':
			c.at++
			return
		}
	}
	c.at = len(c.text)
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
