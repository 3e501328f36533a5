# Fits value = a + b * size by least squares to one metric of the output of
# `go test -bench`, for each benchmark whose name ends in "/word=size-procs". The
# variable unit names the metric.
# Usage: go test -run '^$' -bench X ./bench | awk -v unit=ns/op -f bench/fit.awk
# Prints a, b, and for each size the measured value and the residual in percent of
# that value.

/^Benchmark/ {
	split($1, name, "/")
	size = name[2]
	sub(/^[^=]*=/, "", size)
	sub(/-[0-9]+$/, "", size)
	for (i = 4; i <= NF; i++) {
		if ($i != unit) continue
		k = name[1]
		n[k]++
		x[k, n[k]] = size + 0
		y[k, n[k]] = $(i - 1) + 0
	}
}

END {
	for (k in n) fit(k)
}

function fit(k,    i, sx, sy, sxx, sxy, a, b, d, line) {
	for (i = 1; i <= n[k]; i++) {
		sx += x[k, i]; sy += y[k, i]
		sxx += x[k, i] ^ 2; sxy += x[k, i] * y[k, i]
	}
	d = n[k] * sxx - sx ^ 2
	if (n[k] < 3 || d == 0) { print k ": fewer than three sizes"; return }
	b = (n[k] * sxy - sx * sy) / d
	a = (sy - b * sx) / n[k]
	line = sprintf("%s %s: a=%.4g b=%.4g;", k, unit, a, b)
	for (i = 1; i <= n[k]; i++)
		line = line sprintf(" %g:%.4g(%+.1f%%)", x[k, i], y[k, i], 100 * (y[k, i] - a - b * x[k, i]) / y[k, i])
	print line
}
