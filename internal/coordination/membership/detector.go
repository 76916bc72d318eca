// Package membership decides which instances are alive. Each instance probes a
// fixed number of neighbours in turn, asks others to probe a neighbour that
// does not answer, suspects it for a while, and then holds it for dead. A
// suspected instance refutes by a higher incarnation. All cost per instance is
// independent of the number of instances, but for the table itself.
//
// Detector is a state machine: it takes times and events and returns actions.
// It is not safe for concurrent use.
package membership

import (
	"math/rand/v2"
	"time"

	"savoryweir/internal/state/member"
)

// Settings configure the detector.
type Settings struct {
	ProbeInterval  time.Duration `help:"Time between two probes." default:"1s" min:"50ms" max:"1m"`
	ProbeTimeout   time.Duration `help:"Wait for the answer to a probe, direct or by way of a peer." default:"400ms" min:"10ms" max:"10s"`
	Fanout         int           `help:"Number of neighbours that an instance probes." default:"4" min:"1" max:"16"`
	IndirectProbes int           `help:"Number of peers asked to probe a neighbour that did not answer." default:"3" min:"0" max:"16"`
	SuspicionTime  time.Duration `help:"Time that a suspected instance has to refute." default:"4s" min:"100ms" max:"10m"`
	Retention      time.Duration `help:"Time for which dead and left instances are remembered." default:"1h" min:"1m" max:"168h"`
	RejoinInterval time.Duration `help:"Time between two attempts to reach a dead instance again." default:"10s" min:"100ms" max:"1h"`
	MaxUpdates     int           `help:"Largest number of members in one message." default:"8" min:"1" max:"256"`
}

// maxHealthPenalty bounds the factor by which an instance that misses many
// answers stretches its own timeouts.
const maxHealthPenalty = 8

// pauseFactor is how many probe intervals may pass between two ticks before
// the process counts as having been paused.
const pauseFactor = 3

// ActionKind tells what an action asks for.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionProbe asks Target whether it is alive.
	ActionProbe ActionKind = iota + 1
	// ActionIndirectProbe asks Via to probe Target.
	ActionIndirectProbe
)

// Action is one message to send.
type Action struct {
	Kind    ActionKind
	Target  member.Member
	Via     member.Member // for ActionProbeVia
	Timeout time.Duration
}

// StateChange is one change of a member's state, for the time line and other parts.
type StateChange struct {
	Member   member.Member
	Previous member.State // zero for a new member
}

// probe is one probe without an answer yet.
type probe struct {
	target     member.Member
	sentAt     time.Time
	indirectAt time.Time // zero until peers were asked
	denials    int       // peers that did not reach the target either
}

// Detector is the failure detector of one instance.
type Detector struct {
	settings Settings
	random   *rand.Rand
	table    *member.Table
	self     member.Member

	neighbours     []member.Member
	neighboursFrom uint64 // table version from which neighbours were chosen
	nextNeighbour  int
	nextProbe      time.Time
	nextRejoin     time.Time
	lastTick       time.Time
	pending        map[member.ID]*probe
	penalty        int // 0 when this instance gets its answers in time
	queue          updateQueue
	changes        []StateChange
	urgent         bool
	accused        map[member.ID]time.Time // suspects of this instance, with the time of the last word to them
}

// New returns a detector for the instance self. Its incarnation must be higher
// than that of any earlier process of the same id, for example the start time.
func New(s Settings, self member.Member, random *rand.Rand) *Detector {
	self.State = member.Alive
	d := &Detector{
		settings: s,
		random:   random,
		table:    member.NewTable(),
		self:     self,
		pending:  make(map[member.ID]*probe),
		queue:    newUpdateQueue(),
		accused:  make(map[member.ID]time.Time),
	}
	return d
}

// Self returns this instance's own member.
func (d *Detector) Self() member.Member { return d.self }

// Table returns the table of members. The caller must not change it.
func (d *Detector) Table() *member.Table { return d.table }

// Neighbours returns the instances that are probed at present.
func (d *Detector) Neighbours() []member.Member {
	if d.neighbours == nil || d.neighboursFrom != d.table.Version() {
		d.neighboursFrom = d.table.Version()
		d.neighbours = neighbours(d.self.ID, d.table.Usable(), d.settings.Fanout)
	}
	return d.neighbours
}

// Changes returns the changes since the last call.
func (d *Detector) Changes() []StateChange {
	taken := d.changes
	d.changes = nil
	return taken
}

// TakeUrgent reports whether something was learnt since the last call that must
// be passed on to all neighbours at once: a refutation, a death or a departure.
func (d *Detector) TakeUrgent() bool {
	taken := d.urgent
	d.urgent = false
	return taken
}

// Start puts this instance into its table.
func (d *Detector) Start(now time.Time) {
	d.table.Merge(now, d.self)
	// The first probe is spread over an interval, so that instances started together don't probe together.
	d.nextProbe = now.Add(time.Duration(d.random.Int64N(int64(d.settings.ProbeInterval))))
	d.nextRejoin = now.Add(d.settings.RejoinInterval)
	d.lastTick = now
}

