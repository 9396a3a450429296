package main

// slope is a straight line y = base + per*x fitted by least squares.
type slope struct {
	base, per float64
}

func fit(x, y []float64) slope {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	per := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope{base: (sy - per*sx) / n, per: per}
}

// at returns the line's value at x.
func (s slope) at(x float64) float64 { return s.base + s.per*x }
