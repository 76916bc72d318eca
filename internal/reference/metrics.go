package reference

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// Metric is one metric of a process.
type Metric struct {
	Name    string
	Labels  []string
	Meaning string
}

// OwnPrefix starts the names of the system's own metrics. Others come from the client library.
const OwnPrefix = "savoryweir_"

// descriptor matches the text of a descriptor, the only form in which the
// library gives out the parts of one. The help text is a quoted Go string.
var descriptor = regexp.MustCompile(`^Desc\{fqName: "([^"]+)", help: "((?:[^"\\]|\\.)*)", .*variableLabels: \{(.*)\}\}$`)

// Describer sends the descriptors of its metrics.
type Describer interface {
	Describe(descs chan<- *prometheus.Desc)
}

// Metrics returns the system's own metrics of a process by name. It uses
// descriptors, so that metrics whose labels have no values yet are included.
func Metrics(process Describer) ([]Metric, error) {
	var metrics []Metric
	for _, text := range descriptors(process) {
		parts := descriptor.FindStringSubmatch(text)
		if parts == nil {
			return nil, fmt.Errorf("descriptor %s has an unknown form", text)
		}
		if !strings.HasPrefix(parts[1], OwnPrefix) {
			continue
		}
		metrics = append(metrics, Metric{Name: parts[1], Meaning: parts[2], Labels: splitLabels(parts[3])})
	}
	slices.SortFunc(metrics, func(a, b Metric) int { return strings.Compare(a.Name, b.Name) })
	return metrics, nil
}

func descriptors(process Describer) []string {
	descs := make(chan *prometheus.Desc)
	go func() {
		defer close(descs)
		process.Describe(descs)
	}()
	var texts []string
	for desc := range descs {
		texts = append(texts, desc.String())
	}
	return texts
}

func splitLabels(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
