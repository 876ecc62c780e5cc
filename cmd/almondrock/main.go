// Command almondrock is the process that runs on every host of the router.
package main

func main() {}
