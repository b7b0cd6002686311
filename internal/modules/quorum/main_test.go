package quorum

import (
	"testing"

	"wagtaillift/internal/modules/fixed"
)

func TestMain(m *testing.M) { fixed.Main(m, 2000) }
