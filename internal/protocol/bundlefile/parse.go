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

// Parse reads a bundle from INI files. It also returns the file of each section and all faults of
// the files. If there are faults, the bundle holds what Parse was able to read.
func Parse(files []File) (*bundle.Bundle, bundle.SectionFiles, []bundle.Fault) {
	p := parser{bundle: &bundle.Bundle{}, sectionFiles: make(bundle.SectionFiles)}
	for _, file := range files {
		p.parseFile(file)
	}
	if _, ok := p.sectionFiles[kindDeployment]; !ok {
		p.addFault("", kindDeployment, "", "the section is missing")
	}
	return p.bundle, p.sectionFiles, p.faults
}

// parser collects the bundle, the files of its sections and the faults.
type parser struct {
	bundle       *bundle.Bundle
	sectionFiles bundle.SectionFiles
	faults       []bundle.Fault
}

var iniOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	IgnoreContinuation:         true,
	SkipUnrecognizableLines:    false,
}

func (p *parser) parseFile(file File) {
	if len(file.Data) > MaxFileBytes {
		p.addFault(file.Name, "", "", fmt.Sprintf("the file has %d bytes, more than the limit of %d", len(file.Data), MaxFileBytes))
		return
	}
	parsed, err := ini.LoadSources(iniOptions, file.Data)
	if err != nil {
		p.addFault(file.Name, "", "", "not an INI file: "+strings.TrimSpace(err.Error()))
		return
	}
	for _, section := range parsed.Sections() {
		p.parseSection(file.Name, section)
	}
}

func (p *parser) parseSection(file string, section *ini.Section) {
	if section.Name() == ini.DefaultSection {
		for _, key := range section.Keys() {
			p.addFault(file, "", key.Name(), "the key is before the first section")
		}
		return
	}
	name := section.Name()
	if first, ok := p.sectionFiles[name]; ok {
		p.addFault(file, name, "", "the section is defined twice, first in "+first)
		return
	}
	p.sectionFiles[name] = file
	r := newReader(file, section)
	kind, id, _ := strings.Cut(name, " ")
	switch {
	case kind == kindDeployment && id == "":
		p.parseDeployment(r)
	case !isEntityKind(kind):
		r.addFault("", "the section is unknown; expected [deployment], [service NAME], [upstream NAME], [model NAME] or [adapter NAME]")
		p.faults = append(p.faults, r.faults...)
		return
	case !validName(id):
		r.addFault("", "the name after the kind must be 1 to 128 letters, digits or . _ / - and start with a letter or digit")
	default:
		p.parseEntity(r, kind, id)
	}
	r.rejectUnknownKeys()
	p.faults = append(p.faults, r.faults...)
}

func isEntityKind(kind string) bool {
	return slices.Contains([]string{kindService, kindUpstream, kindModel, kindAdapter}, kind)
}

func (p *parser) addFault(file, section, key, reason string) {
	p.faults = append(p.faults, bundle.Fault{File: file, Section: section, Key: key, Reason: reason})
}

func (p *parser) parseDeployment(r *reader) {
	p.bundle.Deployment = r.text(keyName)
	for _, zone := range r.list(keyZones) {
		p.bundle.Zones = append(p.bundle.Zones, bundle.Zone(zone))
	}
}

func (p *parser) parseEntity(r *reader, kind, id string) {
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
