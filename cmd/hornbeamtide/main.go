// Command hornbeamtide is the rollout service: daemon and operator's tool in one.
package main

func main() {}
