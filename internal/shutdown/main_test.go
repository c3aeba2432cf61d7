package shutdown

import (
	"testing"

	"gullstair/internal/rapidseed"
)

// Test cases are generated from one fixed seed; -rapid.seed selects another one.
func TestMain(m *testing.M) { rapidseed.Main(m) }
