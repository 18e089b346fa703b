package backend_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/oddserver"
)

// Guards against a response that can't be one and counts as the answer of an engine or a plain service.
func TestInvalidResponsesAreFailures(t *testing.T) {
	for name, head := range oddserver.InvalidHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := oddserver.Start(oddserver.Respond(head, nil, "{}"))
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			client := backend.NewClient(testTimeouts, nil)
			defer client.Close()
			engine := client.Engine(server.Address())
			for call, send := range map[string]func(ctx context.Context) error{
				"plain": func(ctx context.Context) error {
					req, err := http.NewRequest(http.MethodPost, "http://service/x", nil)
					if err != nil {
						return err
					}
					resp, err := client.Plain(server.Address()).Do(ctx, req)
					if err == nil {
						_ = resp.Body.Close()
					}
					return err
				},
				"generate": func(ctx context.Context) error {
					stream, err := engine.Generate(ctx, backend.GenerateRequest{RequestID: "q"})
					if err == nil {
						stream.Close()
					}
					return err
				},
				"status":   func(ctx context.Context) error { _, err := engine.Status(ctx); return err },
				"stage":    func(ctx context.Context) error { return engine.Stage(ctx, backend.Order{}) },
				"activate": func(ctx context.Context) error { return engine.Activate(ctx, backend.Order{}) },
			} {
				if err := send(t.Context()); !fault.Is(err, fault.Unavailable) || fault.OutcomeOf(err) != fault.Unknown {
					t.Errorf("%s: error %v with outcome %q, want unavailable and unknown", call, err, fault.OutcomeOf(err))
				}
			}
		})
	}
}
