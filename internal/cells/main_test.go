package cells

import (
	"testing"

	"gullstair/internal/rapidseed"
)

// TestMain runs the property tests with a fixed seed; -rapid.seed selects another.
func TestMain(m *testing.M) { rapidseed.Main(m) }
