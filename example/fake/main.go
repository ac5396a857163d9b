// Command fake runs what the example's relay needs around it: three fake backends and a fake discovery service
// or, with -client, one client. It does not model load and measures nothing.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	relay := flag.String("client", "", "run a client of the relay at this address")
	key := flag.String("key", "7f3a9c21e0b4d655", "the client's key, in hexadecimal")
	class := flag.String("class", "chat", "the client's class")
	flag.Parse()
	var err error
	if *relay != "" {
		c := client{relay: *relay, key: *key, class: *class, out: os.Stdout}
		err = c.run(os.Stdin)
	} else {
		err = runServers(os.Stdin, os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "fake:", err)
		os.Exit(1)
	}
}
