package event

import (
	"fmt"
	"runtime/debug"
)

// Guard runs one piece of work of a goroutine and reports whether it panicked. A panic is logged with
// the name of the work and goes no further: without Guard, a defect that one request or batch item
// meets ends the process and all other requests in it, and then the next process to which that
// item is handed over. Work that keeps the whole daemon up to date must not be guarded: a daemon that
// goes on without it would decide on outdated facts.
func (l *Logger) Guard(work string, run func()) (panicked bool) {
	defer func() {
		if cause := recover(); cause != nil {
			panicked = true
			l.Log(WorkPanicked, F("work", work), F("cause", fmt.Sprint(cause)), F("stack", string(debug.Stack())))
		}
	}()
	run()
	return false
}
