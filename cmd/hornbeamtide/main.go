// Command hornbeamtide is the rollout service: daemon and operator's tool in one.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
