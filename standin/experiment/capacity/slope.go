package main

// line is a straight line y = intercept + slope*x, fitted by least squares.
type line struct {
	intercept, slope float64
}

func fitLine(x, y []float64) line {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return line{intercept: (sy - slope*sx) / n, slope: slope}
}

// valueAt returns the line's value at x.
func (s line) valueAt(x float64) float64 { return s.intercept + s.slope*x }
