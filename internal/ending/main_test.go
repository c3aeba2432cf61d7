package ending

import (
	"testing"

	"gullstair/internal/drawn"
)

// Test cases are generated from one fixed seed; -rapid.seed selects another one.
func TestMain(m *testing.M) { drawn.Main(m) }
