// Package bundlecheck validates a bundle before it comes into force. It reports all faults
// at once, each with the file, section and key to change.
package bundlecheck

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
)

// maxDeadline is the longest default deadline of a complete response.
const maxDeadline = 24 * time.Hour

// Input holds a bundle and the data to check it against.
type Input struct {
	New *bundle.Bundle
	// Old is the bundle in force. It is nil if the new bundle is checked alone.
	Old *bundle.Bundle
	// Files maps the sections of New to their files. It may be nil.
	Files bundle.SectionFiles
}

// Check returns the faults of the new bundle in the order of files, sections and keys. It
// checks whether the models fit the memory of their engines only if there is no other fault.
func Check(in Input) []bundle.Fault {
	c := checker{bundle: in.New, files: in.Files, index: newIndex(in.New)}
	c.checkDeployment(in.Old)
	c.checkServices()
	c.checkUpstreams()
	c.checkModels()
	c.checkAdapters()
	if len(c.faults) == 0 {
		c.checkMemory(in.Old)
	}
	slices.SortStableFunc(c.faults, func(a, b bundle.Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Section, b.Section), cmp.Compare(a.Key, b.Key))
	})
	return c.faults
}

// checker collects the faults of a bundle.
type checker struct {
	index
	bundle *bundle.Bundle
	files  bundle.SectionFiles
	faults []bundle.Fault
}

// addFault records a fault at a key of a section. The key is empty if the section as a
// whole is at fault.
func (c *checker) addFault(section, key, format string, args ...any) {
	c.faults = append(c.faults, bundle.Fault{
		File: c.files[section], Section: section, Key: key, Reason: fmt.Sprintf(format, args...),
	})
}

const deploymentSection = "deployment"

func serviceSection(s bundle.Service) string   { return "service " + string(s.Name) }
func upstreamSection(u bundle.Upstream) string { return "upstream " + string(u.ID) }
func modelSection(m bundle.Model) string       { return "model " + string(m.ID) }
func adapterSection(a bundle.Adapter) string   { return "adapter " + string(a.ID) }

func (c *checker) checkDeployment(old *bundle.Bundle) {
	b := c.bundle
	if b.Deployment == "" {
		c.addFault(deploymentSection, "name", "the deployment has no name")
	}
	if old != nil && old.Deployment != b.Deployment {
		c.addFault(deploymentSection, "name", "the bundle in force is for deployment %q", old.Deployment)
	}
	if len(b.Zones) == 0 {
		c.addFault(deploymentSection, "zones", "the deployment has no availability zone")
	}
	seen := make(map[bundle.Zone]bool)
	for _, zone := range b.Zones {
		if seen[zone] {
			c.addFault(deploymentSection, "zones", "zone %s is listed twice", zone)
		}
		seen[zone] = true
	}
	if len(b.Services) == 0 {
		c.addFault(deploymentSection, "", "the bundle has no service")
	}
}

func (c *checker) checkUpstreams() {
	seen := make(map[bundle.UpstreamID]bool)
	addresses := make(map[string]bundle.UpstreamID)
	for _, u := range c.bundle.Upstreams {
		section := upstreamSection(u)
		if seen[u.ID] {
			c.addFault(section, "", "the upstream is defined twice")
		}
		seen[u.ID] = true
		c.checkAddress(section, u, addresses)
		if !c.zones[u.Zone] {
			c.addFault(section, "zone", "zone %q is not among the zones of the deployment", u.Zone)
		}
		c.checkUpstreamService(section, u)
	}
}

// checkUpstreamService checks an upstream against the kind of its service.
func (c *checker) checkUpstreamService(section string, u bundle.Upstream) {
	service, ok := c.serviceOf[u.Service]
	if !ok {
		c.addFault(section, "service", "there is no service %q", u.Service)
		return
	}
	if service.Kind == bundle.KindPlain {
		if u.Memory != 0 {
			c.addFault(section, "memory-mib", "an upstream of a plain service must not have memory for models")
		}
		return
	}
	if service.Kind != bundle.KindGeneration {
		return // reported as a fault of the service
	}
	if u.Memory <= 0 {
		c.addFault(section, "memory-mib", "a model engine needs accelerator memory")
	}
	if u.Accelerators <= 0 {
		c.addFault(section, "accelerators", "a model engine needs 1 accelerator or more")
	}
}

func (c *checker) checkModels() {
	seen := make(map[bundle.ModelID]bool)
	for _, m := range c.bundle.Models {
		section := modelSection(m)
		if seen[m.ID] {
			c.addFault(section, "", "the model is defined twice, so callers' route to it is not unique")
		}
		seen[m.ID] = true
		if m.Version == "" {
			c.addFault(section, "version", "the model has no version")
		}
		if m.Memory <= 0 {
			c.addFault(section, "memory-mib", "the model's memory must be 1 MiB or more")
		}
		if m.MinReplicas < 1 {
			c.addFault(section, "min-replicas", "every model needs 1 replica or more to stay reachable")
		}
		c.checkModelService(section, m)
	}
}

// checkModelService checks that the service of a model has enough engines with memory for it.
func (c *checker) checkModelService(section string, m bundle.Model) {
	service, ok := c.serviceOf[m.Service]
	if !ok {
		c.addFault(section, "service", "there is no service %q", m.Service)
		return
	}
	if service.Kind != bundle.KindGeneration {
		c.addFault(section, "service", "service %q is not of kind %s", m.Service, bundle.KindGeneration)
		return
	}
	engines := c.upstreamsOf[m.Service]
	fitting := 0
	for _, u := range engines {
		if u.Memory <= 0 {
			return // reported as a fault of the upstream
		}
		if u.Memory >= m.Memory {
			fitting++
		}
	}
	switch {
	case len(engines) == 0: // reported as a fault of the service
	case fitting == 0:
		c.addFault(section, "memory-mib", "the model fits no engine: it needs %d MiB, the largest engine of service %s has %d MiB",
			m.Memory, m.Service, largestMemory(engines))
	case m.MinReplicas > fitting:
		c.addFault(section, "min-replicas", "%d replicas do not fit: %d engines of service %s have memory for one",
			m.MinReplicas, fitting, m.Service)
	}
}

// largestMemory returns the memory of the engine with the most memory.
func largestMemory(engines []bundle.Upstream) bundle.MiB {
	var largest bundle.MiB
	for _, u := range engines {
		largest = max(largest, u.Memory)
	}
	return largest
}

func (c *checker) checkAdapters() {
	seen := make(map[bundle.AdapterID]bool)
	for _, a := range c.bundle.Adapters {
		section := adapterSection(a)
		if seen[a.ID] {
			c.addFault(section, "", "the adapter is defined twice, so callers' route to it is not unique")
		}
		if _, ok := c.modelOf[bundle.ModelID(a.ID)]; ok {
			c.addFault(section, "", "a model has the same name, so callers' route to it is not unique")
		}
		seen[a.ID] = true
		if a.Memory <= 0 {
			c.addFault(section, "memory-mib", "the adapter's memory must be 1 MiB or more")
		}
		model, ok := c.modelOf[a.Model]
		if !ok {
			c.addFault(section, "model", "there is no model %q", a.Model)
			continue
		}
		largest := largestMemory(c.upstreamsOf[model.Service])
		if model.Memory <= largest && a.Memory > largest-model.Memory {
			c.addFault(section, "memory-mib", "the adapter fits no engine beside its model: both need %d MiB, the largest engine has %d MiB",
				a.Memory+model.Memory, largest)
		}
	}
}
