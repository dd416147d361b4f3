package wire_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"egretshunt/wire"
)

func FuzzFrame(f *testing.F) {
	seed, _ := proto.Marshal(&wire.Frame{Rev: 3, Body: &wire.Frame_Piece{Piece: &wire.Piece{Id: "x", Offset: 4, Data: []byte("data")}}})
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &wire.Frame{}
		if proto.Unmarshal(data, frame) != nil {
			return
		}
		// A frame that was decoded must encode without an error.
		if _, err := proto.Marshal(frame); err != nil {
			t.Fatal(err)
		}
	})
}
