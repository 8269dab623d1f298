// Package source holds a node's replica of the key-value store that publishes the
// configuration and the backend servers of a deployment. The store is read-only for
// nodes and has a single revision counter that increases with each change.
//
// The package does no I/O: package node/follow reads from the store and from peers, and
// a Decoder interprets the items.
package source

import (
	"cmp"
	"errors"
	"fmt"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/vmlist"
)

// ErrHistoryLost reports that the store no longer has the changes after a revision. The
// caller must read all items again.
var ErrHistoryLost = errors.New("store no longer has the changes after the requested revision")

// ErrTooManyChanges reports that the changes after a revision are too large to be read one by one.
// The caller must read the items as they are now.
var ErrTooManyChanges = errors.New("changes after the requested revision are too large")

// RejectedError reports a response of the store whose HTTP status indicates no data.
type RejectedError struct {
	Status int
}

// Error returns a message that includes the status.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("store responded with status %d", e.Status)
}

// TooLargeError reports data above a limit of the node.
type TooLargeError struct {
	// Limit names the limit, in the form of a metric's name.
	Limit string
	// Key and Kind are those of the item; "" and Other if the data are not one item.
	Key  string
	Kind Kind
	// Bytes is the size of the data, 0 if it is not known. Max is the limit.
	Bytes, Max int
}

// Error returns a message with the limit and the size.
func (e *TooLargeError) Error() string {
	size := "size not known"
	if e.Bytes > 0 {
		size = fmt.Sprintf("%d bytes", e.Bytes)
	}
	return fmt.Sprintf("%s: %s, expected at most %d bytes", cmp.Or(e.Key, e.Limit), size, e.Max)
}

// Position is a point in the history of the store. The zero value is before all others.
type Position struct {
	// Era counts how often the store came back from an older copy of itself and gave revisions
	// out again. Revisions of different eras have nothing in common.
	Era uint64
	// Revision is the store's revision in that era.
	Revision uint64
}

// Compare returns a negative number if p is before other, 0 if they are equal, and a positive
// number otherwise.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Item is one key of the store with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store revision of the item's last change, in the era Era.
	Revision uint64
	Era      uint64
}

// Position returns the point in the store's history of the item's last change.
func (i *Item) Position() Position { return Position{Era: i.Era, Revision: i.Revision} }

// Change is a write of an item, or the removal of a key.
type Change struct {
	Item
	Removed bool
}

// Page is one part of the list of all items. Pages are read one after the other, so
// that together they are not a consistent snapshot.
type Page struct {
	Items []Item
	// More reports whether more items follow, in key order, after the last one.
	More bool
	// Revision is the store's revision when the page was read.
	Revision uint64
	// Era is the era of Revision.
	Era uint64
	// Unreadable holds an error for each item that could not be read completely.
	Unreadable []error
}

// Position returns the point in the store's history at which the page was read.
func (p *Page) Position() Position { return Position{Era: p.Era, Revision: p.Revision} }

// Changes holds the changes after a revision, in order of revision.
type Changes struct {
	Changes []Change
	// Revision is the revision after which the next watch continues.
	Revision uint64
	// Era is the era of Revision and of all changes.
	Era uint64
	// Unreadable holds an error for each change that could not be read completely.
	Unreadable []error
}

// Kind is the type of an item.
type Kind uint8

const (
	// Other items are ignored.
	Other Kind = iota
	// Release items hold the configuration of the deployment.
	Release
	// Server items are the entries of backend servers, one for each.
	Server
	// Evacuation items evacuate a failure domain, named by the key, while they exist.
	Evacuation
)

// ServerEntry is the decoded entry of a backend server.
type ServerEntry struct {
	VM vmlist.VM
	// Sequence increases with each report of the same run of the server.
	Sequence uint64
}

// Decoder interprets items. Release is called by one goroutine at a time, and so are the other
// methods.
type Decoder interface {
	// Kind returns the type of the item with the given key.
	Kind(key string) Kind
	// Release decodes the configuration. It returns an error if any part is invalid.
	Release(value []byte) (*mesh.Published, error)
	// ReleaseSequence returns the sequence number of a configuration without decoding the rest.
	ReleaseSequence(value []byte) (uint64, error)
	// ServiceNames returns the names of the services of a configuration without decoding the rest.
	ServiceNames(value []byte) (map[string]bool, error)
	// Server decodes the entry of a backend server. An error says that it names no server.
	Server(key string, value []byte) (ServerEntry, error)
	// EvacuatedDomain returns the failure domain of an item of the kind Evacuation.
	EvacuatedDomain(key string) string
}
