package ledgerfile

import (
	"fmt"
	"strconv"
	"strings"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

// Kind is the kind of the ledgers' store objects.
const Kind object.Kind = "placement-cells"

// Name returns the name of the ledger of a service's cell.
func Name(service bundle.ServiceName, index int) object.Name {
	return object.Name(fmt.Sprintf("%s%d", Prefix(service), index))
}

// Prefix is what the names of a service's ledgers start with. Names of other services may do so too.
func Prefix(service bundle.ServiceName) string { return string(service) + "-" }

// Index returns the index of a service's cell by the name of its ledger.
func Index(service bundle.ServiceName, name object.Name) (int, bool) {
	digits, ok := strings.CutPrefix(string(name), Prefix(service))
	if !ok {
		return 0, false
	}
	index, err := strconv.Atoi(digits)
	return index, err == nil && index >= 0 && Name(service, index) == name
}
