package entry

import (
	"context"
	"errors"

	"savoryweir/internal/state/order"
)

var errNoClaims = errors.New("no claims service is configured")

// NoClaims refuses all claims, for an entry without a control process.
type NoClaims struct{}

// Claim implements Claims.
func (NoClaims) Claim(context.Context, order.Claim) (order.Answer, error) {
	return order.Answer{}, &order.UnavailableError{Cause: errNoClaims}
}

// Finish implements Claims.
func (NoClaims) Finish(context.Context, order.Claim, string, order.Result) error { return errNoClaims }
