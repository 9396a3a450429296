package bundler

import (
	"fmt"
	"regexp"
	"time"

	"amaranthmill/internal/formatter"
)

// Limits of the values of a bundle.
const (
	maxGroupSize         = 64
	maxGroupCount        = 10_000
	maxPoolPriority      = 100
	maxAccountPriority   = 9
	maxRequestsPerSecond = 1_000_000
	maxBurst             = 1_000_000
	maxDeadline          = time.Hour
	maxWeight            = 1_000_000
	maxNoteSize          = 1000 // bytes; the note is copied into the audit trail
)

var (
	namePattern      = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	modelNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
	digestPattern    = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	nameRule      = "want 1 to 64 letters, digits, dots, underscores or hyphens, beginning with a letter or digit"
	modelNameRule = "want 1 to 128 letters, digits or any of . _ : / -, beginning with a letter or digit"
)

// validator collects the faults of a bundle in the order of its fields.
type validator struct {
	bundle    *Bundle
	inventory *Inventory
	problems  []Problem
}

// Validate returns all faults of b's values in the order of the fields, or nil. With an
// inventory it also reports pools whose groups fit no fabric domain.
func Validate(b *Bundle, inv *Inventory) []Problem {
	v := &validator{bundle: b, inventory: inv}
	v.checkHead()
	v.checkPools()
	v.checkModels()
	v.checkServices()
	v.checkAccounts()
	v.checkWeight("repair.groupDowntime", b.Repair.GroupDowntime)
	v.checkWeight("repair.strandedAccelerators", b.Repair.StrandedAccelerators)
	return v.problems
}

func (v *validator) add(path, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) checkHead() {
	b := v.bundle
	if b.Version == 0 {
		v.add("version", "is missing; set it above the version in force")
	}
	if b.Version != 0 && b.Previous >= b.Version {
		v.add("previous", "is %d, not below version %d; set it to the version that this bundle was made from", b.Previous, b.Version)
	}
	v.checkName("author", b.Author)
	if len(b.Note) > maxNoteSize {
		v.add("note", "has %d bytes; want at most %d", len(b.Note), maxNoteSize)
	}
}

func (v *validator) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		v.add(path, "is %q; %s", name, nameRule)
	}
}

func (v *validator) checkModelName(path, name string) {
	if !modelNamePattern.MatchString(name) {
		v.add(path, "is %q; %s", name, modelNameRule)
	}
}

func (v *validator) checkRange(path string, value, low, high int) {
	if value < low || value > high {
		v.add(path, "is %d; want %d to %d", value, low, high)
	}
}

func (v *validator) checkDeadline(path string, d formatter.Duration) {
	if d.Std() <= 0 || d.Std() > maxDeadline {
		v.add(path, "is %s; want more than 0s and at most %s", d, formatter.Duration(maxDeadline))
	}
}

func (v *validator) checkWeight(path string, value float64) {
	if !(value >= 0 && value <= maxWeight) {
		v.add(path, "is %v; want 0 to %d", value, maxWeight)
	}
}

// checkUnique records the path of name in seen, and adds a fault if seen already has a path
// for name.
func (v *validator) checkUnique(seen map[string]string, path, name string) {
	if first, ok := seen[name]; ok {
		v.add(path, "repeats %q of %s; choose another", name, first)
		return
	}
	seen[name] = path
}

// checkUniqueItems adds a fault for each name that occurs earlier in names, the list at path.
func checkUniqueItems[T ~string](v *validator, path string, names []T) {
	firstIndexes := make(map[T]int, len(names))
	for i, name := range names {
		if j, ok := firstIndexes[name]; ok {
			v.add(fmt.Sprintf("%s[%d]", path, i), "repeats %q of %s[%d]; choose another", string(name), path, j)
			continue
		}
		firstIndexes[name] = i
	}
}
