// Package bench holds the benchmarks behind docs/CAPACITY.md: the cost of each
// control role at several sizes. fit.awk fits a line to their output.
package bench
