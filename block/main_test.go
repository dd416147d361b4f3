package block_test

import (
	"testing"

	"egretshunt/check"
)

func TestMain(m *testing.M) { check.Main(m) }
