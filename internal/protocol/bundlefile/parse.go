package bundlefile

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"savoryweir/internal/state/bundle"
)

// File is one INI file of a bundle.
type File struct {
	Name string
	Data []byte
}

// Parse reads a bundle from its files. The bundle holds all that could be read,
// also when there are faults.
func Parse(files []File) (*bundle.Bundle, bundle.SectionFiles, []bundle.Fault) {
	p := parser{bundle: &bundle.Bundle{}, source: make(bundle.SectionFiles)}
	for _, file := range files {
		p.file(file)
	}
	if _, ok := p.source[kindDeployment]; !ok {
		p.fault("", kindDeployment, "", "the section is missing")
	}
	return p.bundle, p.source, p.faults
}

type parser struct {
	bundle *bundle.Bundle
	source bundle.SectionFiles
	faults []bundle.Fault
}

var iniOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	IgnoreContinuation:         true,
	SkipUnrecognizableLines:    false,
}

func (p *parser) file(file File) {
	if len(file.Data) > MaxFileBytes {
		p.fault(file.Name, "", "", fmt.Sprintf("the file has %d bytes, allowed are %d", len(file.Data), MaxFileBytes))
		return
	}
	parsed, err := ini.LoadSources(iniOptions, file.Data)
	if err != nil {
		p.fault(file.Name, "", "", "not an INI file: "+strings.TrimSpace(err.Error()))
		return
	}
	for _, section := range parsed.Sections() {
		p.section(file.Name, section)
	}
}

func (p *parser) section(file string, section *ini.Section) {
	if section.Name() == ini.DefaultSection {
		for _, key := range section.Keys() {
			p.fault(file, "", key.Name(), "the key stands before the first section")
		}
		return
	}
	name := section.Name()
	if first, ok := p.source[name]; ok {
		p.fault(file, name, "", "the section stands twice, first in "+first)
		return
	}
	p.source[name] = file
	r := newReader(file, section)
	kind, id, _ := strings.Cut(name, " ")
	switch {
	case kind == kindDeployment && id == "":
		p.deployment(r)
	case !isEntityKind(kind):
		r.fault("", "the section is unknown, allowed are [deployment], [service NAME], [upstream NAME], [model NAME] and [adapter NAME]")
		p.faults = append(p.faults, r.faults...)
		return
	case !validName(id):
		r.fault("", "the name after the kind must be 1 to 128 letters, digits or . _ / - and start with a letter or digit")
	default:
		p.entity(r, kind, id)
	}
	r.rejectUnknown()
	p.faults = append(p.faults, r.faults...)
}

func isEntityKind(kind string) bool {
	return slices.Contains([]string{kindService, kindUpstream, kindModel, kindAdapter}, kind)
}

func (p *parser) fault(file, section, key, reason string) {
	p.faults = append(p.faults, bundle.Fault{File: file, Section: section, Key: key, Reason: reason})
}

func (p *parser) deployment(r *reader) {
	p.bundle.Deployment = r.text(keyName)
	for _, zone := range r.list(keyZones) {
		p.bundle.Zones = append(p.bundle.Zones, bundle.Zone(zone))
	}
}

func (p *parser) entity(r *reader, kind, id string) {
	b := p.bundle
	switch kind {
	case kindService:
		b.Services = append(b.Services, readService(r, bundle.ServiceName(id)))
	case kindUpstream:
		b.Upstreams = append(b.Upstreams, readUpstream(r, bundle.UpstreamID(id)))
	case kindModel:
		b.Models = append(b.Models, readModel(r, bundle.ModelID(id)))
	case kindAdapter:
		b.Adapters = append(b.Adapters, readAdapter(r, bundle.AdapterID(id)))
	}
}

func readService(r *reader, name bundle.ServiceName) bundle.Service {
	return bundle.Service{
		Name:       name,
		Kind:       bundle.ServiceKind(r.text(keyKind)),
		Deadline:   r.duration(keyDeadline),
		OrderPaths: r.optionalList(keyOrderPaths),
	}
}

func readUpstream(r *reader, id bundle.UpstreamID) bundle.Upstream {
	return bundle.Upstream{
		ID:           id,
		Service:      bundle.ServiceName(r.text(keyService)),
		Address:      r.text(keyAddress),
		Zone:         bundle.Zone(r.text(keyZone)),
		Memory:       bundle.MiB(r.optionalNumber(keyMemory, maxMemoryMiB)),
		Accelerators: int(r.optionalNumber(keyAccelerators, maxAccelerators)),
		Batch:        int(r.optionalNumber(keyBatch, maxBatch)),
		ChecksFence:  r.optionalBool(keyChecksFence),
	}
}

func readModel(r *reader, id bundle.ModelID) bundle.Model {
	return bundle.Model{
		ID:          id,
		Service:     bundle.ServiceName(r.text(keyService)),
		Version:     r.text(keyVersion),
		Memory:      bundle.MiB(r.number(keyMemory, maxMemoryMiB)),
		MinReplicas: int(r.number(keyMinReplicas, maxReplicas)),
	}
}

func readAdapter(r *reader, id bundle.AdapterID) bundle.Adapter {
	return bundle.Adapter{
		ID:     id,
		Model:  bundle.ModelID(r.text(keyModel)),
		Memory: bundle.MiB(r.number(keyMemory, maxMemoryMiB)),
	}
}
