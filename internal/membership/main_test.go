package membership

import (
	"testing"

	"gullstair/internal/drawn"
)

// TestMain runs the property tests with a fixed seed; -rapid.seed sets another.
func TestMain(m *testing.M) { drawn.Main(m) }
