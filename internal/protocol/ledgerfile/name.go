package ledgerfile

import (
	"fmt"
	"strconv"
	"strings"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

// Kind is the kind of the store objects that hold ledgers.
const Kind object.Kind = "placement-cells"

// Name returns the name of the store object that holds the ledger of the cell with the given
// index.
func Name(service bundle.ServiceName, index int) object.Name {
	return object.Name(fmt.Sprintf("%s%d", Prefix(service), index))
}

// Prefix returns the prefix of the names of a service's ledgers. Ledgers of another service can
// have it too: the prefix of s matches the ledgers of s-t. Index tells them apart.
func Prefix(service bundle.ServiceName) string { return string(service) + "-" }

// Index returns the index of the cell whose ledger has the given name. It returns false if the
// name is not the name of a ledger of the service.
func Index(service bundle.ServiceName, name object.Name) (int, bool) {
	digits, ok := strings.CutPrefix(string(name), Prefix(service))
	if !ok {
		return 0, false
	}
	index, err := strconv.Atoi(digits)
	return index, err == nil && index >= 0 && Name(service, index) == name
}
