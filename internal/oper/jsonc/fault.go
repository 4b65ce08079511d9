// Package jsonc reads JSON with comments into typed values and reports every fault of a document in one pass, each
// with its position.
package jsonc

import (
	"cmp"
	"fmt"
	"slices"
)

// Fault is an error or a warning about a file.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`   // from 1; 0 if the fault has no position
	Column  int    `json:"column"` // in bytes, from 1
	Message string `json:"message"`
	// Warning marks a fault that does not make the file invalid.
	Warning bool `json:"warning,omitempty"`
}

// String returns the fault as file:line:column: message, or file: message without position.
func (f Fault) String() string {
	kind := ""
	if f.Warning {
		kind = "warning: "
	}
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s%s", f.File, kind, f.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s%s", f.File, f.Line, f.Column, kind, f.Message)
}

// HasErrors reports whether any of the faults is not a warning.
func HasErrors(faults []Fault) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool { return !f.Warning })
}

// SortFaults orders the faults of one file by position. Faults at the same position keep their order.
func SortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
