package source

const (
	// MaxReleaseBytes is the largest release that a replica holds: twice the largest value of the
	// store.
	MaxReleaseBytes = 2 << 20
	// MaxServerBytes is the largest entry of a server that is read. Servers write some hundred bytes;
	// other writers may write anything.
	MaxServerBytes = 64 << 10
)

// checkSize returns an error for an item above the limit of its kind. Of items of the kind Other no
// value is kept.
func checkSize(kind Kind, item *Item) *TooLargeError {
	size := len(item.Value)
	switch {
	case kind == Release && size > MaxReleaseBytes:
		return &TooLargeError{Limit: "release", Key: item.Key, Kind: kind, Bytes: size, Max: MaxReleaseBytes}
	case kind == Server && size > MaxServerBytes:
		return &TooLargeError{Limit: "server_entry", Key: item.Key, Kind: kind, Bytes: size, Max: MaxServerBytes}
	default:
		return nil
	}
}
