// Package soak holds no code of the product: its tests run the programs of deploy/system.toml as real
// processes on loopback, with real sockets, clocks and disks, under signals, restarts and changes of
// the configuration that overlap, and check what clients and operators saw.
package soak
