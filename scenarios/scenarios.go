// Package scenarios embeds the rehearsal scenarios that come with the program. It does no I/O.
package scenarios

import "embed"

// Files holds the scenario documents, by name with ".hcl".
//
//go:embed *.hcl
var Files embed.FS