// Tick advances the detector to now and returns the messages to send.
func (d *Detector) Tick(now time.Time) []Action {
	if now.Sub(d.lastTick) > pauseFactor*d.settings.ProbeInterval {
		d.forgetPending(now)
	}
	d.lastTick = now
	actions := d.followUp(now)
	actions = append(actions, d.tellAccused(now)...)
	d.expireSuspicions(now)
	if !now.Before(d.nextProbe) {
		d.nextProbe = now.Add(d.settings.ProbeInterval)
		actions = append(actions, d.probeNext(now)...)
	}
	if !now.Before(d.nextRejoin) {
		d.nextRejoin = now.Add(d.settings.RejoinInterval)
		d.table.Forget(now, d.settings.Retention)
		actions = append(actions, d.probeDead()...)
	}
	return actions
}

// forgetPending drops all probes without an answer. After a pause of this
// process their timeouts say nothing of the peers. Suspicions start anew.
func (d *Detector) forgetPending(now time.Time) {
	clear(d.pending)
	d.penalty = maxHealthPenalty
	for _, r := range d.table.InState(member.Suspect) {
		d.table.Restart(now, r.ID)
	}
}

// followUp asks peers about probes that were not answered directly, and
// suspects those that were not answered at all.
func (d *Detector) followUp(now time.Time) []Action {
	var actions []Action
	for _, id := range sortedKeys(d.pending) {
		p := d.pending[id]
		switch {
		case p.indirectAt.IsZero() && now.Sub(p.sentAt) >= d.timeout():
			p.indirectAt = now
			actions = append(actions, d.askPeers(p.target)...)
		case !p.indirectAt.IsZero() && now.Sub(p.indirectAt) >= 2*d.timeout():
			delete(d.pending, id)
			d.suspect(now, p)
		}
	}
	return actions
}

func (d *Detector) askPeers(target member.Member) []Action {
	var others []member.Member
	for _, m := range d.table.Usable() {
		if m.ID != d.self.ID && m.ID != target.ID && m.State == member.Alive {
			others = append(others, m)
		}
	}
	d.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var actions []Action
	for _, via := range others[:min(d.settings.IndirectProbes, len(others))] {
		actions = append(actions, Action{Kind: ActionIndirectProbe, Target: target, Via: via, Timeout: d.timeout()})
	}
	return actions
}

// timeout is the probe timeout, stretched while this instance itself is slow.
func (d *Detector) timeout() time.Duration {
	return d.settings.ProbeTimeout * time.Duration(1+d.penalty)
}

// suspect marks the target of a failed probe. When none of the peers that were
// asked answered at all, the fault may lie with this instance, which then
// stretches its timeouts.
func (d *Detector) suspect(now time.Time, p *probe) {
	if p.denials == 0 {
		d.penalty = min(d.penalty+1, maxHealthPenalty)
	}
	target := p.target
	known, ok := d.table.Get(target.ID)
	if !ok || known.State != member.Alive || known.Incarnation != target.Incarnation {
		return
	}
	target.State = member.Suspect
	d.merge(now, target)
	d.accused[target.ID] = time.Time{}
}

// tellAccused sends this instance's suspects the claim about them each probe
// interval, so that they can refute it without waiting for others to tell them.
func (d *Detector) tellAccused(now time.Time) []Action {
	var actions []Action
	for _, id := range sortedKeys(d.accused) {
		known, ok := d.table.Get(id)
		if !ok || known.State != member.Suspect {
			delete(d.accused, id)
			continue
		}
		if now.Sub(d.accused[id]) < d.settings.ProbeInterval {
			continue
		}
		d.accused[id] = now
		actions = append(actions, Action{Kind: ActionProbe, Target: known.Member, Timeout: d.timeout()})
	}
	return actions
}

func (d *Detector) expireSuspicions(now time.Time) {
	limit := d.settings.SuspicionTime * time.Duration(1+d.penalty)
	for _, r := range d.table.InState(member.Suspect) {
		if now.Sub(r.Since) < limit {
			continue
		}
		dead := r.Member
		dead.State = member.Dead
		d.merge(now, dead)
	}
}

func (d *Detector) probeNext(now time.Time) []Action {
	targets := d.Neighbours()
	if len(targets) == 0 {
		return nil
	}
	target := targets[d.nextNeighbour%len(targets)]
	d.nextNeighbour++
	if _, waiting := d.pending[target.ID]; waiting {
		return nil
	}
	if latest, ok := d.table.Get(target.ID); ok {
		target = latest.Member
	}
	d.pending[target.ID] = &probe{target: target, sentAt: now}
	return []Action{{Kind: ActionProbe, Target: target, Timeout: d.timeout()}}
}

// probeDead tries one dead instance, so that two sides that lost each other
// meet again. An instance that is alive answers with a higher incarnation.
func (d *Detector) probeDead() []Action {
	dead := d.table.InState(member.Dead)
	if len(dead) == 0 {
		return nil
	}
	target := dead[d.random.IntN(len(dead))].Member
	return []Action{{Kind: ActionProbe, Target: target, Timeout: d.settings.ProbeTimeout}}
}

// OnAck takes in the answer of a peer to a direct or indirect probe.
func (d *Detector) OnAck(now time.Time, from member.ID) {
	p, ok := d.pending[from]
	if !ok {
		return
	}
	if now.Sub(p.sentAt) < d.settings.ProbeTimeout {
		d.penalty = max(d.penalty-1, 0)
	}
	delete(d.pending, from)
}

// OnNack takes in that a peer did not reach the target of an indirect probe either.
func (d *Detector) OnNack(target member.ID) {
	if p, ok := d.pending[target]; ok {
		p.denials++
	}
}
