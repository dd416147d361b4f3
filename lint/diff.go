package lint

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"egretshunt/value"
)

// difference is one field whose value differs.
type difference struct {
	// path is below the row, such as Engine.Slots; name is its first element.
	path, name string
	text       string
}

// differences returns the exported fields in which two rows of the same struct type differ, except those skipped. Fields
// that are added to a row are compared without further code.
func differences(before, after any, skipped ...string) []difference {
	return appendDifferences(nil, "", reflect.ValueOf(before), reflect.ValueOf(after), skipped)
}

func appendDifferences(found []difference, path string, before, after reflect.Value, skipped []string) []difference {
	if before.Kind() == reflect.Pointer && !before.IsNil() && !after.IsNil() {
		before, after = before.Elem(), after.Elem()
	}
	if isRow(before) {
		for i := range before.NumField() {
			name := fieldName(before.Type().Field(i))
			if path == "" && slices.Contains(skipped, name) {
				continue
			}
			found = appendDifferences(found, strings.TrimPrefix(path+"."+name, "."), before.Field(i), after.Field(i), skipped)
		}
		return found
	}
	if reflect.DeepEqual(before.Interface(), after.Interface()) || before.Kind() == reflect.Slice && before.Len() == 0 && after.Len() == 0 {
		return found
	}
	name, _, _ := strings.Cut(path, ".")
	return append(found, difference{path, name, fmt.Sprintf("%s → %s", describe(before), describe(after))})
}

// isRow reports whether a value is compared by its fields, unlike an address or a duration.
func isRow(v reflect.Value) bool {
	_, single := v.Interface().(fmt.Stringer)
	return v.Kind() == reflect.Struct && !single && v.Type().Field(0).IsExported()
}

// fieldName returns the name of a field in documents, if it has one, or its own.
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return cmp.Or(name, f.Name)
}

func describe(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		v = v.Elem()
	}
	switch x := v.Interface().(type) {
	case value.Option[int]:
		if n, ok := x.Get(); ok {
			return fmt.Sprint(n)
		}
		return "unset"
	case string:
		return fmt.Sprintf("%q", x)
	}
	if isRow(v) {
		return fmt.Sprintf("%+v", v.Interface())
	}
	return fmt.Sprint(v.Interface())
}
