// Command standin plays the platform in tests: log service, instance list and backend servers.
package main

func main() {}
