package ctl

import (
	"errors"
	"fmt"

	"savoryweir/internal/coordination/signoff"
	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
	"savoryweir/internal/transport/bundlestore"
)

// SignCommand signs a bundle.
type SignCommand struct {
	Bundle string `arg:"" help:"Directory with INI files, generation, or hash of a manifest."`
	Key    string `help:"Private key of the operator." type:"path" required:"" placeholder:"FILE"`
}

// Help implements kong's detailed help.
func (SignCommand) Help() string {
	return `A bundle with faults is not signed. The sections and the signature go to the store, so that
other operators can look at and sign the same content by its hash.

Examples:
  savoryweirctl bundle sign ./bundle --key anna.key
  savoryweirctl bundle sign 9f2c... --key babis.key`
}

// Run signs the bundle.
func (c *SignCommand) Run(env *Environment) error {
	key, policy, err := env.keyAndPolicy(c.Key)
	if err != nil {
		return err
	}
	current, l, err := env.loadForApproval(c.Bundle, policy)
	if err != nil {
		return err
	}
	if err := env.putSections(l, current); err != nil {
		return err
	}
	manifest := l.encoded.Manifest.Hash
	signature := signoff.SignContent(key, policy.Deployment, manifest)
	if err := env.store().PutSignature(env.Context, manifest, signature); err != nil {
		return err
	}
	env.printf("%s signed bundle %s\n", key.Operator, manifest)
	return nil
}

// ApproveCommand brings a bundle into force.
type ApproveCommand struct {
	Bundle   string             `arg:"" help:"Directory with INI files, generation, or hash of a manifest."`
	Key      string             `help:"Private key of the approving operator." type:"path" required:"" placeholder:"FILE"`
	Replaces *bundle.Generation `help:"Generation that must be in force, else nothing is changed." placeholder:"N"`
}

// Help implements kong's detailed help.
func (ApproveCommand) Help() string {
	return `Of several operators who approve at the same moment one wins. The others exit with code 5
and the winner's name. With --replaces this holds also for an approval that came between the
look at the bundle in force and this command.

Example:
  savoryweirctl bundle approve ./bundle --key anna.key --replaces 17`
}

// Run approves the bundle.
func (c *ApproveCommand) Run(env *Environment) error {
	key, policy, err := env.keyAndPolicy(c.Key)
	if err != nil {
		return err
	}
	current, l, err := env.loadForApproval(c.Bundle, policy)
	if err != nil {
		return err
	}
	signatures, err := env.validSignatures(policy, l.encoded.Manifest.Hash, nil)
	if err != nil {
		return err
	}
	if err := env.putSections(l, current); err != nil {
		return err
	}
	next := approval.Approval{Action: approval.ActionApprove, Manifest: l.encoded.Manifest.Hash, Signatures: signatures}
	return env.move(current, c.Replaces, policy, key, next)
}

// FallbackCommand brings an earlier content into force again.
type FallbackCommand struct {
	Generation bundle.Generation  `arg:"" help:"Generation whose content is taken again."`
	Key        string             `help:"Private key of the approving operator." type:"path" required:"" placeholder:"FILE"`
	Replaces   *bundle.Generation `help:"Generation that must be in force, else nothing is changed." placeholder:"N"`
}

// Help implements kong's detailed help.
func (FallbackCommand) Help() string {
	return `The old content comes into force as a new generation. Its signatures are taken again, as far as
the operators are still trusted, so that one operator can fall back at once.

Example:
  savoryweirctl bundle fallback 16 --key anna.key`
}

// Run falls back.
func (c *FallbackCommand) Run(env *Environment) error {
	key, policy, err := env.keyAndPolicy(c.Key)
	if err != nil {
		return err
	}
	earlier, err := env.store().ApprovalOf(env.Context, c.Generation)
	if errors.Is(err, object.ErrNotFound) {
		return errs.New("find generation", "store", fmt.Sprintf("there is no generation %d", c.Generation))
	}
	if err != nil {
		return err
	}
	current, l, err := env.loadForApproval(earlier.Manifest.String(), policy)
	if err != nil {
		return err
	}
	signatures, err := env.validSignatures(policy, earlier.Manifest, earlier.Signatures)
	if err != nil {
		return err
	}
	if err := env.putSections(l, current); err != nil {
		return err
	}
	next := approval.Approval{
		Action: approval.ActionFallback, FallbackTo: c.Generation, Manifest: earlier.Manifest, Signatures: signatures,
	}
	return env.move(current, c.Replaces, policy, key, next)
}

