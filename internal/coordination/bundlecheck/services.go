package bundlecheck

import (
	"slices"
	"strings"

	"savoryweir/internal/state/bundle"
)

func (c *checker) services() {
	seen := make(map[bundle.ServiceName]bool)
	for _, s := range c.bundle.Services {
		section := serviceSection(s)
		if seen[s.Name] {
			c.fault(section, "", "the service stands twice, so callers' route to it is not unique")
		}
		seen[s.Name] = true
		if s.Deadline <= 0 || s.Deadline > maxDeadline {
			c.fault(section, "deadline", "%s is not above 0 and at most %s", s.Deadline, maxDeadline)
		}
		if len(c.upstreamsOf[s.Name]) == 0 {
			c.fault(section, "", "the service has no upstream")
		}
		switch s.Kind {
		case bundle.KindGeneration:
			c.generation(section, s)
		case bundle.KindPlain:
			c.plain(section, s)
		default:
			c.fault(section, "kind", "%q is neither %s nor %s", s.Kind, bundle.KindGeneration, bundle.KindPlain)
		}
	}
}

func (c *checker) generation(section string, s bundle.Service) {
	if len(s.OrderPaths) > 0 {
		c.fault(section, "order-paths", "a generation service takes no orders")
	}
	if !c.hasModel[s.Name] {
		c.fault(section, "", "the generation service has no model")
	}
}

func (c *checker) plain(section string, s bundle.Service) {
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
