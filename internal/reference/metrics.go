package reference

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// Metric is a metric that a process exports.
type Metric struct {
	Name    string
	Labels  []string
	Meaning string
}

// OwnPrefix is the prefix of the names of the system's own metrics. All other metrics come from the client library.
const OwnPrefix = "savoryweir_"

// descriptorPattern matches the text form of a descriptor. The client library exposes the name, help and
// labels of a descriptor only in this form. The help text is a quoted Go string.
var descriptorPattern = regexp.MustCompile(`^Desc\{fqName: "([^"]+)", help: "((?:[^"\\]|\\.)*)", .*variableLabels: \{(.*)\}\}$`)

// Describer sends the descriptors of its metrics to a channel, as a prometheus.Collector does.
type Describer interface {
	Describe(descs chan<- *prometheus.Desc)
}

// Metrics returns the system's own metrics of a process, sorted by name. It reads descriptors instead of
// gathered values, so that metrics whose labels have no values yet are included.
func Metrics(process Describer) ([]Metric, error) {
	var metrics []Metric
	for _, text := range descriptorTexts(process) {
		fields := descriptorPattern.FindStringSubmatch(text)
		if fields == nil {
			return nil, fmt.Errorf("parse metric descriptor: %s does not have the expected form", text)
		}
		if !strings.HasPrefix(fields[1], OwnPrefix) {
			continue
		}
		metrics = append(metrics, Metric{Name: fields[1], Meaning: fields[2], Labels: splitLabels(fields[3])})
	}
	slices.SortFunc(metrics, func(a, b Metric) int { return strings.Compare(a.Name, b.Name) })
	return metrics, nil
}

// descriptorTexts returns the text form of all descriptors that process sends.
func descriptorTexts(process Describer) []string {
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
