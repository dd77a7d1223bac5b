// Package apportioner divides the memory and file descriptors of an instance among what a process holds for its peers, so
// that the bounds of all connections together fit.
package apportioner

import "fmt"

const (
	megabyte = 1 << 20
	// heapPercent is the percentage of the memory from which the garbage collector works harder. Bytes in sockets come on
	// top.
	heapPercent = 60
	// connectionPercent is for the fixed part of the connections of all addresses, which have shares of it as of the file
	// descriptors: goroutines, read buffers and small requests.
	connectionPercent = 40
	// connectionBytes is the fixed part of one connection.
	connectionBytes = 24 << 10
	// socketPercent is for the bytes of all connections that wait in the kernel to be read.
	socketPercent = 15
	// minSocketBytes and maxSocketBytes bound the receive buffer of one connection.
	minSocketBytes = 16 << 10
	maxSocketBytes = 256 << 10
	// PeerSocketBytes is the receive buffer of a connection between own processes, which carries large states over long
	// distances.
	PeerSocketBytes = 256 << 10
	// minConnections keeps an address reachable however few file descriptors there are.
	minConnections = 16
)

// Resources are those of an instance.
type Resources struct {
	MemoryMB int
	MaxFiles int
}

const (
	minMemoryMB = 64
	minFiles    = 64
)

// Problems returns what is wrong with the resources, by setting.
func (r Resources) Problems() map[string]string {
	problems := map[string]string{}
	if r.MemoryMB < minMemoryMB {
		problems["MemoryMB"] = fmt.Sprintf("it must be at least %d", minMemoryMB)
	}
	if r.MaxFiles < minFiles {
		problems["MaxFiles"] = fmt.Sprintf("it must be at least %d", minFiles)
	}
	return problems
}

// HeapLimit returns the memory limit of the Go runtime in bytes.
func (r Resources) HeapLimit() int64 { return r.Memory(heapPercent) }

// Memory returns a percentage of the memory in bytes.
func (r Resources) Memory(percent int) int64 {
	return int64(r.MemoryMB) * megabyte * int64(percent) / 100
}

// Connections returns how many connections an address may have that gets a part of the file descriptors and of the memory
// for connections, given as a divisor.
func (r Resources) Connections(divisor int) int {
	byMemory := int(r.Memory(connectionPercent)/connectionBytes) / divisor
	return max(min(r.MaxFiles/divisor, byMemory), minConnections)
}

// SocketBuffer returns the size of the kernel's receive buffer for each of a number of connections, in bytes.
func (r Resources) SocketBuffer(connections int) int {
	return max(min(int(r.Memory(socketPercent))/connections, maxSocketBytes), minSocketBytes)
}
