// Command hornbeamtide runs daemons of the rollout service and holds the commands that
// operators use.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
