package rollout

import (
	"testing"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

func FuzzParseToken(f *testing.F) {
	token := NewToken("captions", "drafts", 7, 2, 0xfeed, 21)
	for _, seed := range []string{
		"", "AQ", "not a token", token.String(), token.WithDelivered(0, 8, 20).String(),
		token.String()[1:], token.String()[:len(token.String())-2],
		NewToken("", "", -1, 0, 0, 1).String(), NewToken("t", "s", 1, 1, 1, maxStepSamples).String(),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := ParseToken(text)
		if err != nil {
			if !fault.Is(err, fault.Invalid) || fault.RemedyOf(err) == "" || fault.OutcomeOf(err) != fault.NotRun {
				t.Errorf("error %v", err)
			}
			return
		}
		again, err := ParseToken(parsed.String())
		if err != nil || again.String() != parsed.String() {
			t.Errorf("token %q does not round-trip: %v", text, err)
		}
		if parsed.DeliveredCount() > parsed.Samples || parsed.IsDelivered(-1) || parsed.IsDelivered(parsed.Samples) {
			t.Errorf("token %q marks samples that the step does not have", text)
		}
	})
}

func TestTokenHoldsExactlyTheDeliveredSamples(t *testing.T) {
	token := NewToken("captions", "drafts", 7, 2, 0xfeed, 21)
	next := token.WithDelivered(3, 20)
	if token.DeliveredCount() != 0 || next.DeliveredCount() != 2 || !next.IsDelivered(3) || !next.IsDelivered(20) || next.IsDelivered(4) {
		t.Errorf("token holds %d samples", next.DeliveredCount())
	}
}

func TestDamagedTokenIsRefused(t *testing.T) {
	valid := NewToken("captions", "drafts", 7, 2, 0xfeed, 21).WithDelivered(3).Bytes()
	for i := range valid {
		damaged := append([]byte(nil), valid...)
		damaged[i] ^= 0x10
		if _, err := parseTokenBytes(damaged); !fault.Is(err, fault.Invalid) {
			t.Errorf("byte %d damaged: %v", i, err)
		}
	}
}
