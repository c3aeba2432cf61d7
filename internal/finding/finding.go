// Package finding collects what is wrong with an operator's input, each finding with its place, to be reported together.
package finding

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Finding is one fault: the place where it is and what it is.
type Finding struct {
	Place   string
	Message string
}

// List is the findings of one check, in the order in which they were found.
type List []Finding

// Add notes one finding.
func (l *List) Add(place, format string, args ...any) {
	*l = append(*l, Finding{Place: place, Message: fmt.Sprintf(format, args...)})
}

// Err returns all findings as one error; nil if there are none.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return errors.WithStack(&Error{Findings: l})
}

// Error carries findings.
type Error struct{ Findings List }

// Error lists the findings, one after another.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.Place + " " + f.Message
	}
	return strings.Join(lines, "; ")
}
