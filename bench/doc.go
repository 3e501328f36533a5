// Package bench contains the benchmarks whose results are in docs/CAPACITY.md:
// the cost of each control role at several sizes. fit.awk fits a line to their
// output.
package bench
