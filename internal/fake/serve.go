package fake

import "net"

// Serve listens on an address and calls handle with each connection, in a goroutine of its own, until the listener is closed.
// handle closes the connection.
func Serve(address string, handle func(net.Conn)) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return // the listener is closed
			}
			go handle(connection)
		}
	}()
	return listener, nil
}
