package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"savoryweir/internal/coordination/customers"
	"savoryweir/internal/protocol/forwardhttp"
	"savoryweir/platform"
)

// Freshness tells how long ago the configuration in force was known to be the newest one.
type Freshness interface {
	// ProofAge returns that time, and whether API keys may be accepted by this configuration.
	ProofAge() (age time.Duration, isRecent bool)
}

const (
	reasonUnknownKey      = "unknown API key"
	reasonUnknownCustomer = "customer not known to this instance"
	reasonStaleConfig     = "configuration not known to be recent"
)

// staleConfigRetryAfter is the Retry-After of a refusal because the configuration is not known to be recent. It is short
// because the caller's next attempt goes to another instance.
const staleConfigRetryAfter = 50 * time.Millisecond

// identify finds the customer of a request by its API key, or by what the instance tells that has forwarded it and has
// checked the key. It reports whether the request is to be served; if not, it has refused it. Requests of public routes
// need no key, and without customers none do.
func (c *call) identify(index *customers.Index) bool {
	if index == nil {
		return true
	}
	age, isRecent := c.proofAge()
	isChecked := c.forwarded != nil && c.forwarded.IsIdentified
	switch {
	case isChecked:
		c.customer = index.ByName(c.forwarded.Customer)
	case isRecent:
		c.customer = index.ByKey(platform.BearerKey(c.request.Header))
	}
	switch {
	case c.customer != nil || c.route.Public:
		return true
	case isChecked:
		// The two instances have different configurations.
		c.refuseUnidentified(reasonUnknownCustomer, age)
	case !isRecent:
		c.refuseUnidentified(reasonStaleConfig, age)
	default:
		c.logUnidentified(zerolog.InfoLevel, reasonUnknownKey, age)
		c.limitUnreadBody()
		c.writer.Header().Set("WWW-Authenticate", "Bearer")
		c.respond(http.StatusUnauthorized, reasonUnknownKey)
	}
	return false
}

// refuseUnidentified refuses a request that another instance may be able to serve.
func (c *call) refuseUnidentified(reason string, age time.Duration) {
	c.logUnidentified(zerolog.WarnLevel, reason, age)
	c.limitUnreadBody()
	c.refuseAtThisInstance(http.StatusServiceUnavailable, staleConfigRetryAfter, reason)
}

// proofAge returns how long ago the configuration was known to be the newest one, and whether keys may be accepted.
func (c *call) proofAge() (age time.Duration, isRecent bool) {
	if c.gateway.Freshness == nil {
		return 0, true
	}
	return c.gateway.Freshness.ProofAge()
}

// logUnidentified logs why a request was not accepted. The key must not be logged.
func (c *call) logUnidentified(level zerolog.Level, reason string, age time.Duration) {
	c.gateway.Log.WithLevel(level).Str("event", "customer.refused").Str("request", c.params.ID).Str("reason", reason).Uint64("config", c.configVersion).
		Str("route", c.route.Name).Bool("has_key", platform.BearerKey(c.request.Header) != "").Dur("proof_age", age).Msg("request not accepted for a customer")
}

// needsIdentity reports whether the configuration that the request is served with names customers.
func (c *call) needsIdentity() bool { return c.config != nil && len(c.config.Customers) > 0 }

// identity returns what upstreams and other instances are told of the customer, nil if the configuration names none.
func (c *call) identity() *platform.Identity {
	if !c.needsIdentity() {
		return nil
	}
	return &platform.Identity{Customer: c.customerName()}
}

// customerName returns the name of the customer, or "" if the request needed no key.
func (c *call) customerName() string {
	if c.customer == nil {
		return ""
	}
	return c.customer.Name
}

// forwardedRequest returns what another instance is told of the request.
func (c *call) forwardedRequest() forwardhttp.Request {
	return forwardhttp.Request{
		Elapsed: time.Since(c.arrivedAt), Sends: c.sendCount(), IsIdentified: c.needsIdentity(), Customer: c.customerName(),
		Config: max(c.configVersion, c.gateway.configs.servedBy()),
	}
}
