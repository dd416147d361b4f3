// Package stand2 starts the project's own programs as separate processes on loopback addresses and plays what
// stands around them: the platform's list, workers, operators and clients. The cases of the second review use it.
package stand2
