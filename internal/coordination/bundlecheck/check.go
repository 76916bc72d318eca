// Package bundlecheck decides whether a bundle may come into force. It reports
// all faults at once, each with the file, section and key to change.
package bundlecheck

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
)

// maxDeadline is the longest default time to a whole answer.
const maxDeadline = 24 * time.Hour

// Input is a bundle with what it is checked against.
type Input struct {
	New *bundle.Bundle
	// Old is the bundle in force. It is nil when only the new one is checked.
	Old *bundle.Bundle
	// Files maps the sections of New to their files. It may be nil.
	Files bundle.SectionFiles
}

// Check returns the faults of the new bundle, in the order of files and sections.
func Check(in Input) []bundle.Fault {
	c := checker{bundle: in.New, files: in.Files, index: newIndex(in.New)}
	c.deployment(in.Old)
	c.services()
	c.upstreams()
	c.models()
	c.adapters()
	if len(c.faults) == 0 {
		c.memory(in.Old)
	}
	slices.SortStableFunc(c.faults, func(a, b bundle.Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Section, b.Section), cmp.Compare(a.Key, b.Key))
	})
	return c.faults
}

type checker struct {
	index
	bundle *bundle.Bundle
	files  bundle.SectionFiles
	faults []bundle.Fault
}

func (c *checker) fault(section, key, format string, args ...any) {
	c.faults = append(c.faults, bundle.Fault{
		File: c.files[section], Section: section, Key: key, Reason: fmt.Sprintf(format, args...),
	})
}

const deploymentSection = "deployment"

func serviceSection(s bundle.Service) string   { return "service " + string(s.Name) }
func upstreamSection(u bundle.Upstream) string { return "upstream " + string(u.ID) }
func modelSection(m bundle.Model) string       { return "model " + string(m.ID) }
func adapterSection(a bundle.Adapter) string   { return "adapter " + string(a.ID) }

func (c *checker) deployment(old *bundle.Bundle) {
	b := c.bundle
	if b.Deployment == "" {
		c.fault(deploymentSection, "name", "the deployment has no name")
	}
	if old != nil && old.Deployment != b.Deployment {
		c.fault(deploymentSection, "name", "the bundle in force is for deployment %q", old.Deployment)
	}
	if len(b.Zones) == 0 {
		c.fault(deploymentSection, "zones", "the deployment has no availability zone")
	}
	seen := make(map[bundle.Zone]bool)
	for _, zone := range b.Zones {
		if seen[zone] {
			c.fault(deploymentSection, "zones", "zone %s stands twice", zone)
		}
		seen[zone] = true
	}
	if len(b.Services) == 0 {
		c.fault(deploymentSection, "", "the bundle has no service")
	}
}

func (c *checker) upstreams() {
	seen := make(map[bundle.UpstreamID]bool)
	addresses := make(map[string]bundle.UpstreamID)
	for _, u := range c.bundle.Upstreams {
		section := upstreamSection(u)
		if seen[u.ID] {
			c.fault(section, "", "the upstream stands twice")
		}
		seen[u.ID] = true
		c.address(section, u, addresses)
		if !c.zones[u.Zone] {
			c.fault(section, "zone", "zone %q is not among the zones of the deployment", u.Zone)
		}
		c.upstreamOfService(section, u)
	}
}

func (c *checker) upstreamOfService(section string, u bundle.Upstream) {
	service, ok := c.serviceOf[u.Service]
	if !ok {
		c.fault(section, "service", "there is no service %q", u.Service)
		return
	}
	if service.Kind == bundle.KindPlain {
		if u.Memory != 0 {
			c.fault(section, "memory-mib", "an upstream of a plain service holds no models")
		}
		return
	}
	if service.Kind != bundle.KindGeneration {
		return // reported at the service
	}
	if u.Memory <= 0 {
		c.fault(section, "memory-mib", "a model engine needs accelerator memory")
	}
	if u.Accelerators <= 0 {
		c.fault(section, "accelerators", "a model engine has 1 accelerator or more")
	}
}

func (c *checker) models() {
	seen := make(map[bundle.ModelID]bool)
	for _, m := range c.bundle.Models {
		section := modelSection(m)
		if seen[m.ID] {
			c.fault(section, "", "the model stands twice, so callers' route to it is not unique")
		}
		seen[m.ID] = true
		if m.Version == "" {
			c.fault(section, "version", "the model has no version")
		}
		if m.Memory <= 0 {
			c.fault(section, "memory-mib", "the model's memory must be 1 MiB or more")
		}
		if m.MinReplicas < 1 {
			c.fault(section, "min-replicas", "every model stays reachable by 1 replica or more")
		}
		c.modelOfService(section, m)
	}
}

func (c *checker) modelOfService(section string, m bundle.Model) {
	service, ok := c.serviceOf[m.Service]
	if !ok {
		c.fault(section, "service", "there is no service %q", m.Service)
		return
	}
	if service.Kind != bundle.KindGeneration {
		c.fault(section, "service", "service %q is not of kind %s", m.Service, bundle.KindGeneration)
		return
	}
	engines := c.upstreamsOf[m.Service]
	fitting := 0
	for _, u := range engines {
		if u.Memory <= 0 {
			return // reported at the upstream
		}
		if u.Memory >= m.Memory {
			fitting++
		}
	}
	switch {
	case len(engines) == 0: // reported at the service
	case fitting == 0:
		c.fault(section, "memory-mib", "the model fits no engine: it needs %d MiB, the largest engine of service %s has %d MiB",
			m.Memory, m.Service, largest(engines))
	case m.MinReplicas > fitting:
		c.fault(section, "min-replicas", "%d replicas do not fit: %d engines of service %s have memory for one",
			m.MinReplicas, fitting, m.Service)
	}
}

func largest(engines []bundle.Upstream) bundle.MiB {
	var most bundle.MiB
	for _, u := range engines {
		most = max(most, u.Memory)
	}
	return most
}

func (c *checker) adapters() {
	seen := make(map[bundle.AdapterID]bool)
	for _, a := range c.bundle.Adapters {
		section := adapterSection(a)
		if seen[a.ID] {
			c.fault(section, "", "the adapter stands twice, so callers' route to it is not unique")
		}
		if _, ok := c.modelOf[bundle.ModelID(a.ID)]; ok {
			c.fault(section, "", "a model has the same name, so callers' route to it is not unique")
		}
		seen[a.ID] = true
		if a.Memory <= 0 {
			c.fault(section, "memory-mib", "the adapter's memory must be 1 MiB or more")
		}
		model, ok := c.modelOf[a.Model]
		if !ok {
			c.fault(section, "model", "there is no model %q", a.Model)
			continue
		}
		most := largest(c.upstreamsOf[model.Service])
		if model.Memory <= most && a.Memory > most-model.Memory {
			c.fault(section, "memory-mib", "the adapter fits no engine beside its model: both need %d MiB, the largest engine has %d MiB",
				a.Memory+model.Memory, most)
		}
	}
}
