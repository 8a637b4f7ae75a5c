// Package goldentest compares what the code writes and reads with files that an earlier release wrote. Only tests
// import it. The flag -update-golden writes the files anew: after that, what earlier releases stored or sent is no
// longer checked, so it is for additions alone.
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

var update = flag.Bool("update-golden", false, "write the golden files")

// Update tells whether golden files are to be written anew.
func Update() bool { return *update }

// Compare fails the test if text differs from the file under testdata.
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
		t.Errorf("%s (-golden +now):\n%s", path, diff)
	}
}

// CompareJSON fills each value, compares its JSON with the file, and checks that the JSON is read as the same value.
// A type whose field lost its name on the wire differs. Values are pointers.
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
		again := reflect.New(reflect.TypeOf(value).Elem())
		if err := json.Unmarshal(body, again.Interface()); err != nil {
			t.Errorf("%T is not read back: %v", value, err)
			continue
		}
		second, err := json.MarshalIndent(again.Interface(), "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(body), string(second)); diff != "" {
			t.Errorf("%T is read as another value (-written +read):\n%s", value, diff)
		}
	}
	Compare(t, file, text.String())
}

// Fill gives all exported fields below a pointer values that differ from zero and from one another.
func Fill(pointer any) {
	f := filler{}
	f.fill(reflect.ValueOf(pointer).Elem())
}

// filler counts the values that it has set.
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
		v.SetUint(uint64(f.count%4 + 1)) // enumerations have at least four values
	case v.CanInt():
		v.SetInt(f.count)
	case v.CanUint():
		v.SetUint(uint64(f.count))
	case v.CanFloat():
		v.SetFloat(float64(f.count) + 0.5)
	}
}

// Values lists what a tree of structs, maps and slices holds, a value a line and without the names of fields and types,
// so that the list stays the same when these are renamed.
func Values(value any) string {
	var out strings.Builder
	list(&out, reflect.ValueOf(value), 0)
	return out.String()
}

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

// scalar leaves out the String method of a value: names of enumerations are free to change.
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
