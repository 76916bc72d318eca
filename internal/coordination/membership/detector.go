// Package membership decides which instances are alive, by a SWIM-style protocol.
// Each instance probes a fixed number of neighbours in turn. If a neighbour does not
// answer, the instance asks other peers to probe it, then suspects it for the suspicion
// time, and then declares it dead. A suspected instance refutes the suspicion with a
// higher incarnation. The cost per instance does not depend on the number of instances,
// except for the member table itself.
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
	ProbeTimeout   time.Duration `help:"Time to wait for the answer to a probe, direct or through a peer." default:"400ms" min:"10ms" max:"10s"`
	Fanout         int           `help:"Number of neighbours that an instance probes." default:"4" min:"1" max:"16"`
	IndirectProbes int           `help:"Number of peers asked to probe a neighbour that did not answer." default:"3" min:"0" max:"16"`
	SuspicionTime  time.Duration `help:"Time that a suspected instance has to refute the suspicion." default:"4s" min:"100ms" max:"10m"`
	Retention      time.Duration `help:"Time for which dead and departed instances stay in the member table." default:"1h" min:"1m" max:"168h"`
	RejoinInterval time.Duration `help:"Time between two probes of dead instances." default:"10s" min:"100ms" max:"1h"`
	MaxUpdates     int           `help:"Largest number of members in one message." default:"8" min:"1" max:"256"`
}

// maxTimeoutPenalty bounds the factor by which an instance that misses many answers
// extends its own timeouts.
const maxTimeoutPenalty = 8

// pauseFactor is the number of probe intervals that may pass between two ticks. After a
// longer gap, the process is assumed to have been paused.
const pauseFactor = 3

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionProbe sends a probe to Target.
	ActionProbe ActionKind = iota + 1
	// ActionIndirectProbe asks Via to send a probe to Target.
	ActionIndirectProbe
)

// Action is one message to send.
type Action struct {
	Kind    ActionKind
	Target  member.Member
	Via     member.Member // set for ActionIndirectProbe
	Timeout time.Duration // time to wait for the answer
}

// StateChange is one change of a member's state, for the timeline and other packages.
type StateChange struct {
	Member   member.Member
	Previous member.State // zero for a new member
}

// probe is a probe that has not been answered yet.
type probe struct {
	target         member.Member
	sentAt         time.Time
	indirectSentAt time.Time // zero until peers are asked to probe the target
	nacks          int       // number of peers that could not reach the target either
}

// Detector is the failure detector of one instance.
type Detector struct {
	settings Settings
	random   *rand.Rand
	table    *member.Table
	self     member.Member

	neighbours        []member.Member
	neighboursVersion uint64 // version of the table from which neighbours were chosen
	nextNeighbour     int
	nextProbe         time.Time
	nextRejoin        time.Time
	lastTick          time.Time
	pendingProbes     map[member.ID]*probe
	timeoutPenalty    int // added to the factor of the timeouts, 0 while this instance receives answers in time
	updates           updateQueue
	changes           []StateChange
	urgent            bool
	suspectNotifiedAt map[member.ID]time.Time // when each member that this instance suspects was last notified
}

// New returns a detector for the instance self. The incarnation of self must be higher than
// that of any earlier process with the same id; the start time of the process is suitable.
func New(s Settings, self member.Member, random *rand.Rand) *Detector {
	self.State = member.Alive
	d := &Detector{
		settings:          s,
		random:            random,
		table:             member.NewTable(),
		self:              self,
		pendingProbes:     make(map[member.ID]*probe),
		updates:           newUpdateQueue(),
		suspectNotifiedAt: make(map[member.ID]time.Time),
	}
	return d
}

// Self returns the member entry of this instance.
func (d *Detector) Self() member.Member { return d.self }

// Table returns the table of members. The caller must not modify it.
func (d *Detector) Table() *member.Table { return d.table }

// Neighbours returns the instances that this instance currently probes.
func (d *Detector) Neighbours() []member.Member {
	if d.neighbours == nil || d.neighboursVersion != d.table.Version() {
		d.neighboursVersion = d.table.Version()
		d.neighbours = neighbours(d.self.ID, d.table.Usable(), d.settings.Fanout)
	}
	return d.neighbours
}

// TakeChanges returns the state changes since the last call.
func (d *Detector) TakeChanges() []StateChange {
	changes := d.changes
	d.changes = nil
	return changes
}

// TakeUrgent reports whether an update since the last call must be sent to all neighbours
// immediately. Refutations, deaths and departures are such updates.
func (d *Detector) TakeUrgent() bool {
	urgent := d.urgent
	d.urgent = false
	return urgent
}

// Start adds this instance to its table and schedules the first probe.
func (d *Detector) Start(now time.Time) {
	d.table.Merge(now, d.self)
	// The first probe is delayed by a random part of the interval, so that instances that
	// start together do not probe together.
	d.nextProbe = now.Add(time.Duration(d.random.Int64N(int64(d.settings.ProbeInterval))))
	d.nextRejoin = now.Add(d.settings.RejoinInterval)
	d.lastTick = now
}

