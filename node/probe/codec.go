package probe

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"auburnladder.example/core/membership"
	"auburnladder.example/core/release"
	"auburnladder.example/wire/peerpb"
)

const (
	// maxDatagramBytes bounds datagrams in both directions, so that none is fragmented.
	maxDatagramBytes = 1400
	// maxUpdates bounds the updates in one datagram.
	maxUpdates = 128
	// maxIDBytes bounds the VM ids in a datagram.
	maxIDBytes = 200
)

// Datagram is a membership message together with the versions that its sender holds.
type Datagram struct {
	Message membership.Message
	Held    Held
}

// Held is the versions of the published configuration that a node holds.
type Held struct {
	Release        release.Version
	VMListRevision uint64
}

var kinds = map[membership.Kind]peerpb.Datagram_Kind{
	membership.Ping:    peerpb.Datagram_KIND_PING,
	membership.PingReq: peerpb.Datagram_KIND_PING_REQ,
	membership.Ack:     peerpb.Datagram_KIND_ACK,
}

var states = map[membership.State]peerpb.MemberState_State{
	membership.Alive:   peerpb.MemberState_STATE_ALIVE,
	membership.Suspect: peerpb.MemberState_STATE_SUSPECT,
	membership.Dead:    peerpb.MemberState_STATE_DEAD,
	membership.Leaving: peerpb.MemberState_STATE_LEAVING,
}

// Encode encodes a datagram. It returns an error if the result is too long to be sent
// without fragmentation.
func Encode(d Datagram) ([]byte, error) {
	out := &peerpb.Datagram{
		Kind:           kinds[d.Message.Kind],
		Sequence:       d.Message.Sequence,
		From:           d.Message.From,
		Target:         d.Message.Target,
		VmListRevision: d.Held.VMListRevision,
	}
	if !d.Held.Release.IsZero() {
		out.Held = &peerpb.Version{Sequence: d.Held.Release.Sequence, Digest: d.Held.Release.Digest[:]}
	}
	for _, u := range d.Message.Updates {
		out.Updates = append(out.Updates, &peerpb.MemberState{
			Vm: u.VM, State: states[u.State], Incarnation: u.Incarnation,
		})
	}
	data, err := proto.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode datagram: %w", err)
	}
	if len(data) > maxDatagramBytes {
		return nil, fmt.Errorf("encode datagram: %d bytes, expected at most %d", len(data), maxDatagramBytes)
	}
	return data, nil
}

// Decode decodes a datagram. It rejects any datagram that Encode would not produce.
func Decode(data []byte) (Datagram, error) {
	if len(data) > maxDatagramBytes {
		return Datagram{}, fmt.Errorf("datagram: %d bytes, expected at most %d", len(data), maxDatagramBytes)
	}
	var in peerpb.Datagram
	if err := proto.Unmarshal(data, &in); err != nil {
		return Datagram{}, fmt.Errorf("datagram: %w", err)
	}
	kind, err := decodeKind(in.GetKind())
	if err != nil {
		return Datagram{}, err
	}
	if !validID(in.GetFrom()) || len(in.GetTarget()) > maxIDBytes {
		return Datagram{}, errors.New("datagram: sender or target is not a VM id")
	}
	updates, err := decodeUpdates(in.GetUpdates())
	if err != nil {
		return Datagram{}, err
	}
	held, err := decodeHeld(&in)
	if err != nil {
		return Datagram{}, err
	}
	msg := membership.Message{
		Kind: kind, Sequence: in.GetSequence(), From: in.GetFrom(), Target: in.GetTarget(), Updates: updates,
	}
	return Datagram{Message: msg, Held: held}, nil
}

func validID(id string) bool {
	return id != "" && len(id) <= maxIDBytes
}

func decodeKind(in peerpb.Datagram_Kind) (membership.Kind, error) {
	for kind, encoded := range kinds {
		if encoded == in {
			return kind, nil
		}
	}
	return 0, fmt.Errorf("datagram: kind %d is unknown", in)
}

func decodeUpdates(in []*peerpb.MemberState) ([]membership.Update, error) {
	if len(in) > maxUpdates {
		return nil, fmt.Errorf("datagram: %d updates, expected at most %d", len(in), maxUpdates)
	}
	var out []membership.Update
	for _, u := range in {
		state, err := decodeState(u.GetState())
		if err != nil {
			return nil, err
		}
		if !validID(u.GetVm()) {
			return nil, errors.New("datagram: update names no VM id")
		}
		out = append(out, membership.Update{VM: u.GetVm(), State: state, Incarnation: u.GetIncarnation()})
	}
	return out, nil
}

func decodeState(in peerpb.MemberState_State) (membership.State, error) {
	for state, encoded := range states {
		if encoded == in {
			return state, nil
		}
	}
	return 0, fmt.Errorf("datagram: state %d is unknown", in)
}

func decodeHeld(in *peerpb.Datagram) (Held, error) {
	held := Held{VMListRevision: in.GetVmListRevision()}
	if in.GetHeld() == nil {
		return held, nil
	}
	digest, err := release.DigestFromBytes(in.GetHeld().GetDigest())
	if err != nil {
		return Held{}, fmt.Errorf("datagram: held release: %w", err)
	}
	held.Release = release.Version{Sequence: in.GetHeld().GetSequence(), Digest: digest}
	return held, nil
}
