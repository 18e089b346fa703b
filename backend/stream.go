package backend

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// stream implements Stream over the server-sent events of one response.
type stream struct {
	call      *call
	events    *eventReader
	requestID string
	next      int   // index of the next chunk's first token
	err       error // set once the stream ended
	whole     bool
}

func newStream(c *call, requestID string) *stream {
	return &stream{call: c, events: newEventReader(c.response.Body), requestID: requestID}
}

// Load implements Stream.
func (s *stream) Load() (Load, bool) {
	running, err1 := strconv.Atoi(s.call.response.Header.Get(HeaderRunning))
	waiting, err2 := strconv.Atoi(s.call.response.Header.Get(HeaderWaiting))
	return Load{Running: running, Waiting: waiting}, err1 == nil && err2 == nil
}

// Next implements Stream. It is not safe for concurrent use.
func (s *stream) Next(ctx context.Context) (Chunk, error) {
	if s.err != nil {
		return Chunk{}, s.err
	}
	chunk, err := s.read(ctx)
	if err != nil {
		s.err = err
		s.call.abort()
		return Chunk{}, err
	}
	s.next += chunk.Tokens
	if chunk.End {
		s.whole = true
		s.err = io.EOF
		s.call.discard()
	}
	return chunk, nil
}

// Close implements Stream.
func (s *stream) Close() {
	if s.err == nil {
		s.err = fault.New(fault.Canceled, "the stream was closed", "", fault.WithOutcome(fault.Unknown))
	}
	if !s.whole {
		s.call.abort()
	}
}

func (s *stream) read(ctx context.Context) (Chunk, error) {
	g := s.call.guard(ctx)
	e, err := s.events.next(g.progress)
	g.stop()
	if err != nil {
		return Chunk{}, s.call.readFailure(err)
	}
	if e.name == "error" {
		return Chunk{}, s.engineError(e.data)
	}
	return s.decode(e.data)
}

// decode parses one chunk and checks that it continues this completion.
func (s *stream) decode(data []byte) (Chunk, error) {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Chunk{}, s.call.mismatch("chunk is not JSON: " + err.Error())
	}
	if chunk.RequestID != s.requestID {
		return Chunk{}, s.call.mismatch(fmt.Sprintf("chunk of request %q instead of %q", chunk.RequestID, s.requestID))
	}
	if chunk.Tokens < 0 || chunk.Version < 0 {
		return Chunk{}, s.call.mismatch("chunk with a negative count or version")
	}
	if chunk.First != s.next {
		return Chunk{}, s.call.mismatch(fmt.Sprintf("chunk starts at token %d instead of %d", chunk.First, s.next))
	}
	return chunk, nil
}

func (s *stream) engineError(data []byte) error {
	var body fault.Body
	if err := json.Unmarshal(data, &body); err != nil || body.Message == "" {
		body.Message = "the engine ended the stream with an error"
	}
	return fault.New(fault.Unavailable, "backend server "+s.call.server.address+": "+body.Message,
		"idempotent requests are retried elsewhere", fault.WithOutcome(fault.Failed))
}

// sseEvent is one server-sent event.
type sseEvent struct {
	name string // "" for a message
	data []byte
}

// eventReader parses server-sent events.
type eventReader struct {
	lines *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReader(r)}
}

var errEventTooLong = errors.New("server-sent event is too long")

// next returns the next event with data and calls progress at each line, comments of a
// waiting engine included. The end of the input before an event is whole is
// io.ErrUnexpectedEOF.
func (r *eventReader) next(progress func()) (sseEvent, error) {
	var e sseEvent
	hasData := false
	size := 0
	for {
		line, err := r.line()
		if err != nil {
			return sseEvent{}, err
		}
		progress()
		size += len(line)
		if size > maxEventBytes {
			return sseEvent{}, errEventTooLong
		}
		if len(line) == 0 {
			if hasData {
				return e, nil
			}
			e.name = ""
			continue
		}
		field, value := splitField(line)
		switch field {
		case "event":
			e.name = value
		case "data":
			if hasData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			hasData = true
		}
	}
}

// line reads one line without its end.
func (r *eventReader) line() ([]byte, error) {
	var line []byte
	for {
		part, err := r.lines.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxEventBytes {
			return nil, errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		return trimLineEnd(line), nil
	}
}

func trimLineEnd(line []byte) []byte {
	line = line[:len(line)-1]
	if len(line) > 0 && line[len(line)-1] == '\r' {
		line = line[:len(line)-1]
	}
	return line
}

// splitField splits "field: value"; a comment has the field "".
func splitField(line []byte) (field, value string) {
	for i, b := range line {
		if b != ':' {
			continue
		}
		rest := line[i+1:]
		if len(rest) > 0 && rest[0] == ' ' {
			rest = rest[1:]
		}
		return string(line[:i]), string(rest)
	}
	return string(line), ""
}
