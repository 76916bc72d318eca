package sseframe

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCommentsAreToldFromEvents(t *testing.T) {
	for text, want := range map[string]bool{
		": ping\n\n": true, ":\r\n\r\n": true, "\n\n": true,
		"id: 1\ndata: x\n\n": false, ": note\ndata: x\n\n": false, "data: : x\n\n": false,
	} {
		event, err := NewScanner(strings.NewReader(text)).Next()
		assert.NilError(t, err)
		assert.Equal(t, event.IsComment, want, "%q", text)
	}
}
