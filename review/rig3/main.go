package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(*rig) int{"end": playEnd, "denied": playDenied, "burst": playBurst}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig3 CASE DAEMON-PROGRAM RECORD")
		os.Exit(noPlay)
	}
	r, err := newRig(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Println(err)
		os.Exit(noPlay)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() { result <- cases[os.Args[1]](r) }()
	code := noPlay
	select {
	case code = <-result:
	case <-time.After(maxTime):
		r.say("the case took too long")
	case <-stopped:
		r.say("the case was stopped")
	}
	r.say("result: %d (0 the rule held, 1 it was broken, 2 not played)", code)
	r.close()
	os.Exit(code)
}
