// Command bramleycove is the daemon that runs on every instance, and the operator's command line.
package main

func main() {}
