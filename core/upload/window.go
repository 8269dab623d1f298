package upload

const (
	// windowBytes is how much of a body may be sent after the first permission, and stepBytes how much more after
	// each further one. They bound what small messages on the same connection wait behind: 64 KiB take 52 ms on a
	// link of 10 Mbit/s. With less the link is idle while a permission is on its way.
	windowBytes = 64 << 10
	stepBytes   = 32 << 10
)

// Window says how much of a body may be sent. Both ends keep one and agree on the number of permissions: each end gives
// or awaits further ones only until they cover the body.
type Window struct {
	size, credit, received int64
}

// NewWindow returns the window of a body of size bytes after the first permission.
func NewWindow(size int64) Window { return Window{size: size, credit: windowBytes} }

// Credit returns how many bytes of the body may be sent.
func (w *Window) Credit() int64 { return w.credit }

// Extend records a further permission.
func (w *Window) Extend() { w.credit += stepBytes }

// Received records that n more bytes have arrived, and returns how many permissions to give.
func (w *Window) Received(n int64) (permissions int) {
	w.received += n
	for w.credit < w.size && w.received >= w.credit-stepBytes {
		w.Extend()
		permissions++
	}
	return permissions
}
