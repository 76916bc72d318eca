package fairness

import (
	"maps"
	"math"
	"time"
)

const (
	// workHalfLife is the time in which work loses half of its weight: several times the delay with
	// which instances hear of each other's work.
	workHalfLife = 2 * time.Second
	// negligibleWork is the work in tokens below which a row is dropped.
	negligibleWork = 1
	// reportMaxAge is the age beyond which the work of other instances is no longer used.
	reportMaxAge = 3 * time.Second
	// minScarcity is the share of work refused for want of room below which no request is refused for
	// fairness.
	minScarcity = 0.01
	// headroom is the factor by which the room that is divided exceeds what was admitted lately. What is
	// too much admission refuses, so that no room is left unused and more room is found. It rises to
	// maxHeadroom as the share that admission refuses falls from steadyScarcity to minScarcity.
	headroom, maxHeadroom = 1.05, 1.25
	steadyScarcity        = 0.05
	// kindFloor is the fraction of the mean served share below which a kind of request gets room from
	// the kinds above the mean. It leaves a distance to the quarter that no kind may fall below.
	kindFloor = 0.5
)

// Row identifies what work is counted for: a customer of a service, a kind of request (a route), or the
// whole service if both are empty.
type Row struct {
	Service  string
	Customer string
	Kind     string
}

// Work is the work of a row in tokens, decayed.
type Work struct {
	Admitted float64
	// Refused is what was refused: of a customer also for fairness, else for want of room alone.
	Refused float64
}

func (w Work) add(other Work) Work {
	return Work{Admitted: w.Admitted + other.Admitted, Refused: w.Refused + other.Refused}
}

func (w Work) scaled(factor float64) Work {
	return Work{Admitted: w.Admitted * factor, Refused: w.Refused * factor}
}

// demand returns the work that was asked for.
func (w Work) demand() float64 { return w.Admitted + w.Refused }

// Request is what the decision uses of a request.
type Request struct {
	Service  string
	Customer string
	Kind     string
	Tokens   float64
}

func (r Request) rows() (customer, kind, service Row) {
	return Row{Service: r.Service, Customer: r.Customer}, Row{Service: r.Service, Kind: r.Kind}, Row{Service: r.Service}
}

// remoteWork is the last report of another instance, or of several.
type remoteWork struct {
	rows       map[Row]Work
	receivedAt time.Time
}

// Ledger holds the work that all instances have lately admitted and refused, as far as this one knows.
// It is not safe for concurrent use.
type Ledger struct {
	admitted, refused *Usage[Row]
	remote            map[string]remoteWork
	weight            func(customer string) float64
}

// NewLedger returns an empty ledger. weight returns the weight of a customer among all.
func NewLedger(weight func(customer string) float64) *Ledger {
	return &Ledger{
		admitted: NewUsage[Row](workHalfLife, negligibleWork), refused: NewUsage[Row](workHalfLife, negligibleWork),
		remote: make(map[string]remoteWork), weight: weight,
	}
}

// RecordAdmitted records that a request was admitted.
func (l *Ledger) RecordAdmitted(now time.Time, r Request) {
	customer, kind, service := r.rows()
	for _, row := range []Row{customer, kind, service} {
		l.admitted.Add(now, row, r.Tokens)
	}
}

// RecordRefused records that a request was refused, for want of room or for fairness.
func (l *Ledger) RecordRefused(now time.Time, r Request, forFairness bool) {
	customer, kind, service := r.rows()
	l.refused.Add(now, customer, r.Tokens)
	if !forFairness {
		l.refused.Add(now, kind, r.Tokens)
		l.refused.Add(now, service, r.Tokens)
	}
}

// Revoke records that a request which was recorded as admitted was refused for want of room after all.
func (l *Ledger) Revoke(now time.Time, r Request) {
	customer, kind, service := r.rows()
	for _, row := range []Row{customer, kind, service} {
		l.admitted.Add(now, row, -min(r.Tokens, l.admitted.Get(now, row)))
	}
	l.RecordRefused(now, r, false)
}

// Local returns the work of this instance.
func (l *Ledger) Local(now time.Time) map[Row]Work {
	rows := make(map[Row]Work)
	l.admitted.All(now, func(row Row, amount float64) { rows[row] = rows[row].add(Work{Admitted: amount}) })
	l.refused.All(now, func(row Row, amount float64) { rows[row] = rows[row].add(Work{Refused: amount}) })
	return rows
}

// SetRemote replaces the work of another instance.
func (l *Ledger) SetRemote(now time.Time, instance string, rows map[Row]Work) {
	l.remote[instance] = remoteWork{rows: rows, receivedAt: now}
}

// ReplaceRemote replaces the work of all other instances by their sum.
func (l *Ledger) ReplaceRemote(now time.Time, rows map[Row]Work) {
	clear(l.remote)
	l.SetRemote(now, "", rows)
}

