package ctl

import (
	"crypto/ed25519"
	"crypto/rand"
	"os"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/approvalfile"
	"savoryweir/internal/state/approval"
)

// KeygenCommand makes a key pair.
type KeygenCommand struct {
	Operator string `arg:"" help:"Name of the operator."`
	Key      string `help:"New file for the private key." type:"path" required:"" placeholder:"FILE"`
}

// Help implements kong's detailed help.
func (KeygenCommand) Help() string {
	return `The private key goes to a new file that only its owner may read. The section for the
trusted-keys file goes to standard output.

Example:
  savoryweirctl keygen anna --key anna.key >> trusted.ini`
}

// Run writes the key pair.
func (c *KeygenCommand) Run(env *Environment) error {
	const step errs.Step = "make key pair"
	name := approval.Operator(c.Operator)
	if err := approvalfile.CheckOperator(name); err != nil {
		return errs.Wrap(err, step, errs.Self)
	}
	_, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return errs.Wrap(err, step, errs.Self)
	}
	key := approval.Key{Operator: name, Private: private}
	file, err := os.OpenFile(c.Key, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return errs.Wrap(err, step, errs.Self)
	}
	_, err = file.Write(approvalfile.EncodeKey(key))
	if closed := file.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return errs.Wrap(err, step, errs.Self)
	}
	env.printf("%s", approvalfile.EncodeTrustedKey(key))
	return nil
}
