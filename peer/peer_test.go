package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/silentproxy"
)

const (
	testTimeout  = 20 * time.Second
	testProgress = 300 * time.Millisecond
	// largeResponse is the size of the response to "large", over the 4 MiB of a message.
	largeResponse = 64 << 20
)

// message is the request and response of the test service; messageEncoding is its codec.
type message struct{ value string }

type messageEncoding struct{}

func (messageEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	return []byte(msg.(*message).value), nil
}

func (messageEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	msg.(*message).value = string(buf)
	return nil
}

// echoService is a drpc service that returns what it receives.
type echoService struct{}

// Call returns its input; "refuse" returns an error, "panic" panics and "slow" delays the
// response beyond the progress timeout.
func (e *echoService) Call(ctx context.Context, in *message) (*message, error) {
	switch in.value {
	case "large":
		return &message{value: strings.Repeat("x", largeResponse)}, nil
	case "panic":
		var missing *message
		return &message{value: missing.value}, nil
	case "refuse":
		return nil, fault.New(fault.Fenced, "an older lease", "ask the newer holder",
			fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(time.Second))
	case "slow":
		select {
		case <-time.After(3 * testProgress):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return in, nil
}

// NumMethods implements drpc.Description.
func (e *echoService) NumMethods() int { return 2 }

// Method implements drpc.Description.
func (e *echoService) Method(n int) (string, drpc.Encoding, drpc.Receiver, interface{}, bool) {
	switch n {
	case 0:
		return "/echo/Call", messageEncoding{}, func(srv interface{}, ctx context.Context, in1, _ interface{}) (drpc.Message, error) {
			return srv.(*echoService).Call(ctx, in1.(*message))
		}, (*echoService).Call, true
	case 1:
		return "/echo/Stream", messageEncoding{}, func(srv interface{}, _ context.Context, in1, _ interface{}) (drpc.Message, error) {
			return nil, srv.(*echoService).Stream(in1.(drpc.Stream))
		}, (*echoService).Stream, true
	}
	return "", nil, nil, nil, false
}

// Stream returns each message until the client closes the stream.
func (e *echoService) Stream(stream drpc.Stream) error {
	for {
		in := &message{}
		if err := stream.MsgRecv(in, messageEncoding{}); err != nil {
			return nil
		}
		if err := stream.MsgSend(in, messageEncoding{}); err != nil {
			return err
		}
	}
}

// fixture is a server behind a proxy and a pool that calls it.
type fixture struct {
	echo  *echoService
	proxy *silentproxy.Proxy
	pool  *Pool
	stop  context.CancelFunc
}

func newFixture(t *testing.T) *fixture {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy, err := silentproxy.New(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{echo: &echoService{}, proxy: proxy, pool: NewPool(Config{ProgressTimeout: testProgress}, nil)}
	server := NewServer(nil)
	if err := server.Mux().Register(f.echo, f.echo); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		f.pool.Close()
		cancel()
		if err := <-served; err != nil {
			t.Errorf("serve: %v", err)
		}
		proxy.Close()
	})
	return f
}

func (f *fixture) call(ctx context.Context, value string) (string, error) {
	conn, err := f.pool.Conn(ctx, f.proxy.Address())
	if err != nil {
		return "", err
	}
	out := &message{}
	err = conn.Invoke(ctx, "/echo/Call", messageEncoding{}, &message{value: value}, out)
	return out.value, err
}

func (f *fixture) mustCall(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if got, err := f.call(ctx, "hello"); err != nil || got != "hello" {
		t.Fatalf("call answered %q, %v", got, err)
	}
}

func TestCallErrors(t *testing.T) {
	table := []struct {
		name    string
		prepare func(f *fixture) context.Context
		value   string
		kind    fault.Kind
		outcome fault.Outcome
	}{
		{"the handler's error keeps kind and outcome", nil, "refuse", fault.Fenced, fault.NotRun},
		{"a refused connection is not run", func(f *fixture) context.Context {
			f.proxy.Close()
			return context.Background()
		}, "hello", fault.Unavailable, fault.NotRun},
		{"a connection lost while the call runs is unknown", func(f *fixture) context.Context {
			time.AfterFunc(testProgress/4, f.stop)
			return context.Background()
		}, "slow", fault.Unavailable, fault.Unknown},
		{"a response slower than the progress timeout is unknown", nil, "slow", fault.Unavailable, fault.Unknown},
		{"a caller that cancels gets the error of its context", func(*fixture) context.Context {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(testProgress/4, cancel)
			return ctx
		}, "slow", fault.Canceled, fault.Unknown},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			f := newFixture(t)
			ctx := context.Background()
			if row.prepare != nil {
				ctx = row.prepare(f)
			}
			_, err := f.call(ctx, row.value)
			if fault.KindOf(err) != row.kind || fault.OutcomeOf(err) != row.outcome {
				t.Errorf("error %v has kind %q and outcome %q, want %q and %q", err, fault.KindOf(err), fault.OutcomeOf(err), row.kind, row.outcome)
			}
		})
	}
}

