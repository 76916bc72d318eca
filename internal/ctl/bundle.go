package ctl

import (
	"fmt"
	"time"

	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
)

// shortHash is the number of digits that are shown of a hash.
const shortHash = 12

// BundleCommand groups the commands on bundles.
type BundleCommand struct {
	Check    CheckCommand    `cmd:"" help:"Check a bundle and print all its faults."`
	Diff     DiffCommand     `cmd:"" help:"Show what a bundle changes."`
	Sign     SignCommand     `cmd:"" help:"Sign the content of a bundle."`
	Approve  ApproveCommand  `cmd:"" help:"Bring a signed bundle into force as the next generation."`
	Fallback FallbackCommand `cmd:"" help:"Bring the content of an earlier generation into force again."`
	History  HistoryCommand  `cmd:"" help:"List the latest generations."`
	Show     ShowCommand     `cmd:"" help:"Print a bundle with its signatures."`
}

// CheckCommand checks a bundle.
type CheckCommand struct {
	Bundle string `arg:"" help:"Directory with INI files, generation, or hash of a manifest."`
	Alone  bool   `help:"Check the bundle by itself, without the roll-out from the bundle in force. The store is not asked."`
}

// Help implements kong's detailed help.
func (CheckCommand) Help() string {
	return `Examples:
  savoryweirctl bundle check ./bundle
  savoryweirctl bundle check ./bundle --alone`
}

// Run checks the bundle.
func (c *CheckCommand) Run(env *Environment) error {
	var old inForce
	if !c.Alone {
		var err error
		if old, err = env.inForce(); err != nil {
			return err
		}
	}
	l, err := env.load(c.Bundle, old.bundle)
	if err != nil {
		return err
	}
	env.printf("The bundle %s of deployment %s has no faults: %d services, %d upstreams, %d models, %d adapters.\n",
		short(l.encoded.Manifest.Hash), l.bundle.Deployment, len(l.bundle.Services), len(l.bundle.Upstreams),
		len(l.bundle.Models), len(l.bundle.Adapters))
	return nil
}

// DiffCommand compares two bundles.
type DiffCommand struct {
	Bundle  string `arg:"" help:"Directory with INI files, generation, or hash of a manifest."`
	Against string `arg:"" optional:"" help:"The same of the bundle to compare with. The one in force by default."`
}

// Help implements kong's detailed help.
func (DiffCommand) Help() string {
	return `Lines start with + for a new section, - for one that is gone and ~ for a changed key.

Examples:
  savoryweirctl bundle diff ./bundle
  savoryweirctl bundle diff 17 16`
}

// Run prints the differences.
func (c *DiffCommand) Run(env *Environment) error {
	current, err := env.inForce()
	if err != nil {
		return err
	}
	if c.Against != "" {
		against, err := env.load(c.Against, nil)
		if err != nil {
			return err
		}
		current.bundle = against.bundle
	}
	l, err := env.load(c.Bundle, nil)
	if err != nil {
		return err
	}
	changes := bundlefile.Diff(current.bundle, l.bundle)
	for _, change := range changes {
		env.printf("%s\n", change)
	}
	if len(changes) == 0 {
		env.printf("The bundles have the same content.\n")
	}
	return nil
}

// HistoryCommand lists the generations.
type HistoryCommand struct {
	Limit int `help:"Largest number of generations." default:"20" min:"1" max:"10000"`
}

// Help implements kong's detailed help.
func (HistoryCommand) Help() string {
	return `Example:
  savoryweirctl bundle history --limit 100`
}

// Run prints a line for each generation, the latest first.
func (c *HistoryCommand) Run(env *Environment) error {
	approvals, err := env.store().History(env.Context, c.Limit)
	if err != nil {
		return err
	}
	for _, a := range approvals {
		env.printf("%s\n", approvalLine(a))
	}
	if len(approvals) == 0 {
		return errNothingInForce
	}
	return nil
}

func approvalLine(a approval.Approval) string {
	action := string(a.Action)
	if a.Action == approval.ActionFallback {
		action = fmt.Sprintf("fallback to %d", a.FallbackTo)
	}
	return fmt.Sprintf("generation %d  bundle %s  %s by %s at %s, signed by %s",
		a.Generation, short(a.Manifest), action, a.Operator, a.ApprovedAt.UTC().Format(time.RFC3339), signers(a.Signatures))
}

func signers(signatures []approval.Signature) string {
	var names string
	for i, s := range signatures {
		if i > 0 {
			names += ", "
		}
		names += string(s.Operator)
	}
	return names
}

// ShowCommand prints a bundle.
type ShowCommand struct {
	Bundle string `arg:"" optional:"" help:"Directory, generation, or hash of a manifest. The one in force by default."`
}

// Help implements kong's detailed help.
func (ShowCommand) Help() string {
	return `Examples:
  savoryweirctl bundle show
  savoryweirctl bundle show 16`
}

// Run prints the canonical text of the bundle.
func (c *ShowCommand) Run(env *Environment) error {
	current, err := env.inForce()
	if err != nil {
		return err
	}
	name := c.Bundle
	if name == "" {
		if current.bundle == nil {
			return errNothingInForce
		}
		name = current.signed.Manifest.String()
		env.printf("; %s\n", approvalLine(current.signed))
	}
	l, err := env.load(name, nil)
	if err != nil {
		return err
	}
	recorded, err := env.store().Signatures(env.Context, l.encoded.Manifest.Hash)
	if err != nil {
		return err
	}
	env.printf("; manifest %s\n; signatures in the store: %s\n", l.encoded.Manifest.Hash, signers(recorded))
	for _, file := range bundlefile.Texts(l.bundle) {
		env.printf("\n; %s\n%s", file.Name, file.Data)
	}
	return nil
}

func short(hash bundle.Hash) string { return hash.String()[:shortHash] }
