// Package objecthttp defines the paths, headers and bodies of the platform's
// object API over HTTP.
package objecthttp

import (
	"strconv"

	"savoryweir/internal/state/object"
)

// Paths of the API. Kind and name are single path segments.
const (
	ObjectPath    = "/v1/objects/{kind}/{name}"
	ListPath      = "/v1/objects/{kind}"
	WatchPath     = "/v1/watch/{kind}"
	InstancesPath = "/v1/instances"
)

// Query parameters of lists and watches.
const (
	PrefixParam     = "prefix"
	AfterParam      = "after"
	WaitMillisParam = "wait_ms"
)

// VersionHeader carries an object's version in answers.
const VersionHeader = "Object-Version"

// Object is one object in a list or an event.
type Object struct {
	Name    object.Name    `json:"name"`
	Version object.Version `json:"version"`
	Data    []byte         `json:"data,omitempty"`
	Deleted bool           `json:"deleted,omitempty"`
}

// Objects is the answer to a list or a watch.
type Objects struct {
	Objects []Object       `json:"objects"`
	Next    object.Version `json:"next,omitempty"`
}

// FormatVersion writes a version for a header or a query.
func FormatVersion(v object.Version) string { return strconv.FormatUint(uint64(v), 10) }

// ParseVersion reads a version from a header or a query.
func ParseVersion(text string) (object.Version, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	return object.Version(n), err
}
