// Package inputerrors collects the errors in an operator's input, each with its place, so that they are reported together.
// It does no I/O.
package inputerrors

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Finding is one error in the input and its place.
type Finding struct {
	Place   string
	Message string
}

// List holds the findings of one check in the order in which they were found.
type List []Finding

// Add appends a finding.
func (l *List) Add(place, format string, args ...any) {
	*l = append(*l, Finding{Place: place, Message: fmt.Sprintf(format, args...)})
}

// Err returns all findings as one *Error, or nil if there are none.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return errors.WithStack(&Error{Findings: l})
}

// Error is an error with a list of findings.
type Error struct{ Findings List }

// Error returns the findings in one line, separated by semicolons.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.Place + " " + f.Message
	}
	return strings.Join(lines, "; ")
}