func TestRemoteErrorKeepsMessageRemedyAndRetryAfter(t *testing.T) {
	f := newFixture(t)
	_, err := f.call(context.Background(), "refuse")
	if err.Error() != "an older lease; ask the newer holder" || fault.RemedyOf(err) != "ask the newer holder" || fault.RetryAfterOf(err) != time.Second {
		t.Errorf("error %q, remedy %q, wait %v", err, fault.RemedyOf(err), fault.RetryAfterOf(err))
	}
	f.mustCall(t)
	if got := f.proxy.AcceptedConns(); got != 1 {
		t.Errorf("%d connections, want 1: the connection stays usable after an error of the handler", got)
	}
}

func TestIdleConnectionIsReused(t *testing.T) {
	f := newFixture(t)
	for range 5 {
		f.mustCall(t)
	}
	if got := f.proxy.AcceptedConns(); got != 1 {
		t.Errorf("%d connections for sequential calls, want 1", got)
	}
}

func TestSilentConnectionsAreLeftForAFreshOne(t *testing.T) {
	f := newFixture(t)
	release := make(chan error)
	for range idleConnections {
		go func() {
			_, err := f.call(WithProgressTimeout(context.Background(), testTimeout), "slow")
			release <- err
		}()
	}
	for range idleConnections {
		if err := <-release; err != nil {
			t.Fatalf("a call with a longer progress deadline: %v", err)
		}
	}
	f.proxy.Silence()
	started := time.Now()
	_, err := f.call(context.Background(), "hello")
	if !fault.Is(err, fault.Unavailable) || fault.OutcomeOf(err) != fault.Unknown {
		t.Fatalf("call on a silent connection: %v", err)
	}
	if took := time.Since(started); took < testProgress {
		t.Errorf("gave up after %v, before the progress deadline", took)
	}
	f.mustCall(t)
	if got := f.pool.Counters().Stalls; got != 1 {
		t.Errorf("%d stalls, want 1: the other idle connections are closed with the first", got)
	}
}

// The pool hands out a connection whose transport is closed as long as the connection does not
// report that it is closed; the next call then fails although a new connection would work.
func TestConnectionsReportClosedAsSoonAsAStallIsHandled(t *testing.T) {
	for range 50 {
		f := newFixture(t)
		f.mustCall(t)
		f.pool.mu.Lock()
		conns := f.pool.open[f.proxy.Address()]
		f.pool.mu.Unlock()
		f.pool.handleStall(f.proxy.Address())
		for _, c := range conns {
			select {
			case <-c.Closed():
			default:
				t.Fatal("an idle connection closed after a stall is still in the pool")
			}
		}
	}
}

func TestSilentConnectionIsClosedWhenCallerDeadlineExpiresFirst(t *testing.T) {
	f := newFixture(t)
	f.mustCall(t)
	f.proxy.Silence()
	ctx, cancel := context.WithTimeout(context.Background(), testProgress/3)
	defer cancel()
	if _, err := f.call(ctx, "hello"); err == nil {
		t.Fatal("call on a silent connection returned no error")
	}
	f.mustCall(t)
}

func TestSilentStreamTimesOut(t *testing.T) {
	f := newFixture(t)
	conn, err := f.pool.Conn(context.Background(), f.proxy.Address())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	stream, err := conn.NewStream(ctx, "/echo/Stream", messageEncoding{})
	if err != nil {
		t.Fatal(err)
	}
	for range 4 {
		if err := stream.MsgSend(&message{value: "a"}, messageEncoding{}); err != nil {
			t.Fatal(err)
		}
		if err := stream.MsgRecv(&message{}, messageEncoding{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testProgress / 2)
	}
	f.proxy.Silence()
	err = stream.MsgRecv(&message{}, messageEncoding{})
	if !fault.Is(err, fault.Unavailable) || errors.Is(err, io.EOF) {
		t.Errorf("silent stream ended with %v, want unavailable", err)
	}
	if ctx.Err() != nil {
		t.Error("silent stream ended only at the caller's deadline")
	}
	f.mustCall(t)
}

// Guards against the end of a process by a call of a peer whose handler panics.
func TestPanicOfHandlerFailsOnlyItsCall(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, err := f.call(ctx, "panic"); !fault.Is(err, fault.Internal) || fault.OutcomeOf(err) != fault.Unknown {
		t.Errorf("error %v, outcome %v", err, fault.OutcomeOf(err))
	}
	f.mustCall(t)
}

func TestClosedPoolRefusesAsNotRun(t *testing.T) {
	f := newFixture(t)
	f.mustCall(t)
	f.pool.Close()
	_, err := f.call(context.Background(), "hello")
	if !fault.Is(err, fault.Draining) || fault.OutcomeOf(err) != fault.NotRun {
		t.Errorf("call on a closed pool: %v, outcome %q", err, fault.OutcomeOf(err))
	}
}

// Guards against a daemon that another one fills the memory of: a response over the largest message ends
// the call before it is read, and the next call is answered.
func TestOversizedResponseIsNotRead(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f.mustCall(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if got, err := f.call(ctx, "large"); err == nil {
		t.Errorf("a response of %d bytes was read", len(got))
	}
	runtime.ReadMemStats(&after)
	// The server in this process holds the response, its encoding and a copy.
	if grown := int64(after.TotalAlloc) - int64(before.TotalAlloc); grown > 3*largeResponse+largeResponse/2 {
		t.Errorf("%d MiB were allocated", grown>>20)
	}
	f.mustCall(t)
}
