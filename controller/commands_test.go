package controller

import "testing"

func TestCommandKindString(t *testing.T) {
	for kind, want := range map[CommandKind]string{
		BindProxy:    "bind proxy",
		SetWeight:    "set weight",
		SetAdmission: "set admission",
		RequestAck:   "request ack",
		CancelBind:   "cancel bind",
		200:          "CommandKind(200)",
	} {
		if got := kind.String(); got != want {
			t.Errorf("kind %d: got %q, want %q", uint8(kind), got, want)
		}
	}
}
