// Package goldentest compares encoded values with golden files written by an earlier release. Only tests import it. The
// flag -update-golden rewrites the golden files. Compatibility with data that earlier releases stored or sent is no
// longer checked afterwards, so the flag is only for additions.
package goldentest

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update-golden", false, "rewrite the golden files")

// Update reports whether tests must rewrite their golden files.
func Update() bool { return *update }

// Compare fails the test if text differs from the content of file, a path below testdata. With -update-golden it first
// writes text to the file.
func Compare(t *testing.T, file, text string) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(text, "\n")); diff != "" {
		t.Errorf("%s (-golden +got):\n%s", path, diff)
	}
}

// CompareJSON fills each value, compares the JSON of all values with file, and checks that decoding the JSON yields the
// same value. This detects a field whose JSON name has changed. Values must be pointers.
func CompareJSON(t *testing.T, file string, values ...any) {
	t.Helper()
	var text strings.Builder
	for _, value := range values {
		Fill(value)
		body, err := json.MarshalIndent(value, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		text.Write(body)
		text.WriteString("\n")
		decoded := reflect.New(reflect.TypeOf(value).Elem())
		if err := json.Unmarshal(body, decoded.Interface()); err != nil {
			t.Errorf("%T: decoding its JSON failed: %v", value, err)
			continue
		}
		reencoded, err := json.MarshalIndent(decoded.Interface(), "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(body), string(reencoded)); diff != "" {
			t.Errorf("%T: decoded value differs (-encoded +decoded):\n%s", value, diff)
		}
	}
	Compare(t, file, text.String())
}

// Fill sets all exported fields reachable from a pointer to non-zero values. Except for small types such as bool and
// uint8, the values differ from each other.
func Fill(pointer any) {
	f := filler{}
	f.fill(reflect.ValueOf(pointer).Elem())
}

// filler sets values and counts them. The count makes each value different.
type filler struct{ count int64 }

var (
	timeType     = reflect.TypeFor[time.Time]()
	durationType = reflect.TypeFor[time.Duration]()
	rawType      = reflect.TypeFor[json.RawMessage]()
)

func (f *filler) fill(v reflect.Value) {
	f.count++
	switch v.Type() {
	case timeType:
		v.Set(reflect.ValueOf(time.Unix(1700000000+f.count, 0).UTC()))
		return
	case durationType:
		v.SetInt(f.count * int64(time.Millisecond))
		return
	case rawType:
		v.SetBytes(fmt.Appendf(nil, `{"n":%d}`, f.count))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for k := range v.NumField() {
			if v.Type().Field(k).IsExported() {
				f.fill(v.Field(k))
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0))
	case reflect.Array:
		for k := range v.Len() {
			f.fill(v.Index(k))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	default:
		f.fillScalar(v)
	}
}

func (f *filler) fillScalar(v reflect.Value) {
	switch {
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprint("s", f.count))
	case v.Kind() == reflect.Uint8:
		v.SetUint(uint64(f.count%4 + 1)) // enumerations have at least 4 values
	case v.CanInt():
		v.SetInt(f.count)
	case v.CanUint():
		v.SetUint(uint64(f.count))
	case v.CanFloat():
		v.SetFloat(float64(f.count) + 0.5)
	}
}

// Values lists the values in a tree of structs, maps and slices, one per line. It omits the names of fields and types,
// so renaming them does not change the list.
func Values(value any) string {
	var out strings.Builder
	list(&out, reflect.ValueOf(value), 0)
	return out.String()
}

// list writes the lines for v to out, indented by depth.
func list(out *strings.Builder, v reflect.Value, depth int) {
	indent := strings.Repeat("  ", depth)
	if v.IsValid() && v.Type() == durationType {
		fmt.Fprintf(out, "%s%v\n", indent, time.Duration(v.Int()))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for k := range v.NumField() {
			if v.Type().Field(k).IsExported() {
				list(out, v.Field(k), depth)
			}
		}
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			fmt.Fprintf(out, "%snil\n", indent)
			return
		}
		list(out, v.Elem(), depth)
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			fmt.Fprintf(out, "%s%q\n", indent, v.Bytes())
			return
		}
		fmt.Fprintf(out, "%s%d in a list\n", indent, v.Len())
		for k := range v.Len() {
			list(out, v.Index(k), depth+1)
		}
	case reflect.Map:
		fmt.Fprintf(out, "%s%d in a map\n", indent, v.Len())
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, key := range keys {
			fmt.Fprintf(out, "%s- %v\n", indent, key)
			list(out, v.MapIndex(key), depth+1)
		}
	case reflect.Func:
	default:
		fmt.Fprintf(out, "%s%v\n", indent, scalar(v))
	}
}

// scalar returns the plain value of v without its String method, because names of enumeration values may change.
func scalar(v reflect.Value) any {
	switch {
	case v.CanInt():
		return v.Int()
	case v.CanUint():
		return v.Uint()
	case v.CanFloat():
		return v.Float()
	case v.Kind() == reflect.String:
		return fmt.Sprintf("%q", v.String())
	default:
		return v
	}
}
