package mesh

import (
	"bytes"
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// TestAppendRoute guards against digests that differ between nodes because an encoding differs
// from the canonical one.
func TestAppendRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := rapid.Make[Route]().Draw(t, "route")
		want, err := json.Marshal(&route)
		if err != nil {
			t.Skip()
		}
		got, err := appendRoute(nil, &route)
		if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("got %s, %v, want %s", got, err, want)
		}
	})
}
