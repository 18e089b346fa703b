package slopes

import (
	"errors"
	"math"
	"testing"
)

func TestLeastSquaresRecoversCoefficients(t *testing.T) {
	var observations []observation
	for i := range 5 {
		for j := range 3 {
			x := []float64{float64(i), float64(j * j)}
			observations = append(observations, observation{x, 7 + 2*x[0] - 0.5*x[1]})
		}
	}
	f, err := leastSquares(observations)
	if err != nil || math.Abs(f.Intercept-7) > 1e-9 || math.Abs(f.Slopes[0]-2) > 1e-9 || math.Abs(f.Slopes[1]+0.5) > 1e-9 {
		t.Errorf("got %+v, %v", f, err)
	}
	if math.Abs(f.R2-1) > 1e-9 || math.Abs(f.at(3, 4)-11) > 1e-9 {
		t.Errorf("R² %g, value at (3, 4) %g; want 1 and 11", f.R2, f.at(3, 4))
	}
}

func TestLeastSquaresRejectsCollinearRegressors(t *testing.T) {
	_, err := leastSquares([]observation{{[]float64{1, 2}, 1}, {[]float64{2, 4}, 2}, {[]float64{3, 6}, 3}})
	if !errors.Is(err, errSingular) {
		t.Errorf("got %v", err)
	}
}
