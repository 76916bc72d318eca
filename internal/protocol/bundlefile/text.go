package bundlefile

import (
	"fmt"
	"strings"

	"savoryweir/internal/state/bundle"
)

// sectionName returns the name of the INI section of an entity, such as "model tagger".
func sectionName(kind, id string) string { return kind + " " + id }

// textWriter formats an INI section.
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

func formatDeployment(b *bundle.Bundle) string {
	w := newTextWriter(kindDeployment)
	w.put(keyName, b.Deployment)
	zones := make([]string, 0, len(b.Zones))
	for _, zone := range b.Zones {
		zones = append(zones, string(zone))
	}
	w.putList(keyZones, zones)
	return w.String()
}

func formatService(s bundle.Service) entity {
	w := newTextWriter(sectionName(kindService, string(s.Name)))
	w.put(keyKind, s.Kind)
	w.put(keyDeadline, s.Deadline)
	w.putList(keyOrderPaths, s.OrderPaths)
	return entity{id: string(s.Name), body: w.String()}
}

func formatUpstream(u bundle.Upstream) entity {
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

func formatModel(m bundle.Model) entity {
	w := newTextWriter(sectionName(kindModel, string(m.ID)))
	w.put(keyService, m.Service)
	w.put(keyVersion, m.Version)
	w.put(keyMemory, int64(m.Memory))
	w.put(keyMinReplicas, m.MinReplicas)
	return entity{id: string(m.ID), body: w.String()}
}

func formatAdapter(a bundle.Adapter) entity {
	w := newTextWriter(sectionName(kindAdapter, string(a.ID)))
	w.put(keyModel, a.Model)
	w.put(keyMemory, int64(a.Memory))
	return entity{id: string(a.ID), body: w.String()}
}

// Texts returns the canonical INI files of a bundle, one for each kind of section.
func Texts(b *bundle.Bundle) []File {
	return []File{
		{Name: "deployment.ini", Data: []byte(formatDeployment(b))},
		{Name: "services.ini", Data: joinEntities(formatEntities(b.Services, formatService))},
		{Name: "upstreams.ini", Data: joinEntities(formatEntities(b.Upstreams, formatUpstream))},
		{Name: "models.ini", Data: joinEntities(formatEntities(b.Models, formatModel))},
		{Name: "adapters.ini", Data: joinEntities(formatEntities(b.Adapters, formatAdapter))},
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
