// Package customers finds the customer of a request by its API key.
package customers

import "savoryweir/internal/state/fleet"

// Index finds the customers of one configuration. It is not changed after NewIndex.
type Index struct {
	byKey  map[fleet.KeyDigest]*fleet.Customer
	byName map[string]*fleet.Customer
}

// NewIndex returns an index of the customers of a configuration, or nil if it names none. Of several
// customers with the same key, the first one holds it.
func NewIndex(list []fleet.Customer) *Index {
	if len(list) == 0 {
		return nil
	}
	index := &Index{byKey: make(map[fleet.KeyDigest]*fleet.Customer), byName: make(map[string]*fleet.Customer)}
	for n := range list {
		customer := &list[n]
		index.byName[customer.Name] = customer
		for _, digest := range customer.Keys {
			if _, isHeld := index.byKey[digest]; !isHeld {
				index.byKey[digest] = customer
			}
		}
	}
	return index
}

// ByKey returns the customer that holds an API key, or nil if none does. The time that it takes tells nothing
// of the keys that exist, as only digests are compared.
func (i *Index) ByKey(key string) *fleet.Customer {
	if key == "" {
		return nil
	}
	return i.byKey[fleet.DigestKey(key)]
}

// ByName returns the customer with a name, or nil if there is none.
func (i *Index) ByName(name string) *fleet.Customer { return i.byName[name] }
