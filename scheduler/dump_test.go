package scheduler_test

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"amaranthmill/scheduler"
)

// dumpState returns all that s holds as text, with one line for each value.
func dumpState(s *scheduler.Scheduler) string {
	d := dumper{seen: map[uintptr]bool{}}
	d.dump("scheduler", reflect.ValueOf(s))
	return strings.Join(d.lines, "\n")
}

// dumper follows pointers and reads unexported fields. What a pointer refers to is dumped once.
type dumper struct {
	seen  map[uintptr]bool
	lines []string
}

func (d *dumper) add(path string, v any) { d.lines = append(d.lines, fmt.Sprintf("%s = %v", path, v)) }

func (d *dumper) dump(path string, v reflect.Value) {
	if v.IsZero() {
		d.add(path, "zero") // one line, also for a large array
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		d.add(path, v.Pointer())
		if !d.seen[v.Pointer()] && v.Type() != reflect.TypeFor[*time.Location]() {
			d.seen[v.Pointer()] = true
			d.dump(path, v.Elem())
		}
	case reflect.Interface:
		d.dump(path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			d.dump(path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		d.add(path, v.Len())
		for i := range v.Len() {
			d.dump(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Map:
		d.dumpMap(path, v)
	default:
		d.add(path, v)
	}
}

func (d *dumper) dumpMap(path string, v reflect.Value) {
	d.add(path, v.Len())
	keys := v.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	for _, k := range keys {
		d.dump(fmt.Sprintf("%s[%v]", path, k), v.MapIndex(k))
	}
}

// firstDifference returns the first line in which two dumps differ.
func firstDifference(a, b string) string {
	la, lb := strings.Split(a, "\n"), strings.Split(b, "\n")
	for i := range min(len(la), len(lb)) {
		if la[i] != lb[i] {
			return fmt.Sprintf("%s (before), %s (after)", la[i], lb[i])
		}
	}
	return fmt.Sprintf("line %d", min(len(la), len(lb)))
}
