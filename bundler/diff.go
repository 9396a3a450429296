package bundler

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"amaranthmill/internal/identifier"
)

// Diff says in sentences what changes from one bundle to the next, in the order of a
// bundle's fields. A nil from stands for no bundle.
func Diff(from, to *Bundle) []string {
	if from == nil {
		from = &Bundle{}
	}
	d := &differ{}
	compare(d, "pool", byName(from.Pools, func(p Pool) string { return string(p.Name) }), byName(to.Pools, func(p Pool) string { return string(p.Name) }), d.pool)
	compare(d, "model", byName(from.Models, func(m Model) string { return string(m.Name) }), byName(to.Models, func(m Model) string { return string(m.Name) }), d.model)
	compare(d, "service", byName(from.Services, func(s Service) string { return string(s.Name) }), byName(to.Services, func(s Service) string { return string(s.Name) }), d.service)
	compare(d, "account", byName(from.Accounts, func(a Account) string { return string(a.Name) }), byName(to.Accounts, func(a Account) string { return string(a.Name) }), d.account)
	d.value("repair", "weight of group downtime", from.Repair.GroupDowntime, to.Repair.GroupDowntime)
	d.value("repair", "weight of stranded accelerators", from.Repair.StrandedAccelerators, to.Repair.StrandedAccelerators)
	return d.lines
}

// differ collects the lines of one comparison.
type differ struct{ lines []string }

// value adds a line if a value of subject differs.
func (d *differ) value(subject, name string, from, to any) {
	if was, is := fmt.Sprint(from), fmt.Sprint(to); was != is {
		d.lines = append(d.lines, fmt.Sprintf("%s: %s changes from %s to %s", subject, name, orNone(was), orNone(is)))
	}
}

// set adds a line for what a list of subject gains and one for what it loses.
func (d *differ) set(subject, name string, from, to []string) {
	if gained := without(to, from); len(gained) > 0 {
		d.lines = append(d.lines, fmt.Sprintf("%s: gains %s %s", subject, name, strings.Join(gained, ", ")))
	}
	if lost := without(from, to); len(lost) > 0 {
		d.lines = append(d.lines, fmt.Sprintf("%s: loses %s %s", subject, name, strings.Join(lost, ", ")))
	}
}

func (d *differ) pool(subject string, from, to Pool) {
	d.value(subject, "base", from.Base, to.Base)
	d.value(subject, "version", from.Version, to.Version)
	d.value(subject, "group size", from.GroupSize, to.GroupSize)
	d.value(subject, "priority", from.Priority, to.Priority)
	d.set(subject, "adapters", from.Adapters, to.Adapters)
	was, is := counts(from), counts(to)
	for _, fd := range keys(was, is) {
		d.value(subject, "groups in "+string(fd), was[fd], is[fd])
	}
}

func (d *differ) model(subject string, from, to Model) {
	d.value(subject, "pool", from.Pool, to.Pool)
	d.value(subject, "adapter", from.Adapter, to.Adapter)
	d.value(subject, "deadline", from.Deadline, to.Deadline)
}

func (d *differ) service(subject string, from, to Service) {
	d.value(subject, "deadline", from.Deadline, to.Deadline)
	d.set(subject, "repeatable calls", rules(from), rules(to))
}

func (d *differ) account(subject string, from, to Account) {
	d.value(subject, "priority", from.Priority, to.Priority)
	d.value(subject, "requests a second", from.RequestsPerSecond, to.RequestsPerSecond)
	d.value(subject, "burst", from.Burst, to.Burst)
	d.set(subject, "access to", texts(from.Services), texts(to.Services))
	d.set(subject, "keys with digest", from.KeyDigests, to.KeyDigests)
}

// compare adds a line for each thing that comes or goes, and the changes of the others.
// A new thing's values are told too.
func compare[T any](d *differ, kind string, from, to map[string]T, change func(subject string, from, to T)) {
	for _, name := range keys(from, to) {
		was, had := from[name]
		is, has := to[name]
		subject := kind + " " + name
		switch {
		case !has:
			d.lines = append(d.lines, subject+": is removed")
			continue
		case !had:
			d.lines = append(d.lines, subject+": is added")
		}
		change(subject, was, is)
	}
}

func byName[T any](items []T, name func(T) string) map[string]T {
	named := make(map[string]T, len(items))
	for _, item := range items {
		named[name(item)] = item
	}
	return named
}

// keys returns the keys of both maps in order.
func keys[K ~string, T any](a, b map[K]T) []K {
	all := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(all)
	return slices.Compact(all)
}

func counts(p Pool) map[identifier.FailureDomain]int {
	c := map[identifier.FailureDomain]int{}
	for _, g := range p.Groups {
		c[g.FailureDomain] = g.Count
	}
	return c
}

func rules(s Service) []string {
	lines := make([]string, len(s.Repeatable))
	for i, r := range s.Repeatable {
		lines[i] = r.Method + " " + r.Path
	}
	return lines
}

func texts[T ~string](items []T) []string {
	lines := make([]string, len(items))
	for i, item := range items {
		lines[i] = string(item)
	}
	return lines
}

func without(items, others []string) []string {
	return slices.DeleteFunc(slices.Clone(items), func(s string) bool { return slices.Contains(others, s) })
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
