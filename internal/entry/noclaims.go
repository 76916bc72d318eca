package entry

import (
	"context"
	"errors"

	"savoryweir/internal/state/order"
)

var errNoClaims = errors.New("order not claimed: the entry runs without a control process")

// NoClaims refuses all claims. It is used by an entry without a control process.
type NoClaims struct{}

// Claim implements Claims.
func (NoClaims) Claim(context.Context, order.Claim) (order.Answer, error) {
	return order.Answer{}, &order.UnavailableError{Cause: errNoClaims}
}

// Finish implements Claims.
func (NoClaims) Finish(context.Context, order.Claim, string, order.Result) error { return errNoClaims }
