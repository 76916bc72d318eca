package joint

import (
	"savoryweir/internal/bench/moves"
	"savoryweir/internal/bench/policy"
	"savoryweir/internal/coordination/placement"
)

// Policies returns the baselines, the policy in use, and the bounds.
func Policies() []Policy {
	var all []Policy
	for _, p := range moves.Policies() {
		all = append(all, placed(p))
	}
	answers := placed(moves.Policy{Name: "steady-answers", New: newSteady})
	answers.Signal = SignalAnswers
	all = append(all, answers)
	for _, p := range []policy.Policy{policy.PerfectKnowledge(), policy.PerfectOptimist()} {
		all = append(all, Policy{Name: p.Name, Placement: moves.Policies()[0], Routing: p, Perfect: true})
	}
	return all
}

func newSteady() placement.Policy { return placement.NewCostAware(moves.DefaultSettings()) }

func placed(p moves.Policy) Policy {
	return Policy{Name: p.Name, Placement: p, Routing: policy.Keyed()}
}