func (env *Environment) keyAndPolicy(path string) (approval.Key, approval.Policy, error) {
	key, err := readKey(path)
	if err != nil {
		return approval.Key{}, approval.Policy{}, err
	}
	policy, err := env.policy()
	if err != nil {
		return approval.Key{}, approval.Policy{}, err
	}
	trusted, known := policy.Keys[key.Operator]
	if !known || !trusted.Equal(key.Private.Public()) {
		return approval.Key{}, approval.Policy{}, errs.New("check key", errs.Self,
			fmt.Sprintf("the key of operator %q is not among the trusted keys", key.Operator))
	}
	return key, policy, nil
}

// loadForApproval reads a bundle and checks it against the one in force and the policy.
func (env *Environment) loadForApproval(name string, policy approval.Policy) (inForce, loaded, error) {
	current, err := env.inForce()
	if err != nil {
		return inForce{}, loaded{}, err
	}
	l, err := env.load(name, current.bundle)
	if err != nil {
		return inForce{}, loaded{}, err
	}
	if l.bundle.Deployment != policy.Deployment {
		return inForce{}, loaded{}, bundle.JoinFaults([]bundle.Fault{{
			File: l.files["deployment"], Section: "deployment", Key: "name",
			Reason: fmt.Sprintf("the trusted keys are for deployment %q", policy.Deployment),
		}})
	}
	return current, l, nil
}

// putSections writes the sections that the latest generation does not have, also those
// that are in the store: package retention relies on it. When the latest generation is
// in force nowhere, all sections are written.
func (env *Environment) putSections(l loaded, current inForce) error {
	present := make(map[bundle.Hash]bool)
	if current.bundle != nil && current.signed.Manifest == current.pointer.Approval.Manifest {
		encoded, err := bundlefile.Encode(current.bundle)
		if err != nil {
			return errs.Wrap(err, "encode bundle in force", errs.Self)
		}
		for _, s := range encoded.All() {
			present[s.Hash] = true
		}
	}
	var changed []bundlefile.Section
	for _, s := range l.encoded.All() {
		if !present[s.Hash] {
			changed = append(changed, s)
		}
	}
	return env.store().PutSections(env.Context, changed)
}

// validSignatures returns the valid ones among the recorded and the given signatures,
// one for each operator, or a *signoff.InsufficientSignaturesError if they do not suffice.
func (env *Environment) validSignatures(policy approval.Policy, manifest bundle.Hash, given []approval.Signature) ([]approval.Signature, error) {
	recorded, err := env.store().Signatures(env.Context, manifest)
	if err != nil {
		return nil, err
	}
	all := append(recorded, given...)
	if err := signoff.VerifyContent(policy, manifest, all); err != nil {
		return nil, err
	}
	single := policy
	single.Required = 1
	var valid []approval.Signature
	taken := make(map[approval.Operator]bool)
	for _, s := range all {
		if !taken[s.Operator] && signoff.VerifyContent(single, manifest, []approval.Signature{s}) == nil {
			taken[s.Operator] = true
			valid = append(valid, s)
		}
	}
	return valid, nil
}

// move makes next the generation after the current one.
func (env *Environment) move(current inForce, replaces *bundle.Generation, policy approval.Policy, key approval.Key, next approval.Approval) error {
	latest := current.pointer.Approval
	if replaces != nil && *replaces != latest.Generation {
		return &bundlestore.ConflictError{Winner: latest}
	}
	next.Deployment = policy.Deployment
	next.Generation = latest.Generation + 1
	next.Previous = current.pointer.Hash
	next.ApprovedAt = env.Now()
	next.Nonce = env.Nonce()
	next = signoff.Seal(key, next)
	if err := env.store().AdvancePointer(env.Context, current.pointer, next); err != nil {
		return err
	}
	env.printf("%s\n", approvalLine(next))
	return nil
}
