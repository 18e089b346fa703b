package slopes

import (
	"errors"
	"math"
)

// errSingular reports that the regressors are linearly dependent, so that no unique line fits.
var errSingular = errors.New("least squares: regressors are linearly dependent")

// observation is one measured value with its regressors. The intercept is implied.
type observation struct {
	x []float64
	y float64
}

// fit is a least-squares line: y = Intercept + sum of Slopes[i]·x[i].
type fit struct {
	Intercept    float64   `json:"intercept"`
	Slopes       []float64 `json:"slopes"`
	R2           float64   `json:"r2"`
	Observations int       `json:"observations"`
}

// at returns the value of the line at x.
func (f fit) at(x ...float64) float64 {
	y := f.Intercept
	for i, slope := range f.Slopes {
		y += slope * x[i]
	}
	return y
}

// leastSquares fits a line through the observations by solving the normal equations.
func leastSquares(observations []observation) (fit, error) {
	if len(observations) == 0 {
		return fit{}, errSingular
	}
	n := len(observations[0].x) + 1
	matrix := make([][]float64, n)
	for i := range matrix {
		matrix[i] = make([]float64, n+1)
	}
	for _, o := range observations {
		row := append([]float64{1}, o.x...)
		for i := range n {
			for j := range n {
				matrix[i][j] += row[i] * row[j]
			}
			matrix[i][n] += row[i] * o.y
		}
	}
	solution, err := solve(matrix)
	if err != nil {
		return fit{}, err
	}
	f := fit{Intercept: solution[0], Slopes: solution[1:], Observations: len(observations)}
	f.R2 = rSquared(f, observations)
	return f, nil
}

// solve solves the linear system with the augmented matrix m by Gauss-Jordan elimination
// with partial pivoting.
func solve(m [][]float64) ([]float64, error) {
	n := len(m)
	for column := range n {
		pivot := column
		for row := column + 1; row < n; row++ {
			if math.Abs(m[row][column]) > math.Abs(m[pivot][column]) {
				pivot = row
			}
		}
		m[column], m[pivot] = m[pivot], m[column]
		if math.Abs(m[column][column]) < 1e-9 {
			return nil, errSingular
		}
		for row := range n {
			if row != column {
				eliminate(m[row], m[column], column)
			}
		}
	}
	solution := make([]float64, n)
	for i := range n {
		solution[i] = m[i][n] / m[i][i]
	}
	return solution, nil
}

func eliminate(row, pivot []float64, column int) {
	factor := row[column] / pivot[column]
	for i := column; i < len(row); i++ {
		row[i] -= factor * pivot[i]
	}
}

// rSquared returns the share of the variance that the line explains.
func rSquared(f fit, observations []observation) float64 {
	mean, residual, total := 0.0, 0.0, 0.0
	for _, o := range observations {
		mean += o.y / float64(len(observations))
	}
	for _, o := range observations {
		residual += (o.y - f.at(o.x...)) * (o.y - f.at(o.x...))
		total += (o.y - mean) * (o.y - mean)
	}
	if total == 0 {
		return 1
	}
	return 1 - residual/total
}
