package bundler

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"amaranthmill/internal/identifier"
)

// Diff describes the changes between two bundles, one line per change, in the order of a
// bundle's fields. If from is nil, the changes are relative to an empty bundle.
func Diff(from, to *Bundle) []string {
	if from == nil {
		from = &Bundle{}
	}
	d := &differ{}
	compareNamed(d, "pool", indexByName(from.Pools, func(p Pool) string { return string(p.Name) }), indexByName(to.Pools, func(p Pool) string { return string(p.Name) }), d.comparePool)
	compareNamed(d, "model", indexByName(from.Models, func(m Model) string { return string(m.Name) }), indexByName(to.Models, func(m Model) string { return string(m.Name) }), d.compareModel)
	compareNamed(d, "service", indexByName(from.Services, func(s Service) string { return string(s.Name) }), indexByName(to.Services, func(s Service) string { return string(s.Name) }), d.compareService)
	compareNamed(d, "account", indexByName(from.Accounts, func(a Account) string { return string(a.Name) }), indexByName(to.Accounts, func(a Account) string { return string(a.Name) }), d.compareAccount)
	d.addChange("repair", "weight of group downtime", from.Repair.GroupDowntime, to.Repair.GroupDowntime)
	d.addChange("repair", "weight of stranded accelerators", from.Repair.StrandedAccelerators, to.Repair.StrandedAccelerators)
	return d.lines
}

// differ collects the lines of one comparison.
type differ struct{ lines []string }

// addChange adds a line if the value of name in subject differs.
func (d *differ) addChange(subject, name string, from, to any) {
	if before, after := fmt.Sprint(from), fmt.Sprint(to); before != after {
		d.lines = append(d.lines, fmt.Sprintf("%s: %s changes from %s to %s", subject, name, orNone(before), orNone(after)))
	}
}

// addSetChanges adds a line for the added items of a list in subject and one for the removed
// items.
func (d *differ) addSetChanges(subject, name string, from, to []string) {
	if added := subtract(to, from); len(added) > 0 {
		d.lines = append(d.lines, fmt.Sprintf("%s: gains %s %s", subject, name, strings.Join(added, ", ")))
	}
	if removed := subtract(from, to); len(removed) > 0 {
		d.lines = append(d.lines, fmt.Sprintf("%s: loses %s %s", subject, name, strings.Join(removed, ", ")))
	}
}

func (d *differ) comparePool(subject string, from, to Pool) {
	d.addChange(subject, "base", from.Base, to.Base)
	d.addChange(subject, "version", from.Version, to.Version)
	d.addChange(subject, "group size", from.GroupSize, to.GroupSize)
	d.addChange(subject, "priority", from.Priority, to.Priority)
	d.addSetChanges(subject, "adapters", from.Adapters, to.Adapters)
	before, after := countGroups(from), countGroups(to)
	for _, fd := range sortedKeys(before, after) {
		d.addChange(subject, "groups in "+string(fd), before[fd], after[fd])
	}
}

func (d *differ) compareModel(subject string, from, to Model) {
	d.addChange(subject, "pool", from.Pool, to.Pool)
	d.addChange(subject, "adapter", from.Adapter, to.Adapter)
	d.addChange(subject, "deadline", from.Deadline, to.Deadline)
}

func (d *differ) compareService(subject string, from, to Service) {
	d.addChange(subject, "deadline", from.Deadline, to.Deadline)
	d.addSetChanges(subject, "repeatable calls", formatRules(from), formatRules(to))
}

func (d *differ) compareAccount(subject string, from, to Account) {
	d.addChange(subject, "priority", from.Priority, to.Priority)
	d.addChange(subject, "requests a second", from.RequestsPerSecond, to.RequestsPerSecond)
	d.addChange(subject, "burst", from.Burst, to.Burst)
	d.addSetChanges(subject, "access to", toStrings(from.Services), toStrings(to.Services))
	d.addSetChanges(subject, "keys with digest", from.KeyDigests, to.KeyDigests)
}

// compareNamed adds a line for each item that is added or removed, and the changes of the
// fields of all other items. For an added item, it also lists the fields, as changes from
// zero values.
func compareNamed[T any](d *differ, kind string, from, to map[string]T, change func(subject string, from, to T)) {
	for _, name := range sortedKeys(from, to) {
		before, existed := from[name]
		after, exists := to[name]
		subject := kind + " " + name
		switch {
		case !exists:
			d.lines = append(d.lines, subject+": is removed")
			continue
		case !existed:
			d.lines = append(d.lines, subject+": is added")
		}
		change(subject, before, after)
	}
}

func indexByName[T any](items []T, name func(T) string) map[string]T {
	named := make(map[string]T, len(items))
	for _, item := range items {
		named[name(item)] = item
	}
	return named
}

// sortedKeys returns the keys of both maps in ascending order without duplicates.
func sortedKeys[K ~string, T any](a, b map[K]T) []K {
	all := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(all)
	return slices.Compact(all)
}

func countGroups(p Pool) map[identifier.FailureDomain]int {
	counts := map[identifier.FailureDomain]int{}
	for _, g := range p.Groups {
		counts[g.FailureDomain] = g.Count
	}
	return counts
}

func formatRules(s Service) []string {
	lines := make([]string, len(s.Repeatable))
	for i, r := range s.Repeatable {
		lines[i] = r.Method + " " + r.Path
	}
	return lines
}

func toStrings[T ~string](items []T) []string {
	lines := make([]string, len(items))
	for i, item := range items {
		lines[i] = string(item)
	}
	return lines
}

func subtract(items, others []string) []string {
	return slices.DeleteFunc(slices.Clone(items), func(s string) bool { return slices.Contains(others, s) })
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
