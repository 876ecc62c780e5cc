// Command almondctl is the operators' tool.
package main

func main() {}
