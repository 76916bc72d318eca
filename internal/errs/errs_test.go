package errs

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

var errRoot = errors.New("root")

func TestNestedErrorsKeepAllStepsAndOriginReturnsTheInnermost(t *testing.T) {
	inner := Wrap(fmt.Errorf("line 3: %w", errRoot), "read file", Self)
	outer := Wrap(inner, "start", "i1")
	assert.Equal(t, outer.Error(), "start (peer i1): read file (peer self): line 3: root")
	assert.ErrorIs(t, outer, errRoot)
	step, peer := Origin(outer)
	assert.Equal(t, step, Step("read file"))
	assert.Equal(t, peer, Self)
	assert.NilError(t, Wrap(nil, "start", Self))
}
