package bundlefile

import (
	"fmt"
	"strings"

	"savoryweir/internal/state/bundle"
)

// sectionName returns the name of the INI section of an entity.
func sectionName(kind, id string) string { return kind + " " + id }

// textWriter writes one INI section.
type textWriter struct{ strings.Builder }

func newTextWriter(section string) *textWriter {
	w := &textWriter{}
	fmt.Fprintf(w, "[%s]\n", section)
	return w
}

func (w *textWriter) put(key string, value any) { fmt.Fprintf(w, "%s = %v\n", key, value) }

func (w *textWriter) putUnlessZero(key string, value int64) {
	if value != 0 {
		w.put(key, value)
	}
}

func (w *textWriter) putList(key string, items []string) {
	if len(items) > 0 {
		w.put(key, strings.Join(items, ", "))
	}
}

func deploymentText(b *bundle.Bundle) string {
	w := newTextWriter(kindDeployment)
	w.put(keyName, b.Deployment)
	zones := make([]string, 0, len(b.Zones))
	for _, zone := range b.Zones {
		zones = append(zones, string(zone))
	}
	w.putList(keyZones, zones)
	return w.String()
}

func serviceText(s bundle.Service) entity {
	w := newTextWriter(sectionName(kindService, string(s.Name)))
	w.put(keyKind, s.Kind)
	w.put(keyDeadline, s.Deadline)
	w.putList(keyOrderPaths, s.OrderPaths)
	return entity{id: string(s.Name), body: w.String()}
}

func upstreamText(u bundle.Upstream) entity {
	w := newTextWriter(sectionName(kindUpstream, string(u.ID)))
	w.put(keyService, u.Service)
	w.put(keyAddress, u.Address)
	w.put(keyZone, u.Zone)
	w.putUnlessZero(keyMemory, int64(u.Memory))
	w.putUnlessZero(keyAccelerators, int64(u.Accelerators))
	w.putUnlessZero(keyBatch, int64(u.Batch))
	if u.ChecksFence {
		w.put(keyChecksFence, true)
	}
	return entity{id: string(u.ID), body: w.String()}
}

func modelText(m bundle.Model) entity {
	w := newTextWriter(sectionName(kindModel, string(m.ID)))
	w.put(keyService, m.Service)
	w.put(keyVersion, m.Version)
	w.put(keyMemory, int64(m.Memory))
	w.put(keyMinReplicas, m.MinReplicas)
	return entity{id: string(m.ID), body: w.String()}
}

func adapterText(a bundle.Adapter) entity {
	w := newTextWriter(sectionName(kindAdapter, string(a.ID)))
	w.put(keyModel, a.Model)
	w.put(keyMemory, int64(a.Memory))
	return entity{id: string(a.ID), body: w.String()}
}

// Texts returns the canonical INI text of a bundle, one file for each kind.
func Texts(b *bundle.Bundle) []File {
	return []File{
		{Name: "deployment.ini", Data: []byte(deploymentText(b))},
		{Name: "services.ini", Data: joinEntities(entities(b.Services, serviceText))},
		{Name: "upstreams.ini", Data: joinEntities(entities(b.Upstreams, upstreamText))},
		{Name: "models.ini", Data: joinEntities(entities(b.Models, modelText))},
		{Name: "adapters.ini", Data: joinEntities(entities(b.Adapters, adapterText))},
	}
}

func joinEntities(list []entity) []byte {
	var text strings.Builder
	for _, e := range list {
		text.WriteString(e.body)
		text.WriteByte('\n')
	}
	return []byte(text.String())
}
