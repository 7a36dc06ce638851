package controlplane

import (
	"io"
	"net"
	"testing"
)

// connPair gives both ends of a connection over loopback.
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

// TestIsClosed: a caller that closed its connection is seen, and nothing that it sent before
// is lost by the look.
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
		t.Error("the look took what was sent:", err)
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
		t.Error("one that can't be looked at counts as closed")
	}
	inMemory, _ := net.Pipe()
	if isClosed(inMemory) {
		t.Error("one without a descriptor counts as closed")
	}
}
