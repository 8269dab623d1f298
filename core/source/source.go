// Package source holds a node's replica of a key-value store that publishes the
// configuration and the servers of a deployment. The store has one revision counter
// that rises with each change, and can only be read.
//
// The package makes no calls: package node/follow reads the store and peers, and a
// Decoder gives the items their meaning.
package source

import (
	"errors"
	"fmt"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/vmlist"
)

// ErrHistoryLost reports that the store no longer has the changes after a revision, so
// that all items must be read anew.
var ErrHistoryLost = errors.New("the store has dropped the changes after this revision")

// RejectedError is an answer of the store with a status that promises no data.
type RejectedError struct {
	Status int
}

// Error names the status.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("the store answered with status %d", e.Status)
}

// Item is one key of the store with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the item's last change.
	Revision uint64
}

// Change is an item as it was written, or the removal of a key.
type Change struct {
	Item
	Removed bool
}

// Page is a part of all items. Pages are read one after the other and are no snapshot.
type Page struct {
	Items []Item
	// More reports that further items follow the last one in order of key.
	More bool
	// Revision is the store's revision when the page was read.
	Revision uint64
}

// Changes are what happened after a revision, in order.
type Changes struct {
	Changes []Change
	// Revision is the one to continue from.
	Revision uint64
}

// Kind says what an item describes.
type Kind uint8

const (
	// Other items are ignored.
	Other Kind = iota
	// Release is the configuration of the deployment.
	Release
	// Server is the entry of one backend server.
	Server
)

// ServerEntry is the decoded entry of a backend server.
type ServerEntry struct {
	VM vmlist.VM
	// Born is when the server started, in Unix milliseconds; 0 if the entry doesn't say.
	Born int64
}

// Decoder gives meaning to items. Its methods are called by one goroutine at a time.
type Decoder interface {
	// Kind tells from the key what an item describes.
	Kind(key string) Kind
	// Release decodes the configuration. It returns an error unless all of it is valid.
	Release(value []byte) (*mesh.Published, error)
	// Server decodes the entry of a server.
	Server(key string, value []byte) (ServerEntry, error)
}
