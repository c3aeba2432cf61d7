package journalfile

import (
	"testing"

	"gullstair/internal/drawn"
)

// TestMain draws all histories from one fixed seed; -rapid.seed selects another.
func TestMain(m *testing.M) { drawn.Main(m) }
