// Package object defines the objects of the platform's store and the outcomes
// of operations on them. It holds no client; see transport/storeclient.
package object

import (
	"context"
	"errors"
	"time"
)

// Kind groups objects of one type, for example "bundles" or "journal-heads".
type Kind string

// Name identifies an object within its kind.
type Name string

// Version increases with each write to the store. Zero means that the object does not exist.
type Version uint64

// MaxSizeBytes is the largest value that the store accepts.
const MaxSizeBytes = 1 << 20

// Object is one stored value with the version of its last write.
type Object struct {
	Kind    Kind
	Name    Name
	Version Version
	Data    []byte
}

// Event is one change reported by a watch.
type Event struct {
	Object  Object
	Deleted bool
}

// Role tells what an instance in the platform's list runs.
type Role string

// The roles of instances.
const (
	RoleSavoryweir Role = "savoryweir"
	RoleUpstream   Role = "upstream"
)

// KindInstances holds the platform's list of instances.
const KindInstances Kind = "savoryweir-instances"

// Instance is one entry of the platform's lagging list of instances. Address
// is that of the control process, or of the upstream.
type Instance struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Role    Role   `json:"role"`
	Leaving bool   `json:"leaving"`
}

var (
	// ErrNotFound reports that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict reports that the object's version is not the expected one.
	// The write did not take effect.
	ErrConflict = errors.New("object version conflict")
	// ErrThrottled reports that the store's call rate is exhausted.
	// The call did not take effect.
	ErrThrottled = errors.New("store call rate exceeded")
	// ErrUnavailable reports that the store could not be asked.
	// The call did not take effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown reports that the answer to a write was lost.
	// The write may have taken effect, or may still do so.
	ErrOutcomeUnknown = errors.New("outcome of store write unknown")
	// ErrHistoryGone reports that the store no longer has the changes after the
	// version from which a watch was to go on.
	ErrHistoryGone = errors.New("history of changes is gone")
	// ErrWatchUnanswered reports that a watch was not answered after its wait was over.
	ErrWatchUnanswered = errors.New("watch was not answered")
	// ErrTooLarge reports a value above MaxSizeBytes.
	ErrTooLarge = errors.New("object too large")
)

// Reader reads objects.
type Reader interface {
	// Get returns the object, or ErrNotFound, ErrThrottled or ErrUnavailable.
	Get(ctx context.Context, kind Kind, name Name) (Object, error)
	// List returns the objects of a kind whose names start with prefix, in name order.
	List(ctx context.Context, kind Kind, prefix string) ([]Object, error)
}

// Writer changes objects by conditional update.
type Writer interface {
	// Create writes a new object, or returns ErrConflict if it exists.
	Create(ctx context.Context, kind Kind, name Name, data []byte) (Version, error)
	// Update replaces the object if its version is expected, else returns ErrConflict.
	Update(ctx context.Context, kind Kind, name Name, data []byte, expected Version) (Version, error)
	// Touch raises the version of the object if it is expected, else returns
	// ErrConflict. Its data stays. An update that changes nothing raises no version.
	Touch(ctx context.Context, kind Kind, name Name, expected Version) (Version, error)
	// Delete removes the object if its version is expected, else returns ErrConflict.
	Delete(ctx context.Context, kind Kind, name Name, expected Version) error
}

// Watcher reports changes.
type Watcher interface {
	// Watch waits up to wait for changes of kind after version and returns them in
	// version order, with the version to continue from. An empty result is no error.
	Watch(ctx context.Context, kind Kind, after Version, wait time.Duration) ([]Event, Version, error)
}

// Store is the whole object API.
type Store interface {
	Reader
	Writer
	Watcher
	// Instances returns the platform's lagging list of instances.
	Instances(ctx context.Context) ([]Instance, error)
}

// ErrorName returns a short name of an operation's failure, for metrics.
func ErrorName(err error) string {
	names := []struct {
		err  error
		name string
	}{
		{ErrNotFound, "not_found"}, {ErrConflict, "conflict"}, {ErrThrottled, "throttled"},
		{ErrHistoryGone, "history_gone"}, {ErrOutcomeUnknown, "unknown"}, {ErrTooLarge, "too_large"}, {ErrWatchUnanswered, "silent"},
	}
	for _, n := range names {
		if errors.Is(err, n.err) {
			return n.name
		}
	}
	return "unavailable"
}