// Tick advances the detector to now and returns the messages to send.
func (d *Detector) Tick(now time.Time) []Action {
	if now.Sub(d.lastTick) > pauseFactor*d.settings.ProbeInterval {
		d.resetAfterPause(now)
	}
	d.lastTick = now
	actions := d.advanceProbes(now)
	actions = append(actions, d.notifySuspects(now)...)
	d.expireSuspicions(now)
	if !now.Before(d.nextProbe) {
		d.nextProbe = now.Add(d.settings.ProbeInterval)
		actions = append(actions, d.probeNext(now)...)
	}
	if !now.Before(d.nextRejoin) {
		d.nextRejoin = now.Add(d.settings.RejoinInterval)
		d.table.RemoveExpired(now, d.settings.Retention)
		actions = append(actions, d.probeDead()...)
	}
	return actions
}

// resetAfterPause drops all unanswered probes, since after a pause of this process their
// timeouts say nothing about the peers. It restarts the suspicion time of all suspects and
// sets the timeout penalty to its maximum.
func (d *Detector) resetAfterPause(now time.Time) {
	clear(d.pendingProbes)
	d.timeoutPenalty = maxTimeoutPenalty
	for _, r := range d.table.InState(member.Suspect) {
		d.table.Restart(now, r.ID)
	}
}

// advanceProbes starts indirect probes of targets that did not answer directly in time, and
// suspects targets that did not answer the indirect probes either.
func (d *Detector) advanceProbes(now time.Time) []Action {
	var actions []Action
	for _, id := range sortedKeys(d.pendingProbes) {
		p := d.pendingProbes[id]
		switch {
		case p.indirectSentAt.IsZero() && now.Sub(p.sentAt) >= d.probeTimeout():
			p.indirectSentAt = now
			actions = append(actions, d.probeIndirectly(p.target)...)
		case !p.indirectSentAt.IsZero() && now.Sub(p.indirectSentAt) >= 2*d.probeTimeout():
			delete(d.pendingProbes, id)
			d.suspect(now, p)
		}
	}
	return actions
}

func (d *Detector) probeIndirectly(target member.Member) []Action {
	var others []member.Member
	for _, m := range d.table.Usable() {
		if m.ID != d.self.ID && m.ID != target.ID && m.State == member.Alive {
			others = append(others, m)
		}
	}
	d.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var actions []Action
	for _, via := range others[:min(d.settings.IndirectProbes, len(others))] {
		actions = append(actions, Action{Kind: ActionIndirectProbe, Target: target, Via: via, Timeout: d.probeTimeout()})
	}
	return actions
}

// probeTimeout returns the probe timeout, extended while this instance itself is slow.
func (d *Detector) probeTimeout() time.Duration {
	return d.settings.ProbeTimeout * time.Duration(1+d.timeoutPenalty)
}

// suspect marks the target of a failed probe as suspect. If no peer confirmed that the
// target is unreachable, the fault may lie with this instance, which then extends its
// own timeouts.
func (d *Detector) suspect(now time.Time, p *probe) {
	if p.nacks == 0 {
		d.timeoutPenalty = min(d.timeoutPenalty+1, maxTimeoutPenalty)
	}
	target := p.target
	known, ok := d.table.Get(target.ID)
	if !ok || known.State != member.Alive || known.Incarnation != target.Incarnation {
		return
	}
	target.State = member.Suspect
	d.merge(now, target)
	d.suspectNotifiedAt[target.ID] = time.Time{}
}

// notifySuspects probes the members that this instance suspected once per probe interval.
// The probe carries the suspicion, so that a member can refute it without waiting until
// the update reaches it through other instances.
func (d *Detector) notifySuspects(now time.Time) []Action {
	var actions []Action
	for _, id := range sortedKeys(d.suspectNotifiedAt) {
		known, ok := d.table.Get(id)
		if !ok || known.State != member.Suspect {
			delete(d.suspectNotifiedAt, id)
			continue
		}
		if now.Sub(d.suspectNotifiedAt[id]) < d.settings.ProbeInterval {
			continue
		}
		d.suspectNotifiedAt[id] = now
		actions = append(actions, Action{Kind: ActionProbe, Target: known.Member, Timeout: d.probeTimeout()})
	}
	return actions
}

func (d *Detector) expireSuspicions(now time.Time) {
	limit := d.settings.SuspicionTime * time.Duration(1+d.timeoutPenalty)
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
	if _, waiting := d.pendingProbes[target.ID]; waiting {
		return nil
	}
	if latest, ok := d.table.Get(target.ID); ok {
		target = latest.Member
	}
	d.pendingProbes[target.ID] = &probe{target: target, sentAt: now}
	return []Action{{Kind: ActionProbe, Target: target, Timeout: d.probeTimeout()}}
}

// probeDead probes one dead instance, so that the two sides of a healed partition find each
// other again. An instance that is alive answers with a higher incarnation.
func (d *Detector) probeDead() []Action {
	dead := d.table.InState(member.Dead)
	if len(dead) == 0 {
		return nil
	}
	target := dead[d.random.IntN(len(dead))].Member
	return []Action{{Kind: ActionProbe, Target: target, Timeout: d.settings.ProbeTimeout}}
}

// OnAck records that a member answered a direct or indirect probe.
func (d *Detector) OnAck(now time.Time, from member.ID) {
	p, ok := d.pendingProbes[from]
	if !ok {
		return
	}
	if now.Sub(p.sentAt) < d.settings.ProbeTimeout {
		d.timeoutPenalty = max(d.timeoutPenalty-1, 0)
	}
	delete(d.pendingProbes, from)
}

// OnNack records that a peer could not reach the target of an indirect probe either.
func (d *Detector) OnNack(target member.ID) {
	if p, ok := d.pendingProbes[target]; ok {
		p.nacks++
	}
}
