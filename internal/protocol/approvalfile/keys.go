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

// The sections and keys of the files.
const (
	policySection   = "policy"
	operatorKind    = "operator"
	privateSection  = "private-key"
	keyDeployment   = "deployment"
	keyRequired     = "required-signatures"
	keyPublic       = "public-key"
	keyOperatorName = "operator"
	keySeed         = "seed"
)

var validOperator = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

// CheckOperator returns an error unless name can be the name of an operator.
func CheckOperator(name approval.Operator) error {
	if !validOperator.MatchString(string(name)) {
		return fmt.Errorf("%q is no operator name: allowed are 1 to 64 lower-case letters, digits or . _ -", name)
	}
	return nil
}

// EncodeKey writes the private key file of an operator.
func EncodeKey(key approval.Key) []byte {
	seed := base64.StdEncoding.EncodeToString(key.Private.Seed())
	return fmt.Appendf(nil, "[%s]\n%s = %s\n%s = %s\n", privateSection, keyOperatorName, key.Operator, keySeed, seed)
}

// EncodeTrusted writes the section of the trusted-keys file for an operator.
func EncodeTrusted(key approval.Key) []byte {
	public := key.Private.Public().(ed25519.PublicKey)
	return fmt.Appendf(nil, "[%s %s]\n%s = %s\n", operatorKind, key.Operator, keyPublic, base64.StdEncoding.EncodeToString(public))
}

// DecodeKey reads a private key file. The errors hold no part of the key.
func DecodeKey(data []byte) (approval.Key, error) {
	file, err := ini.LoadSources(keyOptions, data)
	if err != nil {
		return approval.Key{}, fmt.Errorf("the private key file is no INI file")
	}
	section := file.Section(privateSection)
	name := approval.Operator(section.Key(keyOperatorName).Value())
	if err := CheckOperator(name); err != nil {
		return approval.Key{}, err
	}
	seed, err := base64.StdEncoding.DecodeString(section.Key(keySeed).Value())
	if err != nil || len(seed) != ed25519.SeedSize {
		return approval.Key{}, fmt.Errorf("[%s] %s is no base64 text of %d bytes", privateSection, keySeed, ed25519.SeedSize)
	}
	return approval.Key{Operator: name, Private: ed25519.NewKeyFromSeed(seed)}, nil
}

var keyOptions = ini.LoadOptions{
	AllowNonUniqueSections: true,
	IgnoreContinuation:     true,
	IgnoreInlineComment:    true,
}

// DecodePolicy reads a trusted-keys file. All faults come back in one *bundle.FaultsError.
func DecodePolicy(name string, data []byte) (approval.Policy, error) {
	d := policyDecoder{file: name, policy: approval.Policy{Keys: make(map[approval.Operator]ed25519.PublicKey)}}
	file, err := ini.LoadSources(keyOptions, data)
	if err != nil {
		d.fault("", "", "not an INI file: "+err.Error())
		return approval.Policy{}, bundle.JoinFaults(d.faults)
	}
	for _, section := range file.Sections() {
		d.section(section)
	}
	if len(d.policy.Keys) < d.policy.Required {
		d.fault(policySection, keyRequired, fmt.Sprintf("%d signatures are required of %d operators", d.policy.Required, len(d.policy.Keys)))
	}
	if !d.hasPolicy {
		d.fault(policySection, "", "the section is missing")
	}
	if err := bundle.JoinFaults(d.faults); err != nil {
		return approval.Policy{}, fmt.Errorf("trusted keys: %w", err)
	}
	return d.policy, nil
}

type policyDecoder struct {
	file      string
	policy    approval.Policy
	hasPolicy bool
	faults    []bundle.Fault
}

func (d *policyDecoder) fault(section, key, reason string) {
	d.faults = append(d.faults, bundle.Fault{File: d.file, Section: section, Key: key, Reason: reason})
}

func (d *policyDecoder) section(section *ini.Section) {
	kind, operator, _ := strings.Cut(section.Name(), " ")
	switch {
	case section.Name() == ini.DefaultSection:
		d.knownKeys(section)
	case section.Name() == policySection:
		d.policySection(section)
	case kind == operatorKind:
		d.operator(section, approval.Operator(operator))
	default:
		d.fault(section.Name(), "", "the section is unknown, allowed are [policy] and [operator NAME]")
	}
}

func (d *policyDecoder) knownKeys(section *ini.Section, known ...string) {
	for _, key := range section.KeyStrings() {
		if !strings.Contains(" "+strings.Join(known, " ")+" ", " "+key+" ") {
			d.fault(section.Name(), key, "the key is unknown")
		}
	}
}

func (d *policyDecoder) policySection(section *ini.Section) {
	d.knownKeys(section, keyDeployment, keyRequired)
	if d.hasPolicy {
		d.fault(policySection, "", "the section stands twice")
	}
	d.hasPolicy = true
	d.policy.Deployment = section.Key(keyDeployment).Value()
	if d.policy.Deployment == "" {
		d.fault(policySection, keyDeployment, "the name of the deployment is missing")
	}
	required, err := strconv.Atoi(section.Key(keyRequired).Value())
	if err != nil || required < 1 || required > MaxSignatures {
		d.fault(policySection, keyRequired, fmt.Sprintf("%q is no whole number from 1 to %d", section.Key(keyRequired).Value(), MaxSignatures))
	}
	d.policy.Required = required
}

func (d *policyDecoder) operator(section *ini.Section, name approval.Operator) {
	d.knownKeys(section, keyPublic)
	if err := CheckOperator(name); err != nil {
		d.fault(section.Name(), "", err.Error())
		return
	}
	if _, ok := d.policy.Keys[name]; ok {
		d.fault(section.Name(), "", "the operator stands twice")
	}
	public, err := base64.StdEncoding.DecodeString(section.Key(keyPublic).Value())
	if err != nil || len(public) != ed25519.PublicKeySize {
		d.fault(section.Name(), keyPublic, fmt.Sprintf("it is no base64 text of %d bytes", ed25519.PublicKeySize))
		return
	}
	for other, key := range d.policy.Keys {
		if other != name && string(key) == string(public) {
			d.fault(section.Name(), keyPublic, "operator "+string(other)+" has the same key")
		}
	}
	d.policy.Keys[name] = public
}