// fleet returns the work of all instances.
func (l *Ledger) fleet(now time.Time) map[Row]Work {
	rows := l.Local(now)
	maps.DeleteFunc(l.remote, func(_ string, r remoteWork) bool { return now.Sub(r.receivedAt) > reportMaxAge })
	for _, r := range l.remote {
		factor := math.Exp2(-float64(now.Sub(r.receivedAt)) / float64(workHalfLife))
		for row, work := range r.rows {
			rows[row] = rows[row].add(work.scaled(factor))
		}
	}
	return rows
}

// IsScarce reports whether any service has lately refused work for want of room.
func (l *Ledger) IsScarce(now time.Time) bool {
	for row, work := range l.fleet(now) {
		if row.Customer == "" && row.Kind == "" && scarcity(work) >= minScarcity {
			return true
		}
	}
	return false
}

// scarcity returns the share of work that was refused for want of room.
func scarcity(service Work) float64 {
	if service.demand() == 0 {
		return 0
	}
	return service.Refused / service.demand()
}

// View is the state of the fleet from which requests are judged.
type View struct {
	rows     map[Row]Work
	excess   map[Row]float64 // part of a customer's work to refuse, of services that are short of room
	minRatio map[string]float64
	mean     map[string]float64 // mean served share of the kinds of a service that is short of room
}

// View returns the state of the fleet at a time.
func (l *Ledger) View(now time.Time) *View {
	v := &View{rows: l.fleet(now), excess: make(map[Row]float64), minRatio: make(map[string]float64), mean: make(map[string]float64)}
	for row, work := range v.rows {
		if row.Customer == "" && row.Kind == "" && scarcity(work) >= minScarcity {
			v.divide(row.Service, work, l.weight)
			v.compareKinds(row.Service)
		}
	}
	return v
}

// divide computes what is to be refused of the work of a service's customers. The part by which all of
// them exceed their shares is left to admission, which knows which requests would be late.
func (v *View) divide(service string, whole Work, weight func(string) float64) {
	plenty := max(steadyScarcity-scarcity(whole), 0) / (steadyScarcity - minScarcity)
	capacity := (headroom + (maxHeadroom-headroom)*plenty) * whole.Admitted
	demands := make(map[Row]Demand)
	for row, work := range v.rows {
		if row.Service == service && row.Kind == "" && row.Customer != "" {
			demands[row] = Demand{Work: work.demand(), Weight: weight(row.Customer)}
		}
	}
	common := 1.0
	for row, share := range MaxMin(capacity, demands) {
		if demands[row].Work > 0 {
			v.excess[row] = 1 - share/demands[row].Work
			common = min(common, v.excess[row])
		}
	}
	for row := range demands {
		if v.excess[row] > common {
			v.excess[row] = 1 - (1-v.excess[row])/(1-common)
		} else {
			delete(v.excess, row)
		}
	}
}

// compareKinds computes the served shares of the kinds of a service.
func (v *View) compareKinds(service string) {
	sum, count, lowest := 0.0, 0, math.Inf(1)
	for row, work := range v.rows {
		if row.Service == service && row.Kind != "" && work.demand() > 0 {
			ratio := work.Admitted / work.demand()
			sum, lowest = sum+ratio, min(lowest, ratio)
			count++
		}
	}
	if count > 1 {
		v.mean[service], v.minRatio[service] = sum/float64(count), lowest
	}
}

// RefusalShare returns the share of requests like this one that are to be refused so that others get
// their share, 0 to 1.
func (v *View) RefusalShare(r Request) float64 {
	customer, kind, _ := r.rows()
	return 1 - (1-v.excess[customer])*(1-v.kindExcess(kind))
}

// kindExcess returns the part of a kind's work that is left to a kind that is served much less.
func (v *View) kindExcess(row Row) float64 {
	mean, work := v.mean[row.Service], v.rows[row]
	if mean == 0 || work.demand() == 0 || work.Admitted/work.demand() < mean {
		return 0
	}
	return max(kindFloor-v.minRatio[row.Service]/mean, 0)
}

// Thinner refuses a given share of the requests of each customer and kind, evenly spread: chance would
// leave gaps in which room is not used. It is not safe for concurrent use.
type Thinner struct {
	due map[Row]float64
}

// NewThinner returns a thinner that has refused nothing.
func NewThinner() *Thinner { return &Thinner{due: make(map[Row]float64)} }

// Refuses reports whether a request is to be refused, given the share of such requests that are.
func (t *Thinner) Refuses(r Request, share float64) bool {
	row := Row{Service: r.Service, Customer: r.Customer, Kind: r.Kind}
	if share <= 0 {
		delete(t.due, row)
		return false
	}
	t.due[row] += share
	if t.due[row] < 1 {
		return false
	}
	t.due[row]--
	return true
}
