package bundlecheck

import (
	"slices"
	"strings"

	"savoryweir/internal/state/bundle"
)

// reservedRoute is the path prefix of the generation interface.
const reservedRoute = "/v1"

func (c *checker) services() {
	seen := make(map[bundle.ServiceName]bool)
	routes := make(map[string]bundle.ServiceName)
	for _, s := range c.bundle.Services {
		section := serviceSection(s)
		if seen[s.Name] {
			c.fault(section, "", "the service stands twice")
		}
		seen[s.Name] = true
		if s.Deadline <= 0 || s.Deadline > maxDeadline {
			c.fault(section, "deadline", "%s is not above 0 and at most %s", s.Deadline, maxDeadline)
		}
		if len(c.bundle.UpstreamsOf(s.Name)) == 0 {
			c.fault(section, "", "the service has no upstream")
		}
		switch s.Kind {
		case bundle.KindGeneration:
			c.generation(section, s)
		case bundle.KindPlain:
			c.plain(section, s, routes)
		default:
			c.fault(section, "kind", "%q is neither %s nor %s", s.Kind, bundle.KindGeneration, bundle.KindPlain)
		}
	}
}

func (c *checker) generation(section string, s bundle.Service) {
	if s.Route != "" {
		c.fault(section, "route", "callers reach a generation service by its models")
	}
	if len(s.OrderPaths) > 0 {
		c.fault(section, "order-paths", "a generation service takes no orders")
	}
	hasModel := slices.ContainsFunc(c.bundle.Models, func(m bundle.Model) bool { return m.Service == s.Name })
	if !hasModel {
		c.fault(section, "", "the generation service has no model")
	}
}

func (c *checker) plain(section string, s bundle.Service, routes map[string]bundle.ServiceName) {
	switch other, taken := routes[s.Route]; {
	case s.Route == "":
		c.fault(section, "route", "a plain service needs a route")
	case !isPath(s.Route):
		c.fault(section, "route", "%q must start with /, must not end with / and holds no empty or dot element", s.Route)
	case s.Route == reservedRoute || strings.HasPrefix(s.Route, reservedRoute+"/"):
		c.fault(section, "route", "paths under %s belong to generation services", reservedRoute)
	case taken:
		c.fault(section, "route", "route %s belongs to service %s already", s.Route, other)
	default:
		routes[s.Route] = s.Name
	}
	for i, path := range s.OrderPaths {
		if path != "/" && !isPath(path) {
			c.fault(section, "order-paths", "%q must start with /, must not end with / and holds no empty or dot element", path)
		}
		if slices.Contains(s.OrderPaths[:i], path) {
			c.fault(section, "order-paths", "path %s stands twice", path)
		}
	}
}

// isPath reports whether text is a path of one or more plain elements.
func isPath(text string) bool {
	rest, ok := strings.CutPrefix(text, "/")
	if !ok {
		return false
	}
	for element := range strings.SplitSeq(rest, "/") {
		if element == "" || element == "." || element == ".." || strings.ContainsAny(element, " ?#%") {
			return false
		}
	}
	return true
}
