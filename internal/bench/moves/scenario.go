// Package moves measures placement policies under virtual time: how much demand they
// serve in the accelerators' memory and how often they move models and adapters for it.
package moves

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"savoryweir/internal/state/bundle"
)

// engineMemory is the accelerator memory of each engine in the scenarios.
const engineMemory bundle.MiB = 80 * 1024

// Service is one service with model engines.
type Service struct {
	Name     string
	Engines  int
	Models   int
	Adapters int
}

// Scenario is one deployment with its demand.
type Scenario struct {
	Name              string
	Zones             int
	Services          []Service
	LoadsPerSecond    float64
	LoadsAtOnce       int
	AdaptersInTransit int
	AdapterTime       time.Duration
	WarmUp            time.Duration
	Duration          time.Duration
	Utilization       float64 // mean demand as a share of all engines' compute
}

// Kalyvas returns the deployment of Kalyvas Adtech Software.
func Kalyvas() Scenario {
	return Scenario{
		Name: "kalyvas", Zones: 3,
		Services:       []Service{{"tagger", 9, 15, 30}, {"desk", 3, 5, 10}},
		LoadsPerSecond: 1, LoadsAtOnce: 4, AdaptersInTransit: 30, AdapterTime: 8 * time.Millisecond,
		WarmUp: 10 * time.Minute, Duration: 2 * time.Hour, Utilization: 0.85,
	}
}

// Magnolia returns the deployment of Magnolia Hearth Cooperative.
func Magnolia() Scenario {
	return Scenario{
		Name: "magnolia", Zones: 4,
		Services:       []Service{{"recipe", 18, 33, 82}, {"oven-control", 4, 7, 18}},
		LoadsPerSecond: 2, LoadsAtOnce: 9, AdaptersInTransit: 70, AdapterTime: 8 * time.Millisecond,
		WarmUp: 10 * time.Minute, Duration: 2 * time.Hour, Utilization: 0.85,
	}
}

// LoadTime returns how long a model load takes at full speed.
func (s Scenario) LoadTime() time.Duration {
	return time.Duration(float64(s.LoadsAtOnce) / s.LoadsPerSecond * float64(time.Second))
}

// Engines returns the number of engines of all services.
func (s Scenario) Engines() int {
	n := 0
	for _, service := range s.Services {
		n += service.Engines
	}
	return n
}

// burst multiplies the demand of one model for a while.
type burst struct {
	model  int
	factor float64
	from   time.Duration
	until  time.Duration
}

// demand is the seeded demand of one service over time.
type demand struct {
	service  Service
	total    float64 // engines
	base     []float64
	target   []float64 // base after the present shift
	bursts   []burst
	adapters []bool
	rand     *rand.Rand
}

// Rates of change of the demand.
const (
	burstsPerModelHour   = 1.5
	shiftsPerModelHour   = 1.0
	adapterChangesPerMin = 0.2
	shiftRamp            = 5 * time.Minute
	shortestBurst        = time.Minute
	longestBurst         = 15 * time.Minute
	tenfold              = 10.0
)

func newDemand(service Service, utilization float64, seed uint64) *demand {
	d := &demand{service: service, total: utilization * float64(service.Engines), rand: rand.New(rand.NewPCG(seed, uint64(service.Engines)))}
	for m := range service.Models {
		d.base = append(d.base, 1/float64(m+1)) // a Zipf distribution of popularity
	}
	d.target = append(d.target, d.base...)
	for range service.Adapters {
		d.adapters = append(d.adapters, d.rand.Float64() < 0.5)
	}
	return d
}

// step advances the demand by one second and returns it per model, in engines.
func (d *demand) step(at time.Duration) []float64 {
	perSecond := 1.0 / 3600
	ramp := math.Pow(tenfold, 1/shiftRamp.Seconds())
	for m := range d.base {
		if d.rand.Float64() < shiftsPerModelHour*perSecond {
			d.shift(m)
		}
		d.base[m] = approach(d.base[m], d.target[m], ramp)
		if d.rand.Float64() < burstsPerModelHour*perSecond {
			d.startBurst(m, at)
		}
	}
	for a := range d.adapters {
		if d.rand.Float64() < adapterChangesPerMin/60 {
			d.adapters[a] = !d.adapters[a]
		}
	}
	return d.scaled(at)
}

// shift makes a popular model ten times less wanted, or an unpopular one ten times more.
func (d *demand) shift(m int) {
	if d.target[m] > 0.3 {
		d.target[m] /= tenfold
		return
	}
	d.target[m] = math.Min(1, d.target[m]*tenfold)
}

func approach(value, target, ramp float64) float64 {
	if value < target {
		return math.Min(target, value*ramp)
	}
	return math.Max(target, value/ramp)
}

func (d *demand) startBurst(m int, at time.Duration) {
	length := shortestBurst + time.Duration(d.rand.Int64N(int64(longestBurst-shortestBurst)))
	d.bursts = append(d.bursts, burst{model: m, factor: 3 + 7*d.rand.Float64(), from: at, until: at + length})
}

// scaled returns the demand so that its sum swings about the mean utilization.
func (d *demand) scaled(at time.Duration) []float64 {
	now := append([]float64(nil), d.base...)
	for _, b := range d.bursts {
		if at >= b.from && at < b.until {
			now[b.model] *= b.factor
		}
	}
	sum := 0.0
	for m := range now {
		now[m] *= 0.9 + 0.2*d.rand.Float64()
		sum += now[m]
	}
	swing := 1 + 0.1*math.Sin(2*math.Pi*at.Hours())
	for m := range now {
		now[m] *= d.total * swing / sum
	}
	return now
}

func (s Service) modelID(m int) bundle.ModelID {
	return bundle.ModelID(fmt.Sprintf("%s-model-%02d", s.Name, m))
}

// modelMemory gives models between 10 and 25 GiB.
func modelMemory(m int) bundle.MiB { return bundle.MiB(10+5*(m%4)) * 1024 }

// ServiceName returns the name of the service.
func (s Service) ServiceName() bundle.ServiceName { return bundle.ServiceName(s.Name) }

// ModelIDs returns the models of the service in order.
func (s Service) ModelIDs() []bundle.ModelID {
	var ids []bundle.ModelID
	for m := range s.Models {
		ids = append(ids, s.modelID(m))
	}
	return ids
}
