// Command standin runs the fakes, the demo and the measurements. It is not shipped.
package main

func main() {}
