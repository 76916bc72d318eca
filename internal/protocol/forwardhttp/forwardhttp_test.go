package forwardhttp

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRequestAndResponseSurviveTheWire(t *testing.T) {
	request := Request{Elapsed: 3 * time.Millisecond, Sends: 2, IsIdentified: true, Customer: "a&b=c", Config: 17}
	h := http.Header{}
	request.Encode(h)
	assert.Equal(t, Decode(h), request)
	response := Response{IsOwn: true, TryOther: true, Sends: 1, Config: 18}
	h = http.Header{}
	response.Encode(h)
	assert.Equal(t, DecodeResponse(h), response)
	Remove(h)
	assert.Equal(t, len(h), 0)
}

// A build that doesn't tell its configuration, or a damaged header, demands none.
func TestConfigurationThatIsNotToldCountsAsZero(t *testing.T) {
	for _, value := range []string{"", "x", "-1", "99999999999999999999"} {
		h := http.Header{headerForwarded: {"5,1", "customer=c"}, headerConfig: {value}}
		assert.Equal(t, Decode(h), Request{Elapsed: 5 * time.Microsecond, Sends: 1, IsIdentified: true, Customer: "c"})
	}
}
