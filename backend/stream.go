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

// maxEventBytes is the maximum number of bytes up to the end of a server-sent event, with the
// comments and blank lines before it.
const maxEventBytes = 1 << 20

// stream implements Stream on the server-sent events of one response.
type stream struct {
	call      *call
	events    *eventReader
	requestID string
	nextToken int   // expected index of the next chunk's first token
	err       error // returned by Next once the stream has ended
	complete  bool  // the chunk with End was read
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
	s.nextToken += chunk.Tokens
	if chunk.End {
		s.complete = true
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
	if !s.complete {
		s.call.abort()
	}
}

func (s *stream) read(ctx context.Context) (Chunk, error) {
	timer := s.call.startProgressTimer(ctx)
	e, err := s.events.next(timer.reset)
	timer.stop()
	if err != nil {
		return Chunk{}, s.call.readError(err)
	}
	if e.name == "error" {
		return Chunk{}, s.engineError(e.data)
	}
	return s.decode(e.data)
}

// decode parses a chunk and checks that it belongs to this request and starts at the
// next expected token.
func (s *stream) decode(data []byte) (Chunk, error) {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Chunk{}, s.call.mismatchError("chunk is not JSON: " + err.Error())
	}
	if chunk.RequestID != s.requestID {
		return Chunk{}, s.call.mismatchError(fmt.Sprintf("chunk of request %q instead of %q", chunk.RequestID, s.requestID))
	}
	if chunk.Tokens < 0 || chunk.Version < 0 {
		return Chunk{}, s.call.mismatchError("chunk has a negative token count or version")
	}
	if chunk.FirstToken != s.nextToken {
		return Chunk{}, s.call.mismatchError(fmt.Sprintf("chunk starts at token %d instead of %d", chunk.FirstToken, s.nextToken))
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
	name string // event type, "" if the event has none
	data []byte
}

// eventReader parses server-sent events.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReader(r)}
}

var errEventTooLong = errors.New("server-sent event is too long")

// next returns the next event that has data. It calls progress for each line, including
// the comments that an engine sends while a request waits. If the input ends before the
// blank line that completes an event, it returns io.ErrUnexpectedEOF.
func (r *eventReader) next(progress func()) (sseEvent, error) {
	var e sseEvent
	hasData := false
	eventBytes := 0
	for {
		line, err := r.readLine()
		if err != nil {
			return sseEvent{}, err
		}
		progress()
		eventBytes += len(line) + 1 // with its line feed
		if eventBytes > maxEventBytes {
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

// readLine returns the next line without its line ending.
func (r *eventReader) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := r.reader.ReadSlice('\n')
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

// splitField splits a line of the form "field: value". A comment has an empty field name.
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
