package controlplane

import (
	"io"
	"net"
	"testing"
)

// connPair gives both ends of a TCP connection over loopback.
func connPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if client, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

// TestIsClosed checks that a caller's closed connection is detected, and that the check consumes
// none of the data that the caller has sent.
func TestIsClosed(t *testing.T) {
	client, server := connPair(t)
	if isClosed(server) {
		t.Error("an idle connection counts as closed")
	}
	if _, err := client.Write([]byte("xy")); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 1)
	if _, err := io.ReadFull(server, buffer); err != nil || buffer[0] != 'x' {
		t.Fatal(err)
	}
	if isClosed(server) {
		t.Error("a connection with bytes to be read counts as closed")
	}
	if _, err := io.ReadFull(server, buffer); err != nil || buffer[0] != 'y' {
		t.Error("the check consumed a byte that was sent:", err)
	}
	client.Close()
	if _, err := server.Read(buffer); err != io.EOF {
		t.Fatal(err)
	}
	if !isClosed(server) {
		t.Error("a closed connection counts as open")
	}
	server.Close()
	if isClosed(server) {
		t.Error("a connection that can't be peeked at counts as closed")
	}
	inMemory, _ := net.Pipe()
	if isClosed(inMemory) {
		t.Error("a connection without a file descriptor counts as closed")
	}
}
