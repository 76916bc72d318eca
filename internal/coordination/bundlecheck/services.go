package bundlecheck

import (
	"slices"
	"strings"

	"savoryweir/internal/state/bundle"
)

func (c *checker) checkServices() {
	seen := make(map[bundle.ServiceName]bool)
	for _, s := range c.bundle.Services {
		section := serviceSection(s)
		if seen[s.Name] {
			c.addFault(section, "", "the service is defined twice, so callers' route to it is not unique")
		}
		seen[s.Name] = true
		if s.Deadline <= 0 || s.Deadline > maxDeadline {
			c.addFault(section, "deadline", "%s must be greater than 0 and at most %s", s.Deadline, maxDeadline)
		}
		if len(c.upstreamsOf[s.Name]) == 0 {
			c.addFault(section, "", "the service has no upstream")
		}
		switch s.Kind {
		case bundle.KindGeneration:
			c.checkGenerationService(section, s)
		case bundle.KindPlain:
			c.checkPlainService(section, s)
		default:
			c.addFault(section, "kind", "%q is neither %s nor %s", s.Kind, bundle.KindGeneration, bundle.KindPlain)
		}
	}
}

func (c *checker) checkGenerationService(section string, s bundle.Service) {
	if len(s.OrderPaths) > 0 {
		c.addFault(section, "order-paths", "a generation service accepts no orders")
	}
	if !c.hasModel[s.Name] {
		c.addFault(section, "", "the generation service has no model")
	}
}

func (c *checker) checkPlainService(section string, s bundle.Service) {
	for i, path := range s.OrderPaths {
		if path != "/" && !isPath(path) {
			c.addFault(section, "order-paths", "%q must start with /, must not end with / and must not contain an empty or dot element", path)
		}
		if slices.Contains(s.OrderPaths[:i], path) {
			c.addFault(section, "order-paths", "path %s is listed twice", path)
		}
	}
}

// isPath reports whether text is a slash and one or more path elements without dot elements,
// escapes, queries or fragments.
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
