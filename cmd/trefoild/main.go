// Command trefoild is the entry process.
package main

func main() {}
