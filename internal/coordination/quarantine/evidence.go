package quarantine

import "time"

// evidence is what speaks against a trait: the crashes since its last completion for which no
// quarantined trait accounts.
type evidence struct {
	crashes     int
	settled     int // of these, older than settleTime
	firstAt     time.Time
	specificity int
}

func (e evidence) isOfPart() bool { return e.specificity != contentSpecificity }

// mostLikely returns the trait to be quarantined next, with the evidence against it, which has no
// crashes if there is none.
func (d *Detector) mostLikely(now time.Time) (found Trait, most evidence) {
	against, unsettled := d.collectEvidence(now)
	for trait, e := range against {
		if d.suffices(now, trait, e) && (most.crashes == 0 || e.outweighs(most, trait < found)) {
			found, most = trait, e
		}
	}
	if most.isOfPart() && d.mayBeOutweighed(now, found, most, against, unsettled) {
		return 0, evidence{}
	}
	return found, most
}

// collectEvidence returns the evidence against all traits, and the number of crashes that other
// instances may still report on.
func (d *Detector) collectEvidence(now time.Time) (against map[Trait]evidence, unsettled int) {
	against = make(map[Trait]evidence)
	for _, c := range d.crashes {
		if d.isAccountedFor(c) {
			continue
		}
		isSettled := now.Sub(c.at) >= settleTime
		if !isSettled {
			unsettled++
		}
		for trait, specificity := range c.traits {
			if !c.at.After(d.completedAt(trait)) {
				continue
			}
			e := against[trait]
			if e.crashes++; e.crashes == 1 {
				e.firstAt = c.at
			}
			if isSettled {
				e.settled++
			}
			e.specificity = max(e.specificity, specificity)
			against[trait] = e
		}
	}
	return against, unsettled
}

// mayBeOutweighed reports whether another part may turn out to be the likelier cause when all
// instances have reported on the crashes.
func (d *Detector) mayBeOutweighed(now time.Time, trait Trait, e evidence, against map[Trait]evidence, unsettled int) bool {
	for other, o := range against {
		if other == trait || !o.isOfPart() || o.settled == 0 || d.hasCompleted(now, other) {
			continue
		}
		o.crashes = o.settled + unsettled
		if o.outweighs(e, other < trait) {
			return true
		}
	}
	return false
}

// isAccountedFor reports whether a quarantined trait was present at a crash.
func (d *Detector) isAccountedFor(c *crash) bool {
	for trait := range d.terms {
		if _, ok := c.traits[trait]; ok {
			return true
		}
	}
	return false
}

// suffices reports whether the evidence is enough for a quarantine.
func (d *Detector) suffices(now time.Time, trait Trait, e evidence) bool {
	if !d.hasCompleted(now, trait) && !(e.isOfPart() && d.IsLearning(now)) {
		return e.crashes >= minCrashes
	}
	return e.crashes >= minCrashesAfterCompletion && now.Sub(e.firstAt) >= minTimeAfterCompletion
}

// hasCompleted reports whether a request with the trait has completed lately.
func (d *Detector) hasCompleted(now time.Time, trait Trait) bool {
	return now.Sub(d.completedAt(trait)) <= completionTTL
}

// outweighs reports whether the trait of e is the likelier cause. Instances decide alike on equal
// evidence.
func (e evidence) outweighs(other evidence, isFirst bool) bool {
	switch {
	case e.crashes != other.crashes:
		return e.crashes > other.crashes
	case e.specificity != other.specificity:
		return e.specificity > other.specificity
	default:
		return isFirst
	}
}
