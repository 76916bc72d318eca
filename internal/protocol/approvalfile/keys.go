package approvalfile

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
)

// Names of the sections and keys of the INI files.
const (
	policySection   = "policy"
	operatorPrefix  = "operator"
	privateSection  = "private-key"
	keyDeployment   = "deployment"
	keyRequired     = "required-signatures"
	keyPublic       = "public-key"
	keyOperatorName = "operator"
	keySeed         = "seed"
)

var operatorPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

// CheckOperator returns an error if name is not a valid name of an operator.
func CheckOperator(name approval.Operator) error {
	if !operatorPattern.MatchString(string(name)) {
		return fmt.Errorf("%q is not an operator name: expected 1 to 64 lower-case letters, digits or . _ -, with a letter or digit first", name)
	}
	return nil
}

// EncodeKey returns the content of an operator's private key file.
func EncodeKey(key approval.Key) []byte {
	seed := base64.StdEncoding.EncodeToString(key.Private.Seed())
	return fmt.Appendf(nil, "[%s]\n%s = %s\n%s = %s\n", privateSection, keyOperatorName, key.Operator, keySeed, seed)
}

// EncodeTrustedKey returns the section of the trusted-keys file that lists an operator's public key.
func EncodeTrustedKey(key approval.Key) []byte {
	public := key.Private.Public().(ed25519.PublicKey)
	return fmt.Appendf(nil, "[%s %s]\n%s = %s\n", operatorPrefix, key.Operator, keyPublic, base64.StdEncoding.EncodeToString(public))
}

// DecodeKey returns the key in a private key file. The errors contain no part of the key.
func DecodeKey(data []byte) (approval.Key, error) {
	file, err := ini.LoadSources(iniOptions, data)
	if err != nil {
		return approval.Key{}, fmt.Errorf("the private key file is not an INI file")
	}
	section := file.Section(privateSection)
	name := approval.Operator(section.Key(keyOperatorName).Value())
	if err := CheckOperator(name); err != nil {
		return approval.Key{}, err
	}
	seed, err := base64.StdEncoding.DecodeString(section.Key(keySeed).Value())
	if err != nil || len(seed) != ed25519.SeedSize {
		return approval.Key{}, fmt.Errorf("[%s] %s: the value is not the base64 text of %d bytes", privateSection, keySeed, ed25519.SeedSize)
	}
	return approval.Key{Operator: name, Private: ed25519.NewKeyFromSeed(seed)}, nil
}

var iniOptions = ini.LoadOptions{
	AllowNonUniqueSections: true,
	IgnoreContinuation:     true,
	IgnoreInlineComment:    true,
}

// DecodePolicy returns the policy in a trusted-keys file. It reports all faults of the file at
// once in a *bundle.FaultsError. The name of the file is used in the faults only.
func DecodePolicy(name string, data []byte) (approval.Policy, error) {
	d := policyDecoder{file: name, policy: approval.Policy{Keys: make(map[approval.Operator]ed25519.PublicKey)}}
	file, err := ini.LoadSources(iniOptions, data)
	if err != nil {
		d.addFault("", "", "not an INI file: "+err.Error())
		return approval.Policy{}, bundle.JoinFaults(d.faults)
	}
	for _, section := range file.Sections() {
		d.decodeSection(section)
	}
	if len(d.policy.Keys) < d.policy.Required {
		d.addFault(policySection, keyRequired, fmt.Sprintf("%d signatures are required, but the file lists only %d operators", d.policy.Required, len(d.policy.Keys)))
	}
	if !d.hasPolicy {
		d.addFault(policySection, "", "the section is missing")
	}
	if err := bundle.JoinFaults(d.faults); err != nil {
		return approval.Policy{}, fmt.Errorf("trusted keys: %w", err)
	}
	return d.policy, nil
}

// policyDecoder collects the policy and the faults of a trusted-keys file.
type policyDecoder struct {
	file      string
	policy    approval.Policy
	hasPolicy bool
	faults    []bundle.Fault
}

func (d *policyDecoder) addFault(section, key, reason string) {
	d.faults = append(d.faults, bundle.Fault{File: d.file, Section: section, Key: key, Reason: reason})
}

func (d *policyDecoder) decodeSection(section *ini.Section) {
	kind, operator, _ := strings.Cut(section.Name(), " ")
	switch {
	case section.Name() == ini.DefaultSection:
		d.rejectUnknownKeys(section)
	case section.Name() == policySection:
		d.decodePolicySection(section)
	case kind == operatorPrefix:
		d.decodeOperatorSection(section, approval.Operator(operator))
	default:
		d.addFault(section.Name(), "", "the section is unknown; expected [policy] or [operator NAME]")
	}
}

func (d *policyDecoder) rejectUnknownKeys(section *ini.Section, known ...string) {
	for _, key := range section.KeyStrings() {
		if !strings.Contains(" "+strings.Join(known, " ")+" ", " "+key+" ") {
			d.addFault(section.Name(), key, "the key is unknown")
		}
	}
}

func (d *policyDecoder) decodePolicySection(section *ini.Section) {
	d.rejectUnknownKeys(section, keyDeployment, keyRequired)
	if d.hasPolicy {
		d.addFault(policySection, "", "the section is defined twice")
	}
	d.hasPolicy = true
	d.policy.Deployment = section.Key(keyDeployment).Value()
	if d.policy.Deployment == "" {
		d.addFault(policySection, keyDeployment, "the name of the deployment is missing")
	}
	required, err := strconv.Atoi(section.Key(keyRequired).Value())
	if err != nil || required < 1 || required > MaxSignatures {
		d.addFault(policySection, keyRequired, fmt.Sprintf("%q is not a whole number from 1 to %d", section.Key(keyRequired).Value(), MaxSignatures))
	}
	d.policy.Required = required
}

func (d *policyDecoder) decodeOperatorSection(section *ini.Section, name approval.Operator) {
	d.rejectUnknownKeys(section, keyPublic)
	if err := CheckOperator(name); err != nil {
		d.addFault(section.Name(), "", err.Error())
		return
	}
	if _, ok := d.policy.Keys[name]; ok {
		d.addFault(section.Name(), "", "the operator is defined twice")
	}
	public, err := base64.StdEncoding.DecodeString(section.Key(keyPublic).Value())
	if err != nil || len(public) != ed25519.PublicKeySize {
		d.addFault(section.Name(), keyPublic, fmt.Sprintf("the value is not the base64 text of %d bytes", ed25519.PublicKeySize))
		return
	}
	for other, key := range d.policy.Keys {
		if other != name && string(key) == string(public) {
			d.addFault(section.Name(), keyPublic, "operator "+string(other)+" has the same key")
		}
	}
	d.policy.Keys[name] = public
}
